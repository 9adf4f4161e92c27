//! Applies what servers say about themselves in answers, and logs requests that are sent to such servers all
//! the same.

use crate::gateway::condition::{BrittleRemark, Remarks};
use crate::gateway::core::Gateway;
use crate::gateway::limit::LimitRemark;
use crate::gateway::limited::SERVERS_IN_NEED;
use crate::gateway::request::Call;
use crate::gateway::servers::{Backoffs, NewRemarks, Server, ServerKey, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::table::Service;
use crate::time;
use log::info;
use rand::RngExt;
use std::time::{Duration, Instant};

/// Time after the end of the first backoff over which callers are spread who were refused because all servers
/// asked to back off. The server is idle by then, and would refuse most of them again if they came all at
/// once.
const AFTER_BACKOFF: Duration = Duration::from_millis(300);

impl Gateway {
    /// Applies what an answer to a request that was sent at `asked` says about its server.
    pub(crate) fn handle_remarks(&self, server: ServerKey, remarks: &Remarks, asked: Instant) {
        let now = time::now();
        let new = self.servers().handle_remarks(server, remarks, asked, now);
        if new == NewRemarks::default() {
            return;
        }
        let id = self.server_id(server).unwrap_or_default();
        if new.leaving {
            // The store may say so much later, or never, and the other daemons send requests there until they
            // know.
            info!(server = &*id; "server says that it leaves");
            self.signal_urgent_change();
        }
        if let Some(backoff) = remarks.backoff.filter(|_| new.backs_off) {
            info!(server = &*id, ms = backoff.as_millis() as u64; "server asks this daemon to back off");
        }
        if new.brittle {
            match remarks.brittle {
                BrittleRemark::Brittle => info!(server = &*id; "server says that it is brittle"),
                _ => info!(server = &*id; "server is no longer brittle"),
            }
        }
        if new.limit {
            self.metrics.limited_servers.set(self.servers().count_limited() as i64);
            match remarks.limit {
                LimitRemark::Rate(rate) => {
                    info!(server = &*id, per_second = rate; "server names a limit")
                }
                _ => info!(server = &*id; "server has no limit any more"),
            }
            self.signal_urgent_change();
        }
    }

    /// Adjusts the retry time of a refusal to the end of the first backoff: the caller should not come back
    /// sooner if all servers are backing off, nor later if the others have no quota.
    pub(super) fn after_backoff(
        &self,
        why: NoSlot,
        servers: &Servers,
        service: &Service,
        call: &Call,
        now: Instant,
    ) -> NoSlot {
        let allowed = self.allowed(call);
        let may_serve = |server: &Server| allowed.includes(&server.record.hall);
        let Some(Backoffs { first: Some(left), all }) =
            servers.backoffs(&service.name, may_serve, now)
        else {
            return why;
        };
        // Random, so that callers who were refused during the backoff don't come back together.
        let come_back = left + rand::rng().random_range(Duration::ZERO..AFTER_BACKOFF);
        match all || (why.reason == SERVERS_IN_NEED && come_back < why.retry_after) {
            true => NoSlot { retry_after: come_back, due: None, ..why },
            false => why,
        }
    }

    /// Logs and counts a request that is sent to a server that is limited, leaving or backing off.
    pub(crate) fn log_server_remarks(&self, call: &Call, server: ServerKey, now: Instant) {
        let Some((id, condition)) =
            self.servers().get(server).map(|s| (s.record.id.clone(), s.condition))
        else {
            return;
        };
        let request = call.id.as_str();
        let since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        if let Some(rate) = condition.limit.rate() {
            info!(id = request, server = &*id, per_second = rate; "sent to a server in need");
            self.metrics.limited_sendings.inc();
        }
        if let Some(at) = condition.leaving_since() {
            info!(id = request, server = &*id, told_ms = since(at); "sent to a server that is leaving");
            self.metrics.unheeded_sendings.with_label_values(&["leaving"]).inc();
        }
        if let Some(backoff) = condition.backoff(now) {
            info!(id = request, server = &*id, told_ms = since(backoff.requested_at); "sent to a server during its backoff");
            self.metrics.unheeded_sendings.with_label_values(&["rest"]).inc();
        }
    }
}
