//! One daemon, put together: reads like a table of contents.

use crate::adapter::HttpEngine;
use crate::app::{App, Parts};
use crate::config::Config;
use crate::error::Result;
use crate::follow::{self, InForce};
use crate::gossip::Gossip;
use crate::journal::Journal;
use crate::member::Record;
use crate::metrics::Metrics;
use crate::peer::{LinkLimits, Peers};
use crate::platform::{Counted, Expect, Platform};
use crate::poll;
use crate::seal::SealKeys;
use crate::server::{self, Serving, json};
use crate::snapshot;
use crate::time;
use crate::tls::Identity;
use crate::wire::Wire;
use crate::{caller, operator};
use salvo::affix_state;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::json as value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Least time between two segments of a journal's shard, for the platform's write budget.
const JOURNAL_INTERVAL: Duration = Duration::from_millis(50);
/// Each place granted to a peer holds a stream open, so many are allowed.
const LINKS: LinkLimits = LinkLimits { idle_ms: 15_000, streams: 2_048 };
const TICK: Duration = Duration::from_millis(25);
const KEY_RETRY: Duration = Duration::from_millis(200);
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// A running daemon.
pub struct Daemon {
    app: Arc<App>,
    serving: Serving,
    peer_addr: SocketAddr,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon. It is ready once it has a configuration.
    pub async fn start(
        config: Config,
        platform: Arc<dyn Platform>,
        identity: &Identity,
    ) -> Result<Daemon> {
        let metrics = Arc::new(Metrics::new());
        let platform = Arc::new(Counted::new(platform));
        let in_force = InForce::new(metrics.clone());
        let journal = Journal::start(platform.clone(), JOURNAL_INTERVAL, metrics.clone());
        let peers =
            Arc::new(Peers::bind(config.peer_addr, identity, LINKS, metrics.peer_traffic())?);
        let peer_addr = peers.addr()?;
        let beat = Duration::from_millis(config.heartbeat_ms);
        let record = record(&config, peer_addr);
        let gossip = Gossip::new(
            record,
            config.seeds.clone(),
            beat,
            peers,
            in_force.clone(),
            journal,
            metrics.clone(),
        );
        let wire = Wire::default();
        let engine = Arc::new(HttpEngine::new(wire.clone()));
        let caller_addr = config.caller_addr;
        let app = App::new(
            Parts { config, in_force, gossip, wire, engine, platform, metrics },
            time::now(),
        );
        app.gossip.set_pools(app.clone());
        let serving = server::serve(caller_addr, router(app.clone())).await?;
        app.gossip.members().update_own(|r| r.caller_addr = serving.addr);
        let tasks = start_tasks(&app);
        log::info!(
            "{} serves callers on {} and daemons on {peer_addr}",
            app.config.vm,
            serving.addr
        );
        Ok(Daemon { app, serving, peer_addr, tasks })
    }

    /// Where callers reach it.
    pub fn caller_addr(&self) -> SocketAddr {
        self.serving.addr
    }

    /// Where daemons reach it.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Its state, for tests and reports.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Stops without cutting anything off: leaves the entries, takes requests until kept answers
    /// have run out, then finishes what is open.
    pub async fn drain(self) {
        log::info!("{} drains", self.app.config.vm);
        self.app.set_draining();
        self.app.gossip.leave().await;
        sleep(Duration::from_millis(self.app.config.keep_ms)).await;
        let limit = self.app.config.drain_ms.map(Duration::from_millis);
        let began = time::now();
        while self.app.open() > 0 && limit.is_none_or(|l| time::since(began) < l) {
            sleep(DRAIN_STEP).await;
        }
        match self.app.open() {
            0 => self.serving.stop_graceful().await,
            open => {
                log::warn!(
                    "{} ends with {open} requests open: the limit `drain_ms` has run out; readers resume elsewhere",
                    self.app.config.vm
                );
                self.serving.stop_now().await;
            }
        }
        drop(self.tasks);
    }

    /// Stops at once.
    pub async fn kill(self) {
        drop(self.tasks);
        self.serving.stop_now().await;
    }
}

fn record(config: &Config, peer_addr: SocketAddr) -> Record {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Record {
        vm: config.vm.clone(),
        hall: config.hall.clone(),
        caller_addr: config.caller_addr,
        peer_addr,
        incarnation: started.as_millis() as u64,
        beat: 0,
        leaving: false,
        gateway: true,
        revision: 0,
        lowest: 0,
        open: 0,
    }
}

fn start_tasks(app: &Arc<App>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let counted = app.clone();
    tasks.spawn(app.gossip.clone().run(move || counted.open()));
    tasks.spawn(follow::follow(app.platform.clone(), app.in_force.clone(), app.gossip.reading()));
    tasks.spawn(make_keys(app.clone()));
    tasks.spawn(apply_revisions(app.clone()));
    tasks.spawn(poll::run(app.clone()));
    tasks.spawn(tick(app.clone()));
    tasks
}

/// Gives pools and services each new revision.
async fn apply_revisions(app: Arc<App>) {
    let mut revisions = app.in_force.subscribe();
    loop {
        let snapshot = revisions.borrow_and_update().clone();
        app.apply(&snapshot, time::now());
        if revisions.changed().await.is_err() {
            return;
        }
    }
}

async fn tick(app: Arc<App>) {
    loop {
        sleep(TICK).await;
        let now = time::now();
        for pool in app.pools() {
            pool.tick(now);
        }
    }
}

/// Creates the keys that seal event ids, if nobody has yet.
async fn make_keys(app: Arc<App>) {
    let key = snapshot::seal_key();
    while app.in_force.get().keys.is_none() {
        // Only who reads for its hall, so that a fleet that starts at once does not write at once.
        let reads = *app.gossip.reading().borrow();
        if reads && matches!(app.platform.get(&key).await, Ok(None)) {
            let keys = SealKeys::generate(&mut rand::rng());
            let value = serde_json::to_vec(&keys).expect("keys are JSON");
            // Losing the race is as good as winning it.
            let _ = app.platform.swap(&key, Expect::Absent, Some(value), None).await;
        }
        sleep(KEY_RETRY).await;
    }
}

fn router(app: Arc<App>) -> Router {
    Router::new()
        .hoop(affix_state::inject(app))
        .push(caller::routes())
        .push(operator::routes())
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("readyz").get(readyz))
        .push(Router::with_path("metrics").get(get_metrics))
}

#[handler]
async fn healthz(res: &mut Response) {
    json(res, StatusCode::OK, &value!({"status": "alive"}));
}

#[handler]
async fn readyz(depot: &mut Depot, res: &mut Response) {
    let app = caller::app(depot);
    let revision = app.in_force.get().revision;
    match app.unready() {
        None => json(res, StatusCode::OK, &value!({"status": "ready", "revision": revision})),
        Some(reason) => json(
            res,
            StatusCode::SERVICE_UNAVAILABLE,
            &value!({"status": "unready", "reason": reason, "revision": revision}),
        ),
    }
}

#[handler]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    res.render(salvo::writing::Text::Plain(caller::app(depot).metrics.render()));
}
