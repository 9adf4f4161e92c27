//! The division of a fleet into cells: which daemons exchange their own figures, and which forward
//! sums.
//!
//! A small fleet is one cell, in which every daemon sends heartbeats to every other one. A larger
//! fleet is divided into cells by hall, and a hall with many daemons into several cells of even
//! size. Within a cell, daemons report their own loads to each other. One daemon of each cell, its
//! relay, sends the sum of the cell to the relays of the hall's other cells. For each other hall,
//! the relay of one cell sends the sum of its hall to a relay there. Each relay forwards to its
//! cell what it receives. A daemon that others mistake for the relay forwards what they send to the
//! actual one. So the number of a daemon's messages is bounded by the size of a cell, that of a
//! relay's also by the number of halls, and only one pair of daemons communicates between each pair
//! of halls.
//!
//! No consensus is needed: each daemon derives the division from the daemons that it knows and
//! reports its own cell; the others count it in that cell only.

use crate::gateway::roster::Daemon;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Maximum size of a fleet that is one cell, below [`MAX_CELL_SIZE`]: twice the size of the small
/// deployments.
pub const MAX_UNDIVIDED: usize = 14;
/// Maximum number of daemons in a cell. The number of heartbeats within a cell grows with the
/// square of its size.
pub const MAX_CELL_SIZE: usize = 20;

/// Identifies a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The tag of the hall's name; that of the empty string if the whole fleet is one cell.
    pub hall: Tag,
    index: u32,
}

/// The division of the fleet as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// The daemon's own cell.
    pub own_cell: CellId,
    /// The other daemons of its cell.
    pub cell_peers: HashSet<SocketAddr>,
    /// The cell's relay, if that is another daemon.
    pub relay: Option<SocketAddr>,
    /// The relays of the hall's other cells, which a relay sends the sum of its cell.
    pub sibling_relays: HashSet<SocketAddr>,
    /// The relays in other halls that this daemon sends the sum of its hall.
    pub hall_relays: HashSet<SocketAddr>,
    /// Whether the fleet has more than one cell.
    pub divided: bool,
}

impl Layout {
    /// Computes the layout of a fleet that consists of `own` and `others`. The relay of a cell is
    /// its best-ranked daemon that is not silent.
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

    /// Whether the daemon is the relay of its cell.
    pub fn is_relay(&self) -> bool {
        self.divided && self.relay.is_none()
    }

    /// All daemons that this one chooses to send heartbeats to.
    pub fn partners(&self) -> impl Iterator<Item = SocketAddr> {
        self.cell_peers.iter().chain(&self.sibling_relays).chain(&self.hall_relays).copied()
    }
}

/// The daemons of each other hall.
fn other_halls<'a>(own: &Daemon, others: &'a [Daemon]) -> BTreeMap<Tag, Vec<&'a Daemon>> {
    let mut halls: BTreeMap<Tag, Vec<&Daemon>> = BTreeMap::new();
    for daemon in others.iter().filter(|d| d.hall != own.hall) {
        halls.entry(Tag::of(&daemon.hall)).or_default().push(daemon);
    }
    halls
}

/// The first daemon of each other hall, in an order that depends on the server. It is also the
/// first daemon of its cell in that order, however the hall is divided.
pub fn first_in_each_hall(own: &Daemon, others: &[Daemon], server: Tag) -> Vec<SocketAddr> {
    let halls = other_halls(own, others).into_values();
    let first = |daemons: Vec<&Daemon>| {
        let first = daemons.into_iter().min_by_key(|d| Tag::of(&d.vm).combined_with(server));
        first.map(|daemon| daemon.peers)
    };
    halls.filter_map(first).collect()
}

/// The order in which a cell's daemons become its relay and read the store for the others: stronger
/// ones first. Each server writes about 0.4 kB a second to the store, so reading the records of
/// thousands of servers exceeds the link of a small VM.
pub(crate) fn rank(daemon: &Daemon) -> (Reverse<u32>, Tag) {
    (Reverse(daemon.strength), Tag::of(&daemon.vm))
}

/// Divides the daemons of a hall, or of an undivided fleet, into cells of even size in the order of
/// their tags. A daemon that joins or leaves moves at most one daemon between two neighbouring
/// cells.
fn cells(mut daemons: Vec<&Daemon>) -> Vec<Vec<&Daemon>> {
    daemons.sort_by_cached_key(|d| Tag::of(&d.vm));
    let count = daemons.len().div_ceil(MAX_CELL_SIZE).max(1);
    let bound = |i: usize| daemons.len() * i / count;
    (0..count).map(|i| daemons[bound(i)..bound(i + 1)].to_vec()).collect()
}

/// The daemon of another cell that sums are sent to: its relay, as far as this daemon can tell.
fn presumed_relay(cell: &[&Daemon], is_silent: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
    cell.iter().min_by_key(|d| (is_silent(d.peers), rank(d))).map(|d| d.peers)
}

/// A number for a pair of halls, independent of their order. It selects the cells whose relays
/// exchange the sums of the two halls.
fn pair_hash(one: Tag, other: Tag) -> u64 {
    one.min(other).combined_with(one.max(other)).value()
}
