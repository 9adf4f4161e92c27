//! The state of one backend server as this daemon knows it.

use crate::gateway::cold::{RecentRequests, WarmUp};
use crate::gateway::condition::Condition;
use crate::gateway::limit::Limit;
use crate::gateway::outcomes::{DecayingOutcomes, Outcomes};
use crate::gateway::pace::{DecayingPace, PaceSums};
use crate::gateway::port::Destination;
use crate::gateway::reach::Reachability;
use crate::gateway::request::Size;
use crate::gateway::software::Software;
use crate::gateway::tag::Tag;
use std::net::SocketAddr;
use std::ops::{AddAssign, SubAssign};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Decayed count of exchanges or samples below which they are not worth reporting.
pub(super) const MIN_REPORTED: f32 = 0.01;

/// What the store says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServerRecord {
    /// Its id, which it may have again after a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds by the server's own clock; distinguishes starts under one id. `None`
    /// where servers don't report it.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: String,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How long it stays cold by its own report.
    pub cold: Duration,
}

impl ServerRecord {
    /// The tag of this server process. It differs after each restart, so that reports of peers about an earlier
    /// process of the server don't apply to this one.
    pub(super) fn tag(&self) -> Tag {
        let id = Tag::of(&self.id);
        self.started_ms.map_or(id, |born| id.combined_with(Tag::of_number(born)))
    }
}

/// Work that runs at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Number of requests.
    pub runs: u32,
    /// Memory that they are expected to need, in tokens.
    pub tokens: u32,
    /// Prompt tokens that are not processed yet.
    pub unread_prompt: u32,
    /// Those of `tokens` that belong to runs which must not be repeated, and so have to be moved before their
    /// server goes away.
    pub non_repeatable: u32,
    /// Tokens of runs that are being copied to the server over its link.
    pub incoming_copies: u32,
}

impl Load {
    /// The load of one request whose prompt is not processed yet.
    pub fn of(size: Size, repeatable: bool) -> Load {
        let tokens = size.peak_tokens().max(1);
        let once = if repeatable { 0 } else { tokens };
        Load {
            runs: 1,
            tokens,
            unread_prompt: size.prompt_tokens,
            non_repeatable: once,
            incoming_copies: 0,
        }
    }

    /// Whether a reported load is that of a server. Loads of anything else, such as workspaces, are reported
    /// without a number of requests.
    pub(super) fn is_of_server(self) -> bool {
        self.runs > 0
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Load) {
        self.runs = self.runs.saturating_add(other.runs);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.unread_prompt = self.unread_prompt.saturating_add(other.unread_prompt);
        self.non_repeatable = self.non_repeatable.saturating_add(other.non_repeatable);
        self.incoming_copies = self.incoming_copies.saturating_add(other.incoming_copies);
    }
}

impl SubAssign for Load {
    /// Saturates like the sums that it is subtracted from.
    fn sub_assign(&mut self, other: Load) {
        self.runs = self.runs.saturating_sub(other.runs);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.unread_prompt = self.unread_prompt.saturating_sub(other.unread_prompt);
        self.non_repeatable = self.non_repeatable.saturating_sub(other.non_repeatable);
        self.incoming_copies = self.incoming_copies.saturating_sub(other.incoming_copies);
    }
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// Its entry in the store.
    pub record: ServerRecord,
    /// The tag of its process.
    pub(super) tag: Tag,
    /// Its software.
    software: Software,
    /// Whether its entry in the store can be read; no new work is sent to it otherwise.
    pub(super) readable: bool,
    /// Whether it is treated as leaving only because the store no longer lists it.
    pub(super) unlisted: bool,
    /// Whether it is treated as leaving only because a rollout retires its version.
    retired: bool,
    /// Work that this daemon has there.
    pub own_load: Load,
    /// Work that the other daemons reported to have there.
    pub peer_load: Load,
    /// True once the server is about to leave, has gone, or is treated so.
    pub(super) leaving: watch::Sender<bool>,
    /// Outcomes of this daemon's recent exchanges with it.
    pub(super) outcomes: DecayingOutcomes,
    /// Outcomes that the other daemons reported.
    pub(super) peer_outcomes: Outcomes,
    /// The tag under which its pace is reported.
    pub(super) pace_tag: Tag,
    /// This daemon's samples of its pace.
    pub(super) pace: DecayingPace,
    /// The sums of samples that the other daemons reported.
    pub(super) peer_pace: PaceSums,
    /// Its relative latency when it was last computed.
    pub(super) relative_latency: f64,
    pub(super) reach: Reachability,
    /// Since when it is treated as leaving only because its health check failed.
    pub(super) suspected: Option<Instant>,
    /// When it was last found not to leave although its health check had failed.
    pub(super) cleared: Option<Instant>,
    /// What it has said about itself in answers.
    pub(super) condition: Condition,
    /// Requests that this daemon sent it within the last second while it was cold.
    pub(super) cold_requests: RecentRequests,
}

impl Server {
    pub(super) fn new(record: ServerRecord, now: Instant) -> Server {
        let leaving = watch::Sender::new(record.leaving);
        let (tag, software) = (record.tag(), Software::of(&record));
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
            software,
            readable: true,
            unlisted: false,
            retired: false,
            own_load: own,
            peer_load: others,
            leaving,
            outcomes: DecayingOutcomes::new(now),
            peer_outcomes: Outcomes::default(),
            pace_tag: tag.combined_with(Tag::of("pace")),
            pace: DecayingPace::new(now),
            peer_pace: PaceSums::default(),
            relative_latency: 1.0,
            reach: Reachability::default(),
            suspected: None,
            cleared: None,
            condition,
            cold_requests: RecentRequests::default(),
        }
    }

    /// Its id and address, as the destination of a request.
    pub fn destination(&self) -> Destination {
        Destination { id: self.record.id.clone(), addr: self.record.addr }
    }

    /// Whether the server itself takes new work; its hall may be closed all the same.
    pub fn is_open(&self) -> bool {
        self.readable && !*self.leaving.borrow()
    }

    /// The tag of this server process.
    pub fn tag(&self) -> Tag {
        self.tag
    }

    /// Its software.
    pub fn software(&self) -> Software {
        self.software
    }

    /// Whether it is cold or may be, given how servers of its service warm up.
    pub fn is_cold(&self, warm_up: WarmUp, now: Instant) -> bool {
        self.condition.cold.is_cold(warm_up, now)
    }

    /// Requests that this daemon sent it while it was cold, within the last second.
    pub fn recent_cold_requests(&self, now: Instant) -> usize {
        self.cold_requests.count(now)
    }

    /// Its rate limit for all daemons together, and this daemon's quota.
    pub fn limit(&self) -> &Limit {
        &self.condition.limit
    }

    /// Whether it has asked this daemon to back off, and the time is not over.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.condition.backoff(now).is_some()
    }

    /// Subscribes to whether the server is leaving.
    pub fn notice(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Work of all daemons that is known to run there.
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load += self.peer_load;
        load
    }

    /// Fraction of all daemons' recent exchanges that failed, decayed with time.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let mut all = self.outcomes.decayed(now);
        all += self.peer_outcomes;
        all.failure_rate()
    }

    /// How much longer it takes than the median of its service under the same load; 1 if that is unknown or
    /// the difference is small.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Actual by expected time of all daemons' samples; `None` if there are too few.
    pub(super) fn pace_ratio(&self, now: Instant) -> Option<f64> {
        let mut all = self.pace.decayed(now);
        all += self.peer_pace;
        all.ratio()
    }

    /// Whether it is skipped because it could not be reached lately.
    pub fn is_skipped(&self, now: Instant) -> bool {
        self.reach.is_skipped(now)
    }

    /// Whether it is leaving for certain, rather than suspected or retired by a rollout.
    pub(super) fn is_known_to_leave(&self) -> bool {
        *self.leaving.borrow() && self.suspected.is_none() && !self.retired
    }

    /// Whether it is known to leave while its entry in the store doesn't say so.
    pub(super) fn leaving_not_in_store(&self) -> bool {
        self.is_known_to_leave() && !self.record.leaving
    }

    /// Applies that a rollout has retired its version or put it back into use.
    pub(super) fn set_retired(&mut self, retired: bool) {
        if retired && !self.retired && !self.is_known_to_leave() {
            (self.retired, self.suspected) = (true, None);
            self.leaving.send_replace(true);
        } else if !retired && std::mem::take(&mut self.retired) {
            self.leaving.send_replace(false);
        }
    }

    /// Whether this daemon has anything to report about it to peers.
    pub(super) fn has_unreported(&self, now: Instant) -> bool {
        self.own_load.runs > 0
            || self.outcomes.decayed(now).tried >= MIN_REPORTED
            || self.peer_outcomes.is_reportable()
            || self.pace.decayed(now).expected >= MIN_REPORTED
            || self.peer_pace != PaceSums::default()
            || self.relative_latency != 1.0
            || self.leaving_not_in_store()
            || self.refused_for_peers(now).is_some()
            || self.condition.limit.for_peers(now).is_some()
    }

    /// For how long peers should send it nothing, because it refuses connections or has no room.
    pub(super) fn refused_for_peers(&self, now: Instant) -> Option<Duration> {
        let full = self.condition.full_until.map(|until| until.saturating_duration_since(now));
        self.reach.for_peers(now).max(full.filter(|left| !left.is_zero()))
    }

    /// Marks it as leaving for good. Returns whether that is new.
    pub(super) fn mark_leaving(&mut self, now: Instant) -> bool {
        self.suspected = None;
        (self.unlisted, self.retired) = (false, false);
        self.leaving.send_replace(true);
        self.condition.mark_leaving(now)
    }

    /// Marks it as no longer listed by the store: it may still serve for a while, or have gone.
    pub(super) fn unlist(&mut self) {
        self.unlisted |= self.suspected.is_some() || self.retired || !*self.leaving.borrow();
        (self.suspected, self.retired) = (None, false);
        self.leaving.send_replace(true);
    }

    /// Marks it as listed again: its entry had expired while it kept running.
    pub(super) fn relist(&mut self) {
        if std::mem::take(&mut self.unlisted) {
            self.leaving.send_replace(false);
        }
    }

    /// Restores what it said about itself when it was listed before.
    pub(super) fn restore(&mut self, condition: Condition, now: Instant) {
        self.condition = condition;
        self.condition.cold.reported(self.record.cold, now);
        if self.record.leaving || condition.leaving_since().is_some() {
            self.mark_leaving(now);
        }
    }

    /// Applies a new entry in the store of the same start.
    pub(super) fn update(&mut self, record: ServerRecord, now: Instant) {
        if record.leaving {
            self.mark_leaving(now);
        }
        self.condition.cold.reported(record.cold, now);
        self.readable = true;
        self.software = Software::of(&record);
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
