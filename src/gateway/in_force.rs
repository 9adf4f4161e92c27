//! The configuration in force, and how long ago it was known to be the newest.
//!
//! A version is never replaced by an older one. The store may lose versions that it had acknowledged, and then has an
//! older one until the operators write them again: across such a loss the versions' own numbers tell which is newer,
//! not the store's order. Its age is the time since it was confirmed at
//! the store, directly or by a peer that says how old its own confirmation is; all on this
//! process's steady clock, so that a process that was paused wakes to an old confirmation.

use crate::gateway::table::Table;
use crate::platform::Position;
use arc_swap::ArcSwapOption;
use std::cmp::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A version of the configuration and where it stands in the store's order.
#[derive(Debug, Clone)]
pub struct Declared {
    /// Where the store wrote it.
    pub position: Position,
    /// The declaration.
    pub table: Arc<Table>,
}

impl Declared {
    /// Whether it is to replace a version in force.
    fn is_newer(&self, known: &Declared) -> bool {
        let (era, known_era) = (self.position.era, known.position.era);
        let (version, known_version) = (self.table.version, known.table.version);
        match era.cmp(&known_era) {
            Ordering::Equal => self.position > known.position,
            Ordering::Greater => version >= known_version,
            // Lost by the store, and kept by a peer.
            Ordering::Less => version > known_version,
        }
    }
}

/// See the module.
#[derive(Default)]
pub struct InForce {
    declared: ArcSwapOption<Declared>,
    /// When the version in force was last known to be the newest.
    confirmed: Mutex<Option<Instant>>,
}

impl InForce {
    /// The version in force; `None` before the first one.
    pub fn get(&self) -> Option<Arc<Declared>> {
        self.declared.load_full()
    }

    /// Where the store wrote the version in force; the start before the first one.
    pub fn position(&self) -> Position {
        self.declared.load().as_ref().map_or(Position::START, |d| d.position)
    }

    /// Takes a version that was the newest at `seen`; an older one than that in force changes nothing.
    /// Says whether it came into force.
    pub fn take(&self, declared: Declared, as_of: Instant) -> bool {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        let newer = self.get().is_none_or(|known| declared.is_newer(&known));
        if newer {
            *confirmed = Some(as_of);
            self.declared.store(Some(Arc::new(declared)));
        }
        newer
    }

    /// Notes that the version written there was the newest at `seen`; it counts only for the version in force.
    pub fn confirm(&self, position: Position, as_of: Instant) {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        if position == self.position() && !position.is_start() {
            *confirmed = Some(confirmed.map_or(as_of, |at| at.max(as_of)));
        }
    }

    /// How long ago the version in force was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.lock().expect("no holder panics");
        confirmed.map(|at| now.saturating_duration_since(at))
    }
}
