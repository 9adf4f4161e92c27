//! Whether connections to a server come about. One that could not be reached is passed over for a
//! while: it has most often gone, and where the store is away nothing else tells.

use std::time::{Duration, Instant};

/// Time for which a server that could not be reached is passed over; it doubles with each further
/// time. Most such servers have gone, and the store says so within seconds.
const SKIP_TIME: Duration = Duration::from_millis(500);
/// Longest such time: a server that is back after a cut is tried again within it.
const MAX_SKIP_TIME: Duration = Duration::from_secs(4);

/// What is known of one server's reach.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reachability {
    /// Until when it is passed over.
    skip_until: Option<Instant>,
    /// Times in a row that this daemon did not reach it.
    failures: u32,
    /// Until when it is known to refuse connections, here or at another daemon: all others would be
    /// refused as well.
    refusing_until: Option<Instant>,
}

impl Reachability {
    /// Whether the server is passed over.
    pub(crate) fn is_skipped(&self, now: Instant) -> bool {
        self.skip_until.is_some_and(|until| now < until)
    }

    /// No connection came about; `refused` says whether nothing listens there.
    pub(crate) fn connect_failed(&mut self, refused: bool, now: Instant) {
        let doubled = SKIP_TIME.saturating_mul(2u32.saturating_pow(self.failures));
        self.failures += 1;
        let until = now + doubled.min(MAX_SKIP_TIME);
        match refused {
            true => self.mark_refusing(until, now),
            false => self.skip_until = self.skip_until.max(Some(until)),
        }
    }

    /// The server is passed over until then, here or at another daemon, since it refuses connections.
    pub(crate) fn mark_refusing(&mut self, until: Instant, now: Instant) {
        if until > now {
            self.skip_until = self.skip_until.max(Some(until));
            self.refusing_until = self.refusing_until.max(Some(until));
        }
    }

    /// The server has answered.
    pub(crate) fn answered(&mut self) {
        *self = Reachability::default();
    }

    /// For how long other daemons should pass over the server as well; `None` where only this one may
    /// have lost it. Passed on from daemon to daemon it does not grow.
    pub(crate) fn for_peers(&self, now: Instant) -> Option<Duration> {
        let left = self.refusing_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
