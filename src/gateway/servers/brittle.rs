//! Servers that crash when they have to decline many requests, and say so.
//!
//! Such a server is sent no more requests than it runs at a time, so that none waits there, and nothing for a
//! while after it declined one, by this daemon or another. What one server of a service says is taken to hold
//! for all of them.

use super::{ServerKey, Servers};
use crate::gateway::condition::BrittleRemark;
use crate::gateway::server::Server;
use std::time::{Duration, Instant};

/// How long a brittle server that declined a request gets no other: declined requests are limited per second.
const FULL_TIME: Duration = Duration::from_secs(1);
/// How long a server counts as brittle that has not answered since.
const BRITTLE_LIFETIME: Duration = Duration::from_secs(10);

impl Servers {
    /// Applies what an answer to a request that was sent at `asked` says of its server. Returns whether that
    /// is new.
    pub(super) fn update_brittle(
        &mut self,
        key: ServerKey,
        remark: BrittleRemark,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let Some(server) = self.arena.get_mut(key) else {
            return false;
        };
        let was_brittle = server.condition.brittle_at.is_some();
        match remark {
            BrittleRemark::Brittle => server.condition.brittle_at = Some(now),
            // An answer that took long says nothing of what the server has said since.
            BrittleRemark::Sound if server.condition.brittle_at < Some(asked) => {
                server.condition.brittle_at = None;
            }
            BrittleRemark::Sound | BrittleRemark::Unknown => {}
        }
        let is_brittle = server.condition.brittle_at.is_some();
        match is_brittle {
            true => self.brittle.insert(key),
            false => self.brittle.remove(&key),
        };
        was_brittle != is_brittle
    }

    /// Whether servers of a service have said lately that they are brittle.
    pub fn is_brittle(&self, service: &str, now: Instant) -> bool {
        let servers = self.brittle.iter().filter_map(|key| self.arena.get(*key));
        let mut said = servers.filter(|server| &*server.record.service == service);
        said.any(|server| {
            let at = server.condition.brittle_at;
            at.is_some_and(|at| now.saturating_duration_since(at) <= BRITTLE_LIFETIME)
        })
    }

    /// Notes that a server declined a request. Returns whether it is brittle, so that other daemons should
    /// learn of it at once.
    pub fn note_declined(&mut self, key: ServerKey, now: Instant) -> bool {
        let service = self.arena.get(key).map(|server| server.record.service.clone());
        let brittle = service.is_some_and(|service| self.is_brittle(&service, now));
        if brittle && let Some(server) = self.arena.get_mut(key) {
            server.condition.full_until = Some(now + FULL_TIME);
            self.reportable.insert(key);
        }
        brittle
    }

    /// Notes that a peer sends a server nothing until then.
    pub(super) fn note_refusing(&mut self, key: ServerKey, until: Instant, now: Instant) {
        let service = self.arena[key].record.service.clone();
        let brittle = self.is_brittle(&service, now);
        let server = &mut self.arena[key];
        server.reach.mark_refusing(until, now);
        if brittle {
            server.condition.full_until = server.condition.full_until.max(Some(until));
        }
        self.reportable.insert(key);
    }
}

/// Whether a brittle server has room for another request.
pub(in crate::gateway) fn has_room(server: &Server, now: Instant) -> bool {
    let full = server.condition.full_until.is_some_and(|until| now < until);
    !full && !server.is_skipped(now) && server.load().runs < server.record.slots.max(1)
}
