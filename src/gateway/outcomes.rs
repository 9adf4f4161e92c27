//! Outcomes of recent exchanges with a server. Daemons share and add up their counts: a server that resets
//! every request looks idle to each daemon that has not sent it anything, and in a large fleet each daemon
//! would have to lose a request or two to find out.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Half-life of an outcome's weight; the decay lets a failing server be tried again.
const HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Successes that are added to those observed, so that a single failure gives a failure rate of one half and
/// not of one.
const ASSUMED_SUCCESSES: f32 = 1.0;
/// Weight of failures from which a server's outcomes are reported to peers: a single failure drops below it a
/// little after four half-lives.
const REPORTED_FAILURES: f32 = 0.05;

/// Counts of recent exchanges, each weighted by its age.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// All exchanges.
    pub tried: f32,
    /// Failed exchanges.
    pub failed: f32,
}

impl AddAssign for Outcomes {
    fn add_assign(&mut self, other: Outcomes) {
        self.tried += other.tried;
        self.failed += other.failed;
    }
}

impl Outcomes {
    /// Expected fraction of exchanges that fail.
    pub fn failure_rate(self) -> f64 {
        f64::from(self.failed / (self.tried + ASSUMED_SUCCESSES))
    }

    /// Whether these outcomes should be reported to peers.
    pub fn is_reportable(self) -> bool {
        self.failed >= REPORTED_FAILURES
    }
}

/// Outcomes of this daemon's exchanges with one server, which decay with time.
#[derive(Debug, Clone, Copy)]
pub struct DecayingOutcomes {
    outcomes: Outcomes,
    /// The time to which `outcomes` is decayed.
    at: Instant,
}

impl DecayingOutcomes {
    /// Starts without any outcomes.
    pub fn new(now: Instant) -> DecayingOutcomes {
        DecayingOutcomes { outcomes: Outcomes::default(), at: now }
    }

    /// Returns the outcomes decayed to `now`.
    pub fn decayed(&self, now: Instant) -> Outcomes {
        let elapsed = now.saturating_duration_since(self.at);
        let left = 0.5f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        Outcomes { tried: self.outcomes.tried * left, failed: self.outcomes.failed * left }
    }

    /// Adds one exchange.
    pub fn record(&mut self, failed: bool, now: Instant) {
        let mut outcomes = self.decayed(now);
        outcomes += Outcomes { tried: 1.0, failed: if failed { 1.0 } else { 0.0 } };
        (self.outcomes, self.at) = (outcomes, now);
    }
}
