//! Quota at limited servers that is reserved for refused callers, who were given a time to retry at.
//!
//! Where no other server can take a request, its caller is refused at once, with the time at which there will
//! be quota for it. For that time to hold, newcomers must leave the reserved quota alone. Only half of the
//! growing quota may be reserved: callers who come back are served before newcomers, but some newcomers are
//! still served at once rather than all of them later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the growing quota that may be reserved.
const PROMISED_FRACTION: f64 = 0.5;
/// Longest wait before a caller comes back, as a fraction of the time that it has left.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Least time after which a caller without a reservation comes back: nothing would have changed sooner.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long a reservation outlasts its due time: covers the network delay and a new connection.
const ARRIVAL_GRACE: Duration = Duration::from_millis(300);

/// What this daemon may send to the limited servers of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quota {
    /// Requests that it may send now: the sum over servers, each rounded down.
    pub now: f64,
    /// Requests a second by which `now` grows.
    pub refill_rate: f64,
    /// Growth for all daemons together, in requests a second.
    pub total_rate: f64,
}

/// When a refused caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAdvice {
    /// Time to wait.
    pub after: Duration,
    /// When quota should be reserved for it; `None` where the wait would be too long for a reservation.
    pub due: Option<Instant>,
}

/// Reservations for one service.
#[derive(Debug, Default)]
pub struct Promises {
    /// When callers are to come back, earliest first.
    due: VecDeque<Instant>,
}

impl Promises {
    /// Whether a newcomer may use quota: there is more than is reserved for callers who come back before the
    /// next request's quota has grown.
    pub fn newcomer_may_use(&mut self, quota: Quota, now: Instant) -> bool {
        self.drop_expired(now);
        let ahead = Duration::try_from_secs_f64(1.0 / quota.refill_rate).unwrap_or(Duration::MAX);
        let soon = |due: &&Instant| due.saturating_duration_since(now) <= ahead;
        quota.now >= 1.0 + self.due.iter().filter(soon).count() as f64
    }

    /// Ends the earliest reservation: a caller has come back and uses its quota.
    pub fn fulfill_promise(&mut self, now: Instant) {
        self.drop_expired(now);
        self.due.pop_front();
    }

    /// When a caller that has the time `left` should come back. If it can wait until there is unreserved
    /// quota, that time is to be reserved. Else it gets no reservation, and comes back once all daemons
    /// together have had quota for `demand`, the requests that now come in a second.
    pub fn retry_advice(
        &mut self,
        quota: Quota,
        demand: f64,
        left: Duration,
        now: Instant,
    ) -> RetryAdvice {
        self.drop_expired(now);
        let wanted = (1.0 + self.due.len() as f64 - quota.now).max(0.0);
        let own = seconds(wanted / (quota.refill_rate * PROMISED_FRACTION));
        // Reservations are served in order, so this one is due no earlier than the last.
        let last = self.due.back().map_or(Duration::ZERO, |due| due.saturating_duration_since(now));
        let own = own.max(last);
        match own <= left.mul_f64(MAX_WAIT_FRACTION) {
            true => RetryAdvice { after: own, due: Some(now + own) },
            false => {
                let others = seconds(demand / quota.total_rate).max(MIN_RETRY_AFTER);
                RetryAdvice { after: own.min(others), due: None }
            }
        }
    }

    /// Reserves quota for a refused caller that should retry at `due`.
    pub fn reserve(&mut self, due: Instant) {
        let at = self.due.partition_point(|other| *other <= due);
        self.due.insert(at, due);
    }

    fn drop_expired(&mut self, now: Instant) {
        while self
            .due
            .front()
            .is_some_and(|due| now.saturating_duration_since(*due) > ARRIVAL_GRACE)
        {
            self.due.pop_front();
        }
    }
}

/// Converts seconds to a duration of at most an hour.
fn seconds(seconds: f64) -> Duration {
    const LONGEST: f64 = 3_600.0;
    Duration::from_secs_f64(if seconds.is_finite() { seconds.clamp(0.0, LONGEST) } else { LONGEST })
}
