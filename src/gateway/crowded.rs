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

impl Gateway {
    /// Decides whether the request is admitted, or why not. `servers` are all known servers.
    pub(super) fn admit(
        &self,
        servers: &Servers,
        applicant: &Applicant<'_>,
        now: Instant,
    ) -> Result<(), NoSlot> {
        self.shortage(servers, applicant.service, now);
        if !applicant.bound.admits(applicant.server_load) {
            let waiting = applicant.server_load.unread_prompt;
            let retry_after = admission::retry_after(waiting, &mut rand::rng());
            return Err(NoSlot { reason: "crowded", retry_after, due: None });
        }
        Ok(())
    }
}
