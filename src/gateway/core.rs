//! The state that all requests of one daemon share.

use crate::gateway::budget::{BudgetBounds, Others, RetryKind, SharedRetryBudget, Spent};
use crate::gateway::cold::{ColdBounds, Rank};
use crate::gateway::in_force::InForce;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::place::PlacementPolicy;
use crate::gateway::port::Wire;
use crate::gateway::promises::Promises;
use crate::gateway::quarantine::Quarantine;
use crate::gateway::regions::{AllowedRegions, Regions};
use crate::gateway::request::Call;
use crate::gateway::rollout::Rollouts;
use crate::gateway::roster::Roster;
use crate::gateway::servers::{Load, PeerStats, Server, ServerKey, Servers};
use crate::gateway::table::{RegionList, Service};
use crate::gateway::tag::Tag;
use crate::time;
use futures_util::future::BoxFuture;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, Semaphore, watch};

/// Bounds that the platform sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time after which a key that was taken away may still be used; `None` where it is not strict.
    pub revocation_delay: Option<Duration>,
    /// Budget for repeats.
    pub budget: BudgetBounds,
    /// What a cold server may get.
    pub cold: ColdBounds,
    /// Part of a service's requests that servers of a new version may get before they are known to be sound.
    pub exposure: f64,
}

/// Part of the bound on revoked keys up to which a confirmation counts. The rest is for the time
/// between this check and the moment a backend server begins to work.
const FRESH_FRACTION: f64 = 0.7;

/// Time before the end of the process by which answers should be complete.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Tokens of a request from which its beginning and end are told to other daemons at once. What is
/// smaller, as a plain service's requests are, goes with the next heartbeat.
const REPORTED_TOKENS: u32 = 100;

/// Daemons of a region that a caller is told of though this one does not hear them: as many as an answer
/// may name.
const MAX_LISTED: usize = 64;

/// What this daemon hears of the others. It is asked for when it is needed: heartbeats come many times as
/// often as requests, and to add up what hundreds of daemons told of thousands of servers takes 0.5 ms.
pub trait PeerSource: Send + Sync {
    /// What the others have running; `None` where nothing has come since it was last asked for.
    fn peer_stats(&self, now: Instant) -> Option<PeerStats>;
    /// What the daemons of the same cell that rank before this one have running at a server.
    fn higher_ranked_load(&self, server: Tag, now: Instant) -> Load;
    /// Asks other daemons for room for one request at one of these servers, which are in need. Says at
    /// which one it was given.
    fn borrow_quota(&self, wanted: Vec<LimitedServer>) -> BoxFuture<'_, Option<Tag>>;
}

/// A server at which room for a request is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedServer {
    /// The server.
    pub server: Tag,
    /// How many daemons of the cell hold room there.
    pub holders: usize,
}

/// The state that all requests of one daemon share.
pub struct Gateway {
    /// The configuration in force.
    pub in_force: InForce,
    /// The way to backend servers.
    pub wire: Arc<dyn Wire>,
    /// Counters.
    pub metrics: GatewayMetrics,
    /// Hall of this daemon.
    pub hall: String,
    /// Which hall is in which region.
    pub regions: Regions,
    revocation_delay: Mutex<Option<Duration>>,
    /// What a cold server may get, and this daemon's place among those that share it.
    pub(super) cold: Mutex<(ColdBounds, Rank)>,
    pub(super) placement_policy: Box<dyn PlacementPolicy>,
    peer_source: OnceLock<Weak<dyn PeerSource>>,
    servers: Mutex<Servers>,
    budget: Mutex<SharedRetryBudget>,
    quarantine: Mutex<Quarantine>,
    pub(super) rollouts: Mutex<Rollouts>,
    /// Tells that a roll-out was ordered or has come further.
    pub(super) rollout_changed: Notify,
    exposure: Mutex<f64>,
    /// Room at servers in need that was promised, by service.
    promises: Mutex<HashMap<Arc<str>, Promises>>,
    /// Whether loads in other halls are told late, in sums.
    pub(super) divided: AtomicBool,
    /// Share of all daemons that are of this hall and tell their loads late, in sums.
    pub(super) delayed_share: Mutex<f64>,
    /// When the process ends, once a planned stop has begun.
    shutdown_deadline: Mutex<Option<Instant>>,
    /// Counts what other daemons should hear at once.
    urgent_changes: watch::Sender<u64>,
    /// Counts changes of this daemon's copy of the store.
    copy_changes: watch::Sender<u64>,
    /// How often the store has come back from an older copy of itself, as far as known.
    era: watch::Sender<u64>,
    /// Counts changes of what this daemon has running.
    load_changes: watch::Sender<u64>,
    /// Tells that work went to a server.
    pub(super) work_started: Notify,
    /// Tells that a request may be kept back from now on.
    pub(super) quarantine_changed: Notify,
    /// Turns of this daemon's own runs that move away from a server.
    move_permits: Mutex<HashMap<ServerKey, Weak<Semaphore>>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        hall: &str,
        regions: Regions,
        bounds: Bounds,
        wire: Arc<dyn Wire>,
        placement_policy: Box<dyn PlacementPolicy>,
        now: Instant,
    ) -> Arc<Gateway> {
        Arc::new(Gateway {
            in_force: InForce::default(),
            wire,
            metrics: GatewayMetrics::default(),
            hall: hall.into(),
            regions,
            revocation_delay: Mutex::new(bounds.revocation_delay),
            cold: Mutex::new((bounds.cold, Rank::default())),
            placement_policy,
            peer_source: OnceLock::new(),
            servers: Mutex::default(),
            budget: Mutex::new(SharedRetryBudget::new(bounds.budget, now)),
            quarantine: Mutex::default(),
            rollouts: Mutex::default(),
            rollout_changed: Notify::new(),
            exposure: Mutex::new(bounds.exposure),
            promises: Mutex::default(),
            divided: AtomicBool::new(false),
            delayed_share: Mutex::new(0.0),
            shutdown_deadline: Mutex::default(),
            urgent_changes: watch::Sender::new(0),
            copy_changes: watch::Sender::new(0),
            era: watch::Sender::new(0),
            load_changes: watch::Sender::new(0),
            work_started: Notify::new(),
            quarantine_changed: Notify::new(),
            move_permits: Mutex::default(),
        })
    }

    /// Takes over bounds that the platform has changed.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.revocation_delay.lock().expect("no holder panics") = bounds.revocation_delay;
        self.cold.lock().expect("no holder panics").0 = bounds.cold;
        *self.exposure.lock().expect("no holder panics") = bounds.exposure;
        self.budget().set_bounds(bounds.budget);
    }

    /// Part of a service's requests that servers of a new version may get before they are known to be sound.
    pub(super) fn exposure(&self) -> f64 {
        *self.exposure.lock().expect("no holder panics")
    }

    /// Sets whether the fleet is divided, so that loads in other halls are told late.
    pub fn set_divided(&self, divided: bool) {
        self.divided.store(divided, Ordering::Relaxed);
    }

    /// Sets the share of all daemons that are of this hall and tell their loads late, in sums.
    pub fn set_delayed_share(&self, share: f64) {
        *self.delayed_share.lock().expect("no holder panics") = share;
    }

    /// Sets from where it hears of other daemons; only the first one counts.
    pub fn set_peer_source(&self, source: Weak<dyn PeerSource>) {
        self.peer_source.get_or_init(|| source);
    }

    pub(super) fn peer_source(&self) -> Option<Arc<dyn PeerSource>> {
        self.peer_source.get()?.upgrade()
    }

    /// What the daemons of the same cell that rank before this one have running at a server.
    pub(crate) fn higher_ranked_load(&self, server: ServerKey, now: Instant) -> Load {
        let tag = self.servers().get(server).map(Server::tag);
        let load = tag.and_then(|tag| Some(self.peer_source()?.higher_ranked_load(tag, now)));
        load.unwrap_or_default()
    }

    /// Sets this daemon's place among those that send requests.
    pub fn set_rank(&self, rank: Rank) {
        self.cold.lock().expect("no holder panics").1 = rank;
    }

    /// A planned stop has begun, and the process ends then.
    pub fn set_shutdown_deadline(&self, end: Instant) {
        *self.shutdown_deadline.lock().expect("no holder panics") = Some(end);
        self.signal_urgent_change();
    }

    /// Whether a request can be answered before the process ends: a stream that could outlast it is
    /// for another daemon to begin.
    pub fn can_finish(&self, call: &Call, now: Instant) -> bool {
        let deadline = *self.shutdown_deadline.lock().expect("no holder panics");
        deadline.is_none_or(|end| {
            let left = end.saturating_duration_since(now).saturating_sub(SHUTDOWN_MARGIN);
            call.route.repeatable() || call.size.longest() <= left
        })
    }

    /// Something happened that other daemons should hear at once.
    pub fn signal_urgent_change(&self) {
        self.urgent_changes.send_modify(|count| *count += 1);
    }

    /// What this daemon has running has changed.
    pub(super) fn signal_load_change(&self, load: Load) {
        if load.tokens >= REPORTED_TOKENS {
            self.load_changes.send_modify(|count| *count += 1);
        }
    }

    /// Something changed in this daemon's copy of the store.
    pub(super) fn signal_copy_change(&self) {
        self.copy_changes.send_modify(|count| *count += 1);
    }

    /// The store has come back from an older copy of itself so often.
    pub(super) fn set_era(&self, era: u64) {
        self.metrics.store_returns.inc();
        self.era.send_replace(era);
    }

    /// Tells when the store comes back from an older copy of itself.
    pub fn era_changes(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Tells of changes of this daemon's copy of the store.
    pub fn copy_changes(&self) -> watch::Receiver<u64> {
        self.copy_changes.subscribe()
    }

    /// Time between two requests at one server of the busiest service, as far as known.
    pub(super) fn request_gap(&self, now: Instant) -> f64 {
        let rates = self.budget().rates(now);
        let servers = self.servers();
        let gaps = rates.into_iter().filter_map(|(service, rate)| {
            let count = servers.count(&service);
            (count > 0 && rate > 0.0).then(|| count as f64 / rate)
        });
        gaps.fold(f64::INFINITY, f64::min)
    }

    /// Tells of changes of what this daemon has running that others should hear soon.
    pub fn load_changes(&self) -> watch::Receiver<u64> {
        self.load_changes.subscribe()
    }

    /// Tells of what other daemons should hear at once.
    pub fn urgent_changes(&self) -> watch::Receiver<u64> {
        self.urgent_changes.subscribe()
    }

    /// The turn of this daemon's own runs that move away from a server: one at a time.
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

    /// The backend servers.
    pub fn servers(&self) -> MutexGuard<'_, Servers> {
        self.servers.lock().expect("no holder panics")
    }

    /// The id of a server, for logs; `None` once it has gone.
    pub(crate) fn server_id(&self, key: ServerKey) -> Option<Arc<str>> {
        self.servers().get(key).map(|server| server.record.id.clone())
    }

    /// Notes how old this daemon's knowledge of the store is as it sends a request.
    pub(crate) fn record_store_age(&self, now: Instant) -> Option<Duration> {
        let age = self.in_force.age(now)?;
        self.metrics.knowledge_seconds.observe(age.as_secs_f64());
        Some(age)
    }

    /// Whether the configuration is known to be new enough for requests with a key.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let Some(age) = self.in_force.age(now) else {
            return false;
        };
        let bound = *self.revocation_delay.lock().expect("no holder panics");
        bound.is_none_or(|bound| age <= bound.mul_f64(FRESH_FRACTION))
    }

    /// Whether the caller of a request still holds its key, as far as may be relied on now.
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

    /// The service of a request's route, drawn by weight.
    pub fn draw_service(&self, call: &Call) -> Option<Arc<Service>> {
        let name = call.route.draw(&mut rand::rng())?;
        self.in_force.get()?.table.service(name).cloned()
    }

    /// The addresses that a caller in `region` is told of for a host. Where the host's routes name regions,
    /// those are daemons that stand there or in the caller's own: of `found`, or else of those `further` away
    /// that are heard, or else of those that `roster` lists, which may have died lately; and any of `found`
    /// where none is known.
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
        let halls = roster.halls();
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

    /// Where a request may go: the regions of its route and of its workspace both bind.
    pub(super) fn allowed<'a>(&'a self, call: &'a Call) -> AllowedRegions<'a> {
        let workspace = call.credential.as_ref().map(|credential| &credential.homes);
        AllowedRegions { regions: &self.regions, route: &call.route.allowed_regions, workspace }
    }

    /// Notes how an exchange with a server went; other daemons hear of a failure soon.
    pub(crate) fn record_result(&self, server: ServerKey, failed: bool) {
        self.servers().record_outcome(server, failed, time::now());
        if failed {
            self.load_changes.send_modify(|count| *count += 1);
        }
    }

    /// Requests that end servers.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no holder panics")
    }

    /// Room at servers in need that was promised, by service.
    pub(super) fn promises(&self) -> MutexGuard<'_, HashMap<Arc<str>, Promises>> {
        self.promises.lock().expect("no holder panics")
    }

    /// Notes a request for a service.
    pub fn count_request(&self, service: &Arc<str>, now: Instant) {
        self.budget().record_request(service, now);
    }

    /// Whether the shared budget allows one more repeat.
    pub fn allows_retry(&self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        self.budget().allows(service, kind, now)
    }

    /// Spends one repeat, if the shared budget allows it.
    pub fn spend_retry(&self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        self.budget().spend(service, kind, now)
    }

    /// What this daemon has spent of the shared budget.
    pub fn spent(&self, now: Instant) -> Vec<(Tag, Spent)> {
        self.budget().spent(now)
    }

    /// Sets what is known of the daemons that share the budget.
    pub fn set_others(&self, others: Others) {
        self.budget().set_others(others);
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, SharedRetryBudget> {
        self.budget.lock().expect("no holder panics")
    }
}
