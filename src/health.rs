//! Ejection of a backend server after failures in a row, with probing back, and retry budgets.

use std::time::{Duration, Instant};

const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_millis(1_000);
const LONGEST_EJECTION: Duration = Duration::from_millis(30_000);
/// Retries earned by each success.
const EARNED: f64 = 0.1;
/// Most retries saved up.
const MOST_SAVED: f64 = 20.0;

/// Failures of one backend server as this daemon saw them.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Health {
    /// Notes an exchange that went well.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Notes an exchange that failed; several in a row eject the server for a while.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT && self.usable(now) {
            let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(10));
            self.until = Some(now + length.min(LONGEST_EJECTION));
            self.ejections += 1;
            // One failure after the probe ejects again.
            self.failures = FAILURES_TO_EJECT - 1;
        }
    }

    /// Whether work may be sent.
    pub fn usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }
}

/// Retries allowed as a share of recent successes, so that failures make no storm.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Earns a share of a retry.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Spends one retry, if there is one.
    pub fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
