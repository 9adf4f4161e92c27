//! Taking in what servers say of themselves, and telling where requests go all the same.

use crate::gateway::condition::Remarks;
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

/// Time within which callers come back who were refused because all servers rest, from the end of the first rest
/// on. At that moment the server is idle, and would turn most of them away again if they came together.
const AFTER_BACKOFF: Duration = Duration::from_millis(300);

impl Gateway {
    /// Takes in what an answer to something that was sent at `asked` says of its server.
    pub(crate) fn handle_remarks(&self, server: ServerKey, remarks: &Remarks, asked: Instant) {
        let now = time::now();
        let new = self.servers().handle_remarks(server, remarks, asked, now);
        if new == NewRemarks::default() {
            return;
        }
        let id = self.server_id(server).unwrap_or_default();
        if new.leaving {
            // The store may say so much later, or never, and every daemon sends requests there until it knows.
            info!(server = &*id; "server says that it leaves");
            self.signal_urgent_change();
        }
        if let Some(backoff) = remarks.backoff.filter(|_| new.backs_off) {
            info!(server = &*id, ms = backoff.as_millis() as u64; "server asks for rest");
        }
        if new.limit {
            self.metrics.limited_servers.set(self.servers().count_limited() as i64);
            match remarks.limit {
                LimitRemark::Rate(rate) => {
                    info!(server = &*id, per_second = rate; "server names a limit")
                }
                _ => info!(server = &*id; "server names no limit any more"),
            }
            self.signal_urgent_change();
        }
    }

    /// Why a request gets no slot, with the time at which one of the servers that rest takes requests of this daemon
    /// again: its caller is not to come back sooner where all rest, nor later where the others have no room.
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
        // Those who are refused within a rest come back one after the other.
        let come_back = left + rand::rng().random_range(Duration::ZERO..AFTER_BACKOFF);
        match all || (why.reason == SERVERS_IN_NEED && come_back < why.retry_after) {
            true => NoSlot { retry_after: come_back, due: None, ..why },
            false => why,
        }
    }

    /// Writes a line where a request goes to a server that has said something of itself.
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
            info!(id = request, server = &*id, told_ms = since(at); "sent to a server that leaves");
            self.metrics.unheeded_sendings.with_label_values(&["leaving"]).inc();
        }
        if let Some(backoff) = condition.backoff(now) {
            info!(id = request, server = &*id, told_ms = since(backoff.requested_at); "sent to a server that rests");
            self.metrics.unheeded_sendings.with_label_values(&["rest"]).inc();
        }
    }
}
