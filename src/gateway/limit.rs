//! Rate limits that backend servers name in their answers: the requests a second that a server takes from all
//! daemons together. A limit holds until an answer names another one or none.
//!
//! Daemons report to each other which limit was named and when. Each daemon uses the fraction of the limit
//! that corresponds to its fraction of all requests for the service, which follows from the sums in
//! heartbeats. A request therefore never waits for a message from another daemon, and late messages change
//! the fractions only a little: the fractions of all daemons add up to one whatever each of them has
//! received. Daemons that can't be reached are assumed to have as many requests as the reachable ones, so the
//! two halves of a partitioned fleet share the limit.
//!
//! In a small fleet, each daemon keeps quota for a request or two until the requests come. Where a daemon's
//! fraction is less than one request, the quota of its cell is held by as many daemons as it covers whole
//! requests, and they lend it to the others. Where the quota of a whole cell is less than one request, a
//! daemon may send one every few minutes. Its first turn follows from its position among the daemons, which
//! spreads the turns evenly without coordination, and an unused turn expires: otherwise an idle fleet would
//! send one request from each daemon at once.
//!
//! Two simpler schemes do worse in fleets of 6 to 294 daemons that share a server which takes 2 to 10 requests
//! a second. Equal fractions keep the limit as well, but leave more of it unused where requests reach only a
//! few daemons. Counting what all daemons sent lately, as is done for retries, lets every daemon that has no
//! reports of the others yet use the same quota. The figures are in `docs/design/limits.md`.

use crate::gateway::clock::millis_between;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long quota that expires is kept. It is long enough for a daemon that gets about one request a second
/// to use its turn, and a fleet that was idle sends at most the server's limit for this time at once.
const QUOTA_LIFETIME: Duration = Duration::from_secs(2);
/// Burst that all daemons which keep their quota may send together, as time at the server's limit. With the
/// quota of the next four seconds that is 5.5 s of the limit, of the six that the platform tolerates; the
/// rest covers fractions that differ between daemons while messages are late.
const BURST_TIME: Duration = Duration::from_millis(1_500);
/// Requests added to the burst, since a few always arrive together by chance. A daemon whose fraction of the
/// burst is at least one request keeps its quota without expiry, and lends it to daemons that have none.
const EXTRA_BURST: f64 = 4.0;
/// Least requests a second that all daemons together send to a limited server, even if it names less or zero:
/// one in ten seconds, since only an answer shows that the limit has ended.
const MIN_RATE: f64 = 0.1;
/// How long the end of a limit is reported to peers: longer than a heartbeat with the old limit may be under
/// way.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(10);
/// Relative change of a limit from which it is reported to peers at once rather than with the next heartbeat.
const URGENT_CHANGE: f64 = 0.1;

/// What an answer says about its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitRemark {
    /// The server has no limit.
    Unlimited,
    /// Requests a second from all daemons together: zero or more, and finite.
    Rate(f64),
    /// The answer says nothing, or its value is invalid; what is known stays as it is.
    #[default]
    Unknown,
}

/// The latest limit that a server named, as daemons report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second; `None` where the limit has ended.
    pub rate: Option<f64>,
    /// Age of the server's answer, in milliseconds.
    pub age_ms: u32,
}

/// A daemon's share of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Fraction of the limit that this daemon may use.
    pub fraction: f64,
    /// Fraction of the time between two of this daemon's requests that counts as passed when the limit
    /// becomes known; spread evenly over the daemons.
    pub phase: f64,
    /// Share of the daemon's cell.
    pub cell: CellShare,
}

/// Share of a server's limit that the daemons of a cell have together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellShare {
    /// Fraction of the limit that the cell may use.
    pub fraction: f64,
    /// Number of daemons in the cell.
    pub daemons: usize,
    /// Position of this daemon in the cell, in an order that differs from server to server.
    pub position: usize,
}

/// The limit of one server as far as known, and this daemon's quota for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    /// Requests a second; `None` where no limit is in force.
    rate: Option<f64>,
    /// When the server named `rate`, or that it has no limit.
    reported_at: Option<Instant>,
    /// When this daemon learnt that the last limit had ended.
    ended: Option<Instant>,
    /// Requests that this daemon may send, with fractions; `None` until the first update.
    quota: Option<f64>,
    /// When `quota` was last updated.
    updated: Option<Instant>,
    /// Whether quota is kept without expiry, as in small fleets.
    accumulates: bool,
    /// Number of daemons of the cell that keep quota; zero where quota expires.
    holders: usize,
}

/// Drops the quota above `most`, in whole requests only, so that the daemons' turns stay spread.
fn expire_excess(quota: f64, most: f64) -> f64 {
    quota - (quota - most).max(0.0).ceil()
}

/// Returns how many daemons of the cell hold quota for a server that takes a burst of `at_once` requests, and
/// this daemon's fraction. Where a daemon's own fraction would be less than one request, as many daemons hold
/// quota as the cell has whole requests, and the others borrow from them. Where the cell has less than one
/// request, each daemon has its own fraction, which expires.
fn holders_and_fraction(share: Share, at_once: f64) -> (usize, f64) {
    let cell = share.cell;
    let holders = (cell.fraction * at_once) as usize;
    match holders {
        0 => (0, share.fraction),
        _ if holders >= cell.daemons => (cell.daemons, share.fraction),
        _ if cell.position < holders => (holders, cell.fraction / holders as f64),
        _ => (holders, 0.0),
    }
}

impl Limit {
    /// Applies what the server said at `said`, unless something newer is known. Returns whether the change
    /// should be reported to peers at once.
    pub fn update(&mut self, rate: Option<f64>, said: Instant, now: Instant) -> bool {
        if self.reported_at.is_some_and(|known| said <= known) {
            return false;
        }
        self.reported_at = Some(said);
        let before = std::mem::replace(&mut self.rate, rate);
        match (before, rate) {
            (None, None) => false,
            (Some(before), Some(rate)) => (rate - before).abs() > before * URGENT_CHANGE,
            _ => {
                (self.quota, self.updated) = (None, Some(now));
                self.ended = rate.is_none().then_some(now);
                true
            }
        }
    }

    /// The limit in requests a second from all daemons together; `None` where there is none.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Requests a second by which the quota of all daemons together grows; zero where there is no limit.
    pub fn refill_rate(&self) -> f64 {
        self.rate.map_or(0.0, |rate| rate.max(MIN_RATE))
    }

    /// Adds the quota that has accrued since the last update.
    pub fn update_quota(&mut self, share: Share, now: Instant) {
        let since = self.updated.replace(now).unwrap_or(now);
        let at_once = self.refill_rate() * BURST_TIME.as_secs_f64() + EXTRA_BURST;
        let (holders, fraction) = holders_and_fraction(share, at_once);
        self.holders = holders;
        let pace = self.refill_rate() * fraction;
        let grown = self.quota.unwrap_or(share.phase)
            + pace * now.saturating_duration_since(since).as_secs_f64();
        let own = fraction * at_once;
        self.accumulates = own >= 1.0;
        self.quota = Some(match self.accumulates {
            true => grown.min(own),
            false => expire_excess(grown, 1.0 + pace * QUOTA_LIFETIME.as_secs_f64()),
        });
    }

    /// Requests that this daemon may send, as of the last update; `None` where there is no limit.
    pub fn quota(&self) -> Option<f64> {
        self.rate.map(|_| self.quota.unwrap_or(0.0))
    }

    /// Whether daemons may lend each other quota. In a large fleet all daemons together hold more than the
    /// server takes at once, and it stays within its limit only because most of that quota expires unused.
    pub fn may_lend(&self) -> bool {
        self.accumulates
    }

    /// Number of daemons in this cell that hold quota and lend it; zero where quota expires.
    pub fn holders(&self) -> usize {
        self.holders
    }

    /// Uses quota for one request, also where there is none left.
    pub fn use_one(&mut self) {
        self.quota = self.quota.map(|quota| quota - 1.0);
    }

    /// Returns the quota of a request that is not sent after all.
    pub fn return_one(&mut self) {
        self.quota = self.quota.map(|quota| quota + 1.0);
    }

    /// What to report to peers about this limit.
    pub fn for_peers(&self, now: Instant) -> Option<LimitReport> {
        let over = |at: Instant| now.saturating_duration_since(at) < ENDED_REPORT_TIME;
        let matters = self.rate.is_some() || self.ended.is_some_and(over);
        let said = self.reported_at.filter(|_| matters)?;
        Some(LimitReport { rate: self.rate, age_ms: millis_between(said, now) })
    }
}
