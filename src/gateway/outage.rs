//! Whether the platform's store was away, from what all daemons know of it.
//!
//! A daemon's own silence proves nothing: its copy may be late, its link full, or its process may have
//! been paused. The store counts as having been away where no daemon is known to have had an answer
//! for a while and some daemon is known to have asked in vain meanwhile.

use std::time::{Duration, Instant};

/// Time without an answer to any daemon from which failed reads mean that the store was away. An entry
/// lapses after three silent heartbeats of its server, which are over a second apart, so that a shorter
/// time makes none lapse.
const OUTAGE_TIME: Duration = Duration::from_millis(1_500);

/// See the module.
#[derive(Debug, Default)]
pub struct Outages {
    /// The last moment at which the store is known to have answered a daemon.
    last_answer: Option<Instant>,
    /// The last moment at which a read by any daemon is known to have failed.
    last_failure: Option<Instant>,
    /// When the store was known to be back from its last absence.
    last_recovery: Option<Instant>,
    /// The longest time without a known answer since it was last asked for.
    longest_gap: Duration,
}

impl Outages {
    /// Notes at `now` that the store answered some daemon at `at`.
    pub fn note_answer(&mut self, at: Instant, now: Instant) {
        if let Some(before) = self.last_answer {
            let gap = at.saturating_duration_since(before);
            self.longest_gap = self.longest_gap.max(gap);
            if gap > OUTAGE_TIME && self.last_failure.is_some_and(|failed| failed > before) {
                self.last_recovery = Some(now);
            }
        }
        self.last_answer = self.last_answer.max(Some(at));
    }

    /// Notes that a read by some daemon failed at `at`.
    pub fn note_failure(&mut self, at: Instant) {
        self.last_failure = self.last_failure.max(Some(at));
    }

    /// Notes that the store is back from an older copy of itself, which may lack what was written since.
    pub fn note_restored(&mut self, now: Instant) {
        self.last_recovery = Some(now);
    }

    /// Whether the store answers no daemon at present, as far as known.
    pub fn is_unreachable(&self) -> bool {
        self.last_failure > self.last_answer
    }

    /// When a read by any daemon last failed, as far as known.
    pub fn last_failure(&self) -> Option<Instant> {
        self.last_failure
    }

    /// When the store was last known to be back; `None` where it was never away.
    pub fn last_recovery(&self) -> Option<Instant> {
        self.last_recovery
    }

    /// The longest time without a known answer since the last call.
    pub fn take_longest_gap(&mut self) -> Duration {
        std::mem::take(&mut self.longest_gap)
    }
}
