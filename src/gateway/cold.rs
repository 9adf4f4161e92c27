//! Cold servers: one that has just started bears fewer requests a second, and falls over at many more.
//!
//! The bound holds for all daemons together, and a server is cold for about a second: too short for
//! daemons to hear of each other's sendings. So each daemon has a fixed share that needs no word from the
//! others. Daemons rank themselves by name, and a cold server takes requests from so many of them, counted
//! from a place of its own, as the bound has requests; of hundreds of daemons each sends to few cold
//! servers, and each cold server gets from few daemons. Shares by recent demand, told in sums, would be
//! larger where daemons are loaded unevenly, but rest on words that are late just when all start at once
//! or are cut off from each other.

use crate::gateway::tag::Tag;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The span of the bound.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the bound that is used. The rest is for requests that were sent within more than a second and
/// arrive within one, and for daemons that differ for a moment about who they are.
const USED_FRACTION: f64 = 0.7;
/// Time for which a server may be cold before its entry says so, and for which an entry says so too late:
/// servers write every 1.2 s, and the store's word takes up to 0.8 s.
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
    /// Whether servers are cold at all.
    fn is_enabled(self) -> bool {
        !self.time.is_zero() && self.rate > 0.0
    }
}

/// What the platform allows beyond what a cold server can handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate.
    pub excess: f64,
    /// Requests a second besides.
    pub slack: f64,
}

impl Default for ColdBounds {
    /// Nothing beyond it.
    fn default() -> ColdBounds {
        ColdBounds { excess: 1.0, slack: 0.0 }
    }
}

/// This daemon's place among those that may send requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// How many daemons come before it by name.
    pub before: usize,
    /// How many there are, this one included.
    pub daemons: usize,
}

impl Default for Rank {
    /// The only one.
    fn default() -> Rank {
        Rank { before: 0, daemons: 1 }
    }
}

impl Rank {
    /// Requests a second that this daemon may send to a cold server: its part of what all together may.
    pub fn share(self, server: Tag, warm_up: WarmUp, bounds: ColdBounds) -> usize {
        let all = (warm_up.rate * bounds.excess + bounds.slack) * USED_FRACTION;
        let all = all as usize;
        let daemons = self.daemons.max(1);
        let place = self.position(server);
        // What doesn't divide goes to those that come first, as seen from the server's own place.
        all / daemons + usize::from(place < all % daemons)
    }

    /// This daemon's place among all of them, counted from one that each server has of its own.
    fn position(self, server: Tag) -> usize {
        let daemons = self.daemons.max(1);
        let first = (server.value() % daemons as u64) as usize;
        (self.before + daemons - first) % daemons
    }

    /// The same as a part of all places.
    pub fn phase(self, server: Tag) -> f64 {
        self.position(server) as f64 / self.daemons.max(1) as f64
    }
}

/// Whether a server is cold, as far as known.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cold {
    /// Until when it said that it is cold.
    until: Option<Instant>,
    /// Since when it may be cold without having said so.
    maybe_since: Option<Instant>,
    /// Whether it was not reached since it last answered: it may start again meanwhile.
    unreachable: bool,
}

impl Cold {
    /// It said how long it stays cold, some time before now.
    pub(crate) fn reported(&mut self, left: Duration, now: Instant) {
        // A time that has no end says nothing.
        let until = now.checked_add(left).filter(|until| *until > now);
        self.until = self.until.max(until);
    }

    /// It has just started, or may have turned cold.
    pub(crate) fn note_started(&mut self, now: Instant) {
        self.maybe_since = Some(now);
    }

    /// It was not reached.
    pub(crate) fn note_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// It has answered; after it could not be reached, it may have started again.
    pub(crate) fn note_answer(&mut self, now: Instant) {
        if std::mem::take(&mut self.unreachable) {
            self.note_started(now);
        }
    }

    /// Whether it is cold, or may be, where servers warm up like that.
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

/// When requests were sent, within the last second.
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
