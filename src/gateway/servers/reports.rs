//! What daemons report to each other about servers.

use super::{Observations, PeerStats, ServerKey, Servers, get_by_tag_mut};
use crate::gateway::outcomes::Outcomes;
use crate::gateway::server::{Load, Server};
use crate::gateway::tag::Tag;
use log::info;
use std::time::{Duration, Instant};

impl Servers {
    /// What this daemon has learnt that peers can't know from the store.
    pub fn observations(&self, now: Instant) -> Observations {
        let listed = || self.reportable().filter(|(key, _)| self.is_listed(*key)).map(|(_, s)| s);
        let leaving = listed().filter(|s| s.leaving_not_in_store()).map(|s| s.tag);
        let refusing = listed().filter(|s| !*s.leaving.borrow()).filter_map(|s| {
            let left = s.refused_for_peers(now)?;
            Some((s.tag, u32::try_from(left.as_millis()).unwrap_or(u32::MAX)))
        });
        let limits =
            self.reportable().filter_map(|(_, s)| Some((s.tag, s.condition.limit.for_peers(now)?)));
        Observations {
            leaving: leaving.collect(),
            refusing: refusing.collect(),
            limits: limits.collect(),
        }
    }

    /// Merges what a peer has learnt, from a message that was sent at `sent` or later. Where `sent` is
    /// unknown, refused connections and limits are ignored, since they can't be dated.
    pub fn merge_observations(
        &mut self,
        observations: &Observations,
        sent: Option<Instant>,
        now: Instant,
    ) {
        let mut leaving = Vec::new();
        for tag in &observations.leaving {
            if let Some((key, server)) = self.not_known_to_leave(*tag) {
                leaving.push(server.record.id.to_string());
                server.mark_leaving(now);
                self.reportable.insert(key);
            }
        }
        for (tag, left) in &observations.refusing {
            let key = self.not_known_to_leave(*tag).map(|(key, _)| key);
            if let (Some(key), Some(sent)) = (key, sent) {
                self.note_refusing(key, sent + Duration::from_millis((*left).into()), now);
            }
        }
        if !leaving.is_empty() {
            info!(leaving_ids = leaving.join(",").as_str(); "a peer says that servers leave");
        }
        if let Some(sent) = sent {
            self.merge_limits(&observations.limits, sent, now);
        }
    }

    /// Looks up a server that is not known to leave.
    fn not_known_to_leave(&mut self, tag: Tag) -> Option<(ServerKey, &mut Server)> {
        let (key, server) = get_by_tag_mut(&self.by_tag, &mut self.arena, tag)?;
        (!server.is_known_to_leave()).then_some((key, server))
    }

    pub(super) fn reportable(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.reportable.iter().filter_map(|key| Some((*key, self.arena.get(*key)?)))
    }

    /// Load that this daemon has at each server, for reports to peers.
    pub fn own_loads(&self) -> Vec<(Tag, Load)> {
        let loaded = self.reportable().filter(|(_, s)| s.own_load.runs > 0);
        loaded.map(|(_, s)| (s.tag, s.own_load)).collect()
    }

    /// Outcomes of this daemon's exchanges with servers at which some exchange failed, here or at another
    /// daemon. Its successes count too, since they have to be weighed against failures that others have seen.
    pub fn own_outcomes(&self, now: Instant) -> Vec<(Tag, Outcomes)> {
        let outcomes = self.reportable().map(|(_, s)| (s, s.outcomes.decayed(now)));
        let matter =
            outcomes.filter(|(s, own)| own.is_reportable() || s.peer_outcomes.is_reportable());
        matter.map(|(s, own)| (s.tag, own)).collect()
    }

    /// Replaces the load, outcomes and pace that the other daemons reported for each server. Servers that are
    /// not named are reset to none.
    pub fn set_peer_stats(&mut self, stats: &PeerStats) {
        for key in std::mem::take(&mut self.reported) {
            if let Some(server) = self.arena.get_mut(key) {
                (server.peer_load, server.peer_outcomes, server.peer_pace) = Default::default();
            }
        }
        self.set_peer_paces(stats);
        for (tag, load) in &stats.loads {
            if let Some((key, server)) = get_by_tag_mut(&self.by_tag, &mut self.arena, *tag) {
                server.peer_load = *load;
                self.reported.push(key);
            }
        }
        for (tag, outcomes) in &stats.outcomes {
            if let Some((key, server)) = get_by_tag_mut(&self.by_tag, &mut self.arena, *tag) {
                server.peer_outcomes = *outcomes;
                self.reported.push(key);
                self.reportable.insert(key);
            }
        }
    }
}
