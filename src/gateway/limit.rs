//! Servers in need: such a server names, in its answers, the requests a second that it takes from all daemons
//! together, for as long as it says so.
//!
//! Daemons tell each other what was said and when, and each sends its part of it: as large a part as its part
//! of all requests for the service, which heartbeats add up anyway. So no request waits for another daemon's
//! word, and what is late moves parts by little: the parts of all daemons add up to one whatever each has
//! heard. Of those that are not heard, as many requests are assumed as of the others; two halves of a fleet that
//! lose each other share the limit between them.
//!
//! A daemon of a small fleet keeps room for a request or two until they come. Where the part of each is less, as many
//! daemons of a cell hold the room of all as it has whole requests, and give it to those that have none. Where the
//! room of a cell is less than a request, a daemon may send one in minutes. Its first moment follows from its place among the daemons, so that their moments lie as
//! evenly as if one daemon had given them out, and a moment that is not used lapses: otherwise an idle fleet would
//! come with one request from each daemon at once.
//!
//! Weighed in simulated fleets of 6 to 294 daemons before a server that takes 2 to 10 requests a second: equal
//! parts keep the limit as well, and leave more of it unused where requests come to few daemons; counts of what
//! all have sent lately, as for repeats, let every daemon that has not yet heard of the others use the same
//! room. The figures are in `docs/design/limits.md`.

use crate::gateway::clock::millis_between;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which room is kept that is to lapse. A daemon to which a request comes each second or so finds its
/// moment, and a fleet that was idle comes with no more at once than a server names for so long.
const QUOTA_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a server names as much as daemons that keep their room may send at once, all together. With what
/// comes free in the next four seconds that is 5.5 s of the limit, of six that the platform bears; the rest is for
/// parts that differ while words are late.
const BURST_TIME: Duration = Duration::from_millis(1_500);
/// Requests that a server bears at once besides: a few come together by chance wherever requests come. Where a
/// daemon's part of these and of what may come at once is a whole request, it keeps that without end, and gives it
/// to others that have none.
const EXTRA_BURST: f64 = 4.0;
/// Requests a second that a server gets which names less, or none at all: one in ten seconds from all daemons,
/// since only an answer tells that the limit is over.
const MIN_RATE: f64 = 0.1;
/// Time for which others are told that a limit is over: longer than a heartbeat that named it is on its way.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(10);
/// Part by which a limit has to change for others to hear of it at once rather than with the next heartbeat.
const URGENT_CHANGE: f64 = 0.1;

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitRemark {
    /// It names none.
    Unlimited,
    /// Requests a second from all daemons together: zero or more, and finite.
    Rate(f64),
    /// Nothing, or no such number, which changes nothing.
    #[default]
    Unknown,
}

/// What a server said of its limit, as daemons tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second; `None` where it named no limit any more.
    pub rate: Option<f64>,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// A daemon's share of what a server in need takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Its part.
    pub fraction: f64,
    /// How much of the time between two of its requests has passed when the limit is first heard of; evenly
    /// spread over the daemons.
    pub phase: f64,
    /// What its cell has of it.
    pub cell: CellShare,
}

/// What the daemons of a cell have together of what a server in need takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CellShare {
    /// Their part.
    pub fraction: f64,
    /// How many they are.
    pub daemons: usize,
    /// This daemon's place among them, in an order of the server's own.
    pub position: usize,
}

/// What is known of one server's limit, and what this daemon may send there.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    /// Requests a second; `None` where no limit is in force.
    rate: Option<f64>,
    /// When the server said so.
    reported_at: Option<Instant>,
    /// When the last limit was found to be over.
    ended: Option<Instant>,
    /// Requests that this daemon may send, parts of one included; `None` until it first looks.
    quota: Option<f64>,
    /// The moment for which that holds.
    updated: Option<Instant>,
    /// Whether this daemon keeps whole requests without end, as those of small fleets do.
    accumulates: bool,
    /// How many daemons of its cell do; none where room lapses.
    holders: usize,
}

/// Room of which what is over `most` lapses: whole requests, so that the daemons' moments stay spread.
fn expire_excess(quota: f64, most: f64) -> f64 {
    quota - (quota - most).max(0.0).ceil()
}

/// How many daemons of a cell hold room where the server bears so many requests at once, and this daemon's part.
/// Where a part of each is less than a request, as many hold it together as it has whole ones, and the others ask
/// them; where all of it together is less, each has its own part, and its room lapses.
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
    /// Takes in what the server said at a moment, unless it has said something since. Says whether other
    /// daemons should hear of it at once.
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

    /// Requests a second from all daemons together; `None` where no limit is in force.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// The rate at which room grows for all daemons together; zero where no limit is in force.
    pub fn refill_rate(&self) -> f64 {
        self.rate.map_or(0.0, |rate| rate.max(MIN_RATE))
    }

    /// Brings the room up to now.
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

    /// Requests that this daemon may send as of when that was last brought up to date; `None` where no limit is
    /// in force.
    pub fn quota(&self) -> Option<f64> {
        self.rate.map(|_| self.quota.unwrap_or(0.0))
    }

    /// Whether daemons may give each other room: in a large fleet, what all of them hold for a moment is more than
    /// the server bears at once, and only that most of it lapses keeps it within.
    pub fn may_lend(&self) -> bool {
        self.accumulates
    }

    /// How many daemons of this one's cell hold room which they give to others; none where room lapses.
    pub fn holders(&self) -> usize {
        self.holders
    }

    /// Notes that a request goes there, whether there was room for it or not.
    pub fn use_one(&mut self) {
        self.quota = self.quota.map(|quota| quota - 1.0);
    }

    /// Notes that a request for which room was taken does not go there.
    pub fn return_one(&mut self) {
        self.quota = self.quota.map(|quota| quota + 1.0);
    }

    /// What other daemons should hear of it.
    pub fn for_peers(&self, now: Instant) -> Option<LimitReport> {
        let over = |at: Instant| now.saturating_duration_since(at) < ENDED_REPORT_TIME;
        let matters = self.rate.is_some() || self.ended.is_some_and(over);
        let said = self.reported_at.filter(|_| matters)?;
        Some(LimitReport { rate: self.rate, age_ms: millis_between(said, now) })
    }
}
