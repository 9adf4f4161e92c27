//! Decides whether a request is admitted at the server that was chosen for it.
//!
//! The individual decisions are in modules of their own; this one calls them in order. The first that
//! refuses determines the reason and the time after which the caller should retry.

use crate::gateway::admission::{self, AdmissionClass, Bound};
use crate::gateway::candidates::OpenServers;
use crate::gateway::core::Gateway;
use crate::gateway::place::Candidate;
use crate::gateway::request::Call;
use crate::gateway::servers::{Load, Servers};
use crate::gateway::shares::Excess;
use crate::gateway::slot::NoSlot;
use crate::gateway::table::{Engine, Service};
use crate::gateway::urgency::{self, Deferral, Shortage};
use log::info;
use std::time::Instant;

/// Largest priority that counters distinguish; larger ones are counted with it.
const MAX_PRIORITY: u8 = 9;

/// A request that asks for admission at a chosen server.
pub(super) struct Applicant<'a> {
    /// The service that handles the request.
    pub service: &'a Service,
    /// The caller's request.
    pub call: &'a Call,
    /// Whether the request is new, came back after a refusal, or has begun.
    pub admission_class: AdmissionClass,
    /// Upper bounds on the load at the server.
    pub bound: Bound,
    /// Load that the request is expected to cause.
    pub load: Load,
    /// Load of all daemons at the chosen server, without the request.
    pub server_load: Load,
}

impl Applicant<'_> {
    /// The refusal of a request that may be retried when the server has read what waits there.
    fn refused(&self, reason: &'static str) -> NoSlot {
        let waiting = self.server_load.unread_prompt;
        let retry_after = admission::retry_after(waiting, &mut rand::rng());
        NoSlot { reason, retry_after, due: None }
    }
}

/// Reason of a refusal where the chosen server is too crowded.
pub(super) const CROWDED: &str = "crowded";
/// Reason of a refusal where a deferrable request leaves headroom to more urgent ones.
pub(super) const YIELDS: &str = "yields";
/// Reason of a refusal where the request's workspace holds more than its share of the pool.
const OVER_SHARE: &str = "over_share";
/// Reason of a refusal where the capacity is reserved for callers that return.
const PROMISED: &str = "promised";

/// Whether a refusal for this reason ends once capacity is freed, so that the caller may be told when.
pub(super) fn ends_with_capacity(reason: &str) -> bool {
    matches!(reason, CROWDED | YIELDS | OVER_SHARE | PROMISED)
}

impl Gateway {
    /// Restricts the candidates for a returning caller during a shortage to servers that admit it, if there
    /// are any. It was told that there would be capacity, and the server that suits it best may lack the one
    /// of memory and prompt that others have left.
    pub(super) fn admitting<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        service: &Service,
        call: &Call,
        admission_class: AdmissionClass,
    ) -> Vec<Candidate<'a>> {
        let Some(engine) = &service.engine else {
            return candidates;
        };
        if admission_class != AdmissionClass::Returned || !self.in_shortage(&service.name) {
            return candidates;
        }
        let (bound, deferred) = self.shortage_bounds(service, engine, call, admission_class);
        let admits =
            |candidate: &Candidate<'_>| urgency::check(candidate.load, bound, deferred).is_ok();
        match candidates.iter().any(admits) {
            true => candidates.into_iter().filter(admits).collect(),
            false => candidates,
        }
    }

    /// Decides whether the request is admitted, or why not. `servers` are all known servers.
    pub(super) fn admit(
        &self,
        servers: &Servers,
        applicant: &Applicant<'_>,
        now: Instant,
    ) -> Result<(), NoSlot> {
        let shortage = self.shortage(servers, applicant.service, now);
        let decision = match (&applicant.service.engine, shortage) {
            (Some(engine), Some(_)) => self.admit_in_shortage(servers, engine, applicant, now),
            _ => urgency::check(applicant.server_load, applicant.bound, None)
                .map_err(|reason| applicant.refused(reason)),
        };
        decision.inspect_err(|refusal| log_refusal(applicant, shortage, refusal, now))
    }

    fn admit_in_shortage(
        &self,
        servers: &Servers,
        engine: &Engine,
        applicant: &Applicant<'_>,
        now: Instant,
    ) -> Result<(), NoSlot> {
        let excess = self.share_excess(servers, engine, applicant);
        // Otherwise a workspace that retries would keep more than its share by its returning callers.
        let class = match applicant.admission_class {
            AdmissionClass::Returned if excess.is_some() => AdmissionClass::Newcomer,
            class => class,
        };
        self.within_bounds(engine, applicant, class)?;
        if let (Some(excess), AdmissionClass::Newcomer) = (excess, applicant.admission_class) {
            self.within_share(engine, applicant, excess)?;
        }
        // Most reservations are those of deferred callers, to which more urgent ones don't yield.
        let yields = self.deferral(applicant.service, applicant.call) != Deferral::Favoured;
        match !yields || self.leaves_reserved(servers, applicant, now) {
            true => Ok(()),
            false => Err(applicant.refused(PROMISED)),
        }
    }

    /// Decides about a newcomer whose workspace holds more than its share: it leaves the same headroom as
    /// deferred requests. It is not refused outright, as capacity that no other workspace needs would be lost.
    fn within_share(
        &self,
        engine: &Engine,
        applicant: &Applicant<'_>,
        excess: Excess,
    ) -> Result<(), NoSlot> {
        let slo = self.latency_slo(applicant.service, applicant.call);
        let bound = Bound::deferred(slo, engine, AdmissionClass::Newcomer);
        if bound.admits(applicant.server_load) {
            return Ok(());
        }
        log_excess(applicant, excess);
        Err(applicant.refused(OVER_SHARE))
    }

    /// Decides by the load at the server. Deferrable requests leave headroom to more urgent ones.
    fn within_bounds(
        &self,
        engine: &Engine,
        applicant: &Applicant<'_>,
        class: AdmissionClass,
    ) -> Result<(), NoSlot> {
        let (service, call) = (applicant.service, applicant.call);
        let (bound, deferred) = self.shortage_bounds(service, engine, call, class);
        urgency::check(applicant.server_load, bound, deferred)
            .map_err(|reason| applicant.refused(reason))
    }

    /// The bound for a request during a shortage, and the lower one that also holds if it is deferred.
    pub(super) fn shortage_bounds(
        &self,
        service: &Service,
        engine: &Engine,
        call: &Call,
        class: AdmissionClass,
    ) -> (Bound, Option<Bound>) {
        let slo = self.latency_slo(service, call);
        let ordinary = Bound::of(slo, engine, class);
        match self.deferral(service, call) {
            Deferral::None => (ordinary, None),
            Deferral::Favoured => (Bound::favoured(slo, engine, class), None),
            Deferral::Deferred => (ordinary, Some(Bound::deferred(slo, engine, class))),
        }
    }

    /// By how much the request's workspace holds more than its share of the pool, if it does.
    fn share_excess(
        &self,
        servers: &Servers,
        engine: &Engine,
        applicant: &Applicant<'_>,
    ) -> Option<Excess> {
        let name = &applicant.service.name;
        let open = OpenServers::of(servers, name);
        let memory = open.servers.len() as f64 * open.weight * f64::from(engine.memory);
        let tag = applicant.call.share_tag(name);
        self.shares().excess(tag, applicant.load, memory as u64)
    }

    /// Counts the decision about a request to an engine, which the caller reports once. Streams that continue
    /// are not counted.
    pub(super) fn count_admission(
        &self,
        service: &Service,
        call: &Call,
        admission_class: AdmissionClass,
        refused: Option<&'static str>,
    ) {
        if service.engine.is_none() || admission_class == AdmissionClass::Begun {
            return;
        }
        let priority = call.priority().min(MAX_PRIORITY).to_string();
        let labels = [&*service.name, priority.as_str()];
        let returned = admission_class == AdmissionClass::Returned;
        let metrics = &self.metrics;
        match refused {
            None => {
                metrics.admitted.with_label_values(&labels).inc();
                if returned {
                    metrics.returned_admitted.with_label_values(&labels).inc();
                }
            }
            Some(reason) => {
                let labels = [labels[0], labels[1], reason];
                metrics.refused.with_label_values(&labels).inc();
                if returned {
                    metrics.returned_refused.with_label_values(&labels).inc();
                }
            }
        }
    }
}

/// Logs that the workspace of a request holds more than its share.
fn log_excess(applicant: &Applicant<'_>, excess: Excess) {
    let call = applicant.call;
    let workspace = call.credential.as_ref().map_or("", |credential| &*credential.workspace);
    info!(
        id = call.id.as_str(), service = &*applicant.service.name, workspace = workspace,
        tokens = excess.held, share = excess.share;
        "workspace over its share"
    );
}

/// Logs a refusal with the figures that decided it.
fn log_refusal(
    applicant: &Applicant<'_>,
    shortage: Option<Shortage>,
    refusal: &NoSlot,
    now: Instant,
) {
    let (call, there) = (applicant.call, applicant.server_load);
    let (id, route, service) =
        (call.id.as_str(), call.route.name.as_str(), &*applicant.service.name);
    let class = applicant.admission_class.name();
    let pool = shortage.map(|shortage| shortage.pool).unwrap_or_default();
    let left_ms = call.time_left(now).as_millis() as u64;
    let retry_ms = refusal.retry_after.as_millis() as u64;
    info!(
        id = id, route = route, service = service, priority = call.priority(), class = class,
        why = refusal.reason, unread = there.unread_prompt, tokens = there.tokens, runs = there.runs,
        prompt = applicant.load.unread_prompt, shortage = shortage.is_some(), open = pool.open,
        refusing = pool.refusing, left_ms = left_ms, retry_ms = retry_ms;
        "not admitted"
    );
}
