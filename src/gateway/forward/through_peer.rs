//! Forwards a request to another daemon while this one can't reach any backend server.

use super::{Attempts, until_deadline};
use crate::gateway::budget::RetryKind;
use crate::gateway::core::Gateway;
use crate::gateway::isolation::PROBE_INTERVAL;
use crate::gateway::port::SendError;
use crate::gateway::request::Answer;
use crate::gateway::slot::NoSlot;
use crate::outcome::{Failure, NotSent};
use crate::time;
use log::{info, warn};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Instant;

/// Maximum number of daemons that are tried, one after the other, until one accepts a connection.
const MAX_PEERS: usize = 3;

/// The refusal of a request that neither this daemon nor another can serve.
const CUT_OFF: NoSlot = NoSlot { reason: "cut_off", retry_after: PROBE_INTERVAL, due: None };

impl Gateway {
    /// Addresses for callers of other daemons that reach backend servers, in random order.
    pub(in crate::gateway) fn ready_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut peers = self.peer_source().map_or_else(Vec::new, |source| source.ready_peers(now));
        peers.shuffle(&mut rand::rng());
        peers
    }
}

impl Attempts<'_> {
    /// Forwards the request to another daemon, whose response is the caller's. A request that may have arrived
    /// there is not sent again. One that was forwarded to this daemon is refused, as its sender may try others.
    pub(super) async fn answer_through_peer(&mut self, proof: NotSent) -> Result<Answer, Failure> {
        let Some(transport) = self.gateway.daemon_transport().filter(|_| !self.call.forwarded)
        else {
            return self.give_up(Some(proof), None, CUT_OFF);
        };
        if !self.gateway.can_finish(&self.service, self.call, time::now()) {
            return self.give_up(Some(proof), None, "daemon_leaves".into());
        }
        let arrived = self.tried.len() > self.unreached;
        let allowed =
            !arrived || self.gateway.spend_retry(&self.service.name, RetryKind::Retry, time::now());
        if !allowed {
            return self.give_up(Some(proof), None, "no_repeat_left".into());
        }
        let mut proof = Some(proof);
        for peer in self.gateway.ready_peers(time::now()).into_iter().take(MAX_PEERS) {
            let time_left = self.call.time_left(time::now());
            let sent = transport.forward(self.call, peer, time_left, proof.take()).await;
            let (id, to) = (self.call.id.as_str(), peer.to_string());
            match sent {
                Ok(answer) => {
                    self.count_forwarded("answered");
                    let status = answer.status.as_u16();
                    info!(id = id, peer = to.as_str(), status = status; "answered by another daemon");
                    let body = until_deadline(answer.body, self.call.deadline);
                    return Ok(Answer { body, ..answer });
                }
                Err(SendError::Unsent { proof: returned, reason, .. }) => {
                    self.count_forwarded("not_reached");
                    warn!(id = id, peer = to.as_str(), reason = reason.as_str(); "could not reach another daemon");
                    proof = returned;
                }
                Err(SendError::Unanswered { reason }) => {
                    self.count_forwarded("unanswered");
                    warn!(id = id, peer = to.as_str(), reason = reason.as_str(); "no response from another daemon");
                    return self.give_up(None, None, "peer_lost".into());
                }
            }
        }
        self.give_up(proof, None, CUT_OFF)
    }

    fn count_forwarded(&self, outcome: &str) {
        self.gateway.metrics.forwarded.with_label_values(&[outcome]).inc();
    }
}
