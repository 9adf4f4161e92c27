//! Taking in what servers say of themselves, and telling where requests go all the same.

use crate::gateway::condition::Remarks;
use crate::gateway::core::Gateway;
use crate::gateway::limit::LimitWord;
use crate::gateway::request::Call;
use crate::gateway::servers::ServerKey;
use crate::time;
use log::info;
use std::time::Instant;

impl Gateway {
    /// Takes in what an answer to something that was sent at `asked` says of its server.
    pub(crate) fn hear(&self, server: ServerKey, remarks: &Remarks, asked: Instant) {
        let now = time::now();
        let news = self.servers().hear(server, remarks, asked, now);
        let id = self.server_id(server).unwrap_or_default();
        if news.leaves {
            // The store may say so much later, or never, and every daemon sends requests there until it knows.
            info!(server = &*id; "server says that it leaves");
            self.tell();
        }
        if let Some(rest) = remarks.rest.filter(|_| news.rests) {
            let ms = rest.as_millis() as u64;
            info!(server = &*id, ms = ms; "server asks for rest");
        }
        if news.limit {
            self.metrics.limited_servers.set(self.servers().count_in_need() as i64);
            match remarks.limit {
                LimitWord::Rate(rate) => {
                    info!(server = &*id, per_second = rate; "server names a limit")
                }
                _ => info!(server = &*id; "server names no limit any more"),
            }
            self.tell();
        }
    }

    /// Writes a line where a request goes to a server that has said something of itself.
    pub(crate) fn log_remarked(&self, call: &Call, server: ServerKey, now: Instant) {
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
        if let Some(at) = condition.leaving() {
            info!(id = request, server = &*id, told_ms = since(at); "sent to a server that leaves");
            self.metrics.unheeded_sendings.with_label_values(&["leaving"]).inc();
        }
        if let Some(rest) = condition.rest(now) {
            info!(id = request, server = &*id, told_ms = since(rest.asked); "sent to a server that rests");
            self.metrics.unheeded_sendings.with_label_values(&["rest"]).inc();
        }
    }
}
