//! Which daemons tell each other everything, and which pass on sums.
//!
//! A small fleet is one cell: every daemon hears every other one. A larger fleet is divided into
//! cells by hall, and a hall with many daemons into several of even size. Within a cell daemons tell
//! each other their own loads. One daemon of each cell, its relay, tells the sum of the cell to the
//! relays of the hall's other cells; for each other hall, the relay of one cell tells the sum of the
//! hall to a relay there; and each relay passes on to its cell what it hears. A daemon that others take
//! for a relay gives what it is told to the one that is. So a daemon's messages
//! are bounded by the size of a cell, a relay's also by the number of halls, and each pair of halls is
//! crossed by one pair of daemons.
//!
//! Nothing is agreed upon: each daemon derives the division from the daemons that it knows, and
//! says in which cell it sees itself; it counts there and nowhere else.

use crate::gateway::roster::Daemon;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Daemons up to which a fleet is one cell, below [`MAX_CELL_SIZE`]: twice the users' small deployments.
pub const MAX_UNDIVIDED: usize = 14;
/// Daemons of one hall up to which the hall is one cell. A cell's heartbeats are its size squared.
pub const MAX_CELL_SIZE: usize = 20;

/// A cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The hall's name; no name where the whole fleet is one cell.
    pub hall: Tag,
    index: u32,
}

/// How a daemon sees the fleet divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Its own cell.
    pub own_cell: CellId,
    /// The daemons of its cell, itself not among them.
    pub cell_peers: HashSet<SocketAddr>,
    /// The cell's relay where that is another daemon.
    pub relay: Option<SocketAddr>,
    /// Relays of the hall's other cells, which a relay tells the sum of its own.
    pub sibling_relays: HashSet<SocketAddr>,
    /// Relays in other halls, which it tells the sum of its hall.
    pub hall_relays: HashSet<SocketAddr>,
    /// Whether the fleet is more than one cell.
    pub divided: bool,
}

impl Layout {
    /// The division of a fleet of `own` and `others`. A cell's relay is its strongest daemon of which
    /// `is_silent` does not say that it doesn't answer.
    pub fn of(own: &Daemon, others: &[Daemon], is_silent: impl Fn(SocketAddr) -> bool) -> Layout {
        let divided = others.len() + 1 > MAX_UNDIVIDED;
        let in_hall = others.iter().filter(|d| !divided || d.hall == own.hall).chain([own]);
        let cells = cells(in_hall.collect());
        let index = cells.iter().position(|cell| cell.iter().any(|d| d.vm == own.vm)).unwrap_or(0);
        let near: Vec<&Daemon> = cells[index].iter().copied().filter(|d| d.vm != own.vm).collect();
        let better_ranked = near.iter().filter(|d| !is_silent(d.peers) && rank(d) < rank(own));
        let relay = better_ranked.min_by_key(|d| rank(d)).map(|d| d.peers).filter(|_| divided);
        let hall = Tag::of(if divided { &own.hall } else { "" });
        let mut layout = Layout {
            // Halls have far fewer cells than 2^32.
            own_cell: CellId { hall, index: index as u32 },
            cell_peers: near.into_iter().map(|d| d.peers).collect(),
            relay,
            sibling_relays: HashSet::new(),
            hall_relays: HashSet::new(),
            divided,
        };
        if layout.is_relay() {
            let siblings = cells.iter().enumerate().filter(|(i, _)| *i != index);
            layout.sibling_relays =
                siblings.filter_map(|(_, cell)| presumed_relay(cell, &is_silent)).collect();
            let pairs = other_halls(own, others)
                .into_iter()
                .map(|(other, daemons)| (pair_hash(hall, other), daemons))
                .filter(|(hash, _)| hash % cells.len() as u64 == index as u64);
            let relays = pairs.filter_map(|(hash, daemons)| {
                let their_cells = self::cells(daemons);
                presumed_relay(&their_cells[(hash % their_cells.len() as u64) as usize], &is_silent)
            });
            layout.hall_relays = relays.collect();
        }
        layout
    }

    /// Whether it is the relay of its cell.
    pub fn is_relay(&self) -> bool {
        self.divided && self.relay.is_none()
    }

    /// All daemons that this one tells something unasked.
    pub fn partners(&self) -> impl Iterator<Item = SocketAddr> {
        self.cell_peers.iter().chain(&self.sibling_relays).chain(&self.hall_relays).copied()
    }
}

/// The daemons of each hall but the own.
fn other_halls<'a>(own: &Daemon, others: &'a [Daemon]) -> BTreeMap<Tag, Vec<&'a Daemon>> {
    let mut halls: BTreeMap<Tag, Vec<&Daemon>> = BTreeMap::new();
    for daemon in others.iter().filter(|d| d.hall != own.hall) {
        halls.entry(Tag::of(&daemon.hall)).or_default().push(daemon);
    }
    halls
}

/// The first daemon of each hall but the own, in an order that each server has of its own. It is also the first of
/// its cell, however the hall is divided.
pub fn first_in_each_hall(own: &Daemon, others: &[Daemon], server: Tag) -> Vec<SocketAddr> {
    let halls = other_halls(own, others).into_values();
    let first = |daemons: Vec<&Daemon>| {
        let first = daemons.into_iter().min_by_key(|d| Tag::of(&d.vm).combined_with(server));
        first.map(|daemon| daemon.peers)
    };
    halls.filter_map(first).collect()
}

/// The order of a cell's daemons as its relay, and as the one that reads the store for all: strong ones
/// first. A fleet's servers write some 0.4 kB a second each, which is more than a small VM's link carries
/// where there are thousands.
pub(crate) fn rank(daemon: &Daemon) -> (Reverse<u32>, Tag) {
    (Reverse(daemon.strength), Tag::of(&daemon.vm))
}

/// The cells of one hall, or of a fleet that is one cell: parts of even size of its daemons in the order of
/// their names' tags, so that one that comes or goes moves at most one daemon between two parts.
fn cells(mut daemons: Vec<&Daemon>) -> Vec<Vec<&Daemon>> {
    daemons.sort_by_cached_key(|d| Tag::of(&d.vm));
    let count = daemons.len().div_ceil(MAX_CELL_SIZE).max(1);
    let bound = |i: usize| daemons.len() * i / count;
    (0..count).map(|i| daemons[bound(i)..bound(i + 1)].to_vec()).collect()
}

/// The daemon of a cell that is told its sums: its relay, as far as this daemon can tell.
fn presumed_relay(cell: &[&Daemon], is_silent: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
    cell.iter().min_by_key(|d| (is_silent(d.peers), rank(d))).map(|d| d.peers)
}

/// A number for a pair of halls, the same seen from both: it chooses the cells whose relays cross.
fn pair_hash(one: Tag, other: Tag) -> u64 {
    one.min(other).combined_with(one.max(other)).value()
}
