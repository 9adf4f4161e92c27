//! Cold servers: one that has just started handles fewer requests a second, and crashes under many more.
//!
//! The bound applies to all daemons together, and a server is cold for only about a second: too short for
//! daemons to exchange counts. So each daemon has a fixed share that needs no communication. Daemons rank
//! themselves by name. A cold server takes requests from as many daemons as the bound allows requests,
//! counted from a start position that differs from server to server. Among hundreds of daemons, each
//! therefore sends to few cold servers, and each cold server gets requests from few daemons. Shares in
//! proportion to recent demand would be larger where daemons are loaded unevenly, but rely on messages that
//! are late exactly when all daemons start at once or are partitioned.

use crate::gateway::tag::Tag;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time window over which requests are counted against the bound.
const WINDOW: Duration = Duration::from_secs(1);
/// Fraction of the bound that is used. The rest covers requests that were sent over more than a second and
/// arrive within one, and daemons that briefly disagree about the list of daemons.
const USED_FRACTION: f64 = 0.7;
/// Longest delay until a server's entry shows that it is cold: servers write their entry every 1.2 s, and a
/// change takes up to 0.8 s to arrive from the store.
const REPORT_DELAY: Duration = Duration::from_millis(2_000);

/// How servers of a service warm up.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct WarmUp {
    /// How long a server is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold one can handle.
    pub rate: f64,
}

impl WarmUp {
    /// Whether servers have a cold phase at all.
    fn is_enabled(self) -> bool {
        !self.time.is_zero() && self.rate > 0.0
    }
}

/// How far the platform tolerates more than a cold server's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor by which the rate is multiplied.
    pub excess: f64,
    /// Requests a second that are added.
    pub slack: f64,
}

impl Default for ColdBounds {
    /// Allows no more than the rate.
    fn default() -> ColdBounds {
        ColdBounds { excess: 1.0, slack: 0.0 }
    }
}

/// Position of this daemon, by name, among all daemons that may send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Number of daemons that come before it by name.
    pub before: usize,
    /// Number of daemons, this one included.
    pub daemons: usize,
}

impl Default for Rank {
    /// The rank of the only daemon.
    fn default() -> Rank {
        Rank { before: 0, daemons: 1 }
    }
}

impl Rank {
    /// Requests a second that this daemon may send to a cold server.
    pub fn share(self, server: Tag, warm_up: WarmUp, bounds: ColdBounds) -> usize {
        let all = (warm_up.rate * bounds.excess + bounds.slack) * USED_FRACTION;
        let all = all as usize;
        let daemons = self.daemons.max(1);
        let place = self.position(server);
        // The remainder goes to the first daemons, counted from the server's start position.
        all / daemons + usize::from(place < all % daemons)
    }

    /// Position of this daemon, counted from a start position that depends on the server.
    fn position(self, server: Tag) -> usize {
        let daemons = self.daemons.max(1);
        let first = (server.value() % daemons as u64) as usize;
        (self.before + daemons - first) % daemons
    }

    /// Position of this daemon as a fraction of all positions.
    pub fn phase(self, server: Tag) -> f64 {
        self.position(server) as f64 / self.daemons.max(1) as f64
    }
}

/// What is known about whether a server is cold.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cold {
    /// Until when it is cold by its own report.
    until: Option<Instant>,
    /// When it may have started without having reported it.
    maybe_since: Option<Instant>,
    /// Whether a connection has failed since its last answer: it may be restarting.
    unreachable: bool,
}

impl Cold {
    /// Takes in the server's report, made before `now`, of how long it stays cold.
    pub(crate) fn reported(&mut self, left: Duration, now: Instant) {
        // A duration that overflows the clock is ignored.
        let until = now.checked_add(left).filter(|until| *until > now);
        self.until = self.until.max(until);
    }

    /// Notes that the server may just have started.
    pub(crate) fn note_started(&mut self, now: Instant) {
        self.maybe_since = Some(now);
    }

    /// Notes a failed connection.
    pub(crate) fn note_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Notes an answer; one after a failed connection may come from a restarted server.
    pub(crate) fn note_answer(&mut self, now: Instant) {
        if std::mem::take(&mut self.unreachable) {
            self.note_started(now);
        }
    }

    /// Whether the server is cold or may be, given how servers of its service warm up.
    pub(crate) fn is_cold(self, warm_up: WarmUp, now: Instant) -> bool {
        if !warm_up.is_enabled() {
            return false;
        }
        let lately = |at: Instant| now.saturating_duration_since(at) < warm_up.time + REPORT_DELAY;
        self.unreachable
            || self.until.is_some_and(|until| now < until)
            || self.maybe_since.is_some_and(lately)
    }
}

/// Send times of the requests of the last second.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentRequests(VecDeque<Instant>);

impl RecentRequests {
    pub(crate) fn record(&mut self, now: Instant) {
        while self.0.front().is_some_and(|at| !is_within(*at, now)) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    pub(crate) fn count(&self, now: Instant) -> usize {
        self.0.iter().filter(|at| is_within(**at, now)).count()
    }
}

fn is_within(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= WINDOW
}
