//! The configuration in force, and how long ago it was confirmed to be the newest.
//!
//! A version is never replaced by an older one. A restored store may have lost versions that it had
//! acknowledged, until the operators write them again: across eras the version numbers decide which is
//! newer, not the store's positions. The age is the time since the version was confirmed by the store,
//! directly or through a peer that states the age of its own confirmation. It is measured on this
//! process's monotonic clock, so that a process that was paused sees an old confirmation when it
//! resumes.
//!
//! A daemon may know that a newer version exists before it has received that version. For a time it goes on with
//! the one in force, but rejects no request for good by it; after that it handles no request, as the newer version
//! may send it elsewhere.

use crate::gateway::behind::Behind;
use crate::gateway::table::Table;
use crate::platform::Position;
use arc_swap::ArcSwapOption;
use std::cmp::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A version of the configuration and the position of its write in the store.
#[derive(Debug, Clone)]
pub struct DeclaredConfig {
    /// The position of its write.
    pub position: Position,
    /// The parsed configuration.
    pub table: Arc<Table>,
}

impl DeclaredConfig {
    /// Whether it replaces the version `known`.
    fn is_newer(&self, known: &DeclaredConfig) -> bool {
        let (era, known_era) = (self.position.era, known.position.era);
        let (version, known_version) = (self.table.version, known.table.version);
        match era.cmp(&known_era) {
            Ordering::Equal => self.position > known.position,
            Ordering::Greater => version >= known_version,
            // A version that the store has lost and a peer has retained.
            Ordering::Less => version > known_version,
        }
    }
}

/// Fraction of the time within which a version must be in force for which the version before it is used once it is
/// known to be replaced. The rest covers the time until this becomes known.
const REPLACED_FRACTION: f64 = 0.5;

/// The configuration in force; see the module.
#[derive(Default)]
pub struct InForce {
    declared: ArcSwapOption<DeclaredConfig>,
    /// When the version in force was last confirmed to be the newest.
    confirmed: Mutex<Option<Instant>>,
    /// Newer versions that are known to exist.
    announced: Mutex<Behind>,
    /// Time within which a version must be in force; `None` if there is no bound.
    change_delay: Mutex<Option<Duration>>,
}

impl InForce {
    /// The version in force; `None` before the first one.
    pub fn get(&self) -> Option<Arc<DeclaredConfig>> {
        self.declared.load_full()
    }

    /// The position of the version in force; the start before the first one.
    pub fn position(&self) -> Position {
        self.declared.load().as_ref().map_or(Position::START, |d| d.position)
    }

    /// Puts a version into force that was the newest at `as_of`, unless it is older than the current
    /// one. Returns whether it came into force.
    pub fn set_if_newer(&self, declared: DeclaredConfig, as_of: Instant) -> bool {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        let is_newer = self.get().is_none_or(|known| declared.is_newer(&known));
        if is_newer {
            *confirmed = Some(as_of);
            self.declared.store(Some(Arc::new(declared)));
        }
        is_newer
    }

    /// Sets the time within which a version must be in force.
    pub fn set_change_delay(&self, delay: Option<Duration>) {
        *self.change_delay.lock().expect("no holder panics") = delay;
    }

    /// Records at `now` that a version was written at `position`.
    pub fn announce(&self, position: Position, now: Instant) {
        if position > self.position() {
            self.announced().report(position, now);
        }
    }

    /// Records that the version in force is the newest of those written up to `position`.
    pub fn reach(&self, position: Position) {
        self.announced().reach(position);
    }

    /// Whether the version in force is known to be replaced.
    pub fn is_replaced(&self, now: Instant) -> bool {
        self.announced().delay(now).is_some()
    }

    /// Whether the version in force is known to be replaced for so long that no request is handled by it.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let limit = *self.change_delay.lock().expect("no holder panics");
        let limit = limit.map(|limit| limit.mul_f64(REPLACED_FRACTION));
        let delay = self.announced().delay(now);
        delay.is_some_and(|delay| limit.is_some_and(|limit| delay.time > limit))
    }

    fn announced(&self) -> MutexGuard<'_, Behind> {
        self.announced.lock().expect("no holder panics")
    }

    /// Records that the version at `position` was the newest at `as_of`; ignored unless that version is
    /// in force.
    pub fn confirm(&self, position: Position, as_of: Instant) {
        let mut confirmed = self.confirmed.lock().expect("no holder panics");
        if position == self.position() && !position.is_start() {
            *confirmed = Some(confirmed.map_or(as_of, |at| at.max(as_of)));
        }
    }

    /// Time since the version in force was last confirmed to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed.lock().expect("no holder panics");
        confirmed.map(|at| now.saturating_duration_since(at))
    }
}
