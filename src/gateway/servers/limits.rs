//! Rate limits that servers name, and this daemon's quota for them.

use super::{ServerKey, Servers, get_by_tag_mut};
use crate::gateway::clock::minus_millis;
use crate::gateway::limit::{LimitRemark, LimitReport, Share};
use crate::gateway::server::Server;
use crate::gateway::tag::Tag;
use log::info;
use std::time::Instant;

impl Servers {
    /// Applies what an answer to a request that was sent at `asked` says about its server's limit. Returns
    /// whether the change should be reported to peers at once.
    ///
    /// A limit is dated now, while the absence of one is dated when the request was sent: an answer that took
    /// long must not cancel a limit that the server has named since.
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

    /// Updates whether a server counts as limited, and whether its limit is reported to peers.
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

    /// Servers of a service that have a rate limit and take new work.
    pub fn limited<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a Server)> {
        let named = self.limited.iter().filter_map(|key| Some((*key, self.arena.get(*key)?)));
        named.filter(move |(_, server)| self.is_open(service, server))
    }

    /// Updates this daemon's quota at the limited servers of a service, by its share of each limit.
    pub fn update_quotas(&mut self, service: &str, share: impl Fn(Tag) -> Share, now: Instant) {
        let keys: Vec<ServerKey> = self.limited(service).map(|(key, _)| key).collect();
        for key in keys {
            let server = &mut self.arena[key];
            server.condition.limit.update_quota(share(server.tag), now);
        }
    }

    /// Uses quota for a request that is sent to a server; without effect where the server is not limited.
    pub fn use_quota(&mut self, key: ServerKey) {
        if let Some(server) = self.arena.get_mut(key) {
            server.condition.limit.use_one();
        }
    }

    /// Returns the quota of a request that is not sent to a server after all.
    pub fn return_quota(&mut self, key: ServerKey) {
        if let Some(server) = self.arena.get_mut(key) {
            server.condition.limit.return_one();
        }
    }

    /// Lends another daemon quota for one request at the first of the `wanted` servers for which there is
    /// some.
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

    /// Adds quota for one request at a server that another daemon has lent.
    pub fn add_borrowed_quota(&mut self, server: Tag) {
        if let Some(key) = self.by_tag.get(&server).copied() {
            self.return_quota(key);
        }
    }

    /// Number of servers that have a rate limit.
    pub fn count_limited(&self) -> usize {
        self.limited.len()
    }

    /// Merges limits that a peer reported in a message that was sent at `sent` or later.
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
                info!(server = &*server.record.id, per_second = report.rate; "peer reports a server's limit");
            }
            self.refresh_limited(key, now);
        }
    }
}
