//! Applies what servers say about themselves in their answers, and tracks their backoffs.

use super::{ServerKey, Servers};
use crate::gateway::condition::Remarks;
use crate::gateway::server::Server;
use log::info;
use std::time::{Duration, Instant};

/// Which of an answer's remarks are new.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewRemarks {
    /// The server is leaving.
    pub leaving: bool,
    /// A backoff, or a longer one.
    pub backs_off: bool,
    /// A limit, a considerably different one, or the end of one.
    pub limit: bool,
    /// That it is brittle, or no longer.
    pub brittle: bool,
}

/// Backoffs of the servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoffs {
    /// Time until the first backoff ends; `None` where no server is backing off.
    pub first: Option<Duration>,
    /// Whether all servers are backing off.
    pub all: bool,
}

impl Backoffs {
    fn merge(self, other: Backoffs) -> Backoffs {
        let first = self.first.into_iter().chain(other.first).min();
        Backoffs { first, all: self.all && other.all }
    }
}

impl Servers {
    /// Applies what an answer to a request that was sent at `asked` says about its server. Returns what is
    /// new.
    pub fn handle_remarks(
        &mut self,
        key: ServerKey,
        remarks: &Remarks,
        asked: Instant,
        now: Instant,
    ) -> NewRemarks {
        let limit = self.update_limit(key, remarks.limit, asked, now);
        let leaving = remarks.leaving && self.mark_leaving(key, now);
        let brittle = self.update_brittle(key, remarks.brittle, asked, now);
        let Some(server) = self.arena.get_mut(key) else {
            return NewRemarks::default();
        };
        let condition = &mut server.condition;
        if let Some(left) = remarks.cold {
            condition.cold.reported(left, now);
        }
        let backs_off = remarks.backoff.is_some_and(|time| condition.extend_backoff(time, now));
        if backs_off {
            self.backing_off.insert(key);
        }
        NewRemarks { leaving, backs_off, limit, brittle }
    }

    /// Whether a server has asked this daemon to back off, and the time is not over.
    pub fn is_backing_off(&self, key: ServerKey, now: Instant) -> bool {
        self.arena.get(key).is_some_and(|server| server.is_backing_off(now))
    }

    /// Number of servers that are backing off, as of the last call of [`Servers::prune`].
    pub fn count_backing_off(&self) -> usize {
        self.backing_off.len()
    }

    /// Drops and logs the backoffs that are over.
    pub(super) fn end_backoffs(&mut self, now: Instant) {
        let arena = &self.arena;
        self.backing_off.retain(|key| {
            let server = arena.get(*key);
            let backing_off = server.is_some_and(|server| server.is_backing_off(now));
            if let Some(server) = server.filter(|_| !backing_off) {
                info!(server = &*server.record.id; "server's backoff is over");
            }
            backing_off
        });
    }

    /// Backoffs of the open servers of a service that `may_serve` accepts; `None` where there are no such
    /// servers.
    pub fn backoffs(
        &self,
        service: &str,
        may_serve: impl Fn(&Server) -> bool,
        now: Instant,
    ) -> Option<Backoffs> {
        let mut total = None;
        for (_, server) in self.open(service).filter(|(_, server)| may_serve(server)) {
            let left = server.condition.backoff(now).map(|backoff| backoff.until - now);
            let one = Backoffs { first: left, all: left.is_some() };
            total = Some(total.map_or(one, |others: Backoffs| others.merge(one)));
        }
        total
    }
}
