//! What backend servers say about themselves in answers, and what a daemon remembers of it for each server
//! process.
//!
//! The adapter parses an answer once, on arrival, into [`Remarks`]. They are merged into the [`Condition`] of
//! that start, which is kept for as long as the server may run: longer than the store lists it.

use crate::gateway::cold::Cold;
use crate::gateway::limit::{Limit, LimitRemark};
use std::time::{Duration, Instant};

/// What one answer says about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Remarks {
    /// The server is about to leave.
    pub leaving: bool,
    /// How long this daemon should send it nothing.
    pub backoff: Option<Duration>,
    /// Its rate limit for all daemons together.
    pub limit: LimitRemark,
    /// How long it stays cold.
    pub cold: Option<Duration>,
    /// Whether it crashes when it has to decline many requests.
    pub brittle: BrittleRemark,
}

/// What an answer says about whether its server crashes when it has to decline many requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BrittleRemark {
    /// Nothing.
    #[default]
    Unknown,
    /// It doesn't.
    Sound,
    /// It does.
    Brittle,
}

/// A time for which a server asked this daemon to send it nothing. Other daemons are not affected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// When the server asked for it.
    pub requested_at: Instant,
    /// When it ends.
    pub until: Instant,
}

/// What a server has said about itself, as far as it may still apply.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// Since when it is known to leave; never reset.
    leaving_since: Option<Instant>,
    backoff: Option<Backoff>,
    /// Its rate limit for all daemons together, and this daemon's quota.
    pub(super) limit: Limit,
    /// What is known about whether it is cold.
    pub(super) cold: Cold,
    /// When it last said that it is brittle; `None` if it is not.
    pub(super) brittle_at: Option<Instant>,
    /// Until when it gets nothing since it declined a request while it was brittle.
    pub(super) full_until: Option<Instant>,
}

impl Condition {
    /// Marks the server as leaving. Returns whether that is new.
    pub(super) fn mark_leaving(&mut self, now: Instant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Backs off for `time` from now. A known backoff that ends later stays in force, since answers may
    /// arrive out of order. Returns whether the backoff has become longer.
    pub(super) fn extend_backoff(&mut self, time: Duration, now: Instant) -> bool {
        let Some(until) = now.checked_add(time) else {
            return false;
        };
        let is_longer = until > self.backoff.map_or(now, |backoff| backoff.until);
        if is_longer {
            self.backoff = Some(Backoff { requested_at: now, until });
        }
        is_longer
    }

    /// Whether it has said anything that has to outlast its entry in the store.
    pub(super) fn has_lasting_remarks(&self) -> bool {
        self.leaving_since.is_some()
            || self.backoff.is_some()
            || self.limit.rate().is_some()
            || self.brittle_at.is_some()
    }

    /// Since when it is known to leave.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// The backoff that is in force, if any.
    pub fn backoff(&self, now: Instant) -> Option<Backoff> {
        self.backoff.filter(|backoff| now < backoff.until)
    }
}
