//! The bounded queue of one pool in one daemon: priority between classes, fair shares between workspaces.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// Identifies a waiting entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Low for high priorities.
    rank: u8,
    /// Virtual start time of the workspace, in cost per share.
    start: u64,
    /// Order of arrival.
    order: u64,
}

/// What waits.
#[derive(Debug)]
pub struct Entry<T> {
    /// What it is.
    pub item: T,
    /// Since when.
    pub since: Instant,
    /// Its cost in tokens.
    pub cost: u64,
}

/// How an entry is ranked.
#[derive(Debug, Clone, Copy)]
pub struct Rank<'a> {
    /// Higher goes first.
    pub priority: u8,
    /// Whose share it counts against.
    pub workspace: &'a str,
    /// Weight of the workspace.
    pub share: u32,
    /// Expected cost in tokens.
    pub cost: u64,
}

/// What became of a newcomer.
#[derive(Debug)]
pub enum Pushed<T> {
    /// It waits.
    Waits(Ticket),
    /// It waits, and this one of lower rank was shed for it.
    Instead(Ticket, T),
    /// It was shed itself.
    Shed(T),
}

/// The queue.
#[derive(Debug)]
pub struct Queue<T> {
    entries: BTreeMap<Ticket, Entry<T>>,
    finish: HashMap<String, u64>,
    virtual_now: u64,
    arrivals: u64,
    cost: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue {
            entries: BTreeMap::new(),
            finish: HashMap::new(),
            virtual_now: 0,
            arrivals: 0,
            cost: 0,
        }
    }
}

/// Scale of virtual time, so that shares divide evenly.
const SCALE: u64 = 1_000;

impl<T> Queue<T> {
    /// Adds an entry; past `most` entries the lowest ranked is shed.
    pub fn push(&mut self, item: T, rank: Rank<'_>, most: usize, now: Instant) -> Pushed<T> {
        self.arrivals += 1;
        let earlier = self.finish.get(rank.workspace).copied().unwrap_or(0);
        let start = earlier.max(self.virtual_now);
        let ticket = Ticket { rank: u8::MAX - rank.priority, start, order: self.arrivals };
        if self.entries.len() >= most {
            let last = self.entries.last_key_value().map(|(t, _)| *t);
            match last {
                Some(last) if ticket < last => {
                    let shed = self.remove(last).expect("found above");
                    self.insert(ticket, item, rank, now);
                    return Pushed::Instead(ticket, shed.item);
                }
                _ => return Pushed::Shed(item),
            }
        }
        self.insert(ticket, item, rank, now);
        Pushed::Waits(ticket)
    }

    fn insert(&mut self, ticket: Ticket, item: T, rank: Rank<'_>, now: Instant) {
        let cost = rank.cost.max(1);
        self.finish.insert(
            rank.workspace.to_string(),
            ticket.start + cost * SCALE / u64::from(rank.share.max(1)),
        );
        self.cost += cost;
        self.entries.insert(ticket, Entry { item, since: now, cost });
    }

    /// The first entries in order, at most `most`.
    pub fn first(&self, most: usize) -> impl Iterator<Item = (Ticket, &Entry<T>)> {
        self.entries.iter().take(most).map(|(t, e)| (*t, e))
    }

    /// One entry.
    pub fn get(&self, ticket: Ticket) -> Option<&Entry<T>> {
        self.entries.get(&ticket)
    }

    /// Takes an entry out to be served.
    pub fn serve(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        self.virtual_now = self.virtual_now.max(ticket.start);
        let entry = self.remove(ticket);
        if self.entries.is_empty() {
            // Nobody waits: earlier use no longer counts.
            self.finish.clear();
            self.virtual_now = 0;
        }
        entry
    }

    /// Takes an entry out that gave up.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.cost -= entry.cost;
        Some(entry)
    }

    /// Drops all that wait.
    pub fn clear(&mut self) {
        *self = Queue { arrivals: self.arrivals, ..Queue::default() };
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Cost of all that waits, in tokens.
    pub fn cost(&self) -> u64 {
        self.cost
    }
}
