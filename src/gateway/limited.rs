//! Quota at servers that name a rate limit: admitting requests to them, lending and borrowing between
//! daemons, and the answer to callers for whom there is no quota.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::core::{Gateway, LimitedServer};
use crate::gateway::limit::{CellShare, Share};
use crate::gateway::promises::Quota;
use crate::gateway::request::Call;
use crate::gateway::servers::{Server, ServerKey, Servers};
use crate::gateway::slot::NoSlot;
use crate::gateway::table::Service;
use crate::gateway::tag::Tag;
use std::sync::Arc;
use std::time::Instant;

/// Reason of a refusal where every server that could take the request is limited and out of quota.
pub(super) const SERVERS_IN_NEED: &str = "servers_in_need";

/// Whether this daemon may send a server one more request: the server has no limit, or the daemon has quota
/// left and the request `may_use` it.
pub(super) fn has_quota(server: &Server, may_use: bool) -> bool {
    server.limit().quota().is_none_or(|quota| may_use && quota >= 1.0)
}

impl Gateway {
    /// Updates and sums the quota at the limited servers of a service that may take a request; `None` where
    /// there are no such servers.
    pub(super) fn limited_quota(
        &self,
        servers: &mut Servers,
        service: &Arc<str>,
        may_take: impl Fn(ServerKey, &Server) -> bool,
        now: Instant,
    ) -> Option<Quota> {
        // Returns early in the common case that no server is limited.
        servers.limited(service).next()?;
        let mut budget = self.budget();
        let (fraction, cell_fraction) =
            (budget.request_fraction(service, now), budget.cell_fraction(service, now));
        let (_, rank) = *self.cold.lock().expect("no holder panics");
        let near = budget.cell_peers();
        let share = |server: Tag| {
            let (daemons, place) = (near.count(), near.rank(server));
            let cell = CellShare { fraction: cell_fraction, daemons, position: place };
            Share { fraction, phase: rank.phase(server), cell }
        };
        servers.update_quotas(service, share, now);
        drop(budget);
        let limited = servers.limited(service).filter(|(key, server)| may_take(*key, server));
        limited.fold(None, |quota: Option<Quota>, (_, server)| {
            let (limit, mut quota) = (server.limit(), quota.unwrap_or_default());
            quota.now += limit.quota().unwrap_or_default().max(0.0).floor();
            quota.refill_rate += limit.refill_rate() * fraction;
            quota.total_rate += limit.refill_rate();
            Some(quota)
        })
    }

    /// Whether a request of this class may use quota: newcomers leave what is reserved for callers who come
    /// back.
    pub(super) fn may_use_quota(
        &self,
        quota: Quota,
        service: &Arc<str>,
        admission_class: AdmissionClass,
        now: Instant,
    ) -> bool {
        match admission_class {
            AdmissionClass::Newcomer => {
                let mut promises = self.promises();
                promises.entry(service.clone()).or_default().newcomer_may_use(quota, now)
            }
            AdmissionClass::Returned | AdmissionClass::Begun => true,
        }
    }

    /// Ends the reservation of a caller who has come back and now uses quota.
    pub(super) fn fulfill_promise(
        &self,
        service: &Arc<str>,
        admission_class: AdmissionClass,
        now: Instant,
    ) {
        if admission_class == AdmissionClass::Returned
            && let Some(promises) = self.promises().get_mut(service)
        {
            promises.fulfill_promise(now);
        }
    }

    /// Builds the refusal of a request for which no server has quota, with the time at which to retry.
    pub(super) fn no_quota(
        &self,
        quota: Quota,
        service: &Arc<str>,
        call: &Call,
        now: Instant,
    ) -> NoSlot {
        let demand = self.budget().rate(service, now);
        let mut promises = self.promises();
        let promises = promises.entry(service.clone()).or_default();
        let back = promises.retry_advice(quota, demand, call.time_left(now), now);
        NoSlot { reason: SERVERS_IN_NEED, retry_after: back.after, due: back.due }
    }

    /// Asks other daemons for quota for a request that would be refused here. Returns whether one lent it.
    ///
    /// Where only some daemons of the cell hold quota, it is worth asking them in any case. Where every
    /// daemon does, quota is left over only while all requests for the service are fewer than the limited
    /// servers take.
    pub(super) async fn borrow_quota(
        &self,
        service: &Service,
        call: &Call,
        tried: &[ServerKey],
        now: Instant,
    ) -> bool {
        let may_take = self.may_take(service, call, tried, now);
        let daemons = self.budget().cell_peers().count();
        let (mut wanted, mut pace) = (Vec::new(), 0.0);
        for (key, server) in self.servers().limited(&service.name) {
            let holders = server.limit().holders();
            if holders > 0 && may_take(key, server) {
                wanted.push(LimitedServer { server: server.tag(), holders });
                pace += server.limit().refill_rate();
            }
        }
        let few_hold = wanted.iter().any(|wanted| wanted.holders < daemons);
        let left_over = few_hold || self.budget().rate(&service.name, now) <= pace;
        let worth_asking = !wanted.is_empty() && left_over;
        let Some(hearing) = self.peer_source().filter(|_| worth_asking) else {
            return false;
        };
        let given = hearing.borrow_quota(wanted).await;
        if let Some(server) = given {
            self.servers().add_borrowed_quota(server);
        }
        given.is_some()
    }

    /// Lends a peer the quota for one request at one of the `wanted` servers. Returns the server; `None`
    /// where this daemon has no quota, or has reserved it.
    pub(super) fn lend_quota(&self, wanted: &[Tag], now: Instant) -> Option<Tag> {
        let mut servers = self.servers();
        let service = servers.get_by_tag(*wanted.first()?)?.record.service.clone();
        let quota = self.limited_quota(&mut servers, &service, |_, _| true, now)?;
        match self.may_use_quota(quota, &service, AdmissionClass::Newcomer, now) {
            true => servers.lend(wanted),
            false => None,
        }
    }

    /// Reserves quota for a refused caller that should retry at `due`.
    pub(super) fn reserve_quota(&self, service: &Arc<str>, due: Instant) {
        self.promises().entry(service.clone()).or_default().reserve(due);
    }
}
