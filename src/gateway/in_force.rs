//! The configuration in force, and how long ago it was known to be the newest.
//!
//! A version is never replaced by an older one. Its age is the time since it was confirmed at
//! the store, directly or by a peer that says how old its own confirmation is; all on this
//! process's steady clock, so that a process that was paused wakes to an old confirmation.

use crate::gateway::table::Table;
use arc_swap::ArcSwapOption;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A version of the configuration and where it stands in the store's order.
#[derive(Debug, Clone)]
pub struct Declared {
    /// The store's revision that wrote it.
    pub revision: u64,
    /// The declaration.
    pub table: Arc<Table>,
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

    /// The store's revision of the version in force; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.declared.load().as_ref().map_or(0, |d| d.revision)
    }

    /// Takes a version that was the newest at `seen`; an older one than that in force changes nothing.
    /// Says whether it came into force.
    pub fn take(&self, declared: Declared, seen: Instant) -> bool {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        let newer = declared.revision > self.revision();
        if newer {
            *confirmed = Some(seen);
            self.declared.store(Some(Arc::new(declared)));
        }
        newer
    }

    /// Notes that `revision` was the newest at `seen`; it counts only for the version in force.
    pub fn confirm(&self, revision: u64, seen: Instant) {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        if revision == self.revision() && revision > 0 {
            *confirmed = Some(confirmed.map_or(seen, |at| at.max(seen)));
        }
    }

    /// How long ago the version in force was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.lock().expect("no holder panics");
        confirmed.map(|at| now.saturating_duration_since(at))
    }
}
