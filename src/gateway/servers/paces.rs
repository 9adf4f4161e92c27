//! Relative latency of servers: samples, reports to and from peers, and the median of each service.

use super::{Load, PeerStats, ServerKey, Servers};
use crate::gateway::outcomes::Outcomes;
use crate::gateway::pace::{self, PaceSums, SpeedClass};
use crate::gateway::server::MIN_REPORTED;
use crate::gateway::table::Engine;
use crate::gateway::tag::Tag;
use log::debug;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

impl Servers {
    /// Load of all daemons that is known to run at a server.
    pub fn load(&self, key: ServerKey) -> Load {
        self.arena.get(key).map(|server| server.load()).unwrap_or_default()
    }

    /// Records the time of a window of gaps between a stream's events; `before` is the server's load at its
    /// beginning.
    pub fn record_gaps(
        &mut self,
        key: ServerKey,
        actual: Duration,
        engine: &Engine,
        before: Load,
        now: Instant,
    ) {
        if let Some(sample) = pace::stream_sample(actual, engine, before, self.load(key)) {
            self.record_pace(key, sample, now);
        }
    }

    /// Records the time of a complete, successful response of a plain service.
    pub fn record_response(
        &mut self,
        key: ServerKey,
        actual: Duration,
        slo: Duration,
        now: Instant,
    ) {
        if let Some(server) = self.arena.get(key) {
            let slots = server.record.slots;
            self.record_pace(key, pace::response_sample(actual, slo, server.load(), slots), now);
        }
    }

    fn record_pace(&mut self, key: ServerKey, sample: PaceSums, now: Instant) {
        if let Some(server) = self.arena.get_mut(key) {
            server.pace.record(sample, now);
            self.reportable.insert(key);
        }
    }

    /// This daemon's sums for all servers of the services in which some server differs, for reports to peers.
    /// Those of equal servers are included: the median would otherwise be that of the deviating ones.
    pub fn own_paces(&self, now: Instant) -> Vec<(Tag, Outcomes)> {
        let uneven = self.reportable().filter(|(_, s)| self.uneven.contains(&s.record.service));
        let sums = uneven.map(|(_, s)| (s.pace_tag, s.pace.decayed(now)));
        let known = sums.filter(|(_, sums)| sums.expected >= MIN_REPORTED);
        known.map(|(tag, sums)| (tag, sums.into())).collect()
    }

    /// Replaces the sums that peers reported; those of the previous report have been reset.
    pub(super) fn set_peer_paces(&mut self, stats: &PeerStats) {
        for (tag, outcomes) in &stats.outcomes {
            if let Some(key) = self.by_pace_tag.get(tag).copied()
                && let Some(server) = self.arena.get_mut(key)
            {
                server.peer_pace = (*outcomes).into();
                self.reported.push(key);
                self.reportable.insert(key);
            }
        }
    }

    /// Computes the relative latency of all servers from this daemon's samples and those of its peers.
    pub fn refresh_paces(&mut self, now: Instant) {
        let mut ratios: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for (_, server) in self.reportable() {
            if let Some(ratio) = server.pace_ratio(now) {
                ratios.entry(server.record.service.clone()).or_default().push(ratio);
            }
        }
        let medians: HashMap<Arc<str>, Option<f64>> =
            ratios.into_iter().map(|(service, ratios)| (service, pace::median(ratios))).collect();
        let mut uneven = HashSet::new();
        for key in &self.reportable {
            let Some(server) = self.arena.get_mut(*key) else {
                continue;
            };
            let median = medians.get(&server.record.service).copied().flatten();
            let relative = pace::relative_latency(server.pace_ratio(now), median);
            let (before, class) =
                (SpeedClass::of(server.relative_latency), SpeedClass::of(relative));
            if before != class {
                debug!(server = &*server.record.id, service = &*server.record.service, from = before.name(), to = class.name(), relative = relative; "server's relative latency changed class");
            }
            server.relative_latency = relative;
            if class != SpeedClass::Normal {
                uneven.insert(server.record.service.clone());
            }
        }
        self.uneven = uneven;
    }

    /// Number of slow servers of each service that has measured ones.
    pub fn count_slow(&self) -> HashMap<Arc<str>, i64> {
        let mut counts = HashMap::new();
        for (_, server) in self.reportable() {
            let slow = SpeedClass::of(server.relative_latency) == SpeedClass::Slow;
            *counts.entry(server.record.service.clone()).or_default() += i64::from(slow);
        }
        counts
    }
}
