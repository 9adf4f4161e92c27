//! What servers say of the requests a second that they take, and what this daemon may send them.

use super::{ServerKey, Servers, get_by_tag_mut};
use crate::gateway::clock::minus_millis;
use crate::gateway::limit::{LimitRemark, LimitReport, Share};
use crate::gateway::server::Server;
use crate::gateway::tag::Tag;
use log::info;
use std::time::Instant;

impl Servers {
    /// Takes in what an answer to a request that was sent at `asked` says of its server's limit. Says whether
    /// other daemons should hear of it at once.
    ///
    /// That a limit is named counts from now on, and that none is named from when the request was sent: an
    /// answer that was long on its way does not take back what the server has said since.
    pub fn update_limit(
        &mut self,
        key: ServerKey,
        remark: LimitRemark,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let Some(server) = self.arena.get_mut(key) else {
            return false;
        };
        let is_new = match remark {
            LimitRemark::Unlimited => server.condition.limit.update(None, asked, now),
            LimitRemark::Rate(rate) => server.condition.limit.update(Some(rate), now, now),
            LimitRemark::Unknown => false,
        };
        self.refresh_limited(key, now);
        is_new
    }

    /// Notes whether a server names a limit, and that others are to be told of it.
    pub(super) fn refresh_limited(&mut self, key: ServerKey, now: Instant) {
        let limit = &self.arena[key].condition.limit;
        if limit.for_peers(now).is_some() {
            self.reportable.insert(key);
        }
        match limit.rate() {
            Some(_) => self.limited.insert(key),
            None => self.limited.remove(&key),
        };
    }

    /// Servers of a service that name a limit and take new work.
    pub fn limited<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        let named = self.limited.iter().filter_map(|key| Some((*key, self.arena.get(*key)?)));
        named.filter(move |(_, server)| self.is_open(service, server))
    }

    /// Brings up to date what this daemon may send to servers in need, by its share of each.
    pub fn update_quotas(&mut self, service: &str, share: impl Fn(Tag) -> Share, now: Instant) {
        let keys: Vec<ServerKey> = self.limited(service).map(|(key, _)| key).collect();
        for key in keys {
            let server = &mut self.arena[key];
            server.condition.limit.update_quota(share(server.tag), now);
        }
    }

    /// Notes that a request goes to a server, in case it is in need.
    pub fn use_quota(&mut self, key: ServerKey) {
        if let Some(server) = self.arena.get_mut(key) {
            server.condition.limit.use_one();
        }
    }

    /// Notes that a request does not go to a server after all.
    pub fn return_quota(&mut self, key: ServerKey) {
        if let Some(server) = self.arena.get_mut(key) {
            server.condition.limit.return_one();
        }
    }

    /// Gives room for one request at one of these servers to another daemon, where this one has some.
    pub fn lend(&mut self, wanted: &[Tag]) -> Option<Tag> {
        let has_quota = |key: &ServerKey| {
            let limit = &self.arena[*key].condition.limit;
            limit.may_lend() && limit.quota().is_some_and(|quota| quota >= 1.0)
        };
        let mut known = wanted.iter().filter_map(|tag| self.by_tag.get(tag).copied());
        let key = known.find(has_quota)?;
        self.use_quota(key);
        Some(self.arena[key].tag)
    }

    /// Another daemon has given room for one request at a server.
    pub fn add_borrowed_quota(&mut self, server: Tag) {
        if let Some(key) = self.by_tag.get(&server).copied() {
            self.return_quota(key);
        }
    }

    /// How many servers name a limit.
    pub fn count_limited(&self) -> usize {
        self.limited.len()
    }

    /// Takes over what another daemon heard of limits, told by a message sent at `sent` at the earliest.
    pub(super) fn merge_limits(
        &mut self,
        limits: &[(Tag, LimitReport)],
        sent: Instant,
        now: Instant,
    ) {
        for (tag, report) in limits {
            let Some((key, server)) = get_by_tag_mut(&self.by_tag, &mut self.arena, *tag) else {
                continue;
            };
            let Some(said) = minus_millis(sent, report.age_ms) else {
                continue;
            };
            if server.condition.limit.update(report.rate, said, now) {
                info!(server = &*server.record.id, per_second = report.rate; "a peer says what a server takes");
            }
            self.refresh_limited(key, now);
        }
    }
}
