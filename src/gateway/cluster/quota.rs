//! Requests quota for limited servers from other daemons.

use super::Cluster;
use crate::gateway::cell::first_in_each_hall;
use crate::gateway::core::LimitedServer;
use crate::gateway::heartbeat::Request;
use crate::gateway::tag::Tag;
use crate::peer::NoAnswer;
use crate::time;
use log::debug;
use rand::seq::SliceRandom;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Timeout for one peer to lend quota at a limited server: a few round trips within a region.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(40);
/// Timeout for all peers together, which are asked one after the other. The caller waits meanwhile,
/// and is refused if none lends quota.
const TOTAL_QUOTA_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum number of peers of the same cell that are asked, one after the other. It covers a small
/// fleet. At a load of half a server's limit, about two thirds of the daemons with quota there have
/// some to lend.
const MAX_CELL_LENDERS: usize = 5;
/// Maximum number of daemons of other halls that are asked after those of the cell.
const MAX_HALL_LENDERS: usize = 3;
/// Daemons of other halls are asked only in fleets smaller than this: a daemon that holds quota may
/// get a link to each other daemon, and a small VM can handle only that many.
const MAX_FLEET_ASKING_HALLS: usize = 64;

impl Cluster {
    /// Asks other daemons for quota within the time that a caller may wait. Quota that is granted
    /// later stays unused.
    pub(super) async fn request_quota(&self, wanted: Vec<LimitedServer>) -> Option<Tag> {
        timeout(TOTAL_QUOTA_TIMEOUT, self.ask_lenders(wanted)).await.unwrap_or(None)
    }

    async fn ask_lenders(&self, wanted: Vec<LimitedServer>) -> Option<Tag> {
        let handler = self.weak_self.upgrade()?.handler();
        let servers: Vec<Tag> = wanted.iter().map(|w| w.server).collect();
        for peer in self.lenders(&wanted, time::now()) {
            let request = Request::Quota(servers.clone());
            let asked = self.links.ask::<Option<Tag>>(peer, &request, QUOTA_TIMEOUT, &handler);
            match asked.await {
                Ok(Some(server)) => return Some(server),
                Ok(None) => {}
                // Quota that the peer may have granted stays unused.
                Err(NoAnswer) => {
                    debug!(peer = peer.to_string().as_str(); "no answer to quota request")
                }
            }
        }
        None
    }

    /// Daemons that may hold quota at these servers, in random order: those of the same cell first.
    fn lenders(&self, wanted: &[LimitedServer], now: Instant) -> Vec<SocketAddr> {
        let view = self.view();
        let near = wanted.iter().flat_map(|w| view.quota_holders_in_cell(w.server, w.holders, now));
        let mut lenders = random_sample(near, MAX_CELL_LENDERS);
        let (listing, _) = self.roster.listing();
        let others = &listing.daemons;
        if view.layout().divided && others.len() < MAX_FLEET_ASKING_HALLS {
            let own = self.roster.own();
            let far = wanted.iter().flat_map(|w| first_in_each_hall(own, others, w.server));
            lenders.extend(random_sample(far, MAX_HALL_LENDERS));
        }
        lenders
    }
}

/// Up to `most` distinct addresses in random order.
fn random_sample(addrs: impl Iterator<Item = SocketAddr>, most: usize) -> Vec<SocketAddr> {
    let all: HashSet<SocketAddr> = addrs.collect();
    let mut drawn: Vec<SocketAddr> = all.into_iter().collect();
    drawn.shuffle(&mut rand::rng());
    drawn.truncate(most);
    drawn
}
