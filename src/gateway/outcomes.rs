//! How recent exchanges with a server went. Daemons add up what they have seen: a server that resets
//! what it is sent looks free to each daemon that has not yet sent it anything, and in a large fleet
//! each of them would have to lose a request or two to learn of it.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Time in which what was seen counts half as much, so that a server is tried again.
const HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Sound exchanges that are assumed of every server besides those seen: one failure by itself makes
/// a server half as trusted, not useless.
const ASSUMED_SUCCESSES: f32 = 1.0;
/// Failures below which other daemons need not hear of a server: one that is over four half-lives old.
const REPORTED_FAILURES: f32 = 0.05;

/// Numbers of recent exchanges; older ones count as parts of one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// All of them.
    pub tried: f32,
    /// Those that failed.
    pub failed: f32,
}

impl AddAssign for Outcomes {
    fn add_assign(&mut self, other: Outcomes) {
        self.tried += other.tried;
        self.failed += other.failed;
    }
}

impl Outcomes {
    /// Share of failures to expect.
    pub fn failure_rate(self) -> f64 {
        f64::from(self.failed / (self.tried + ASSUMED_SUCCESSES))
    }

    /// Whether other daemons should hear of them.
    pub fn is_reportable(self) -> bool {
        self.failed >= REPORTED_FAILURES
    }
}

/// This daemon's own outcomes at one server.
#[derive(Debug, Clone, Copy)]
pub struct DecayingOutcomes {
    outcomes: Outcomes,
    /// The moment for which they hold.
    at: Instant,
}

impl DecayingOutcomes {
    /// None yet.
    pub fn new(now: Instant) -> DecayingOutcomes {
        DecayingOutcomes { outcomes: Outcomes::default(), at: now }
    }

    /// As they count now.
    pub fn decayed(&self, now: Instant) -> Outcomes {
        let elapsed = now.saturating_duration_since(self.at);
        let left = 0.5f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        Outcomes { tried: self.outcomes.tried * left, failed: self.outcomes.failed * left }
    }

    /// Notes one more exchange.
    pub fn record(&mut self, failed: bool, now: Instant) {
        let mut outcomes = self.decayed(now);
        outcomes += Outcomes { tried: 1.0, failed: if failed { 1.0 } else { 0.0 } };
        (self.outcomes, self.at) = (outcomes, now);
    }
}
