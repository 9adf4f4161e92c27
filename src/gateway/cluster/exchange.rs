//! Sends heartbeats to each peer, and handles those that arrive.

use super::{Cluster, LOAD_UPDATE_INTERVAL, RECENT_READ};
use crate::gateway::clock::{millis_between, minus_millis};
use crate::gateway::heartbeat::{DaemonStats, Heartbeat};
use crate::gateway::partner::{Relation, SumSchedule};
use crate::gateway::update::Missing;
use crate::gateway::view::{OwnState, View};
use crate::peer::Handler;
use crate::time;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::sleep;

impl Cluster {
    pub(super) async fn send_heartbeats(
        self: &Arc<Self>,
        addr: SocketAddr,
        handler: &Arc<dyn Handler>,
    ) {
        let (mut urgent, mut loads) = (self.gateway.urgent_changes(), self.gateway.load_changes());
        let mut copy = self.gateway.copy_changes();
        let mut schedule = SumSchedule::default();
        loop {
            let now = time::now();
            let Some(relation) = self.relation(addr, now) else {
                return;
            };
            let heartbeat = self.heartbeat(addr, relation, &mut schedule, now);
            // Later changes are not in this heartbeat.
            urgent.mark_unchanged();
            loads.mark_unchanged();
            copy.mark_unchanged();
            let bytes = self.links.tell(addr, &heartbeat, handler).await;
            let (is_reachable, interval, spacing, forwards) = {
                let (view, now) = (self.view(), time::now());
                let is_reachable = view.can_reach(addr, now);
                let interval = view.paced_interval(addr, relation, bytes, now);
                let is_paced = interval > view.heartbeat_interval(addr, relation, now);
                let spacing = view.spacing(LOAD_UPDATE_INTERVAL);
                let spacing = if is_paced { interval } else { spacing };
                (
                    is_reachable,
                    interval,
                    spacing,
                    is_reachable && self.forwards_store_changes(&view, now),
                )
            };
            let interval = interval.mul_f64(rand::rng().random_range(0.9..1.1));
            let reports_loads =
                is_reachable && relation == Relation::SameCell && spacing < interval;
            tokio::select! {
                () = sleep(interval) => {}
                // Urgent changes are sent at once.
                result = urgent.changed(), if is_reachable => if result.is_err() { return },
                result = copy.changed(), if forwards => if result.is_err() { return },
                () = changed_after(&mut loads, now + spacing), if reports_loads => {}
            }
        }
    }

    /// Whether this daemon sends changes of the store on at once: a relay, a daemon that reads the
    /// store, and each daemon of an undivided fleet do. The others learn of changes from one of
    /// these, as their peers do.
    fn forwards_store_changes(&self, view: &View, now: Instant) -> bool {
        let layout = view.layout();
        let reads = |at: Instant| now.saturating_duration_since(at) < RECENT_READ;
        let reads = self.own_read.lock().expect("no holder panics").is_some_and(reads);
        !layout.divided || layout.is_relay() || reads
    }

    fn heartbeat(
        &self,
        to: SocketAddr,
        relation: Relation,
        schedule: &mut SumSchedule,
        now: Instant,
    ) -> Heartbeat {
        let mut view = self.view();
        let spent = self.gateway.spent(now);
        let evidence = self.gateway.quarantine().for_peers(now);
        let rollouts = self.gateway.rollouts().for_peers(now);
        let reserved = self.gateway.reservations_for_peers(now);
        let doubtful = self.gateway.isolation.is_doubtful();
        let (stats, mut observations) = {
            let servers = self.gateway.servers();
            let (mut loads, mut outcomes) = (servers.own_loads(), servers.own_outcomes(now));
            if self.gateway.has_shortage() {
                loads.extend(self.gateway.shares().own_loads());
                loads.extend(reserved);
            }
            outcomes.extend(servers.own_paces(now));
            if doubtful {
                outcomes.clear();
            }
            let tallies = rollouts.tallies.into_iter().collect();
            let orders = rollouts.order_ages_ms.into_iter().collect();
            (
                DaemonStats { loads, spent, outcomes, evidence, tallies, rollout_ages: orders },
                servers.observations(now),
            )
        };
        if doubtful {
            observations.refusing.clear();
        }
        let own = OwnState { stats, ready: (self.ready)() };
        Heartbeat {
            copy_status: self.mirror.copy_status(now),
            store_failure_age_ms: self.mirror.last_failure().map(|at| millis_between(at, now)),
            observations,
            ..view.heartbeat(to, relation, own, schedule, now)
        }
    }

    pub(super) fn receive(self: &Arc<Self>, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.daemon.peers;
        let sent = {
            let mut view = self.view();
            view.on_heartbeat(&heartbeat, now);
            view.clock().earliest_send_time(heartbeat.echo, now)
        };
        self.stats_changed.store(true, Ordering::Release);
        // Survivors are reported for a short time, and other figures are merged only for a request.
        self.gateway.quarantine().clear_survived(heartbeat.evidence());
        self.gateway.servers().merge_observations(&heartbeat.observations, sent, now);
        self.merge_store_ages(&heartbeat, sent, now);
        self.announced.lock().expect("no holder panics").extend(heartbeat.peer_addrs);
        let Some(copy_status) = heartbeat.copy_status else {
            return;
        };
        let confirmed_at = sent.and_then(|sent| minus_millis(sent, copy_status.age_ms));
        let missing = match confirmed_at {
            Some(confirmed_at) => self.mirror.receive_status(copy_status, confirmed_at, now),
            None => self.mirror.missing_against(&copy_status),
        };
        if missing == Missing::Nothing {
            return;
        }
        self.behind_since.lock().expect("no holder panics").get_or_insert(now);
        self.start_fetch(from, missing);
    }

    /// Merges the peer's ages of the last successful and the last failed read of the store.
    fn merge_store_ages(&self, heartbeat: &Heartbeat, sent: Option<Instant>, now: Instant) {
        let at = |ms: u32| sent.and_then(|sent| minus_millis(sent, ms));
        if let Some(failed) = heartbeat.store_failure_age_ms.and_then(at) {
            self.mirror.store_failed(failed);
        }
        if let Some(read) = heartbeat.store_read_age_ms.and_then(at) {
            self.mirror.store_answered(read, now);
        }
    }
}

/// Returns after the next change, but not before `least`.
async fn changed_after(changes: &mut watch::Receiver<u64>, least: Instant) {
    if changes.changed().await.is_err() {
        // The sender was dropped: the daemon is shutting down.
        std::future::pending::<()>().await;
    }
    time::sleep_until(least).await;
}
