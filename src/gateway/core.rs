//! State shared by all requests that one daemon handles.

use crate::gateway::budget::{BudgetBounds, Others, RetryKind, SharedRetryBudget, Spent};
use crate::gateway::buffers::{BufferLimits, Buffers};
use crate::gateway::cold::{ColdBounds, Rank};
use crate::gateway::continuation::StreamAnswer;
use crate::gateway::finish::{Durations, Shutdown};
use crate::gateway::in_force::InForce;
use crate::gateway::isolation::Isolation;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::place::PlacementPolicy;
use crate::gateway::port::{BackendTransport, DaemonTransport};
use crate::gateway::promises::Promises;
use crate::gateway::quarantine::Quarantine;
use crate::gateway::refusals::Refusals;
use crate::gateway::regions::{AllowedRegions, Regions};
use crate::gateway::request::Call;
use crate::gateway::returns::Returns;
use crate::gateway::rollout::Rollouts;
use crate::gateway::roster::Roster;
use crate::gateway::servers::{Load, PeerStats, Server, ServerKey, Servers};
use crate::gateway::shares::Shares;
use crate::gateway::software::BegunStreams;
use crate::gateway::table::{RegionList, Service};
use crate::gateway::tag::Tag;
use crate::gateway::urgency::ShortageMonitor;
use crate::time;
use futures_util::future::BoxFuture;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, Semaphore, watch};

/// Bounds set in the platform's configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time for which a revoked key may still be used; `None` if there is no strict bound.
    pub revocation_delay: Option<Duration>,
    /// Time within which a change of the configuration must be in force; `None` if there is no bound.
    pub change_delay: Option<Duration>,
    /// Bounds of the shared retry budget.
    pub budget: BudgetBounds,
    /// How many requests a cold server may get.
    pub cold: ColdBounds,
    /// Fraction of a service's requests that servers of a new version may get until the version is known to
    /// be sound.
    pub exposure: f64,
    /// Most bytes that are buffered for callers and servers. Changes take effect after a restart.
    pub buffers: BufferLimits,
}

/// Fraction of the revocation delay up to which the copy of the store counts as fresh. The rest covers the
/// time between this check and the moment a backend server begins to work.
const FRESH_FRACTION: f64 = 0.7;

/// Size of a request, in tokens, from which its start and end are reported to other daemons at once.
/// Smaller requests, such as those of plain services, are reported with the next heartbeat.
const REPORTED_TOKENS: u32 = 100;

/// Maximum number of daemons in a region that are returned to a caller from the roster alone, without a
/// heartbeat from them. An answer holds no more addresses than this.
const MAX_LISTED: usize = 64;

/// Access to what other daemons report.
///
/// Reports are pulled when they are needed: heartbeats arrive many times as often as requests, and adding
/// up the reports of hundreds of daemons on thousands of servers takes 0.5 ms.
pub trait PeerSource: Send + Sync {
    /// Sums of what the other daemons report; `None` if nothing has arrived since the last call.
    fn peer_stats(&self, now: Instant) -> Option<PeerStats>;
    /// Load at a server from those daemons of the same cell that rank before this one.
    fn higher_ranked_load(&self, server: Tag, now: Instant) -> Load;
    /// Addresses for callers of the other daemons that are ready and reach backend servers.
    fn ready_peers(&self, now: Instant) -> Vec<SocketAddr>;
    /// Asks other daemons which software of a service, given by its group tag, began a stream.
    fn find_stream(&self, stream: Tag, service: Tag) -> BoxFuture<'_, StreamAnswer>;
    /// Asks other daemons for quota for one request at one of these limited servers. Returns the server for
    /// which quota was granted.
    fn borrow_quota(&self, wanted: Vec<LimitedServer>) -> BoxFuture<'_, Option<Tag>>;
}

/// A rate-limited server for which this daemon wants to borrow quota for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedServer {
    /// Tag of the server.
    pub server: Tag,
    /// Number of daemons of the cell that hold quota there.
    pub holders: usize,
}

/// State shared by all requests that one daemon handles.
pub struct Gateway {
    /// Configuration in force.
    pub in_force: InForce,
    /// Transport to backend servers.
    pub wire: Arc<dyn BackendTransport>,
    /// Metrics of this daemon's gateway.
    pub metrics: GatewayMetrics,
    /// Whether this VM is cut off from all backend servers.
    pub isolation: Isolation,
    /// Transport to other daemons for callers' requests.
    daemon_transport: OnceLock<Arc<dyn DaemonTransport>>,
    /// Bytes that are buffered for callers and servers.
    pub buffers: Arc<Buffers>,
    /// Hall of this daemon.
    pub hall: String,
    /// Region of each hall.
    pub regions: Regions,
    revocation_delay: Mutex<Option<Duration>>,
    /// How many requests a cold server may get, and this daemon's rank among the daemons that share them.
    pub(super) cold: Mutex<(ColdBounds, Rank)>,
    pub(super) placement_policy: Box<dyn PlacementPolicy>,
    peer_source: OnceLock<Weak<dyn PeerSource>>,
    servers: Mutex<Servers>,
    budget: Mutex<SharedRetryBudget>,
    quarantine: Mutex<Quarantine>,
    /// Which software began each stream that a caller may take up again.
    begun_streams: Mutex<BegunStreams>,
    /// Notified when a stream begins while several versions of its service serve.
    pub(super) streams_begun: Notify,
    pub(super) rollouts: Mutex<Rollouts>,
    /// Notified when a rollout is ordered or advances.
    pub(super) rollout_changed: Notify,
    exposure: Mutex<f64>,
    /// Quota at limited servers that was promised to callers who come back, by service.
    promises: Mutex<HashMap<Arc<str>, Promises>>,
    /// Whether the engines of each service are short of capacity.
    pub(super) shortages: Mutex<HashMap<Arc<str>, ShortageMonitor>>,
    shares: Mutex<Shares>,
    /// Capacity that is reserved for refused callers. Locked after `servers` where both are needed.
    returns: Mutex<Returns>,
    /// Callers that this daemon has refused lately.
    refusals: Mutex<Refusals>,
    /// Whether the fleet is divided into cells, so that loads in other halls arrive late and as sums.
    pub(super) divided: AtomicBool,
    /// Fraction of all daemons that are in other cells of this hall and whose loads arrive late and as
    /// sums.
    pub(super) delayed_share: Mutex<f64>,
    /// When the process ends, once a planned stop has begun.
    pub(super) shutdown: watch::Sender<Option<Shutdown>>,
    durations: Mutex<Durations>,
    /// Counts changes that other daemons should learn of at once.
    urgent_changes: watch::Sender<u64>,
    /// Counts changes to this daemon's copy of the store.
    copy_changes: watch::Sender<u64>,
    /// Number of times that the store has been restored from an older copy of itself, as far as known.
    era: watch::Sender<u64>,
    /// Counts changes of the load that this daemon puts on servers.
    load_changes: watch::Sender<u64>,
    /// Notified when a request is sent to a server.
    pub(super) work_started: Notify,
    /// Notified when another request may have to be quarantined.
    pub(super) quarantine_changed: Notify,
    /// Permits for moving this daemon's own runs away from a server.
    move_permits: Mutex<HashMap<ServerKey, Weak<Semaphore>>>,
}

impl Gateway {
    /// Creates a gateway without configuration or known servers.
    pub fn new(
        hall: &str,
        regions: Regions,
        bounds: Bounds,
        wire: Arc<dyn BackendTransport>,
        placement_policy: Box<dyn PlacementPolicy>,
        now: Instant,
    ) -> Arc<Gateway> {
        let metrics = GatewayMetrics::default();
        let buffers = Buffers::new(bounds.buffers, &metrics);
        let in_force = InForce::default();
        in_force.set_change_delay(bounds.change_delay);
        Arc::new(Gateway {
            in_force,
            wire,
            metrics,
            isolation: Isolation::default(),
            daemon_transport: OnceLock::new(),
            buffers,
            hall: hall.into(),
            regions,
            revocation_delay: Mutex::new(bounds.revocation_delay),
            cold: Mutex::new((bounds.cold, Rank::default())),
            placement_policy,
            peer_source: OnceLock::new(),
            servers: Mutex::default(),
            budget: Mutex::new(SharedRetryBudget::new(bounds.budget, now)),
            quarantine: Mutex::default(),
            begun_streams: Mutex::default(),
            streams_begun: Notify::new(),
            rollouts: Mutex::default(),
            rollout_changed: Notify::new(),
            exposure: Mutex::new(bounds.exposure),
            promises: Mutex::default(),
            shortages: Mutex::default(),
            shares: Mutex::default(),
            returns: Mutex::default(),
            refusals: Mutex::new(Refusals::new(now)),
            divided: AtomicBool::new(false),
            delayed_share: Mutex::new(0.0),
            shutdown: watch::Sender::new(None),
            durations: Mutex::default(),
            urgent_changes: watch::Sender::new(0),
            copy_changes: watch::Sender::new(0),
            era: watch::Sender::new(0),
            load_changes: watch::Sender::new(0),
            work_started: Notify::new(),
            quarantine_changed: Notify::new(),
            move_permits: Mutex::default(),
        })
    }

    /// Replaces the bounds after the platform has changed them.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.revocation_delay.lock().expect("no holder panics") = bounds.revocation_delay;
        self.in_force.set_change_delay(bounds.change_delay);
        self.cold.lock().expect("no holder panics").0 = bounds.cold;
        *self.exposure.lock().expect("no holder panics") = bounds.exposure;
        self.budget().set_bounds(bounds.budget);
    }

    /// Fraction of a service's requests that servers of a new version may get until the version is known to
    /// be sound.
    pub(super) fn exposure(&self) -> f64 {
        *self.exposure.lock().expect("no holder panics")
    }

    /// Sets whether the fleet is divided into cells, so that loads in other halls arrive late and as sums.
    pub fn set_divided(&self, divided: bool) {
        self.divided.store(divided, Ordering::Relaxed);
    }

    /// Sets the fraction of all daemons that are in other cells of this hall and whose loads arrive late.
    pub fn set_delayed_share(&self, share: f64) {
        *self.delayed_share.lock().expect("no holder panics") = share;
    }

    /// Sets the source of other daemons' reports; calls after the first have no effect.
    pub fn set_peer_source(&self, source: Weak<dyn PeerSource>) {
        self.peer_source.get_or_init(|| source);
    }

    /// Sets the transport to other daemons; calls after the first have no effect.
    pub fn set_daemon_transport(&self, transport: Arc<dyn DaemonTransport>) {
        self.daemon_transport.get_or_init(|| transport);
    }

    pub(super) fn daemon_transport(&self) -> Option<&dyn DaemonTransport> {
        self.daemon_transport.get().map(|transport| &**transport)
    }

    pub(super) fn peer_source(&self) -> Option<Arc<dyn PeerSource>> {
        self.peer_source.get()?.upgrade()
    }

    /// Load at a server from those daemons of the same cell that rank before this one.
    pub(crate) fn higher_ranked_load(&self, server: ServerKey, now: Instant) -> Load {
        let tag = self.servers().get(server).map(Server::tag);
        let load = tag.and_then(|tag| Some(self.peer_source()?.higher_ranked_load(tag, now)));
        load.unwrap_or_default()
    }

    /// Sets this daemon's rank among the daemons that send requests to cold servers.
    pub fn set_rank(&self, rank: Rank) {
        self.cold.lock().expect("no holder panics").1 = rank;
    }

    /// Locks the measurements of how long answers take.
    pub(super) fn durations(&self) -> MutexGuard<'_, Durations> {
        self.durations.lock().expect("no holder panics")
    }

    /// Signals a change that other daemons should learn of at once.
    pub fn signal_urgent_change(&self) {
        self.urgent_changes.send_modify(|count| *count += 1);
    }

    /// Signals a change of the load that this daemon puts on servers, if `load` is large enough to be reported
    /// at once.
    pub(super) fn signal_load_change(&self, load: Load) {
        if load.tokens >= REPORTED_TOKENS {
            self.load_changes.send_modify(|count| *count += 1);
        }
    }

    /// Signals a change to this daemon's copy of the store.
    pub(super) fn signal_copy_change(&self) {
        self.copy_changes.send_modify(|count| *count += 1);
    }

    /// Sets the store's era: the number of times that it has been restored from an older copy of itself.
    pub(super) fn set_era(&self, era: u64) {
        self.metrics.store_returns.inc();
        self.era.send_replace(era);
    }

    /// Subscribes to new eras of the store.
    pub fn era_changes(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Subscribes to changes to this daemon's copy of the store.
    pub fn copy_changes(&self) -> watch::Receiver<u64> {
        self.copy_changes.subscribe()
    }

    /// Mean time between two requests to the same server, in seconds, for the service with the most requests
    /// per server; infinite if no rate is known.
    pub(super) fn request_gap(&self, now: Instant) -> f64 {
        let rates = self.budget().rates(now);
        let servers = self.servers();
        let gaps = rates.into_iter().filter_map(|(service, rate)| {
            let count = servers.count(&service);
            (count > 0 && rate > 0.0).then(|| count as f64 / rate)
        });
        gaps.fold(f64::INFINITY, f64::min)
    }

    /// Subscribes to changes of the load that this daemon puts on servers, as far as they are to be reported
    /// without waiting for the next heartbeat.
    pub fn load_changes(&self) -> watch::Receiver<u64> {
        self.load_changes.subscribe()
    }

    /// Subscribes to changes that other daemons should learn of at once.
    pub fn urgent_changes(&self) -> watch::Receiver<u64> {
        self.urgent_changes.subscribe()
    }

    /// The permit to move one of this daemon's runs away from a server. Runs move one at a time per server.
    pub(crate) fn move_permit(&self, server: ServerKey) -> Arc<Semaphore> {
        let mut turns = self.move_permits.lock().expect("no holder panics");
        turns.retain(|_, turn| turn.strong_count() > 0);
        if let Some(turn) = turns.get(&server).and_then(Weak::upgrade) {
            return turn;
        }
        let turn = Arc::new(Semaphore::new(1));
        turns.insert(server, Arc::downgrade(&turn));
        turn
    }

    /// Locks the backend servers.
    pub fn servers(&self) -> MutexGuard<'_, Servers> {
        self.servers.lock().expect("no holder panics")
    }

    /// Id of a server, for logs; `None` once the server is gone.
    pub(crate) fn server_id(&self, key: ServerKey) -> Option<Arc<str>> {
        self.servers().get(key).map(|server| server.record.id.clone())
    }

    /// Records in the metrics how old the copy of the store is as a request is sent, and returns that age.
    pub(crate) fn record_store_age(&self, now: Instant) -> Option<Duration> {
        let age = self.in_force.age(now)?;
        self.metrics.knowledge_seconds.observe(age.as_secs_f64());
        Some(age)
    }

    /// Whether the copy of the store is recent enough to validate API keys against it.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let Some(age) = self.in_force.age(now) else {
            return false;
        };
        let bound = *self.revocation_delay.lock().expect("no holder panics");
        bound.is_none_or(|bound| age <= bound.mul_f64(FRESH_FRACTION))
    }

    /// Whether the caller's key is still valid according to a copy of the store that is recent enough.
    /// Requests without a key are always authorized.
    pub fn is_authorized(&self, call: &Call, now: Instant) -> bool {
        let Some(credential) = &call.credential else {
            return true;
        };
        let Some(declared) = self.in_force.get() else {
            return false;
        };
        let holder = declared.table.workspace(&credential.key);
        self.is_fresh(now) && holder.is_some_and(|w| w.name == credential.workspace)
    }

    /// Draws a service of the request's route by weight.
    pub fn draw_service(&self, call: &Call) -> Option<Arc<Service>> {
        let name = call.route.draw(&mut rand::rng())?;
        self.in_force.get()?.table.service(name).cloned()
    }

    /// Priority to send to an engine with a request; `None` if the routes of the service have the same one, so
    /// that its engines need no order.
    pub(super) fn engine_priority(&self, service: &Service, call: &Call) -> Option<u8> {
        service.engine.as_ref()?;
        let declared = self.in_force.get()?;
        let priorities = declared.table.priorities(&service.name)?;
        (priorities.start() < priorities.end()).then(|| call.priority())
    }

    /// Addresses of daemons to return to a caller in `region` for a host.
    ///
    /// If the host's routes restrict regions, only daemons in an allowed region or in the caller's own
    /// qualify. They are taken from the first of these that has any: `found`, the more distant daemons in
    /// `further` from which heartbeats arrive, and the `roster`, whose daemons may have died lately. If
    /// none qualifies, all of `found` are returned.
    pub fn entries_for(
        &self,
        found: Vec<SocketAddr>,
        further: impl FnOnce() -> Vec<SocketAddr>,
        roster: &Roster,
        host: &str,
        region: &str,
    ) -> Vec<SocketAddr> {
        let declared = self.in_force.get();
        let homes: Vec<&RegionList> =
            declared.iter().flat_map(|d| d.table.allowed_regions(host)).collect();
        if homes.is_empty() {
            return found;
        }
        let halls = roster.halls_by_address();
        let is_near = |addr: &SocketAddr| {
            let its = halls.get(addr).and_then(|hall| self.regions.of(hall));
            its == Some(region) || homes.iter().all(|homes| homes.allow(its))
        };
        let near = |all: &[SocketAddr]| -> Vec<SocketAddr> {
            all.iter().copied().filter(is_near).collect()
        };
        let listed = || halls.keys().copied().filter(is_near).take(MAX_LISTED).collect::<Vec<_>>();
        let nearest = Some(near(&found)).filter(|near| !near.is_empty());
        let nearest = nearest.or_else(|| Some(near(&further())).filter(|near| !near.is_empty()));
        let nearest = nearest.or_else(|| Some(near(&listed())).filter(|near| !near.is_empty()));
        nearest.unwrap_or(found)
    }

    /// Regions that a request may go to: both its route and its workspace restrict them.
    pub(super) fn allowed<'a>(&'a self, call: &'a Call) -> AllowedRegions<'a> {
        let workspace = call.credential.as_ref().map(|credential| &credential.homes);
        AllowedRegions { regions: &self.regions, route: &call.route.allowed_regions, workspace }
    }

    /// Records how an exchange with a server went. A failure is reported to other daemons soon.
    pub(crate) fn record_result(&self, server: ServerKey, failed: bool) {
        self.servers().record_outcome(server, failed, time::now());
        if failed {
            self.load_changes.send_modify(|count| *count += 1);
        }
    }

    /// Locks the quarantine of requests that crash servers.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Locks the software that began each stream.
    pub(super) fn begun_streams(&self) -> MutexGuard<'_, BegunStreams> {
        self.begun_streams.lock().expect("no holder panics")
    }

    /// Locks the promised quota at limited servers, by service.
    pub(super) fn promises(&self) -> MutexGuard<'_, HashMap<Arc<str>, Promises>> {
        self.promises.lock().expect("no holder panics")
    }

    /// Locks the load by service and workspace.
    pub fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().expect("no holder panics")
    }

    /// Locks the callers that this daemon has refused lately.
    pub(super) fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().expect("no holder panics")
    }

    /// Locks the capacity that is reserved for refused callers.
    pub(super) fn returns(&self) -> MutexGuard<'_, Returns> {
        self.returns.lock().expect("no holder panics")
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &Arc<str>, now: Instant) {
        self.budget().record_request(service, now);
    }

    /// Whether the shared budget allows one more retry.
    pub fn allows_retry(&self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        self.budget().allows(service, kind, now)
    }

    /// Spends one retry if the shared budget allows it.
    pub fn spend_retry(&self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        self.budget().spend(service, kind, now)
    }

    /// What this daemon has spent of the shared budget.
    pub fn spent(&self, now: Instant) -> Vec<(Tag, Spent)> {
        self.budget().spent(now)
    }

    /// For a process that is not part of the fleet's first start: others may have spent retries, and other
    /// versions of servers may have served, before it started.
    pub fn assume_earlier_start(&self, now: Instant) {
        self.budget().assume_earlier_spending();
        self.servers().assume_earlier_versions(now);
    }

    /// Updates what is known of the other daemons that share the budget.
    pub fn set_others(&self, others: Others) {
        self.budget().set_others(others);
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, SharedRetryBudget> {
        self.budget.lock().expect("no holder panics")
    }
}
