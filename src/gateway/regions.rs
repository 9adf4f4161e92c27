//! The regions of halls, and the halls to which a request may go.

use crate::gateway::table::RegionList;
use std::collections::HashMap;

/// The region of each hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(HashMap<String, String>);

impl Regions {
    /// Builds the map from halls to regions.
    pub fn new(halls: HashMap<String, String>) -> Regions {
        Regions(halls)
    }

    /// The region of a hall; `None` where it is unknown.
    pub fn of(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(String::as_str)
    }
}

/// The regions to which one request may go.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AllowedRegions<'a> {
    pub(crate) regions: &'a Regions,
    /// Regions that its route allows.
    pub(crate) route: &'a RegionList,
    /// Regions that its workspace allows, if it has one.
    pub(crate) workspace: Option<&'a RegionList>,
}

impl AllowedRegions<'_> {
    /// Whether the request may go to a hall. A hall of unknown region counts as being in none.
    pub(crate) fn includes(&self, hall: &str) -> bool {
        let region = self.regions.of(hall);
        self.route.allow(region) && self.workspace.is_none_or(|homes| homes.allow(region))
    }
}
