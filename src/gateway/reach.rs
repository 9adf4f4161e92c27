//! Reachability of backend servers. A server to which no connection could be made is skipped for a while: it
//! has most likely gone, and while the store is unavailable nothing else shows that.

use std::time::{Duration, Instant};

/// How long an unreachable server is skipped; doubled with each further failure. Most such servers have gone,
/// and the store says so within seconds.
const SKIP_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the skip time, within which a server that is back after a network failure is tried again.
const MAX_SKIP_TIME: Duration = Duration::from_secs(4);

/// Failed connections to one server and how long it is skipped for them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reachability {
    /// Until when it is skipped.
    skip_until: Option<Instant>,
    /// Consecutive failures of this daemon to connect.
    failures: u32,
    /// Until when it is known to refuse connections, from this daemon or another: any other daemon would be
    /// refused as well.
    refusing_until: Option<Instant>,
}

impl Reachability {
    /// Whether the server is skipped.
    pub(crate) fn is_skipped(&self, now: Instant) -> bool {
        self.skip_until.is_some_and(|until| now < until)
    }

    /// Notes a failed connection; `refused` says that nothing listens at the address.
    pub(crate) fn connect_failed(&mut self, refused: bool, now: Instant) {
        let doubled = SKIP_TIME.saturating_mul(2u32.saturating_pow(self.failures));
        self.failures += 1;
        let until = now + doubled.min(MAX_SKIP_TIME);
        match refused {
            true => self.mark_refusing(until, now),
            false => self.skip_until = self.skip_until.max(Some(until)),
        }
    }

    /// Skips the server until then, since it refused a connection from this daemon or another.
    pub(crate) fn mark_refusing(&mut self, until: Instant, now: Instant) {
        if until > now {
            self.skip_until = self.skip_until.max(Some(until));
            self.refusing_until = self.refusing_until.max(Some(until));
        }
    }

    /// Resets the state after an answer of the server.
    pub(crate) fn answered(&mut self) {
        *self = Reachability::default();
    }

    /// For how long peers should skip the server as well; `None` where the network between it and this daemon
    /// alone may have failed. The time does not grow as it is passed on from daemon to daemon.
    pub(crate) fn for_peers(&self, now: Instant) -> Option<Duration> {
        let left = self.refusing_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
