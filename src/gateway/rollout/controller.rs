//! Taking roll-outs from step to step: looking at what is known, and writing the record in the store.

use crate::gateway::cluster::Cluster;
use crate::gateway::core::Gateway;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::Swap;
use crate::gateway::port::{Schema, Store};
use crate::gateway::rollout::{Draw, Order, Pick, Record, Rollouts, Step, VersionCounts};
use crate::gateway::server::Server;
use crate::gateway::servers::ServerKey;
use crate::platform::{PlatformResult, Position};
use crate::time;
use log::{info, warn};
use std::collections::HashMap;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two looks at roll-outs that are under way.
const LOOK: Duration = Duration::from_millis(200);
/// What a daemon waits longer with a step for each one that reads the store before it: the first one's write is heard
/// of meanwhile.
const TURN: Duration = Duration::from_millis(400);
/// Longest such wait.
const LONGEST_TURN: Duration = Duration::from_millis(1_600);
/// Pause after a write that failed; every call is priced.
const AFTER_FAILURE: Duration = Duration::from_millis(500);

impl Gateway {
    /// The roll-outs. Servers are not to be locked while it is held.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().expect("no holder panics")
    }

    /// Takes in an order of the operators, or with `None` that it was withdrawn.
    pub(crate) fn apply_rollout_order(
        &self,
        service: &str,
        revision: Position,
        order: Option<Order>,
        now: Instant,
    ) {
        match &order {
            Some(order) => {
                let ms = order.time_limit.as_millis() as u64;
                info!(service = service, version = &*order.version, ms = ms; "roll-out ordered");
            }
            None => info!(service = service; "roll-out withdrawn"),
        }
        self.rollouts().set_order(service, revision, order, now);
        self.look_at_rollouts(now);
        self.rollout_changed.notify_one();
    }

    /// Takes in the store's record of a roll-out.
    pub(crate) fn apply_rollout_record(
        &self,
        service: &str,
        revision: Position,
        record: Record,
        now: Instant,
    ) {
        let (state, why) = (record.state.name(), record.why.clone());
        // The daemon that wrote it reads it once more with its copy of the store.
        if !self.rollouts().set_record(service, revision, record, now) {
            return;
        }
        info!(service = service, state = state, why = why.as_str(); "roll-out");
        self.metrics.rollouts.with_label_values(&[state]).inc();
        self.look_at_rollouts(now);
        self.rollout_changed.notify_one();
    }

    /// Where a request of `service` goes, which is drawn only if there is a roll-out.
    pub(crate) fn pick(
        &self,
        service: &str,
        draw: impl FnOnce() -> Draw,
        now: Instant,
    ) -> Option<Pick> {
        let rollouts = self.rollouts();
        rollouts
            .has(service)
            .then(draw)
            .and_then(|draw| rollouts.pick(service, draw, self.exposure(), now))
    }

    /// Counts servers by version, and takes those out of use that get nothing more.
    pub(crate) fn look_at_rollouts(&self, now: Instant) {
        let versions = self.rollouts().versions();
        for (service, version) in versions {
            let census = self.census(&service, &version, now);
            let (retired, halted) = {
                let mut rollouts = self.rollouts();
                rollouts.set_counts(&service, census);
                (rollouts.retired(&service, now), rollouts.halt_reason(&service))
            };
            if self.servers().retire(&service, retired.clone()) {
                let why = halted.unwrap_or("recorded");
                info!(service = &*service, version = &*version, retired = format!("{retired:?}").as_str(), why = why; "servers of a roll-out in use");
            }
        }
    }

    fn census(&self, service: &str, version: &str, now: Instant) -> VersionCounts {
        let declared = self.in_force.get();
        let declared = declared.as_ref().and_then(|d| d.table.service(service));
        let is_cold = |server: &Server| declared.is_some_and(|s| server.is_cold(s.warm_up, now));
        let mut census = VersionCounts {
            counted: true,
            declared: declared.is_some(),
            ..VersionCounts::default()
        };
        let servers = self.servers();
        let mut candidate = Vec::new();
        for (key, server) in servers.listed(service) {
            match *server.record.version == *version {
                true => {
                    census.candidate_count += 1;
                    if server.is_open() && !is_cold(server) {
                        candidate.push((server.tag(), key));
                    }
                }
                false => {
                    census.baseline_count += 1;
                    census.baseline_runs += server.load().runs;
                }
            }
        }
        candidate.sort_unstable_by_key(|(tag, _)| *tag);
        census.ready_candidates =
            candidate.into_iter().map(|(_, key): (_, ServerKey)| key).collect();
        census
    }
}

/// A step that is due, and since when.
#[derive(Debug, Clone, Copy)]
struct Due {
    step: Step,
    since: Instant,
}

/// See the module.
pub struct Controller {
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    mirror: Arc<Mirror>,
    cluster: Arc<Cluster>,
    due: HashMap<Arc<str>, Due>,
    /// Since when records are known to be lost.
    lost: Option<Instant>,
}

impl Controller {
    /// A controller that has seen no order.
    pub fn new(
        gateway: Arc<Gateway>,
        store: Arc<dyn Store>,
        schema: Arc<dyn Schema>,
        mirror: Arc<Mirror>,
        cluster: Arc<Cluster>,
    ) -> Controller {
        Controller { gateway, store, schema, mirror, cluster, due: HashMap::new(), lost: None }
    }

    /// Takes the steps that are due until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.gateway.rollouts().is_active(time::now()) {
                self.gateway.rollout_changed.notified().await;
            }
            self.look(time::now()).await;
            sleep(LOOK).await;
        }
    }

    async fn look(&mut self, now: Instant) {
        self.gateway.merge_peer_stats(now);
        self.gateway.rollouts().evaluate();
        self.gateway.look_at_rollouts(now);
        self.write_lost(now).await;
        let steps = self.gateway.rollouts().due_steps(self.gateway.exposure(), now);
        self.due.retain(|service, _| steps.iter().any(|(due, _)| due == service));
        for (service, step) in steps {
            let due = self.due.entry(service.clone()).or_insert(Due { step, since: now });
            if due.step.to != step.to {
                *due = Due { step, since: now };
            }
            let is_turn = now.saturating_duration_since(due.since) >= self.turn(now);
            if is_turn && !self.mirror.is_store_unreachable() {
                self.take(&service, step).await;
            }
        }
    }

    /// How long this daemon waits for those that read the store before it.
    fn turn(&self, now: Instant) -> Duration {
        let before = u32::try_from(self.cluster.readers_before(now)).unwrap_or(u32::MAX);
        TURN.saturating_mul(before).min(LONGEST_TURN)
    }

    /// Writes records again that the store has lost. What was decided is not weighed anew.
    async fn write_lost(&mut self, now: Instant) {
        let lost = self.gateway.rollouts().lost_records();
        if lost.is_empty() {
            self.lost = None;
            return;
        }
        let since = *self.lost.get_or_insert(now);
        let is_turn = now.saturating_duration_since(since) >= self.turn(now);
        if !is_turn || self.mirror.is_store_unreachable() {
            return;
        }
        for (service, at, record) in lost {
            self.write_record(&service, at, record).await;
        }
    }

    /// Writes the record that a step leads to, unless another daemon has written one meanwhile.
    async fn take(&self, service: &Arc<str>, step: Step) {
        let Some((replaced, record)) = self.gateway.rollouts().next_record(service, step) else {
            return;
        };
        self.write_record(service, replaced, record).await;
    }

    async fn write_record(&self, service: &Arc<str>, replaced: Position, record: Record) {
        match self.write(service, replaced, &record).await {
            Ok(Swap::Won(revision)) => {
                info!(service = &**service, state = record.state.name(), why = record.why.as_str(); "roll-out's step recorded");
                self.gateway.apply_rollout_record(service, revision, record, time::now());
            }
            // Its record comes with the copy of the store.
            Ok(Swap::Lost) => info!(service = &**service; "another daemon records the roll-out"),
            Err(e) => {
                warn!(service = &**service, state = record.state.name(), why = e.to_string().as_str(); "roll-out's step not recorded");
                sleep(AFTER_FAILURE).await;
            }
        }
    }

    async fn write(
        &self,
        service: &str,
        replaced: Position,
        record: &Record,
    ) -> PlatformResult<Swap> {
        let key = format!("{}{service}", self.schema.rollout_records());
        let value = serde_json::to_vec(record).expect("a record is JSON");
        let version = self.gateway.rollouts().version(service).unwrap_or_default();
        let status = self.schema.rollout_status(service, &version, record.state);
        // The record goes last: the revision of the whole is then its own, however the store counts.
        self.store.swap(&key, replaced, vec![status, (key.clone(), value)]).await
    }
}
