//! Reservations of engine capacity for refused callers, as requests arrive, are admitted, refused and end.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::candidates::OpenServers;
use crate::gateway::core::Gateway;
use crate::gateway::crowded::{self, Applicant};
use crate::gateway::refusals::refusal_tag;
use crate::gateway::request::Call;
use crate::gateway::returns::{Arrival, Caller, Pool, Tokens};
use crate::gateway::servers::{Load, ServerKey, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::table::Service;
use crate::gateway::tag::Tag;
use crate::gateway::urgency::Deferral;
use log::{info, warn};
use std::sync::Arc;
use std::time::Instant;

/// Reason of a refusal where there is no capacity within the time that the caller can wait.
const NO_ROOM_IN_TIME: &str = "no_room_in_time";

impl Gateway {
    /// The admission class of an arriving request. A request that continues an interrupted stream counts as
    /// begun. A caller that has a reservation here claims it, or loses it if it comes too early.
    pub(super) fn class_on_arrival(
        &self,
        service: &Service,
        call: &Call,
        now: Instant,
    ) -> AdmissionClass {
        if call.after.is_some() {
            return AdmissionClass::Begun;
        }
        let by_time = AdmissionClass::of(call.time_left(call.arrived), call.route.timeout);
        if service.engine.is_none() || !self.in_shortage(&service.name) {
            return by_time;
        }
        self.remove_expired_reservations(now);
        let key = call.fingerprint();
        let arrival = self.returns().arrive(&service.name, key, call.deadline, now);
        match arrival {
            Arrival::Unknown if self.was_refused(service, call, now) => AdmissionClass::Returned,
            Arrival::Unknown => AdmissionClass::Newcomer,
            Arrival::Due => {
                self.count_reservations(&service.name, "claimed", 1);
                AdmissionClass::Returned
            }
            Arrival::Early => {
                self.count_reservations(&service.name, "expired", 1);
                AdmissionClass::Newcomer
            }
        }
    }

    /// Whether a caller was refused before, by this daemon or, as far as is known, by another one. The time
    /// that it has used up decides only where this daemon may lack the reports, after a start: callers choose
    /// their deadlines, so that a first attempt may have less time than its route allows.
    fn was_refused(&self, service: &Service, call: &Call, now: Instant) -> bool {
        let tag = refusal_tag(&service.name, call.fingerprint());
        let left = call.time_left(call.arrived);
        let spent = call.route.timeout.saturating_sub(left);
        let by_time = AdmissionClass::of(left, call.route.timeout) == AdmissionClass::Returned;
        let refusals = self.refusals();
        let known = refusals.contains(tag, now) || (by_time && refusals.may_lack(spent, now));
        drop(refusals);
        known || self.returns().is_reported(tag)
    }

    /// Whether a request during a shortage leaves free what is reserved for others. Only newcomers have to.
    pub(super) fn leaves_reserved(
        &self,
        servers: &Servers,
        applicant: &Applicant<'_>,
        now: Instant,
    ) -> bool {
        let Applicant { service, call, .. } = applicant;
        if applicant.admission_class != AdmissionClass::Newcomer {
            return true;
        }
        let Some(pool) = self.pool(servers, service, call, now) else {
            return true;
        };
        self.remove_expired_reservations(now);
        self.returns().newcomer_may_use(&service.name, applicant.load.into(), pool, now)
    }

    /// Completes a final refusal during a shortage: determines when the caller should come back, and reserves
    /// capacity for it.
    pub(super) fn schedule_return(
        &self,
        service: &Service,
        call: &Call,
        why: NoSlot,
        now: Instant,
    ) -> NoSlot {
        let name = &service.name;
        if !crowded::ends_with_capacity(why.reason) || !self.in_shortage(name) {
            return why;
        }
        let Some(pool) = self.pool(&self.servers(), service, call, now) else {
            return why;
        };
        self.remove_expired_reservations(now);
        let caller = Caller {
            key: call.fingerprint(),
            need: Load::of(call.size, call.route.repeatable()).into(),
            deferred: self.deferral(service, call) == Deferral::Deferred,
            slo_end: call.arrived + call.route.latency_slo,
            deadline: call.deadline,
        };
        let advice = self.returns().schedule(name, caller, pool, rand::random(), now);
        let (id, after_ms) = (call.id.as_str(), advice.after.as_millis() as u64);
        if advice.due.is_some() {
            self.count_reservations(name, "made", 1);
            let peer_age_ms = advice.peer_age.map(|age| age.as_millis() as u64);
            info!(
                id = id, request = caller.key.to_string().as_str(), service = &**name, after_ms = after_ms,
                memory = caller.need.memory as i64, prompt = caller.need.prompt as i64, deferred = caller.deferred,
                free_memory = pool.free.memory as i64, free_prompt = pool.free.prompt as i64,
                freed_memory = advice.freed.memory as i64, freed_prompt = advice.freed.prompt as i64,
                own_memory = advice.own.memory as i64, own_prompt = advice.own.prompt as i64,
                peer_memory = advice.peers.memory as i64, peer_prompt = advice.peers.prompt as i64,
                peer_age_ms = peer_age_ms;
                "capacity reserved for a refused caller"
            );
        } else if !advice.no_room {
            self.count_reservations(name, "dropped", 1);
            warn!(id = id, service = &**name, after_ms = after_ms; "reservation dropped: too many");
        }
        let tag = refusal_tag(name, caller.key);
        self.refusals().record(tag, now + advice.after, now);
        let reason = if advice.no_room { NO_ROOM_IN_TIME } else { why.reason };
        NoSlot { reason, retry_after: advice.after, due: None }
    }

    /// Records capacity that a request of this daemon has freed at a server. Capacity of a server that takes
    /// no new work doesn't count.
    pub(super) fn record_freed(&self, key: ServerKey, tokens: Tokens, now: Instant) {
        let service = {
            let servers = self.servers();
            let server = servers.get(key).filter(|s| servers.is_open(&s.record.service, s));
            server.map(|server| server.record.service.clone())
        };
        let Some(service) = service else {
            return;
        };
        let declared = self.in_force.get();
        let has_engine = |s: &Arc<Service>| s.engine.is_some();
        if declared.is_some_and(|d| d.table.service(&service).is_some_and(has_engine)) {
            self.returns().record_freed(&service, tokens, now);
        }
    }

    /// What to report to peers of the capacity that is freed and reserved.
    pub(super) fn reservations_for_peers(&self, now: Instant) -> Vec<(Tag, Load)> {
        self.remove_expired_reservations(now);
        let mut reported = self.returns().for_peers(now);
        reported.extend(self.refusals().for_peers(now));
        reported
    }

    /// Capacity of the engines that a request may go to; `None` for services without engines.
    fn pool(
        &self,
        servers: &Servers,
        service: &Service,
        call: &Call,
        now: Instant,
    ) -> Option<Pool> {
        let engine = service.engine.as_ref()?;
        let (bound, deferred) =
            self.shortage_bounds(service, engine, call, AdmissionClass::Returned);
        let bound = deferred.unwrap_or(bound);
        let mut free = Tokens::default();
        let may_take = self.may_take(service, call, &[], now);
        let open = OpenServers::of(servers, &service.name);
        for (key, server) in open.servers {
            if may_take(key, server) && !server.is_skipped(now) {
                free += bound.room(server.load()).times(open.weight);
            }
        }
        let fraction = self.budget().request_fraction(&service.name, now);
        Some(Pool { free, fraction })
    }

    fn remove_expired_reservations(&self, now: Instant) {
        let expired = self.returns().remove_expired(now);
        for (service, count) in expired {
            self.count_reservations(&service, "expired", count);
        }
    }

    fn count_reservations(&self, service: &str, state: &str, count: usize) {
        self.metrics.reservations.with_label_values(&[service, state]).inc_by(count as u64);
    }
}
