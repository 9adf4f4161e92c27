//! Which daemons tell each other everything, and which pass on sums.
//!
//! A small fleet is one cell: every daemon hears every other one. A larger fleet is divided into
//! cells by hall, and a hall with many daemons into several. Within a cell daemons tell each other
//! their own loads; to each other cell a daemon has one contact, which it tells the sums of its
//! cell. What a daemon sends is so bounded by the size of a cell and the number of contacts, not by
//! the size of the fleet. Nothing is agreed upon: each daemon derives the division from the daemons
//! that it knows, and where two see it differently for a moment, a sum is late.

use crate::gateway::roster::Daemon;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Daemons up to which a fleet is one cell: twice the users' small deployments.
pub const ONE_CELL: usize = 14;
/// Daemons of one hall up to which the hall is one cell. A cell's heartbeats are its size squared.
pub const MOST_IN_CELL: usize = 20;
/// Other cells to which a daemon has a contact; further ones are heard through them.
pub const MOST_CONTACTS: usize = 8;

/// A cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    hall: Tag,
    part: u32,
}

/// How a daemon sees the fleet divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Its own cell.
    pub own: CellId,
    /// The daemons of its cell, itself not among them.
    pub near: HashSet<SocketAddr>,
    /// The daemons of other cells that it tells the sums of its own.
    pub contacts: HashSet<SocketAddr>,
    /// Whether the fleet is more than one cell.
    pub divided: bool,
}

impl Layout {
    /// The division of a fleet of `own` and `others`. Contacts that `is_silent` says don't answer are
    /// passed over where another daemon of their cell does.
    pub fn of(own: &Daemon, others: &[Daemon], is_silent: impl Fn(SocketAddr) -> bool) -> Layout {
        let divided = others.len() + 1 > ONE_CELL;
        let sizes = hall_sizes(own, others);
        let cell = |daemon: &Daemon| match divided {
            true => cell_of(daemon, sizes.get(daemon.hall.as_str()).copied().unwrap_or(1)),
            false => CellId { hall: Tag::of(""), part: 0 },
        };
        let mut cells: BTreeMap<CellId, Vec<&Daemon>> = BTreeMap::new();
        for daemon in others {
            cells.entry(cell(daemon)).or_default().push(daemon);
        }
        let own_cell = cell(own);
        let near = cells.remove(&own_cell).unwrap_or_default();
        let own_tag = Tag::of(&own.vm);
        let mut distant: Vec<(Tag, Vec<&Daemon>)> = cells
            .into_iter()
            .map(|(id, daemons)| (own_tag.with(id.hall.with(Tag::number(id.part.into()))), daemons))
            .collect();
        distant.sort_by_key(|(order, _)| *order);
        let contact = |daemons: &[&Daemon]| {
            let order = |d: &&&Daemon| (is_silent(d.peers), own_tag.with(Tag::of(&d.vm)));
            daemons.iter().min_by_key(order).map(|d| d.peers)
        };
        let contacts = distant.iter().take(MOST_CONTACTS);
        Layout {
            own: own_cell,
            near: near.into_iter().map(|d| d.peers).collect(),
            contacts: contacts.filter_map(|(_, daemons)| contact(daemons)).collect(),
            divided,
        }
    }
}

fn hall_sizes<'a>(own: &'a Daemon, others: &'a [Daemon]) -> HashMap<&'a str, usize> {
    let mut sizes = HashMap::new();
    for daemon in others.iter().chain([own]) {
        *sizes.entry(daemon.hall.as_str()).or_default() += 1;
    }
    sizes
}

fn cell_of(daemon: &Daemon, in_hall: usize) -> CellId {
    let parts = in_hall.div_ceil(MOST_IN_CELL).max(1) as u64;
    // Below the number of parts, which is small.
    let part = (Tag::of(&daemon.vm).value() % parts) as u32;
    CellId { hall: Tag::of(&daemon.hall), part }
}
