//! The replicas of one model as one daemon sees them: queue, placing, pausing, resuming.

use crate::ask::{Ask, Shed};
use crate::engine::LoadReport;
use crate::forecast::{Forecasts, Survival};
use crate::grant::Grant;
use crate::health::RetryBudget;
use crate::metrics::Metrics;
use crate::policy::{self, Newcomer, Policy, View};
use crate::queue::{Pushed, Queue, Rank, Ticket};
use crate::replica::{Origin, Replica, ReplicaKey, Signal, Stream, StreamKey, growth};
use crate::resource::{Algorithm, EnginePoolSpec, HeadroomSpec, PolicySpec};
use crate::slot::Slot;
use crate::snapshot::Snapshot;
use crate::time;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Entries of the queue that one pass tries, so that one which fits nowhere does not hold up all.
const LOOK_AHEAD: usize = 4;
/// Tokens a second assumed of a pool before any has been seen.
const FIRST_RATE: f64 = 1_000.0;
/// Shortest and longest time that a shed caller is told to wait.
const RETRY_MS: std::ops::RangeInclusive<u64> = 250..=30_000;

struct Waiting {
    ask: Ask,
    origin: Origin,
    tx: oneshot::Sender<Placement>,
}

pub(crate) struct Placement {
    pub(crate) addr: SocketAddr,
    pub(crate) replica: ReplicaKey,
    pub(crate) stream: StreamKey,
    pub(crate) signal: watch::Receiver<Signal>,
}

/// The pool of one model in one daemon.
pub struct Pool {
    name: String,
    hall: String,
    pub(crate) metrics: Arc<Metrics>,
    state: Mutex<State>,
}

pub(crate) struct State {
    pub(crate) replicas: SlotMap<ReplicaKey, Replica>,
    pub(crate) streams: SlotMap<StreamKey, Stream>,
    queue: Queue<Waiting>,
    policies: HashMap<String, (PolicySpec, Box<dyn Policy>)>,
    pub(crate) forecasts: Forecasts,
    pub(crate) retries: RetryBudget,
    rng: StdRng,
    most_queued: usize,
    correct: bool,
    stale: Duration,
    /// When a place was last sought by this daemon's own view.
    alone: Option<Instant>,
    rate: f64,
    pub(crate) made_since: u64,
    rated: Instant,
}

impl Pool {
    /// A pool without replicas; [`Pool::apply`] gives it some. Replicas not heard of for `stale` get
    /// no work. `seed` makes its choices repeatable.
    pub fn new(
        name: &str,
        hall: &str,
        stale: Duration,
        seed: u64,
        metrics: Arc<Metrics>,
        now: Instant,
    ) -> Pool {
        let state = State {
            replicas: SlotMap::with_key(),
            streams: SlotMap::with_key(),
            queue: Queue::default(),
            policies: HashMap::new(),
            forecasts: Forecasts::default(),
            retries: RetryBudget::default(),
            rng: StdRng::seed_from_u64(seed),
            most_queued: 0,
            correct: true,
            stale,
            alone: None,
            rate: FIRST_RATE,
            made_since: 0,
            rated: now,
        };
        Pool { name: name.into(), hall: hall.into(), metrics, state: Mutex::new(state) }
    }

    /// Name of the pool's resource.
    pub fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Takes over a new revision; streams on replicas no longer declared run on.
    pub fn apply(&self, spec: &EnginePoolSpec, snapshot: &Snapshot, now: Instant) {
        let mut state = self.lock();
        state.most_queued = spec.queue_length as usize;
        for declared in &spec.replicas {
            if !state.replicas.values().any(|r| r.addr == declared.address) {
                state.replicas.insert(Replica::new(declared, &self.hall, now));
            }
        }
        for r in state.replicas.values_mut() {
            let declared = spec.replicas.iter().any(|d| d.address == r.addr);
            let listed = snapshot.vms.leaving.contains(&r.addr);
            r.withdrawn = !declared || listed;
        }
        state.apply_policies(&spec.policy, snapshot);
        state.pump(&self.metrics, now);
    }

    /// Addresses whose load is to be polled.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().replicas.values().map(|r| r.addr).collect()
    }

    /// Takes in a load report, or notes that none came.
    pub fn report(&self, addr: SocketAddr, report: Option<LoadReport>, now: Instant) {
        let mut state = self.lock();
        let Some(key) = state.by_addr(addr) else {
            return;
        };
        let replica = &mut state.replicas[key];
        match report {
            Some(report) => replica.take_report(report, now),
            None => replica.health.failed(now),
        }
        state.refresh(key, now);
        state.pump(&self.metrics, now);
    }

    /// Waits at most `wait` for a place, by this daemon's own view.
    pub async fn place(self: &Arc<Self>, ask: Ask, wait: Duration) -> Result<Slot, Shed> {
        self.lock().alone = Some(time::now());
        self.wait_for(ask, wait, Origin::Own).await
    }

    /// Waits for a place that another daemon will use.
    pub async fn place_for_other(self: &Arc<Self>, ask: Ask, wait: Duration) -> Result<Slot, Shed> {
        self.wait_for(ask, wait, Origin::Other).await
    }

    async fn wait_for(
        self: &Arc<Self>,
        ask: Ask,
        wait: Duration,
        origin: Origin,
    ) -> Result<Slot, Shed> {
        let (tx, rx) = oneshot::channel();
        let now = time::now();
        let ticket = {
            let mut state = self.lock();
            let ticket = state.enqueue(Waiting { ask, origin, tx }, &self.metrics, now)?;
            state.pump(&self.metrics, now);
            ticket
        };
        let mut waiter = Waiter { pool: self, ticket, rx };
        match time::timeout_at(time::now() + wait, &mut waiter.rx).await {
            Some(Ok(placement)) => Ok(Slot::new(self.clone(), placement, None)),
            _ => Err(self.lock().shed()),
        }
    }

    /// Counts a stream that another daemon placed and this one carries.
    pub fn adopt(
        self: &Arc<Self>,
        addr: SocketAddr,
        ask: Ask,
        made: u32,
        grant: Option<Grant>,
    ) -> Option<Slot> {
        let now = time::now();
        let mut state = self.lock();
        let replica = state.by_addr(addr)?;
        if made == 0 && !state.replicas[replica].stays() {
            // The keeper does not know yet that it is leaving.
            return None;
        }
        let placement = state.start(replica, &ask, made, Origin::Granted, now);
        drop(state);
        Some(Slot::new(self.clone(), placement, grant))
    }

    /// Whether places under a policy are granted by one daemon for all.
    pub fn has_keeper(&self, policy: &str) -> bool {
        let state = self.lock();
        let spec = state.policies.get(policy).map(|(spec, _)| spec);
        spec.is_none_or(|s| s.algorithm == Algorithm::Headroom && s.headroom.keeper)
    }

    /// Whether this daemon placed by its own view within `span`, and so needs fresh reports.
    pub fn places_alone(&self, span: Duration, now: Instant) -> bool {
        let alone = self.lock().alone;
        alone.is_some_and(|at| now.saturating_duration_since(at) <= span)
    }

    /// Counts who granted a place.
    pub fn count_place(&self, by: &str) {
        self.metrics.places.with_label_values(&[by]).inc();
    }

    /// Whether one more retry is allowed.
    pub fn may_retry(&self) -> bool {
        self.lock().retries.take()
    }

    /// Pauses, resumes and places; called every few tens of milliseconds.
    pub fn tick(&self, now: Instant) {
        let mut state = self.lock();
        state.measure_rate(now);
        let keys: Vec<ReplicaKey> = state.replicas.keys().collect();
        let pooled = state.forecasts.pooled();
        for key in keys {
            state.refresh_with(key, &pooled, now);
            state.pause_on(key, &self.metrics, now);
        }
        state.resume_paused(now);
        state.pump(&self.metrics, now);
        self.metrics.queued.with_label_values(&[&self.name]).set(state.queue.len() as i64);
    }
}

/// One who waits; giving up leaves the queue and gives back a place that came too late.
struct Waiter<'a> {
    pool: &'a Pool,
    ticket: Ticket,
    rx: oneshot::Receiver<Placement>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        state.queue.remove(self.ticket);
        self.rx.close();
        if let Ok(late) = self.rx.try_recv() {
            state.end(late.stream, time::now());
        }
    }
}

impl State {
    fn by_addr(&self, addr: SocketAddr) -> Option<ReplicaKey> {
        self.replicas.iter().find(|(_, r)| r.addr == addr).map(|(key, _)| key)
    }

    /// `own` is the pool's policy; its parameters decide how memory is reckoned for all.
    fn apply_policies(&mut self, own: &str, snapshot: &Snapshot) {
        let mut kept = std::mem::take(&mut self.policies);
        for resource in snapshot.list(crate::resource::Kind::Policy) {
            let crate::resource::Spec::Policy(spec) = &resource.spec else {
                continue;
            };
            let name = resource.metadata.name.clone();
            let policy = match kept.remove(&name) {
                Some((old, policy)) if old == *spec => policy,
                _ => policy::build(spec),
            };
            self.policies.insert(name, (spec.clone(), policy));
        }
        let own = self.policies.get(own).map(|(spec, _)| spec);
        self.correct = own.is_none_or(|s| s.headroom.correct);
    }

    fn enqueue(
        &mut self,
        waiting: Waiting,
        metrics: &Metrics,
        now: Instant,
    ) -> Result<Ticket, Shed> {
        if !self.replicas.values().any(Replica::stays) {
            return Err(self.shed());
        }
        let survival = self.forecasts.survival(&waiting.ask.lengths);
        let expected = growth(waiting.ask.prompt, 0, &survival).into_iter().fold(0.0, f32::max);
        let workspace = waiting.ask.lengths.workspace.clone();
        let rank = Rank {
            priority: waiting.ask.priority,
            workspace: &workspace,
            share: waiting.ask.share,
            cost: expected as u64,
        };
        match self.queue.push(waiting, rank, self.most_queued, now) {
            Pushed::Waits(ticket) => Ok(ticket),
            // Dropping the shed one's sender tells its caller.
            Pushed::Instead(ticket, _) => {
                metrics.shed.inc();
                Ok(ticket)
            }
            Pushed::Shed(_) => {
                metrics.shed.inc();
                Err(self.shed())
            }
        }
    }

    fn shed(&self) -> Shed {
        let ms = self.queue.cost() as f64 / self.rate.max(1.0) * 1_000.0;
        Shed { retry_ms: (ms as u64).clamp(*RETRY_MS.start(), *RETRY_MS.end()) }
    }

    /// Replicas that stay and were heard of lately; those ejected only where there is no other.
    fn candidates(&self, now: Instant) -> Vec<ReplicaKey> {
        let fresh = self.replicas.iter().filter(|(_, r)| r.stays() && r.fresh(self.stale, now));
        let (usable, ejected): (Vec<_>, Vec<_>) = fresh.partition(|(_, r)| r.health.usable(now));
        let chosen = if usable.is_empty() { ejected } else { usable };
        chosen.into_iter().map(|(key, _)| key).collect()
    }

    /// Places what waits, in order, as long as the policies find room.
    pub(crate) fn pump(&mut self, metrics: &Metrics, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        if !self.replicas.values().any(Replica::stays) {
            // All are leaving: who waits is told at once.
            self.queue.clear();
            return;
        }
        let candidates = self.candidates(now);
        while let Some((ticket, replica)) = self.next_place(&candidates, now) {
            let Some(entry) = self.queue.serve(ticket) else {
                return;
            };
            if entry.item.tx.is_closed() {
                continue;
            }
            metrics.queue_seconds.observe(now.duration_since(entry.since).as_secs_f64());
            let placement = self.start(replica, &entry.item.ask, 0, entry.item.origin, now);
            let stream = placement.stream;
            if entry.item.tx.send(placement).is_err() {
                self.end(stream, now);
            }
        }
    }

    fn next_place(
        &mut self,
        candidates: &[ReplicaKey],
        now: Instant,
    ) -> Option<(Ticket, ReplicaKey)> {
        let first: Vec<Ticket> = self.queue.first(LOOK_AHEAD).map(|(ticket, _)| ticket).collect();
        for ticket in first {
            let ask = &self.queue.get(ticket)?.item.ask;
            let newcomer = self.newcomer(ask);
            let name = ask.policy.clone();
            let (_, policy) = self.policies.entry(name).or_insert_with(default_policy);
            let view = View { replicas: &self.replicas, streams: &self.streams, candidates };
            if let Some(replica) = policy.place(&view, &newcomer, now, &mut self.rng) {
                return Some((ticket, replica));
            }
        }
        None
    }

    fn newcomer(&self, ask: &Ask) -> Newcomer {
        let survival = self.forecasts.survival(&ask.lengths);
        let growth = growth(ask.prompt, 0, &survival);
        let streamed = ask.streamed;
        Newcomer {
            streamed,
            prompt: ask.prompt,
            growth,
            prefix: ask.prefix,
            prefix_tokens: ask.prefix_tokens,
        }
    }

    fn start(
        &mut self,
        replica: ReplicaKey,
        ask: &Ask,
        made: u32,
        origin: Origin,
        now: Instant,
    ) -> Placement {
        let (signal_tx, signal) = watch::channel(Signal::Run);
        let stream = self.streams.insert(Stream {
            replica,
            lengths: ask.lengths.clone(),
            policy: ask.policy.clone(),
            origin,
            streamed: ask.streamed,
            prompt: ask.prompt,
            made,
            priority: ask.priority,
            started: now,
            paused: None,
            pauses: 0,
            survival: self.forecasts.survival(&ask.lengths),
            signal: signal_tx,
        });
        let r = &mut self.replicas[replica];
        r.streams.push(stream);
        r.note(1, now, now);
        if let Some(prefix) = ask.prefix {
            r.remember(prefix);
        }
        let addr = r.addr;
        // Only what changed: the whole is reckoned anew with the next report or tick.
        r.add(&self.streams[stream]);
        Placement { addr, replica, stream, signal }
    }

    pub(crate) fn end(&mut self, stream: StreamKey, now: Instant) {
        let Some(ended) = self.streams.remove(stream) else {
            return;
        };
        let r = &mut self.replicas[ended.replica];
        r.streams.retain(|key| *key != stream);
        r.note(-1, ended.started, now);
        r.subtract(&ended, now);
    }

    fn refresh(&mut self, key: ReplicaKey, now: Instant) {
        let pooled = self.forecasts.pooled();
        self.refresh_with(key, &pooled, now);
    }

    fn refresh_with(&mut self, key: ReplicaKey, pooled: &Survival, now: Instant) {
        self.replicas[key].refresh(&self.streams, pooled, self.correct, now);
    }

    fn measure_rate(&mut self, now: Instant) {
        let span = now.duration_since(self.rated).as_secs_f64();
        if span >= 1.0 {
            let seen = self.made_since as f64 / span;
            self.rate = self.rate * 0.8 + seen * 0.2;
            (self.made_since, self.rated) = (0, now);
        }
    }

    fn pause_on(&mut self, replica: ReplicaKey, metrics: &Metrics, now: Instant) {
        let Some(stream) = self.choose_pause(replica) else {
            return;
        };
        let s = &mut self.streams[stream];
        s.paused = Some(now);
        s.pauses += 1;
        s.signal.send_replace(Signal::Pause);
        metrics.pauses.inc();
        self.refresh(replica, now);
    }

    fn choose_pause(&mut self, replica: ReplicaKey) -> Option<StreamKey> {
        let (replicas, streams) = (&self.replicas, &self.streams);
        let view = View { replicas, streams, candidates: &[] };
        let on_replica = &replicas[replica].streams;
        self.policies.iter_mut().find_map(|(name, (_, policy))| {
            let placed = on_replica.iter().copied();
            let running =
                placed.filter(|key| streams[*key].may_pause() && streams[*key].policy == *name);
            let running: Vec<StreamKey> = running.collect();
            policy.pause(&view, replica, &running)
        })
    }

    fn resume_paused(&mut self, now: Instant) {
        let paused: Vec<StreamKey> =
            self.streams.iter().filter(|(_, s)| s.paused.is_some()).map(|(key, _)| key).collect();
        for stream in paused {
            let (replicas, streams) = (&self.replicas, &self.streams);
            let view = View { replicas, streams, candidates: &[] };
            let policy = self.policies.get_mut(&streams[stream].policy);
            let allowed = policy.is_none_or(|(_, policy)| policy.resume(&view, stream, now));
            if !allowed {
                continue;
            }
            let s = &mut self.streams[stream];
            s.paused = None;
            s.signal.send_replace(Signal::Run);
            let replica = s.replica;
            self.refresh(replica, now);
        }
    }
}

fn default_policy() -> (PolicySpec, Box<dyn Policy>) {
    let spec = PolicySpec { algorithm: Algorithm::Headroom, headroom: HeadroomSpec::default() };
    let policy = policy::build(&spec);
    (spec, policy)
}
