//! Moves rollouts from step to step: checks what is due, and writes the record in the store.

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

/// Interval between checks of rollouts in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Extra delay before a step for each daemon that reads the store before this one. Meanwhile the write of an
/// earlier daemon becomes known.
const TURN_DELAY: Duration = Duration::from_millis(400);
/// Longest total delay of this kind.
const MAX_TURN_DELAY: Duration = Duration::from_millis(1_600);
/// Pause after a failed write. Calls to the store are charged for.
const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Gateway {
    /// The rollouts. Lock order: don't lock the servers while holding this guard.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().expect("no holder panics")
    }

    /// Applies an order of the operators; `None` means that it was withdrawn.
    pub(crate) fn apply_rollout_order(
        &self,
        service: &str,
        position: Position,
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
        self.rollouts().set_order(service, position, order, now);
        self.update_rollouts(now);
        self.rollout_changed.notify_one();
    }

    /// Applies the store's record of a rollout.
    pub(crate) fn apply_rollout_record(
        &self,
        service: &str,
        position: Position,
        record: Record,
        now: Instant,
    ) {
        let (state, why) = (record.state.name(), record.why.clone());
        // The daemon that wrote the record receives it again with its copy of the store.
        if !self.rollouts().set_record(service, position, record, now) {
            return;
        }
        info!(service = service, state = state, why = why.as_str(); "roll-out");
        self.metrics.rollouts.with_label_values(&[state]).inc();
        self.update_rollouts(now);
        self.rollout_changed.notify_one();
    }

    /// The servers that a request of `service` may go to. `draw` is called only if the service has a rollout.
    pub(crate) fn pick(
        &self,
        service: &str,
        draw: impl FnOnce() -> Draw,
        now: Instant,
    ) -> Option<Pick> {
        let rollouts = self.rollouts();
        rollouts
            .contains(service)
            .then(draw)
            .and_then(|draw| rollouts.pick(service, draw, self.exposure(), now))
    }

    /// Counts servers by version, and takes retired servers out of use.
    pub(crate) fn update_rollouts(&self, now: Instant) {
        let versions = self.rollouts().versions();
        for (service, version) in versions {
            let counts = self.count_servers(&service, &version, now);
            let (retired, halt_reason) = {
                let mut rollouts = self.rollouts();
                rollouts.set_counts(&service, counts);
                (rollouts.retired(&service, now), rollouts.halt_reason(&service))
            };
            if self.servers().retire(&service, retired.clone()) {
                let why = halt_reason.unwrap_or("recorded");
                info!(service = &*service, version = &*version, retired = format!("{retired:?}").as_str(), why = why; "retired servers of a roll-out changed");
            }
        }
    }

    fn count_servers(&self, service: &str, version: &str, now: Instant) -> VersionCounts {
        let declared = self.in_force.get();
        let declared = declared.as_ref().and_then(|d| d.table.service(service));
        let is_cold = |server: &Server| declared.is_some_and(|s| server.is_cold(s.warm_up, now));
        let mut counts = VersionCounts {
            counted: true,
            declared: declared.is_some(),
            ..VersionCounts::default()
        };
        let servers = self.servers();
        let mut ready = Vec::new();
        for (key, server) in servers.listed(service) {
            match *server.record.version == *version {
                true => {
                    counts.candidate_count += 1;
                    if server.is_open() && !is_cold(server) {
                        ready.push((server.tag(), key));
                    }
                }
                false => {
                    counts.baseline_count += 1;
                    counts.baseline_runs += server.load().runs;
                }
            }
        }
        ready.sort_unstable_by_key(|(tag, _)| *tag);
        counts.ready_candidates = ready.into_iter().map(|(_, key): (_, ServerKey)| key).collect();
        counts
    }
}

/// A step that is due, and since when.
#[derive(Debug, Clone, Copy)]
struct PendingStep {
    step: Step,
    since: Instant,
}

/// Takes the steps of all rollouts; see the module documentation.
pub struct Controller {
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    mirror: Arc<Mirror>,
    cluster: Arc<Cluster>,
    pending: HashMap<Arc<str>, PendingStep>,
    /// When records were first found to be missing from the store.
    lost_since: Option<Instant>,
}

impl Controller {
    /// Creates a controller with no pending steps.
    pub fn new(
        gateway: Arc<Gateway>,
        store: Arc<dyn Store>,
        schema: Arc<dyn Schema>,
        mirror: Arc<Mirror>,
        cluster: Arc<Cluster>,
    ) -> Controller {
        Controller {
            gateway,
            store,
            schema,
            mirror,
            cluster,
            pending: HashMap::new(),
            lost_since: None,
        }
    }

    /// Takes due steps until the process ends.
    pub async fn run(mut self) {
        loop {
            if !self.gateway.rollouts().is_active(time::now()) {
                self.gateway.rollout_changed.notified().await;
            }
            self.check(time::now()).await;
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn check(&mut self, now: Instant) {
        self.gateway.merge_peer_stats(now);
        self.gateway.rollouts().evaluate();
        self.gateway.update_rollouts(now);
        self.write_lost(now).await;
        let steps = self.gateway.rollouts().due_steps(self.gateway.exposure(), now);
        self.pending.retain(|service, _| steps.iter().any(|(due, _)| due == service));
        for (service, step) in steps {
            let due =
                self.pending.entry(service.clone()).or_insert(PendingStep { step, since: now });
            if due.step.to != step.to {
                *due = PendingStep { step, since: now };
            }
            let is_own_turn = now.saturating_duration_since(due.since) >= self.turn_delay(now);
            if is_own_turn && !self.mirror.is_store_unreachable() {
                self.take_step(&service, step).await;
            }
        }
    }

    /// How long this daemon waits for the daemons that read the store before it.
    fn turn_delay(&self, now: Instant) -> Duration {
        let readers_before = u32::try_from(self.cluster.readers_before(now)).unwrap_or(u32::MAX);
        TURN_DELAY.saturating_mul(readers_before).min(MAX_TURN_DELAY)
    }

    /// Writes records again that the store has lost. Their decisions are not evaluated again.
    async fn write_lost(&mut self, now: Instant) {
        let lost = self.gateway.rollouts().lost_records();
        if lost.is_empty() {
            self.lost_since = None;
            return;
        }
        let since = *self.lost_since.get_or_insert(now);
        let is_own_turn = now.saturating_duration_since(since) >= self.turn_delay(now);
        if !is_own_turn || self.mirror.is_store_unreachable() {
            return;
        }
        for (service, position, record) in lost {
            self.write_record(&service, position, record).await;
        }
    }

    /// Writes the record of a step, unless another daemon has written one meanwhile.
    async fn take_step(&self, service: &Arc<str>, step: Step) {
        let Some((replaced, record)) = self.gateway.rollouts().next_record(service, step) else {
            return;
        };
        self.write_record(service, replaced, record).await;
    }

    async fn write_record(&self, service: &Arc<str>, replaced: Position, record: Record) {
        match self.write(service, replaced, &record).await {
            Ok(Swap::Won(revision)) => {
                info!(service = &**service, state = record.state.name(), why = record.why.as_str(); "roll-out step recorded");
                self.gateway.apply_rollout_record(service, revision, record, time::now());
            }
            // The other daemon's record arrives with the copy of the store.
            Ok(Swap::Lost) => {
                info!(service = &**service; "roll-out step already recorded by another daemon")
            }
            Err(e) => {
                warn!(service = &**service, state = record.state.name(), why = e.to_string().as_str(); "roll-out step not recorded");
                sleep(RETRY_DELAY).await;
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
        let value = serde_json::to_vec(record).expect("a record serializes to JSON");
        let version = self.gateway.rollouts().version(service).unwrap_or_default();
        let status = self.schema.rollout_status(service, &version, record.state);
        // The record goes last, so that the revision of the transaction is the record's own, whether the
        // store counts each key or each transaction.
        self.store.swap(&key, replaced, vec![status, (key.clone(), value)]).await
    }
}
