//! Asking other daemons for room at servers in need.

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

/// Longest time for a peer to give room at a server in need: some times a round trip within a region.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(40);
/// Longest time for all that are asked, one after the other. The caller waits for it, and is refused otherwise.
const TOTAL_QUOTA_TIMEOUT: Duration = Duration::from_millis(120);
/// Peers of the same cell that are asked for room at most, one after the other: all others of a small fleet. Where
/// half of what a server names comes, about two thirds of those that hold room have some.
const MAX_CELL_LENDERS: usize = 5;
/// Daemons of other halls that are asked after them at most.
const MAX_HALL_LENDERS: usize = 3;
/// Daemons up to which a fleet's daemons ask those of other halls: one that holds room may have a link to each, and
/// a small VM bears so many.
const MAX_FLEET_ASKING_HALLS: usize = 64;

impl Cluster {
    /// Asks them, within a time that a caller may wait. What one of them gives later goes unused.
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
                // What it may have given goes unused.
                Err(NoAnswer) => {
                    debug!(peer = peer.to_string().as_str(); "peer did not say whether it has room")
                }
            }
        }
        None
    }

    /// Daemons that may hold room at servers in need, in an order drawn at random: those of the same cell first.
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

/// Some of these addresses, `most` of them, each once.
fn random_sample(addrs: impl Iterator<Item = SocketAddr>, most: usize) -> Vec<SocketAddr> {
    let all: HashSet<SocketAddr> = addrs.collect();
    let mut drawn: Vec<SocketAddr> = all.into_iter().collect();
    drawn.shuffle(&mut rand::rng());
    drawn.truncate(most);
    drawn
}
