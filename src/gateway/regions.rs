//! Which hall is in which region, and which of them a request may go to.

use crate::gateway::table::RegionList;
use std::collections::HashMap;

/// The region of each hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(HashMap<String, String>);

impl Regions {
    /// Halls with their regions.
    pub fn new(halls: HashMap<String, String>) -> Regions {
        Regions(halls)
    }

    /// The region of a hall; `None` where it isn't known.
    pub fn of(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(String::as_str)
    }
}

/// Where one request may go.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AllowedRegions<'a> {
    pub(crate) regions: &'a Regions,
    /// The regions of its route.
    pub(crate) route: &'a RegionList,
    /// Those of its workspace, if it has one.
    pub(crate) workspace: Option<&'a RegionList>,
}

impl AllowedRegions<'_> {
    /// Whether it may go to a hall. One whose region isn't known is in no region.
    pub(crate) fn includes(&self, hall: &str) -> bool {
        let region = self.regions.of(hall);
        self.route.allow(region) && self.workspace.is_none_or(|homes| homes.allow(region))
    }
}
