//! Room at servers in need that is kept for callers who were told to come back.
//!
//! Where no other server can take a request, its caller is refused at once and told when there is room for
//! it. That is true only if the room is then still there, so newcomers leave it. Half of what comes free may be
//! promised: the callers who come back are served before those who ask for the first time, and of those who
//! ask for the first time some are still served at once rather than all of them later.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the room that comes free which may be promised.
const PROMISED_FRACTION: f64 = 0.5;
/// Part of the time that a caller has left for which it waits at most before it comes back.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Least time after which a caller for whom no room is kept comes back: sooner it would find what it left.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time for which room is kept for a caller that is late: its way here, and a new connection.
const ARRIVAL_GRACE: Duration = Duration::from_millis(300);

/// What this daemon may send to the servers in need of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Quota {
    /// Requests that it may send now, whole ones of each server.
    pub now: f64,
    /// Requests a second by which that grows.
    pub refill_rate: f64,
    /// The same for all daemons together.
    pub total_rate: f64,
}

/// When a caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAdvice {
    /// After so long.
    pub after: Duration,
    /// When room is to be kept for it, once it is told so; `None` where it would not wait.
    pub due: Option<Instant>,
}

/// Room of one service that was promised.
#[derive(Debug, Default)]
pub struct Promises {
    /// When callers are to come back, in order.
    due: VecDeque<Instant>,
}

impl Promises {
    /// Whether a newcomer may use the room: it is not needed for callers who come back before there is more.
    pub fn newcomer_may_use(&mut self, quota: Quota, now: Instant) -> bool {
        self.drop_expired(now);
        let ahead = Duration::try_from_secs_f64(1.0 / quota.refill_rate).unwrap_or(Duration::MAX);
        let soon = |due: &&Instant| due.saturating_duration_since(now) <= ahead;
        quota.now >= 1.0 + self.due.iter().filter(soon).count() as f64
    }

    /// A caller who was refused before has come and takes room.
    pub fn fulfill_promise(&mut self, now: Instant) {
        self.drop_expired(now);
        self.due.pop_front();
    }

    /// When a caller that has so much time left should come back. Room is to be kept for it where it would wait
    /// for that; else it is told when what comes in a second now, `demand`, has been taken by all daemons
    /// together.
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
        // Each promise comes after the one before it.
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

    /// Keeps room for a caller that was told to come back then.
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

/// So many seconds, an hour at most.
fn seconds(seconds: f64) -> Duration {
    const LONGEST: f64 = 3_600.0;
    Duration::from_secs_f64(if seconds.is_finite() { seconds.clamp(0.0, LONGEST) } else { LONGEST })
}
