//! One backend server as this daemon knows it.

use crate::gateway::cold::{RecentRequests, WarmUp};
use crate::gateway::condition::Condition;
use crate::gateway::limit::Limit;
use crate::gateway::outcomes::{DecayingOutcomes, Outcomes};
use crate::gateway::port::Destination;
use crate::gateway::reach::Reachability;
use crate::gateway::request::Size;
use crate::gateway::tag::Tag;
use std::net::SocketAddr;
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Exchanges, older ones as parts of one, below which a daemon has nothing to tell of a server.
const MIN_REPORTED_ATTEMPTS: f32 = 0.01;

/// What the store says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Its id. A server that starts again may have it again.
    pub id: Arc<str>,
    /// When it started, in milliseconds of the server's own time of day, which tells starts under one id
    /// apart; `None` where servers don't say.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How long it stays cold, as it said itself.
    pub cold: Duration,
}

impl ServerRecord {
    /// The tag of this start of the server: what daemons tell each other of an earlier one does not
    /// reach it.
    pub(super) fn tag(&self) -> Tag {
        let id = Tag::of(&self.id);
        self.started_ms.map_or(id, |born| id.combined_with(Tag::of_number(born)))
    }
}

/// What runs at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests.
    pub runs: u32,
    /// Memory they are expected to need, in tokens.
    pub tokens: u32,
    /// Tokens of prompts that are still to be read.
    pub unread_prompt: u32,
    /// The part of `tokens` that belongs to runs which may not run again: they have to be moved
    /// before their server goes.
    pub non_repeatable: u32,
    /// Tokens of runs that are being copied to the server, over its link.
    pub incoming_copies: u32,
}

impl Load {
    /// A request whose prompt is still to be read.
    pub fn of(size: Size, repeatable: bool) -> Load {
        let tokens = size.tokens().max(1);
        let once = if repeatable { 0 } else { tokens };
        Load {
            runs: 1,
            tokens,
            unread_prompt: size.prompt,
            non_repeatable: once,
            incoming_copies: 0,
        }
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.runs += other.runs;
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.unread_prompt = self.unread_prompt.saturating_add(other.unread_prompt);
        self.non_repeatable = self.non_repeatable.saturating_add(other.non_repeatable);
        self.incoming_copies = self.incoming_copies.saturating_add(other.incoming_copies);
    }
}

impl SubAssign for Load {
    fn sub_assign(&mut self, other: Load) {
        self.runs -= other.runs;
        self.tokens -= other.tokens;
        self.unread_prompt -= other.unread_prompt;
        self.non_repeatable -= other.non_repeatable;
        self.incoming_copies -= other.incoming_copies;
    }
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// What the store says.
    pub record: ServerRecord,
    /// The tag of its start.
    pub(super) tag: Tag,
    /// Whether the store's entry of it can be read, so that it names a server to use.
    pub(super) readable: bool,
    /// Whether it counts as leaving only because the store no longer lists it.
    pub(super) unlisted: bool,
    /// Whether it counts as leaving only because a roll-out takes its version out of use.
    retired: bool,
    /// What this daemon has there.
    pub own_load: Load,
    /// What the other daemons said they have there.
    pub peer_load: Load,
    /// Turns true when the server is about to leave or has gone.
    pub(super) leaving: watch::Sender<bool>,
    /// How this daemon's recent exchanges with it went.
    pub(super) outcomes: DecayingOutcomes,
    /// How those of the other daemons went, as they said.
    pub(super) peer_outcomes: Outcomes,
    pub(super) reach: Reachability,
    /// Since when it is treated as leaving only because it is not well.
    pub(super) suspected: Option<Instant>,
    /// When it was last found not to leave although its health check said it was not well.
    pub(super) cleared: Option<Instant>,
    /// What it has said of itself.
    pub(super) condition: Condition,
    /// What this daemon sent it lately while it was cold.
    pub(super) cold_requests: RecentRequests,
}

impl Server {
    pub(super) fn new(record: ServerRecord, now: Instant) -> Server {
        let leaving = watch::Sender::new(record.leaving);
        let tag = record.tag();
        let mut condition = Condition::default();
        condition.cold.reported(record.cold, now);
        if record.leaving {
            condition.mark_leaving(now);
        }
        let none = Load::default();
        let (own, others) = (none, none);
        Server {
            record,
            tag,
            readable: true,
            unlisted: false,
            retired: false,
            own_load: own,
            peer_load: others,
            leaving,
            outcomes: DecayingOutcomes::new(now),
            peer_outcomes: Outcomes::default(),
            reach: Reachability::default(),
            suspected: None,
            cleared: None,
            condition,
            cold_requests: RecentRequests::default(),
        }
    }

    /// Where it is, and which one is meant.
    pub fn destination(&self) -> Destination {
        Destination { id: self.record.id.clone(), addr: self.record.addr }
    }

    /// Whether new work may go there, as far as the server itself is concerned.
    pub fn is_open(&self) -> bool {
        self.readable && !*self.leaving.borrow()
    }

    /// Tag of this start of it.
    pub fn tag(&self) -> Tag {
        self.tag
    }

    /// Whether it is cold, or may be, where servers of its service warm up like that.
    pub fn is_cold(&self, warm_up: WarmUp, now: Instant) -> bool {
        self.condition.cold.is_cold(warm_up, now)
    }

    /// Requests that this daemon sent it while it was cold, within the last second.
    pub fn recent_cold_requests(&self, now: Instant) -> usize {
        self.cold_requests.count(now)
    }

    /// What it takes from all daemons together, and what this one may send.
    pub fn limit(&self) -> &Limit {
        &self.condition.limit
    }

    /// Whether it has asked this daemon for rest, and still rests.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.condition.backoff(now).is_some()
    }

    /// Tells when the server is about to leave.
    pub fn notice(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// All that is known to run there.
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load += self.peer_load;
        load
    }

    /// Share of recent exchanges that failed, of all daemons, fading with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let mut all = self.outcomes.decayed(now);
        all += self.peer_outcomes;
        all.failure_rate()
    }

    /// Whether it is passed over because it could not be reached lately.
    pub fn is_skipped(&self, now: Instant) -> bool {
        self.reach.is_skipped(now)
    }

    /// Whether it leaves, and not only may, or takes no work for another reason.
    pub(super) fn is_known_to_leave(&self) -> bool {
        *self.leaving.borrow() && self.suspected.is_none() && !self.retired
    }

    /// Whether it leaves, and other daemons can't know it from the store.
    pub(super) fn leaving_not_in_store(&self) -> bool {
        self.is_known_to_leave() && !self.record.leaving
    }

    /// A roll-out takes its version out of use, or back into use.
    pub(super) fn set_retired(&mut self, retired: bool) {
        if retired && !self.retired && !self.is_known_to_leave() {
            (self.retired, self.suspected) = (true, None);
            self.leaving.send_replace(true);
        } else if !retired && std::mem::take(&mut self.retired) {
            self.leaving.send_replace(false);
        }
    }

    /// Whether this daemon has anything to tell others of it.
    pub(super) fn has_unreported(&self, now: Instant) -> bool {
        self.own_load.runs > 0
            || self.outcomes.decayed(now).tried >= MIN_REPORTED_ATTEMPTS
            || self.peer_outcomes.is_reportable()
            || self.leaving_not_in_store()
            || self.reach.for_peers(now).is_some()
            || self.condition.limit.for_peers(now).is_some()
    }

    /// It leaves, which is never taken back. Says whether that is new.
    pub(super) fn mark_leaving(&mut self, now: Instant) -> bool {
        self.suspected = None;
        (self.unlisted, self.retired) = (false, false);
        self.leaving.send_replace(true);
        self.condition.mark_leaving(now)
    }

    /// The store no longer lists it: it may serve on for a while, or have gone.
    pub(super) fn unlist(&mut self) {
        self.unlisted |= self.suspected.is_some() || self.retired || !*self.leaving.borrow();
        (self.suspected, self.retired) = (None, false);
        self.leaving.send_replace(true);
    }

    /// The store lists it again: its entry had lapsed, and it went on all the while.
    pub(super) fn relist(&mut self) {
        if std::mem::take(&mut self.unlisted) {
            self.leaving.send_replace(false);
        }
    }

    /// It was listed before, and what it said of itself then still holds.
    pub(super) fn restore(&mut self, condition: Condition, now: Instant) {
        self.condition = condition;
        self.condition.cold.reported(self.record.cold, now);
        if self.record.leaving || condition.leaving_since().is_some() {
            self.mark_leaving(now);
        }
    }

    /// Takes in what the store says of the same start of it.
    pub(super) fn update(&mut self, record: ServerRecord, now: Instant) {
        if record.leaving {
            self.mark_leaving(now);
        }
        self.condition.cold.reported(record.cold, now);
        self.readable = true;
        self.record = record;
    }

    pub(super) fn record_outcome(&mut self, failed: bool, now: Instant) {
        if !failed {
            self.reach.answered();
            self.condition.cold.note_answer(now);
        }
        self.outcomes.record(failed, now);
    }
}
