//! What all handlers of one daemon share.

use crate::backends::Backends;
use crate::config::Config;
use crate::engine::Engine;
use crate::follow::InForce;
use crate::gossip::Gossip;
use crate::grant::{self, Granted, Keeper, Placer};
use crate::message::PlaceAsk;
use crate::metrics::Metrics;
use crate::peer::PeerStream;
use crate::platform::Counted;
use crate::pool::Pool;
use crate::snapshot::Snapshot;
use crate::wire::Wire;
use futures_util::future::BoxFuture;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Polls without a report after which a replica gets no new work.
const STALE_POLLS: u32 = 6;

/// The state of one daemon.
pub struct App {
    /// Its settings.
    pub config: Config,
    /// The revision in force.
    pub in_force: InForce,
    /// Its part in the talk between daemons.
    pub gossip: Arc<Gossip>,
    /// Connections to backend servers.
    pub wire: Wire,
    /// The engines' protocol.
    pub engine: Arc<dyn Engine>,
    /// The platform's service.
    pub platform: Arc<Counted>,
    /// Its counters.
    pub metrics: Arc<Metrics>,
    /// When it started.
    pub started: Instant,
    pools: Mutex<HashMap<String, Arc<Pool>>>,
    services: Mutex<HashMap<String, Arc<Backends>>>,
    streams: Mutex<HashMap<String, u32>>,
    open: AtomicUsize,
    draining: AtomicBool,
}

/// The parts that an [`App`] is made of.
pub struct Parts {
    /// See [`App::config`].
    pub config: Config,
    /// See [`App::in_force`].
    pub in_force: InForce,
    /// See [`App::gossip`].
    pub gossip: Arc<Gossip>,
    /// See [`App::wire`].
    pub wire: Wire,
    /// See [`App::engine`].
    pub engine: Arc<dyn Engine>,
    /// See [`App::platform`].
    pub platform: Arc<Counted>,
    /// See [`App::metrics`].
    pub metrics: Arc<Metrics>,
}

impl App {
    /// A daemon's state at its start.
    pub fn new(parts: Parts, now: Instant) -> Arc<App> {
        Arc::new(App {
            config: parts.config,
            in_force: parts.in_force,
            gossip: parts.gossip,
            wire: parts.wire,
            engine: parts.engine,
            platform: parts.platform,
            metrics: parts.metrics,
            started: now,
            pools: Mutex::default(),
            services: Mutex::default(),
            streams: Mutex::default(),
            open: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        })
    }

    /// Gives pools and services a new revision.
    pub fn apply(&self, snapshot: &Snapshot, now: Instant) {
        let mut pools = self.pools.lock().expect("pools");
        for (name, spec) in snapshot.engine_pools() {
            let pool = pools.entry(spec.model.clone()).or_insert_with(|| {
                let seed = rand::random();
                let stale = Duration::from_millis(self.config.poll_ms) * STALE_POLLS;
                Arc::new(Pool::new(name, &self.config.hall, stale, seed, self.metrics.clone(), now))
            });
            pool.apply(spec, snapshot, now);
        }
        let mut services = self.services.lock().expect("services");
        for spec in snapshot.service_pools() {
            let backends = services
                .entry(spec.service.clone())
                .or_insert_with(|| Arc::new(Backends::new(&self.config.hall)));
            backends.apply(spec, &snapshot.vms);
        }
    }

    /// The pool of a model.
    pub fn pool(&self, model: &str) -> Option<Arc<Pool>> {
        self.pools.lock().expect("pools").get(model).cloned()
    }

    /// All pools.
    pub fn pools(&self) -> Vec<Arc<Pool>> {
        self.pools.lock().expect("pools").values().cloned().collect()
    }

    /// The replicas of a plain service.
    pub fn service(&self, service: &str) -> Option<Arc<Backends>> {
        self.services.lock().expect("services").get(service).cloned()
    }

    /// Finds places for generations.
    pub fn placer(&self) -> Arc<dyn Placer> {
        Arc::new(Granted(self.gossip.clone()))
    }

    /// Counts a request as open until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest { app: self.clone() }
    }

    /// Counts a stream of a workspace, unless it has `most` already.
    pub fn begin_stream(self: &Arc<Self>, workspace: &str, most: u32) -> Option<OpenStream> {
        let mut streams = self.streams.lock().expect("streams");
        let count = streams.entry(workspace.to_string()).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(OpenStream { app: self.clone(), workspace: workspace.into() })
    }

    /// Requests open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Whether the daemon drains.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// From now on the daemon drains.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Why the daemon is not ready for callers; `None` where it is.
    pub fn unready(&self) -> Option<&'static str> {
        let snapshot = self.in_force.get();
        if self.draining() {
            Some("draining: use another entry")
        } else if snapshot.revision == 0 {
            Some("no configuration yet: neither the platform's service nor a peer gave one")
        } else if snapshot.keys.is_none() {
            Some("no keys for event ids yet: the platform's service must be reached once")
        } else {
            None
        }
    }
}

impl Keeper for App {
    fn keep(&self, ask: PlaceAsk, peer_stream: PeerStream) -> BoxFuture<'static, ()> {
        let pool = self.pools().into_iter().find(|p| p.name() == ask.pool);
        Box::pin(async move {
            if let Some(pool) = pool {
                grant::keep(pool, ask, peer_stream).await;
            }
        })
    }
}

/// A request that is open.
pub struct OpenRequest {
    app: Arc<App>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.app.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A stream that counts against its workspace's limit.
pub struct OpenStream {
    app: Arc<App>,
    workspace: String,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let mut streams = self.app.streams.lock().expect("streams");
        if let Some(count) = streams.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                streams.remove(&self.workspace);
            }
        }
    }
}
