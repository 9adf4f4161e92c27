//! What backend servers say of themselves in their answers, and what a daemon keeps of it for one start of a
//! server.
//!
//! The adapter reads the words of an answer once, where it arrives, into [`Remarks`]. All of them are kept in the
//! [`Condition`] of that start, for as long as it may serve: longer than the store lists it.

use crate::gateway::cold::Cold;
use crate::gateway::limit::{Limit, LimitRemark};
use std::time::{Duration, Instant};

/// What one answer says of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Remarks {
    /// It is about to leave.
    pub leaving: bool,
    /// It wants nothing more from this daemon for so long.
    pub backoff: Option<Duration>,
    /// Requests a second that it takes from all daemons together.
    pub limit: LimitRemark,
    /// It stays cold for so long.
    pub cold: Option<Duration>,
}

/// A time for which a server wants nothing from this daemon. It binds no other daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// When the server asked for it.
    pub requested_at: Instant,
    /// When it is over.
    pub until: Instant,
}

/// What a server has said of itself, as far as it may still hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// Since when it is known to leave by its own word; never taken back.
    leaving_since: Option<Instant>,
    backoff: Option<Backoff>,
    /// What it takes from all daemons together, and what this one may send.
    pub(super) limit: Limit,
    /// Whether it is cold, as far as known.
    pub(super) cold: Cold,
}

impl Condition {
    /// It leaves. Says whether that is new.
    pub(super) fn mark_leaving(&mut self, now: Instant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// It wants nothing for so long, counted from its answer. A rest that ends later still holds: an answer may
    /// have been longer on its way than the one after it. Says whether the rest is longer by this.
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

    /// Whether it has said anything that outlasts the store's entry of it.
    pub(super) fn has_lasting_remarks(&self) -> bool {
        self.leaving_since.is_some() || self.backoff.is_some() || self.limit.rate().is_some()
    }

    /// Since when it is known to leave by its own word.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// Its rest, while it lasts.
    pub fn backoff(&self, now: Instant) -> Option<Backoff> {
        self.backoff.filter(|backoff| now < backoff.until)
    }
}
