//! What servers say of themselves in their answers.

use super::{ServerKey, Servers};
use crate::gateway::condition::Remarks;
use crate::gateway::server::Server;
use log::info;
use std::time::{Duration, Instant};

/// What of an answer's words was not known before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewRemarks {
    /// That the server leaves.
    pub leaving: bool,
    /// That it rests, or rests longer.
    pub backs_off: bool,
    /// A limit, its end, or another one.
    pub limit: bool,
}

/// Servers of a service that rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoffs {
    /// Time until the first of them has rested; `None` where none rests.
    pub first: Option<Duration>,
    /// Whether all rest.
    pub all: bool,
}

impl Backoffs {
    fn merge(self, other: Backoffs) -> Backoffs {
        let first = self.first.into_iter().chain(other.first).min();
        Backoffs { first, all: self.all && other.all }
    }
}

impl Servers {
    /// Takes in what an answer to something that was sent at `asked` says of its server.
    pub fn handle_remarks(
        &mut self,
        key: ServerKey,
        remarks: &Remarks,
        asked: Instant,
        now: Instant,
    ) -> NewRemarks {
        let limit = self.update_limit(key, remarks.limit, asked, now);
        let leaving = remarks.leaving && self.mark_leaving(key, now);
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
        NewRemarks { leaving, backs_off, limit }
    }

    /// Whether a server has asked this daemon for rest, and still rests.
    pub fn is_backing_off(&self, key: ServerKey, now: Instant) -> bool {
        self.arena.get(key).is_some_and(|server| server.is_backing_off(now))
    }

    /// How many servers rest, as of the last time at which it was looked.
    pub fn count_backing_off(&self) -> usize {
        self.backing_off.len()
    }

    /// Notes which servers' rests are over.
    pub(super) fn end_backoffs(&mut self, now: Instant) {
        let arena = &self.arena;
        self.backing_off.retain(|key| {
            let server = arena.get(*key);
            let backing_off = server.is_some_and(|server| server.is_backing_off(now));
            if let Some(server) = server.filter(|_| !backing_off) {
                info!(server = &*server.record.id; "server's rest is over");
            }
            backing_off
        });
    }

    /// When the first of a service's servers that `may_serve` will have rested; with `None`, there is no such server.
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
