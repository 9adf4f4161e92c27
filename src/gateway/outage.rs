//! Detects outages of the platform's store from what all daemons report.
//!
//! That one daemon gets no answers proves nothing: its copy may be late, its link full, or its process
//! may have been paused. An outage is assumed if no daemon is known to have had an answer for a while
//! and a read of some daemon is known to have failed in that time.

use std::time::{Duration, Instant};

/// Time without an answer to any daemon after which failed reads count as an outage. A server's entry
/// expires after three missed heartbeats, which are over a second apart, so that a shorter outage makes
/// no entry expire.
const OUTAGE_TIME: Duration = Duration::from_millis(1_500);

/// The answers and failures of the store that are known; see the module.
#[derive(Debug, Default)]
pub struct Outages {
    /// The last moment at which the store is known to have answered a daemon.
    last_answer: Option<Instant>,
    /// The last moment at which a read by any daemon is known to have failed.
    last_failure: Option<Instant>,
    /// When the end of the last outage became known.
    last_recovery: Option<Instant>,
    /// The longest time between two known answers since the last call of `take_longest_gap`.
    longest_gap: Duration,
}

impl Outages {
    /// Records at `now` that the store answered some daemon at `at`.
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

    /// Records that a read by some daemon failed at `at`.
    pub fn note_failure(&mut self, at: Instant) {
        self.last_failure = self.last_failure.max(Some(at));
    }

    /// Records that the store was restored from a backup, which may lack the latest writes.
    pub fn note_restored(&mut self, now: Instant) {
        self.last_recovery = Some(now);
    }

    /// Whether the store currently answers no daemon, as far as known.
    pub fn is_unreachable(&self) -> bool {
        self.last_failure > self.last_answer
    }

    /// When a read by any daemon last failed, as far as known.
    pub fn last_failure(&self) -> Option<Instant> {
        self.last_failure
    }

    /// When the end of the last outage became known; `None` if there was none.
    pub fn last_recovery(&self) -> Option<Instant> {
        self.last_recovery
    }

    /// The longest time between two known answers since the last call.
    pub fn take_longest_gap(&mut self) -> Duration {
        std::mem::take(&mut self.longest_gap)
    }
}
