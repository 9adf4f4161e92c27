//! Decides whether a request is admitted at the server that was chosen for it.
//!
//! The individual decisions are in modules of their own; this one calls them in order. The first that
//! refuses determines the reason and the time after which the caller should retry.

use crate::gateway::admission::{self, AdmissionClass, Bound};
use crate::gateway::core::Gateway;
use crate::gateway::place::Candidate;
use crate::gateway::request::Call;
use crate::gateway::servers::{Load, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::table::Service;
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

/// Reason of a refusal where the chosen server is too crowded.
const CROWDED: &str = "crowded";
/// Reason of a refusal where the capacity is reserved for callers that return.
const PROMISED: &str = "promised";

/// Whether a refusal for this reason ends once capacity is freed, so that the caller may be told when.
pub(super) fn ends_with_capacity(reason: &str) -> bool {
    matches!(reason, CROWDED | PROMISED)
}

impl Gateway {
    /// Restricts the candidates for a returning caller during a shortage to servers that admit it, if there
    /// are any. It was told that there would be capacity, and the server that suits it best may lack the one
    /// of memory and prompt that others have left.
    pub(super) fn admitting<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        service: &Service,
        admission_class: AdmissionClass,
        bound: Bound,
    ) -> Vec<Candidate<'a>> {
        if admission_class != AdmissionClass::Returned || !self.in_shortage(&service.name) {
            return candidates;
        }
        let admits = |candidate: &Candidate<'_>| bound.admits(candidate.load);
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
        let reason = if !applicant.bound.admits(applicant.server_load) {
            CROWDED
        } else if !self.leaves_reserved(servers, applicant, now) {
            PROMISED
        } else {
            return Ok(());
        };
        let waiting = applicant.server_load.unread_prompt;
        let retry_after = admission::retry_after(waiting, &mut rand::rng());
        Err(NoSlot { reason, retry_after, due: None })
    }
}
