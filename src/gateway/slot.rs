//! Reserves a slot at a backend server for a request.

use crate::gateway::admission::{AdmissionClass, Bound};
use crate::gateway::budget::RetryKind;
use crate::gateway::candidates::{MAX_EXAMINED, candidates};
use crate::gateway::continuation::{NO_SERVER_OF_VERSION, lacks_server_of_version};
use crate::gateway::core::Gateway;
use crate::gateway::crowded::Applicant;
use crate::gateway::hopeless::Prospect;
use crate::gateway::limited::has_quota;
use crate::gateway::place::{
    COPY_COST_TOLERANCE, COST_TOLERANCE, PlacementRequest, REMOTE_HALL_COPY_COST, REMOTE_HALL_COST,
    STALE_REMOTE_HALL_COST,
};
use crate::gateway::port::Destination;
use crate::gateway::request::Call;
use crate::gateway::returns::Tokens;
use crate::gateway::rollout::{Arm, Draw, Pick, Stratum};
use crate::gateway::servers::brittle::has_room;
use crate::gateway::servers::{Load, Server, ServerKey};
use crate::gateway::software::Software;
use crate::gateway::table::Service;
use crate::gateway::tag::Tag;
use crate::time;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Average delay until the load of another cell in this hall is reported here: half of each of three
/// heartbeat intervals (its daemon's, the relays' and that of this cell's relay), and the network delays.
const REPORT_DELAY: Duration = Duration::from_millis(70);

/// The server that a request runs on.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Key of the server.
    pub key: ServerKey,
    /// Address and id of the server.
    pub destination: Destination,
    /// Tag of the server, which differs after each of its starts.
    pub tag: Tag,
    /// The server's software.
    pub software: Software,
    /// Hall of the server.
    pub hall: String,
    /// Load that the request puts on the server.
    pub load: Load,
}

/// Time after which a refused caller may come back, unless a better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoSlot {
    /// Reason for logs and answers.
    pub reason: &'static str,
    /// Time after which the caller should come back.
    pub retry_after: Duration,
    /// Time of the retry for which quota is to be reserved; `None` if no quota is reserved.
    pub due: Option<Instant>,
}

impl From<&'static str> for NoSlot {
    fn from(reason: &'static str) -> NoSlot {
        NoSlot { reason, retry_after: DEFAULT_RETRY_AFTER, due: None }
    }
}

/// A reservation at a backend server for one request. The request counts in the server's load until the
/// slot is dropped.
pub struct Slot {
    gateway: Arc<Gateway>,
    /// Where the request runs.
    pub place: Placement,
    /// Becomes true when the server is about to leave.
    pub notice: watch::Receiver<bool>,
    /// Age of the copy of the store when the request was sent to the server.
    pub store_age: Option<Duration>,
    /// Prompt tokens that waited to be read at the server before this request.
    pub waiting_tokens: u32,
    /// Tag under which the load counts for the request's workspace; `None` for plain services.
    share_tag: Option<Tag>,
    /// The rollout sample that this request's result counts for, if any.
    pub rollout_sample: Option<RolloutSample>,
    /// Whether the server has read the prompt.
    prompt_read: bool,
}

/// A request whose result counts in a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSample {
    stratum: Stratum,
    sent: Instant,
    /// Response times below this count as equal to it, since nobody would notice the difference.
    time_floor: Duration,
}

/// `time_floor` as a fraction of the route's SLO.
const UNNOTICEABLE_FRACTION: f64 = 0.05;

impl Slot {
    /// Key of the server.
    pub fn key(&self) -> ServerKey {
        self.place.key
    }

    /// Id of the server, for logs.
    pub fn id(&self) -> &str {
        &self.place.destination.id
    }

    /// Age of the copy of the store when the request was sent to the server, in milliseconds, for logs.
    pub fn store_age_ms(&self) -> Option<u64> {
        Some(self.store_age?.as_millis() as u64)
    }

    /// Records that the server has read the prompt.
    pub fn record_prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.place.load.unread_prompt);
        self.gateway.servers().note_prompt_read(self.key(), tokens);
        if let Some(tag) = self.share_tag {
            self.gateway.shares().note_prompt_read(tag, tokens);
        }
        self.prompt_read = true;
        let read = Tokens { memory: 0.0, prompt: tokens.into() };
        self.gateway.record_freed(self.key(), read, time::now());
        self.gateway.signal_load_change(self.place.load);
    }

    /// Records that the run's memory has been copied to the server.
    pub fn record_copy_done(&mut self) {
        let tokens = std::mem::take(&mut self.place.load.incoming_copies);
        self.gateway.servers().note_copy_arrived(self.key(), tokens);
        self.gateway.signal_load_change(self.place.load);
    }

    /// Records that connecting to the server failed. A refused connection is reported to other daemons at
    /// once, as their connections would be refused too.
    pub fn record_connect_failure(&self, refused: bool) {
        self.gateway.servers().note_unreachable(self.key(), refused, time::now());
        if refused {
            self.gateway.signal_urgent_change();
        }
    }

    /// Records how the exchange went, for the server and for the rollout.
    pub fn record_result(&self, failed: bool) {
        self.gateway.record_result(self.key(), failed);
        if let Some(sample) = self.rollout_sample {
            self.gateway.record_rollout_sample(sample, failed);
        }
    }

    /// Records that the server refused the request. This says nothing about the server's version, so it
    /// doesn't count in a rollout.
    pub fn record_refusal(&self) {
        self.gateway.record_result(self.key(), true);
        if self.gateway.servers().note_declined(self.key(), time::now()) {
            self.gateway.signal_urgent_change();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.prompt_read {
            self.gateway.record_freed(self.key(), self.place.load.into(), time::now());
        }
        self.gateway.servers().remove_load(self.key(), self.place.load);
        if let Some(tag) = self.share_tag {
            self.gateway.shares().remove(tag, self.place.load);
        }
        self.gateway.signal_load_change(self.place.load);
        if *self.notice.borrow() {
            // Other daemons wait for their turn to move their own runs away from this server.
            self.gateway.signal_urgent_change();
        }
    }
}

/// What decides whether a crowded server admits a request.
#[derive(Debug, Clone, Copy)]
struct AdmissionTerms {
    /// Whether the request is new, came back after a refusal, or has begun.
    admission_class: AdmissionClass,
    /// Most that may wait and run at the server for the request to be admitted.
    bound: Bound,
}

/// Restricts the servers that a request may go to.
#[derive(Debug, Clone, Copy)]
struct ServerFilter<'a> {
    /// Servers that are excluded, because they were tried or have refused.
    excluded: &'a [ServerKey],
    /// The rollout's selection for the request; `None` if no rollout distinguishes between servers.
    pick: Option<&'a Pick>,
}

impl Gateway {
    /// Whether a server is warm, or this daemon's share of the requests that a cold server may get isn't
    /// used up.
    fn within_cold_share(&self, service: &Service, server: &Server, now: Instant) -> bool {
        if !server.is_cold(service.warm_up, now) {
            return true;
        }
        let (bounds, rank) = *self.cold.lock().expect("no holder panics");
        server.recent_cold_requests(now) < rank.share(server.tag(), service.warm_up, bounds)
    }

    /// Whether a server may take a request, apart from a limit that the server names. It must not be
    /// excluded or backing off, its hall must be allowed for the request, a cold server must be within this
    /// daemon's share, and a stream that has begun goes on only at its software.
    pub(super) fn may_take<'a>(
        &'a self,
        service: &'a Service,
        call: &'a Call,
        except: &'a [ServerKey],
        now: Instant,
    ) -> impl Fn(ServerKey, &Server) -> bool + 'a {
        let allowed = self.allowed(call);
        move |key, server| {
            !except.contains(&key)
                && allowed.includes(&server.record.hall)
                && !server.is_backing_off(now)
                && call.begun_by.get().is_none_or(|software| software.may_continue_at(server))
                && self.within_cold_share(service, server, now)
        }
    }

    /// Expected number of requests for a service that other cells of this hall have sent since their last
    /// report.
    fn unreported_requests(&self, service: &Arc<str>, now: Instant) -> f64 {
        let share = *self.delayed_share.lock().expect("no holder panics");
        if share == 0.0 {
            return 0.0;
        }
        share * self.budget().rate(service, now) * REPORT_DELAY.as_secs_f64()
    }

    /// Merges what other daemons have reported since the last call.
    pub(super) fn merge_peer_stats(&self, now: Instant) {
        if let Some(stats) = self.peer_source().and_then(|source| source.peer_stats(now)) {
            {
                let mut servers = self.servers();
                servers.set_peer_stats(&stats);
                servers.refresh_paces(now);
            }
            self.shares().set_peer_loads(&stats.loads);
            self.returns().set_peer_loads(stats.loads, now);
            self.rollouts().set_peer_reports(&stats.rollouts, now);
            self.quarantine().set_peer_reports(&stats.evidence, now);
            if !stats.evidence.is_empty() {
                self.quarantine_changed.notify_one();
            }
        }
    }

    /// Reserves a slot for a request at a server of `service` that isn't one of `tried`.
    pub fn slot(
        self: &Arc<Self>,
        service: &Service,
        call: &Call,
        admission_class: AdmissionClass,
        tried: &[ServerKey],
        now: Instant,
    ) -> Result<Slot, NoSlot> {
        self.merge_peer_stats(now);
        if let Some(refusal) = self.quarantined(call, now) {
            return Err(refusal);
        }
        let engine = service.engine.as_ref();
        let load = Load::of(call.size, call.route.repeatable());
        let divided = self.divided.load(Ordering::Relaxed);
        let remote_cost = if divided { STALE_REMOTE_HALL_COST } else { REMOTE_HALL_COST };
        let unreported_requests = self.unreported_requests(&service.name, now);
        let request = PlacementRequest {
            hall: &self.hall,
            remote_cost,
            cost_tolerance: COST_TOLERANCE,
            unreported_requests,
            load,
            engine,
        };
        let bound = match engine {
            Some(engine) => Bound::of(self.latency_slo(service, call), engine, admission_class),
            None => Bound::NONE,
        };
        let terms = AdmissionTerms { admission_class, bound };
        let draw = || match tried {
            [] => Draw::first(&call.route.name, &call.id),
            _ => Draw::Retry,
        };
        let pick = self.pick_arm(service, call, draw, now);
        let filter = ServerFilter { excluded: tried, pick: pick.as_ref() };
        let slot = self.choose_slot(service, &request, call, terms, filter, now);
        match pick {
            // The many old servers may have capacity where the few of the new version have none.
            Some(pick) if slot.is_err() && pick.arm == Arm::Candidate => {
                let filter = ServerFilter { excluded: tried, pick: Some(&pick.baseline()) };
                self.choose_slot(service, &request, call, terms, filter, now)
            }
            _ => slot,
        }
    }

    /// The servers that a rollout selects for a request; `None` if no rollout distinguishes between servers, or
    /// the request continues a stream, whose software is settled.
    fn pick_arm(
        &self,
        service: &Service,
        call: &Call,
        draw: impl FnOnce() -> Draw,
        now: Instant,
    ) -> Option<Pick> {
        match call.begun_by.get() {
            Some(_) => None,
            None => self.pick(&service.name, draw, now),
        }
    }

    /// Reserves a slot for a request that was sent before, if the shared budget allows a retry.
    pub fn slot_for_retry(
        self: &Arc<Self>,
        service: &Service,
        call: &Call,
        admission_class: AdmissionClass,
        tried: &[ServerKey],
        now: Instant,
    ) -> Result<Slot, NoSlot> {
        let slot = self.slot(service, call, admission_class, tried, now)?;
        if !self.spend_retry(&service.name, RetryKind::Retry, now) {
            self.servers().return_quota(slot.key());
            return Err("no_repeat_left".into());
        }
        Ok(slot)
    }

    /// Records the result of a request that counts in a rollout.
    pub(crate) fn record_rollout_sample(&self, sample: RolloutSample, failed: bool) {
        let time = (!failed).then(|| time::since(sample.sent).max(sample.time_floor));
        self.rollouts().record_outcome(sample.stratum, time);
    }

    /// The strictest SLO of the routes to a service.
    pub(super) fn latency_slo(&self, service: &Service, call: &Call) -> Duration {
        let declared = self.in_force.get();
        declared.and_then(|d| d.table.latency_slo(&service.name)).unwrap_or(call.route.latency_slo)
    }

    /// Reserves a slot for a run of `call` that is copied from `source`, at a server that isn't one of
    /// `refused`.
    pub fn slot_for_copy(
        self: &Arc<Self>,
        service: &Service,
        call: &Call,
        source: &Placement,
        refused: &[ServerKey],
        now: Instant,
    ) -> Option<Slot> {
        self.merge_peer_stats(now);
        let engine = service.engine.as_ref();
        let load = Load { unread_prompt: 0, incoming_copies: source.load.tokens, ..source.load };
        let (hall, remote_cost) = (source.hall.as_str(), REMOTE_HALL_COPY_COST);
        let request = PlacementRequest {
            hall,
            remote_cost,
            cost_tolerance: COPY_COST_TOLERANCE,
            unreported_requests: 0.0,
            load,
            engine,
        };
        let terms = AdmissionTerms { admission_class: AdmissionClass::Begun, bound: Bound::NONE };
        let pick = self.pick_arm(service, call, || Draw::Retry, now);
        let filter = ServerFilter { excluded: refused, pick: pick.as_ref() };
        self.choose_slot(service, &request, call, terms, filter, now).ok()
    }

    fn choose_slot(
        self: &Arc<Self>,
        service: &Service,
        request: &PlacementRequest<'_>,
        call: &Call,
        terms: AdmissionTerms,
        filter: ServerFilter<'_>,
        now: Instant,
    ) -> Result<Slot, NoSlot> {
        let load = request.load;
        let may_take = self.may_take(service, call, filter.excluded, now);
        let admits = |key, server: &Server| filter.pick.is_none_or(|pick| pick.admits(key, server));
        let may_take = |key, server: &Server| admits(key, server) && may_take(key, server);
        let mut servers = self.servers();
        let quota = self.limited_quota(&mut servers, &service.name, may_take, now);
        let may_use = quota.is_some_and(|quota| {
            self.may_use_quota(quota, &service.name, terms.admission_class, now)
        });
        let brittle = servers.is_brittle(&service.name, now);
        let may_take = |key, server: &Server| {
            may_take(key, server)
                && has_quota(server, may_use)
                && (!brittle || has_room(server, now))
        };
        let candidates = candidates(&servers, service, request.hall, may_take, now);
        let candidates = self.admitting(candidates, service, call, terms.admission_class);
        // Unreported requests are spread over all servers, whether they are in the sample or not.
        let all = servers.count(&service.name);
        let sampled = all > MAX_EXAMINED;
        let drawn = if sampled { candidates.len() as f64 / all as f64 } else { 1.0 };
        if service.engine.is_some() && !candidates.is_empty() {
            let prospect = Prospect {
                size: call.size,
                deadline: call.deadline,
                admission_class: terms.admission_class,
            };
            // A server that is not in the sample may have nothing to read.
            let unread = candidates.iter().map(|candidate| candidate.load.unread_prompt);
            let least_unread = if sampled { 0 } else { unread.min().unwrap_or(0) };
            if prospect.is_hopeless(least_unread, now) {
                return Err("hopeless".into());
            }
        }
        let request = &PlacementRequest {
            unreported_requests: request.unreported_requests * drawn,
            ..*request
        };
        let chosen = self.placement_policy.choose(&candidates, request, now, &mut rand::rng());
        let Some(key) = chosen else {
            let limited = quota.map(|quota| self.no_quota(quota, &service.name, call, now));
            if lacks_server_of_version(call, service, &servers, filter.excluded) {
                return Err(NO_SERVER_OF_VERSION.into());
            }
            let other = if brittle { "servers_full" } else { "no_server" };
            let no_slot = limited.unwrap_or(other.into());
            return Err(self.after_backoff(no_slot, &servers, service, call, now));
        };
        let there = servers.get(key).map(Server::load).unwrap_or_default();
        let applicant = Applicant {
            service,
            call,
            admission_class: terms.admission_class,
            bound: terms.bound,
            load,
            server_load: there,
        };
        self.admit(&servers, &applicant, now)?;
        if servers.get(key).is_some_and(|server| server.is_cold(service.warm_up, now)) {
            servers.note_cold_request(key, now);
        }
        if servers.get(key).is_some_and(|server| server.limit().rate().is_some()) {
            servers.use_quota(key);
            self.fulfill_promise(&service.name, terms.admission_class, now);
        }
        servers.add_load(key, load);
        self.work_started.notify_one();
        self.signal_load_change(load);
        let server = servers.get(key).ok_or("no_server")?;
        let share_tag = service.engine.as_ref().map(|_| call.share_tag(&service.name));
        if let Some(tag) = share_tag {
            self.shares().add(tag, load);
        }
        let to = server.destination();
        let place = Placement {
            key,
            destination: to,
            tag: server.tag(),
            software: server.software(),
            hall: server.record.hall.clone(),
            load,
        };
        let notice = server.notice();
        let stratum =
            self.rollouts().stratum(&service.name, &call.route.name, &server.record.version);
        let time_floor = call.route.latency_slo.mul_f64(UNNOTICEABLE_FRACTION);
        let sample = stratum.map(|stratum| RolloutSample { stratum, sent: now, time_floor });
        let (gateway, waiting) = (self.clone(), there.unread_prompt);
        Ok(Slot {
            gateway,
            place,
            notice,
            store_age: None,
            waiting_tokens: waiting,
            share_tag,
            rollout_sample: sample,
            prompt_read: false,
        })
    }
}
