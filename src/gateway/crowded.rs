//! Decides whether a request is admitted at the server that was chosen for it.
//!
//! The individual decisions are in modules of their own; this one calls them in order. The first that
//! refuses determines the reason and the time after which the caller should retry.

use crate::gateway::admission::{self, AdmissionClass, Bound};
use crate::gateway::core::Gateway;
use crate::gateway::request::Call;
use crate::gateway::servers::{Load, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::table::Service;
use log::info;
use std::time::Instant;

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

impl Gateway {
    /// Decides whether the request is admitted, or why not. `servers` are all known servers.
    pub(super) fn admit(
        &self,
        servers: &Servers,
        applicant: &Applicant<'_>,
        _now: Instant,
    ) -> Result<(), NoSlot> {
        if !applicant.bound.admits(applicant.server_load) {
            return Err(applicant.refused("crowded"));
        }
        self.admit_by_share(servers, applicant, self.in_shortage(applicant.service))
    }

    /// Whether a service's pool is short of capacity. Always false until shortages are determined.
    fn in_shortage(&self, _service: &Service) -> bool {
        false
    }

    /// Refuses a newcomer whose workspace holds more than its share of a pool that is short of capacity.
    fn admit_by_share(
        &self,
        servers: &Servers,
        applicant: &Applicant<'_>,
        in_shortage: bool,
    ) -> Result<(), NoSlot> {
        let Applicant { service, call, .. } = applicant;
        let is_newcomer = applicant.admission_class == AdmissionClass::Newcomer;
        let (Some(engine), true) = (&service.engine, in_shortage && is_newcomer) else {
            return Ok(());
        };
        let memory = servers.open(&service.name).count() as u64 * u64::from(engine.memory);
        let tag = call.share_tag(&service.name);
        let Some(excess) = self.shares().excess(tag, applicant.load, memory) else {
            return Ok(());
        };
        info!(
            id = call.id.as_str(),
            service = &*service.name,
            workspace = call.credential.as_ref().map_or("", |credential| &*credential.workspace),
            tokens = excess.held,
            share = excess.share;
            "refused, workspace over its share"
        );
        Err(applicant.refused("over_share"))
    }
}
