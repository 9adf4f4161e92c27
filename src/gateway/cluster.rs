//! Communication with the other daemons: which of them exist, how current their copies of the store
//! are, and which load they put on each server.
//!
//! No daemon is essential, and no consensus is needed. A heartbeat carries the sender's clock and
//! echoes the receiver's, so that the receiver can date each report in it on its own clock,
//! however long the message was under way. Within a [cell](crate::gateway::cell), heartbeats are
//! sent several times a second and as soon as a load changes. Between cells and halls, relays
//! exchange sums.

mod answering;
mod awaited;
mod exchange;
mod fetching;
mod quota;
mod streams;

use crate::error::Result;
use crate::gateway::clock::Clock;
use crate::gateway::continuation::{Scope, StreamAnswer, StreamQuestion};
use crate::gateway::core::{Gateway, LimitedServer, PeerSource};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::mirror::Mirror;
use crate::gateway::partner::{IntervalScale, Relation};
use crate::gateway::roster::Roster;
use crate::gateway::servers::{Load, PeerStats};
use crate::gateway::start;
use crate::gateway::tag::Tag;
use crate::gateway::view::View;
use crate::peer::network::Runtime;
use crate::peer::{Handler, LinkLimits, Peers};
use crate::time;
use crate::tls::Identity;
use answering::PeerHandler;
use awaited::Awaited;
use futures_util::future::BoxFuture;
use rand::RngExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Minimum time between two heartbeats to the same daemon for changes of load: changes that follow
/// each other closely share one heartbeat.
const LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which the division into cells and the set of heartbeat targets are updated.
const LAYOUT_INTERVAL: Duration = Duration::from_millis(100);
/// The same while heartbeats are infrequent.
const IDLE_LAYOUT_INTERVAL: Duration = Duration::from_millis(300);
/// While the last read of the store by any daemon is no older than this, the other daemons don't
/// read it.
const RECENT_READ: Duration = Duration::from_millis(700);
/// Additional wait of a daemon for each daemon that reads before it.
const READ_STEP: Duration = Duration::from_millis(120);
/// Maximum additional wait: if the first readers of a fleet are cut off from the store, another
/// daemon still reads within two seconds.
const MAX_READ_DELAY: Duration = Duration::from_millis(1_000);
/// Time for the report of a read to arrive from other cells: one heartbeat between cells and one
/// within the cell.
const REPORT_DELAY: Duration = Duration::from_millis(550);
/// Time after which a daemon whose copy is known to be behind reads the store itself: its peers may
/// lack the bandwidth for a large change.
const MAX_BEHIND: Duration = Duration::from_millis(250);
/// The same while the configuration is large, which the store sends as a whole and peers send as the difference.
const MAX_BEHIND_LARGE: Duration = Duration::from_millis(1_000);
/// After this time from its start, a daemon that has reached no peer tries the seeds. Before, the
/// store or a peer that knows the store usually names the other daemons.
const SEED_DELAY: Duration = Duration::from_millis(1_000);
/// How long heartbeats are sent to an address that nobody answers at, if other daemons are
/// reachable.
const UNKNOWN_PEER_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of updates that are sent at once; further requests get an empty answer and go to
/// another daemon or to the store. Large updates fill the link of a small VM.
const MAX_CONCURRENT_UPDATES: usize = 3;
/// Connections are closed soon after their peer becomes silent, and opened again when it is back.
const LINK_LIMITS: LinkLimits = LinkLimits { idle_ms: 2_000, streams: 32 };

/// Exchanges heartbeats, copies of the store and quota with the other daemons.
pub struct Cluster {
    weak_self: Weak<Cluster>,
    gateway: Arc<Gateway>,
    mirror: Arc<Mirror>,
    roster: Arc<Roster>,
    links: Arc<Peers>,
    view: Mutex<View>,
    /// Addresses from the settings for first contact.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Addresses from heartbeats since the last call of `heartbeat_targets`.
    announced: Mutex<Vec<SocketAddr>>,
    /// Daemons with a running heartbeat task, and when it started.
    peer_tasks: Mutex<HashMap<SocketAddr, Instant>>,
    /// Whether callers should be directed to this daemon.
    ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Whether any peer's figures changed or expired since they were last summed up.
    stats_changed: AtomicBool,
    /// Whether small values are being fetched from a peer.
    fetching: AtomicBool,
    /// Whether large values are being fetched from peers.
    fetching_large: AtomicBool,
    /// When this daemon last read the store.
    own_read: Mutex<Option<Instant>>,
    /// Since when this copy is known to be behind.
    behind_since: Mutex<Option<Instant>>,
    /// What the missing changes are awaited from.
    awaited: Mutex<Awaited>,
    /// Permits to send large updates to peers.
    update_permits: Semaphore,
}

impl Cluster {
    /// Listens for peers.
    pub fn listen(runtime: Arc<dyn Runtime>, addr: SocketAddr, gateway: &Gateway) -> Result<Peers> {
        let identity = Identity::unauthenticated()?;
        Peers::bind_with(runtime, addr, &identity, LINK_LIMITS, gateway.metrics.traffic.clone())
    }

    /// Creates a cluster that consists of this daemon alone until [`run`](Cluster::run) is called.
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
            fetching_large: AtomicBool::new(false),
            own_read: Mutex::default(),
            behind_since: Mutex::default(),
            awaited: Mutex::default(),
            update_permits: Semaphore::new(MAX_CONCURRENT_UPDATES),
        });
        let weak = Arc::downgrade(&cluster);
        cluster.gateway.set_peer_source(weak);
        cluster
    }

    /// The gateway's metrics.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.gateway.metrics
    }

    /// Sets the addresses for first contact.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Sets the speed of this VM's link in bytes per second; `None` if it is unknown.
    pub fn set_link_speed(&self, speed: Option<f64>) {
        self.view().set_link_speed(speed);
    }

    /// Exchanges messages with peers until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.links.clone().serve(self.handler()));
        tokio::spawn(self.clone().report_streams());
        loop {
            self.mirror.expire(time::now());
            self.refresh_layout(time::now());
            for addr in self.heartbeat_targets(time::now()) {
                self.spawn_peer_task(addr);
            }
            let seldom = self.view().spacing(LOAD_UPDATE_INTERVAL) > IDLE_LAYOUT_INTERVAL;
            sleep(if seldom { IDLE_LAYOUT_INTERVAL } else { LAYOUT_INTERVAL }).await;
        }
    }

    /// The handler for messages from peers.
    fn handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(PeerHandler(self.clone()))
    }

    /// Whether this daemon should read the store now: either no daemon has read it recently, or the
    /// peer that is ahead has not delivered the missing changes. If the reads of other daemons
    /// fail, further daemons start to read one after the other.
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
            let turn = READ_STEP.saturating_mul(view.store_retry_turn(self.roster.count_others()));
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

    /// How long this daemon waits for a peer's copy of the store when it starts.
    pub fn startup_wait(&self) -> Duration {
        start::wait(self.roster.own(), &self.roster.listing().0.daemons)
    }

    /// How long [`should_read`](Cluster::should_read) needn't be checked again, given the last read
    /// by any daemon.
    pub fn time_to_next_read_check(&self, now: Instant) -> Duration {
        let read = self.view().last_store_read();
        let left = read.map(|at| (at + RECENT_READ).saturating_duration_since(now));
        left.unwrap_or_default().min(MAX_BEHIND)
    }

    /// How many daemons precede this one in the order of reading the store.
    pub fn readers_before(&self, now: Instant) -> usize {
        self.view().readers_before(now)
    }

    /// Records a read of the store by this daemon.
    pub fn note_store_read(&self, now: Instant) {
        self.view().note_store_read(Some(now));
        *self.own_read.lock().expect("no holder panics") = Some(now);
        *self.behind_since.lock().expect("no holder panics") = None;
    }

    /// Records a failed read of the store by this daemon.
    pub fn note_store_failure(&self, now: Instant) {
        self.mirror.store_failed(now);
    }

    /// Addresses of other daemons for callers.
    pub fn entries(&self, now: Instant) -> Vec<SocketAddr> {
        self.view().entries(now)
    }

    /// Addresses for callers in other cells and halls.
    pub fn remote_entries(&self, now: Instant) -> Vec<SocketAddr> {
        self.view().remote_entries(now)
    }

    /// Updates the division into cells, and passes the other daemons' figures to the gateway and
    /// its metrics.
    fn refresh_layout(&self, now: Instant) {
        let (listing, rank) = self.roster.listing();
        let count = listing.daemons.len();
        let interval_scale = IntervalScale::of(self.gateway.request_gap(now));
        let tasks = self.peer_tasks.lock().expect("no holder panics").clone();
        let mut view = self.view();
        view.update_layout(&listing, |addr| tasks.get(&addr).copied(), now);
        view.set_interval_scale(interval_scale);
        view.set_retry_window(self.gateway.budget().window_length());
        self.gateway.metrics.peers.set(view.count(now) as i64);
        self.gateway.set_others(view.spent(count, now));
        self.gateway.set_divided(view.layout().divided);
        self.gateway.set_delayed_share(view.summarized_fraction(now));
        self.gateway.set_rank(rank);
        drop(view);
        // Loads that were not reported again in time have expired, so the sums may have changed.
        self.stats_changed.store(true, Ordering::Release);
        let (limited, backing_off, slow) = {
            let mut servers = self.gateway.servers();
            servers.refresh_paces(now);
            servers.prune(now);
            (servers.count_limited(), servers.count_backing_off(), servers.count_slow())
        };
        self.gateway.refresh_shortages(now);
        // Streams that began before their service's second version are to be reported, too.
        if self.gateway.has_streams_to_report(now) {
            self.gateway.streams_begun.notify_one();
        }
        self.publish_budget(now);
        self.report_delay(now);
        let metrics = self.metrics();
        metrics.limited_servers.set(limited as i64);
        metrics.resting_servers.set(backing_off as i64);
        metrics.slow_servers.reset();
        for (service, count) in slow {
            metrics.slow_servers.with_label_values(&[&*service]).set(count);
        }
    }

    /// Updates the gauges of the retry budget.
    fn publish_budget(&self, now: Instant) {
        let gauges = &self.metrics().retry_budget;
        for (service, usage) in self.gateway.budget().usages(now) {
            let set = |part: &str, value: i64| {
                gauges.with_label_values(&[&*service, part]).set(value);
            };
            set("own", usage.own.into());
            set("peers", usage.peers.into());
            set("ended", usage.ended.into());
            set("allowed", usage.allowed as i64);
        }
    }

    /// Addresses of the daemons that this one sends heartbeats to.
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

    /// Whether the seeds are the only way to reach peers. They are not used otherwise: all daemons
    /// know the same few addresses, and each would keep a connection to them.
    fn needs_seeds(&self, view: &View, now: Instant) -> bool {
        let waited = now.saturating_duration_since(view.clock().started()) >= SEED_DELAY;
        waited && view.count(now) == 0
    }

    /// This daemon's relation to another one; `None` if it sends no heartbeats to it.
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

    /// Whether an address is neither listed in the store nor known from heartbeats.
    fn is_unknown(&self, view: &View, addr: SocketAddr) -> bool {
        !view.has_peer(addr) && !self.roster.has_peer(addr)
    }

    /// Starts the task that sends heartbeats to a daemon. It ends when none are due any more.
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

    /// Whether this copy has been behind for so long that the daemon reads the store itself.
    fn is_behind(&self, now: Instant) -> bool {
        let behind = *self.behind_since.lock().expect("no holder panics");
        let limit = || match self.mirror.has_large_declaration() {
            true => MAX_BEHIND_LARGE,
            false => MAX_BEHIND,
        };
        behind.is_some_and(|since| now.saturating_duration_since(since) > limit())
    }

    fn awaited(&self) -> MutexGuard<'_, Awaited> {
        self.awaited.lock().expect("no holder panics")
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

    fn ready_peers(&self, now: Instant) -> Vec<SocketAddr> {
        self.entries(now)
    }

    fn find_stream(&self, stream: Tag, service: Tag) -> BoxFuture<'_, StreamAnswer> {
        Box::pin(self.ask_about(StreamQuestion { stream, service, scope: Scope::Hall }))
    }

    fn borrow_quota(&self, wanted: Vec<LimitedServer>) -> BoxFuture<'_, Option<Tag>> {
        Box::pin(self.request_quota(wanted))
    }
}
