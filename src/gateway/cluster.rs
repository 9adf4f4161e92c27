//! Talking with the other daemons: who they are, how current their copies of the store are, and
//! what they have running where.
//!
//! Nothing rests on one daemon and nothing is agreed upon. A heartbeat carries the sender's clock
//! and returns the receiver's, so that each statement in it is known to have been true at a moment
//! of the receiver's own clock, however long it was on the way. Within a [cell](crate::gateway::cell)
//! heartbeats come several times a second and as soon as a load changes; between cells and halls, relays
//! tell sums.

mod answering;
mod quota;

use crate::error::Result;
use crate::gateway::clock::{Clock, millis_between, minus_millis};
use crate::gateway::core::{Gateway, LimitedServer, PeerSource};
use crate::gateway::heartbeat::{DaemonStats, Heartbeat, Request};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::mirror::Mirror;
use crate::gateway::partner::{IntervalScale, Relation, SumSchedule};
use crate::gateway::roster::Roster;
use crate::gateway::servers::{Load, PeerStats};
use crate::gateway::start;
use crate::gateway::tag::Tag;
use crate::gateway::update::{Lack, Update};
use crate::gateway::view::{OwnState, View};
use crate::peer::{Handler, LinkLimits, Peers};
use crate::time;
use crate::tls::Identity;
use answering::PeerHandler;
use futures_util::future::BoxFuture;
use log::warn;
use rand::RngExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

/// Least time between two heartbeats to one daemon for changes of load: changes that come together
/// are told together.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two looks at whether the fleet is to be divided otherwise, and for daemons to be greeted.
const LAYOUT_INTERVAL: Duration = Duration::from_millis(100);
/// The same where heartbeats come seldom.
const IDLE_LAYOUT_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the last read of the store by any daemon up to which the others need not read it.
const RECENT_READ: Duration = Duration::from_millis(700);
/// What a daemon waits longer for each one that reads before it.
const READ_STEP: Duration = Duration::from_millis(120);
/// Longest that a daemon waits for those before it: a fleet whose first readers are cut off from the
/// store still reads within two seconds.
const MAX_READ_DELAY: Duration = Duration::from_millis(1_000);
/// Time that news of a read takes through other cells: a heartbeat between cells and one within.
const REPORT_DELAY: Duration = Duration::from_millis(550);
/// Time after which a daemon that knows that its copy is behind reads the store itself: its peers
/// may have no bandwidth for a large change.
const MAX_BEHIND: Duration = Duration::from_millis(250);
/// Time from a daemon's start within which the store, or a peer that knows it, tells who the others are.
const SEED_DELAY: Duration = Duration::from_millis(1_000);
/// Time for which an address that nobody answers at is greeted, where other daemons are heard.
const UNKNOWN_PEER_LIFETIME: Duration = Duration::from_secs(10);
/// Longest time for a peer to begin to give what this daemon lacks, and longest pause within it. A whole copy takes as
/// long as the links need.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Updates given at a time; further askers get none and try another daemon or the store. Large ones
/// fill the link of a small VM.
const MAX_CONCURRENT_UPDATES: usize = 3;
/// Links are given up soon after their peer falls silent, and made anew when it is back.
const LINK_LIMITS: LinkLimits = LinkLimits { idle_ms: 2_000, streams: 32 };

/// See the module.
pub struct Cluster {
    weak_self: Weak<Cluster>,
    gateway: Arc<Gateway>,
    mirror: Arc<Mirror>,
    roster: Arc<Roster>,
    links: Arc<Peers>,
    view: Mutex<View>,
    /// Addresses from the settings that are tried for first contact.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Addresses that heartbeats named since the last look.
    announced: Mutex<Vec<SocketAddr>>,
    /// Daemons that have a task, and since when.
    peer_tasks: Mutex<HashMap<SocketAddr, Instant>>,
    ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Whether anything was heard since it was last added up.
    stats_changed: AtomicBool,
    fetching: AtomicBool,
    /// Whether this daemon last asked the store in vain.
    last_read_failed: AtomicBool,
    /// When this daemon last read the store.
    own_read: Mutex<Option<Instant>>,
    /// Since when this copy is known to be behind.
    behind_since: Mutex<Option<Instant>>,
    update_permits: Semaphore,
}

impl Cluster {
    /// Listens for peers.
    pub fn listen(addr: SocketAddr, gateway: &Gateway) -> Result<Peers> {
        let identity = Identity::unauthenticated()?;
        Peers::bind(addr, &identity, LINK_LIMITS, gateway.metrics.traffic.clone())
    }

    /// A cluster of this daemon alone, until it [`runs`](Cluster::run).
    pub fn new(
        gateway: Arc<Gateway>,
        mirror: Arc<Mirror>,
        roster: Arc<Roster>,
        links: Peers,
        ready: Box<dyn Fn() -> bool + Send + Sync>,
    ) -> Arc<Cluster> {
        let clock = Clock::new(rand::rng().random(), time::now());
        let view = View::new(roster.own().clone(), clock);
        let cluster = Arc::new_cyclic(|weak| Cluster {
            weak_self: weak.clone(),
            gateway,
            mirror,
            roster,
            links: Arc::new(links),
            view: Mutex::new(view),
            seeds: Mutex::default(),
            announced: Mutex::default(),
            peer_tasks: Mutex::default(),
            ready,
            stats_changed: AtomicBool::new(true),
            fetching: AtomicBool::new(false),
            last_read_failed: AtomicBool::new(false),
            own_read: Mutex::default(),
            behind_since: Mutex::default(),
            update_permits: Semaphore::new(MAX_CONCURRENT_UPDATES),
        });
        let weak = Arc::downgrade(&cluster);
        cluster.gateway.set_peer_source(weak);
        cluster
    }

    /// The gateway's counters.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.gateway.metrics
    }

    /// Sets the addresses that are tried for first contact.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Talks with peers until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.links.clone().serve(self.handler()));
        loop {
            self.mirror.tick(time::now());
            self.refresh_layout(time::now());
            for addr in self.heartbeat_targets(time::now()) {
                self.spawn_peer_task(addr);
            }
            let seldom = self.view().spacing(LOAD_UPDATE_INTERVAL) > IDLE_LAYOUT_INTERVAL;
            sleep(if seldom { IDLE_LAYOUT_INTERVAL } else { LAYOUT_INTERVAL }).await;
        }
    }

    /// The side that answers peers.
    fn handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(PeerHandler(self.clone()))
    }

    /// Whether this daemon should read the store now: no daemon did lately, or what it lacks was
    /// not given to it by one that has it. Where others ask in vain, daemons join them one by one.
    pub fn should_read(&self, now: Instant) -> bool {
        if self.is_behind(now) {
            return true;
        }
        let view = self.view();
        let before = view.readers_before(now);
        if before == 0 {
            return true;
        }
        let read = view.last_store_read();
        if self.mirror.last_failure().is_some_and(|failed| Some(failed) > read) {
            let since = read.unwrap_or(view.clock().started());
            let turn = READ_STEP.saturating_mul(view.store_retry_turn(self.roster.count()));
            return now.saturating_duration_since(since) > RECENT_READ + turn;
        }
        let turn = READ_STEP.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
        let report_delay = if view.layout().divided { REPORT_DELAY } else { Duration::ZERO };
        let max_age = RECENT_READ + report_delay + turn.min(MAX_READ_DELAY);
        read.is_none_or(|read| now.saturating_duration_since(read) > max_age)
    }

    /// The hall of this daemon.
    pub fn hall(&self) -> &str {
        &self.roster.own().hall
    }

    /// How long this daemon, which starts, waits for a peer's copy of the store.
    pub fn startup_wait(&self) -> Duration {
        start::wait(self.roster.own(), &self.roster.listing().0.daemons)
    }

    /// How long this daemon need not look again whether it should read: what others read lately is known.
    pub fn time_to_next_read_check(&self, now: Instant) -> Duration {
        let read = self.view().last_store_read();
        let left = read.map(|at| (at + RECENT_READ).saturating_duration_since(now));
        left.unwrap_or_default().min(MAX_BEHIND)
    }

    /// How many daemons are to read the store before this one.
    pub fn readers_before(&self, now: Instant) -> usize {
        self.view().readers_before(now)
    }

    /// Notes that this daemon has read the store.
    pub fn note_store_read(&self, now: Instant) {
        self.view().note_store_read(Some(now));
        *self.own_read.lock().expect("no holder panics") = Some(now);
        self.last_read_failed.store(false, Ordering::Release);
        *self.behind_since.lock().expect("no holder panics") = None;
    }

    /// Notes that this daemon asked the store in vain.
    pub fn note_store_failure(&self, now: Instant) {
        self.last_read_failed.store(true, Ordering::Release);
        self.mirror.store_failed(now);
    }

    /// Where callers may be sent, this daemon not among them.
    pub fn entries(&self, now: Instant) -> Vec<SocketAddr> {
        self.view().entries(now)
    }

    /// Where callers may be sent in other cells and halls.
    pub fn remote_entries(&self, now: Instant) -> Vec<SocketAddr> {
        self.view().remote_entries(now)
    }

    /// Divides the fleet anew and takes over what the others have running and have spent.
    fn refresh_layout(&self, now: Instant) {
        let (listing, rank) = self.roster.listing();
        let count = listing.daemons.len();
        let interval_scale = IntervalScale::of(self.gateway.request_gap(now));
        let tasks = self.peer_tasks.lock().expect("no holder panics").clone();
        let mut view = self.view();
        view.update_layout(&listing, |addr| tasks.get(&addr).copied(), now);
        view.set_interval_scale(interval_scale);
        self.gateway.metrics.peers.set(view.count(now) as i64);
        self.gateway.set_others(view.spent(count, now));
        self.gateway.set_divided(view.layout().divided);
        self.gateway.set_delayed_share(view.summarized_fraction(now));
        self.gateway.set_rank(rank);
        drop(view);
        // What was not told again in time no longer counts.
        self.stats_changed.store(true, Ordering::Release);
        let (limited, backing_off) = {
            let mut servers = self.gateway.servers();
            servers.prune(now);
            (servers.count_limited(), servers.count_backing_off())
        };
        let metrics = self.metrics();
        metrics.limited_servers.set(limited as i64);
        metrics.resting_servers.set(backing_off as i64);
    }

    /// Daemons that this one sends heartbeats to.
    fn heartbeat_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let view = self.view();
        let mut wanted = view.partners(now);
        let unknown = |addr: &SocketAddr| self.is_unknown(&view, *addr);
        if self.needs_seeds(&view, now) {
            let seeds = self.seeds.lock().expect("no holder panics");
            wanted.extend(seeds.iter().copied().filter(unknown));
        }
        let mut announced = self.announced.lock().expect("no holder panics");
        wanted.extend(announced.drain(..).filter(unknown));
        wanted
    }

    /// Whether this daemon has no other way to its peers than the few addresses that all daemons know: a fleet that
    /// greets them has a connection of each daemon there.
    fn needs_seeds(&self, view: &View, now: Instant) -> bool {
        let waited = now.saturating_duration_since(view.clock().started()) >= SEED_DELAY;
        waited && view.count(now) == 0
    }

    /// What a daemon is to this one; `None` where no heartbeats are due to it.
    fn relation(&self, addr: SocketAddr, now: Instant) -> Option<Relation> {
        let view = self.view();
        let unknown_peer = || {
            let started = self.peer_tasks.lock().expect("no holder panics").get(&addr).copied();
            let is_recent =
                started.is_none_or(|at| now.saturating_duration_since(at) < UNKNOWN_PEER_LIFETIME);
            let is_due = is_recent || self.needs_seeds(&view, now);
            (is_due && self.is_unknown(&view, addr)).then_some(Relation::Unknown)
        };
        view.relation(addr, now).or_else(unknown_peer)
    }

    /// Whether an address is neither listed by the store nor heard.
    fn is_unknown(&self, view: &View, addr: SocketAddr) -> bool {
        !view.has_peer(addr) && !self.roster.has_peer(addr)
    }

    /// One task for each daemon that heartbeats are due to; it ends when they no longer are.
    fn spawn_peer_task(self: &Arc<Self>, addr: SocketAddr) {
        if addr == self.roster.own().peers {
            return;
        }
        let mut tasks = self.peer_tasks.lock().expect("no holder panics");
        if tasks.contains_key(&addr) {
            return;
        }
        tasks.insert(addr, time::now());
        drop(tasks);
        let cluster = self.clone();
        tokio::spawn(async move {
            cluster.send_heartbeats(addr, &cluster.handler()).await;
            cluster.peer_tasks.lock().expect("no holder panics").remove(&addr);
        });
    }

    async fn send_heartbeats(self: &Arc<Self>, addr: SocketAddr, handler: &Arc<dyn Handler>) {
        let (mut urgent, mut loads) = (self.gateway.urgent_changes(), self.gateway.load_changes());
        let mut copy = self.gateway.copy_changes();
        let mut schedule = SumSchedule::default();
        loop {
            let now = time::now();
            let Some(relation) = self.relation(addr, now) else {
                return;
            };
            let heartbeat = self.heartbeat(addr, relation, &mut schedule, now);
            // What changes from here on is not in this heartbeat.
            urgent.mark_unchanged();
            loads.mark_unchanged();
            copy.mark_unchanged();
            self.links.tell(addr, &heartbeat, handler).await;
            let (is_reachable, interval, spacing, forwards) = {
                let (view, now) = (self.view(), time::now());
                let is_reachable = view.can_reach(addr, now);
                let (interval, spacing) = (
                    view.heartbeat_interval(addr, relation, now),
                    view.spacing(LOAD_UPDATE_INTERVAL),
                );
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
                // News goes out at once.
                result = urgent.changed(), if is_reachable => if result.is_err() { return },
                result = copy.changed(), if forwards => if result.is_err() { return },
                () = changed_after(&mut loads, now + spacing), if reports_loads => {}
            }
        }
    }

    /// Whether others hear of changes of the store from this daemon: a relay, one that reads the store, or any of a
    /// small fleet. All others have them from one of these, as their peers do.
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
        let (stats, observations) = {
            let servers = self.gateway.servers();
            let (loads, outcomes) = (servers.own_loads(), servers.own_outcomes(now));
            let tallies = rollouts.tallies.into_iter().collect();
            let orders = rollouts.ages.into_iter().collect();
            (
                DaemonStats { loads, spent, outcomes, evidence, tallies, rollout_ages: orders },
                servers.observations(now),
            )
        };
        let own = OwnState { stats, ready: (self.ready)() };
        Heartbeat {
            copy_status: self.mirror.copy_status(now),
            store_failure_age_ms: self.mirror.last_failure().map(|at| millis_between(at, now)),
            observations,
            ..view.heartbeat(to, relation, own, schedule, now)
        }
    }

    fn receive(self: &Arc<Self>, heartbeat: Heartbeat, now: Instant) {
        let from = heartbeat.daemon.peers;
        let sent = {
            let mut view = self.view();
            view.on_heartbeat(&heartbeat, now);
            view.clock().earliest_send_time(heartbeat.echo, now)
        };
        self.stats_changed.store(true, Ordering::Release);
        self.gateway.servers().merge_observations(&heartbeat.observations, sent, now);
        self.merge_store_ages(&heartbeat, sent, now);
        self.announced.lock().expect("no holder panics").extend(heartbeat.peer_addrs);
        let Some(copy_status) = heartbeat.copy_status else {
            return;
        };
        let confirmed_at = sent.and_then(|sent| minus_millis(sent, copy_status.age_ms));
        let lack = match confirmed_at {
            Some(confirmed_at) => self.mirror.hear(copy_status, confirmed_at, now),
            None => self.mirror.lack(&copy_status),
        };
        if lack == Lack::Nothing {
            return;
        }
        self.behind_since.lock().expect("no holder panics").get_or_insert(now);
        if !self.fetching.swap(true, Ordering::AcqRel) {
            tokio::spawn(self.clone().fetch(from, lack));
        }
    }

    /// Takes over when the store was last read, and last asked in vain, as far as a peer knows.
    fn merge_store_ages(&self, heartbeat: &Heartbeat, sent: Option<Instant>, now: Instant) {
        let at = |ms: u32| sent.and_then(|sent| minus_millis(sent, ms));
        if let Some(failed) = heartbeat.store_failure_age_ms.and_then(at) {
            self.mirror.store_failed(failed);
        }
        if let Some(read) = heartbeat.store_read_age_ms.and_then(at) {
            self.mirror.store_answered(read, now);
        }
    }

    /// Asks a peer for what this copy lacks: small values first, and the large ones too, unless the
    /// store is being asked for them by now: on a narrow link the two would hold each other up.
    async fn fetch(self: Arc<Self>, from: SocketAddr, lack: Lack) {
        let complete = match lack {
            Lack::Changes => {
                self.fetch_from(from, Request::SmallAfter(self.mirror.position())).await
            }
            Lack::LargeValues | Lack::Nothing => Some(false),
        };
        let from_store =
            self.is_behind(time::now()) && !self.last_read_failed.load(Ordering::Acquire);
        if complete == Some(false) && !from_store {
            self.fetch_from(from, Request::AllAfter(self.mirror.position())).await;
        }
        self.fetching.store(false, Ordering::Release);
    }

    /// Takes in what a peer gives. Says whether it was all that this copy lacked; `None` where
    /// nothing came.
    async fn fetch_from(self: &Arc<Self>, from: SocketAddr, request: Request) -> Option<bool> {
        let handler = self.handler();
        let asked = time::now();
        let progress = || {
            // The store is not asked for what a peer is giving.
            let mut behind = self.behind_since.lock().expect("no holder panics");
            *behind = behind.map(|_| time::now());
        };
        let limits = (FETCH_TIMEOUT, FETCH_TIMEOUT);
        let answer = self
            .links
            .ask_large::<Option<Update>>(from, &request, limits, &handler, progress)
            .await;
        let Ok(received) = answer else {
            warn!(peer = from.to_string().as_str(); "peer did not give what it has");
            return None;
        };
        let update = received?;
        // Before this process's clock began, nothing can have been seen.
        let confirmed_at = minus_millis(asked, update.copy_status.age_ms)
            .unwrap_or_else(|| self.view().clock().started());
        let complete = update.complete;
        self.mirror.apply(update, confirmed_at, time::now());
        if complete {
            *self.behind_since.lock().expect("no holder panics") = None;
        }
        Some(complete)
    }

    /// Whether this copy has been behind for so long that the daemon reads the store itself.
    fn is_behind(&self, now: Instant) -> bool {
        let behind = *self.behind_since.lock().expect("no holder panics");
        behind.is_some_and(|since| now.saturating_duration_since(since) > MAX_BEHIND)
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("no holder panics")
    }
}

impl PeerSource for Cluster {
    fn peer_stats(&self, now: Instant) -> Option<PeerStats> {
        self.stats_changed.swap(false, Ordering::AcqRel).then(|| self.view().peer_stats(now))
    }

    fn higher_ranked_load(&self, server: Tag, now: Instant) -> Load {
        self.view().higher_ranked_load(server, now)
    }

    fn borrow_quota(&self, wanted: Vec<LimitedServer>) -> BoxFuture<'_, Option<Tag>> {
        Box::pin(self.request_quota(wanted))
    }
}

/// Returns once something has changed, but not before `least`.
async fn changed_after(changes: &mut watch::Receiver<u64>, least: Instant) {
    if changes.changed().await.is_err() {
        // The daemon itself has ended.
        std::future::pending::<()>().await;
    }
    time::sleep_until(least).await;
}
