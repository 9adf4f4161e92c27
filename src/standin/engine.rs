//! A stand-in model engine over HTTP, with faults.

use super::batch::{Batch, EngineSpec, Progress};
use super::body::{ask, finish_event, token_event};
use super::orders::{Order, Orders};
use crate::adapter::{CACHED, GENERATION, NOT_STARTED, ORPHAN_MS, PRIORITY};
use crate::engine::{LoadReport, Shape};
use crate::error::Result;
use crate::seal::GenerationId;
use crate::server::{self, BodySender, Serving, event_stream, json};
use salvo::affix_state;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::json as value;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::{Instant, sleep};

/// How long after its mark a leaving engine may still be sent work, in trace time.
pub const LEAVE_GRACE: Duration = Duration::from_millis(2_000);
const DEPTH: usize = 8;
const BODY_LIMIT: usize = 64 << 20;

/// Faults of an engine, switched on from outside.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Steps take this many times as long.
    pub slow: f64,
    /// Sends nothing and takes nothing on while set.
    pub stalled: bool,
    /// Says that it is leaving and refuses new generations.
    pub leaving: bool,
    /// Sends this many of the next tokens twice.
    pub double_tokens: u32,
    /// Refuses orders of an older epoch; not all engines do.
    pub checks_fence: bool,
    /// Skips sending this many of the next tokens.
    pub skip_tokens: u32,
}

impl Default for EngineFaults {
    fn default() -> EngineFaults {
        EngineFaults {
            slow: 1.0,
            stalled: false,
            leaving: false,
            checks_fence: true,
            double_tokens: 0,
            skip_tokens: 0,
        }
    }
}

/// What an engine counted, for judging from outside.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct EngineCounts {
    /// Generations taken.
    pub accepted: u64,
    /// Generations sent to it later than [`LEAVE_GRACE`] after it said that it was leaving.
    pub sent_late: u64,
    /// Tokens made.
    pub made: u64,
    /// Generations preempted.
    pub preemptions: u64,
    /// Generations not ended.
    pub open: usize,
    /// Generations cancelled, by request or for want of a reader.
    pub cancelled: u64,
}

/// A running stand-in engine.
#[derive(Clone)]
pub struct EngineStandin {
    addr: SocketAddr,
    core: Arc<Core>,
    serving: Arc<AsyncMutex<Option<Serving>>>,
}

struct Core {
    batch: Mutex<Batch>,
    faults: Mutex<EngineFaults>,
    reports: Mutex<VecDeque<(Instant, LoadReport)>>,
    counts: Mutex<EngineCounts>,
    orders: Mutex<Orders>,
    faulted: watch::Sender<()>,
    left: Mutex<Option<Instant>>,
    lag: Duration,
    speed: f64,
}

impl EngineStandin {
    /// Starts an engine on `addr`; it runs `speed` times as fast as its spec says.
    pub async fn start(addr: SocketAddr, spec: EngineSpec, speed: f64) -> Result<EngineStandin> {
        let lag = Duration::from_millis(spec.report_lag_ms).div_f64(speed);
        let core = Arc::new(Core {
            batch: Mutex::new(Batch::new(spec)),
            faults: Mutex::new(EngineFaults::default()),
            reports: Mutex::default(),
            counts: Mutex::default(),
            orders: Mutex::default(),
            faulted: watch::Sender::new(()),
            left: Mutex::default(),
            lag,
            speed,
        });
        let serving = server::serve(addr, router(core.clone())).await?;
        let addr = serving.addr;
        tokio::spawn(core.clone().run());
        Ok(EngineStandin { addr, core, serving: Arc::new(AsyncMutex::new(Some(serving))) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut EngineFaults)) {
        let leaving = {
            let mut faults = self.core.faults.lock().expect("faults");
            change(&mut faults);
            faults.leaving
        };
        let mut left = self.core.left.lock().expect("left");
        *left = if leaving { left.or(Some(Instant::now())) } else { None };
        drop(left);
        self.core.faulted.send_replace(());
    }

    /// The memory's size in tokens.
    pub fn memory(&self) -> u32 {
        self.core.batch.lock().expect("batch").load().capacity
    }

    /// Changes the memory's size.
    pub fn set_memory(&self, tokens: u32) {
        self.core.batch.lock().expect("batch").set_memory(tokens);
    }

    /// Dies: every connection breaks and every generation is lost.
    pub async fn crash(&self) {
        if let Some(serving) = self.serving.lock().await.take() {
            serving.stop_now().await;
        }
        self.core.batch.lock().expect("batch").clear();
    }

    /// Comes back empty at the same address.
    pub async fn restart(&self) -> Result<()> {
        let mut slot = self.serving.lock().await;
        if slot.is_none() {
            *slot = Some(server::serve(self.addr, router(self.core.clone())).await?);
        }
        Ok(())
    }

    /// The orders that it took.
    pub fn orders(&self) -> Vec<Order> {
        self.core.orders.lock().expect("orders").taken().to_vec()
    }

    /// What it counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.core.counts()
    }
}

impl Core {
    async fn run(self: Arc<Core>) {
        // The holder of the last other handle ends the loop.
        while Arc::strong_count(&self) > 1 {
            let faults = self.faults.lock().expect("faults").clone();
            let took = match faults.stalled {
                true => Duration::from_millis(5),
                false => self.batch.lock().expect("batch").step().mul_f64(faults.slow.max(0.01)),
            };
            self.report(Instant::now());
            sleep(took.div_f64(self.speed)).await;
        }
    }

    fn report(&self, now: Instant) {
        let load = self.batch.lock().expect("batch").load();
        let mut reports = self.reports.lock().expect("reports");
        reports.push_back((now, load));
        while reports.len() > 1 && now.duration_since(reports[1].0) >= self.lag {
            reports.pop_front();
        }
    }

    fn counts(&self) -> EngineCounts {
        let batch = self.batch.lock().expect("batch");
        let mut counts = *self.counts.lock().expect("counts");
        counts.made = batch.made();
        counts.preemptions = batch.load().preemptions;
        counts.open = batch.open();
        counts
    }

    /// Waits out a stall.
    async fn unstalled(&self) {
        let mut faulted = self.faulted.subscribe();
        while self.faults.lock().expect("faults").stalled {
            if faulted.changed().await.is_err() {
                return;
            }
        }
    }

    fn count_late(&self, now: Instant) {
        let left = *self.left.lock().expect("left");
        let late = left.is_some_and(|at| now.duration_since(at) > LEAVE_GRACE.div_f64(self.speed));
        self.counts.lock().expect("counts").sent_late += u64::from(late);
    }

    fn take_double(&self) -> bool {
        let mut faults = self.faults.lock().expect("faults");
        let double = faults.double_tokens > 0;
        faults.double_tokens = faults.double_tokens.saturating_sub(1);
        double
    }

    fn take_skip(&self) -> bool {
        let mut faults = self.faults.lock().expect("faults");
        let skip = faults.skip_tokens > 0;
        faults.skip_tokens = faults.skip_tokens.saturating_sub(1);
        skip
    }
}

fn router(core: Arc<Core>) -> Router {
    Router::new()
        .hoop(affix_state::inject(core))
        .push(Router::with_path("v1/chat/completions").post(open_chat))
        .push(Router::with_path("v1/completions").post(open_text))
        .push(Router::with_path("v1/generations/{id}").get(resume).delete(cancel))
        .push(Router::with_path("v1/generations/{id}/pause").post(pause))
        .push(Router::with_path("load").get(get_load))
        .push(Router::with_path("events").get(get_events))
        .push(Router::with_path("orders").post(take_order))
        .push(Router::with_path("admin/faults").post(set_faults))
        .push(Router::with_path("admin/counts").get(get_counts))
}

fn core(depot: &Depot) -> Arc<Core> {
    depot.get_typed::<Arc<Core>>().expect("injected by the router").clone()
}

fn header<T: std::str::FromStr>(req: &Request, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn id(req: &Request) -> Option<GenerationId> {
    GenerationId::parse(&req.param::<String>("id")?)
}

#[handler]
async fn open_chat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    open(req, core(depot), res, Shape::Chat).await;
}

#[handler]
async fn open_text(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    open(req, core(depot), res, Shape::Text).await;
}

async fn open(req: &mut Request, core: Arc<Core>, res: &mut Response, shape: Shape) {
    core.unstalled().await;
    let generation = header::<String>(req, GENERATION).and_then(|text| GenerationId::parse(&text));
    let priority = header(req, PRIORITY).unwrap_or(0);
    let orphan_ms: u64 = header(req, ORPHAN_MS).unwrap_or(10_000);
    let body = req.payload_with_max_size(BODY_LIMIT).await.cloned().unwrap_or_default();
    let Some(generation) = generation else {
        return json(
            res,
            StatusCode::BAD_REQUEST,
            &value!({"error": {"message": "no generation id"}}),
        );
    };
    let Some(ask) = ask(&body, priority) else {
        return json(
            res,
            StatusCode::BAD_REQUEST,
            &value!({"error": {"message": "not a completion request"}}),
        );
    };
    if core.faults.lock().expect("faults").leaving {
        core.count_late(Instant::now());
        res.headers_mut().insert(NOT_STARTED, "leaving".parse().expect("ascii"));
        return json(
            res,
            StatusCode::SERVICE_UNAVAILABLE,
            &value!({"error": {"message": "leaving"}}),
        );
    }
    let (cached, progress) = {
        let mut batch = core.batch.lock().expect("batch");
        let cached = batch.add(generation, ask);
        (cached, batch.follow(generation).expect("just added"))
    };
    core.counts.lock().expect("counts").accepted += 1;
    tokio::spawn(reap(core.clone(), generation, Duration::from_millis(orphan_ms)));
    res.headers_mut().insert(CACHED, u64::from(cached).into());
    let tx = event_stream(res, DEPTH);
    tokio::spawn(send(core, generation, shape, ask.prompt, progress, 0, tx));
}

#[handler]
async fn resume(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let core = core(depot);
    core.unstalled().await;
    let after = req.query::<u32>("after").unwrap_or(0);
    let Some(generation) = id(req) else {
        return gone(res);
    };
    let found = {
        let mut batch = core.batch.lock().expect("batch");
        batch.unpause(generation);
        batch.follow(generation).map(|progress| (progress, batch.prompt(generation)))
    };
    let Some((progress, prompt)) = found else {
        return gone(res);
    };
    let tx = event_stream(res, DEPTH);
    tokio::spawn(send(core, generation, Shape::Chat, prompt, progress, after, tx));
}

#[handler]
async fn cancel(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let core = core(depot);
    let Some(generation) = id(req) else {
        return gone(res);
    };
    let started = core.batch.lock().expect("batch").cancel(generation);
    let Some(started) = started else {
        return gone(res);
    };
    core.counts.lock().expect("counts").cancelled += 1;
    json(res, StatusCode::OK, &value!({ "started": started }));
}

#[handler]
async fn pause(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(generation) = id(req) else {
        return gone(res);
    };
    let paused = core(depot).batch.lock().expect("batch").pause(generation);
    match paused {
        true => json(res, StatusCode::OK, &value!({"paused": true})),
        false => gone(res),
    }
}

#[handler]
async fn get_load(depot: &mut Depot, res: &mut Response) {
    let core = core(depot);
    let now = Instant::now();
    let (at, mut report) = *core
        .reports
        .lock()
        .expect("reports")
        .front()
        .unwrap_or(&(now, core.batch.lock().expect("batch").load()));
    report.age_ms = now.duration_since(at).as_millis() as u64;
    report.leaving = core.faults.lock().expect("faults").leaving;
    json(res, StatusCode::OK, &report);
}

/// Cache events after `?after=N`, late and with gaps.
#[handler]
async fn get_events(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let core = core(depot);
    let after = req.query::<u64>("after").unwrap_or(0);
    let events = core.batch.lock().expect("batch").cache_events(after, core.lag, Instant::now());
    json(res, StatusCode::OK, &events);
}

/// Takes an order, unless its epoch is below one seen and the fence is checked.
#[handler]
async fn take_order(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let core = core(depot);
    let Ok(order) = req.parse_json::<Order>().await else {
        return json(res, StatusCode::BAD_REQUEST, &value!({"error": {"message": "not an order"}}));
    };
    let checks = core.faults.lock().expect("faults").checks_fence;
    match core.orders.lock().expect("orders").take(order, checks) {
        true => json(res, StatusCode::OK, &value!({})),
        false => json(res, StatusCode::CONFLICT, &value!({"error": {"message": "an older epoch"}})),
    }
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match req.parse_json::<EngineFaults>().await {
        Ok(new) => {
            let core = core(depot);
            *core.faults.lock().expect("faults") = new;
            core.faulted.send_replace(());
            json(res, StatusCode::OK, &value!({}));
        }
        Err(e) => {
            json(res, StatusCode::BAD_REQUEST, &value!({"error": {"message": e.to_string()}}))
        }
    }
}

#[handler]
async fn get_counts(depot: &mut Depot, res: &mut Response) {
    json(res, StatusCode::OK, &core(depot).counts());
}

fn gone(res: &mut Response) {
    json(res, StatusCode::NOT_FOUND, &value!({"error": {"message": "no such generation"}}));
}

async fn send(
    core: Arc<Core>,
    generation: GenerationId,
    shape: Shape,
    prompt: u32,
    mut progress: watch::Receiver<Progress>,
    after: u32,
    tx: BodySender,
) {
    let mut sent = after;
    loop {
        let now = *progress.borrow_and_update();
        if now.gone {
            let _ = tx.send(Err(std::io::Error::other("generation gone"))).await;
            return;
        }
        while sent < now.made {
            sent += 1;
            core.unstalled().await;
            if core.take_skip() {
                continue;
            }
            let event = token_event(generation, shape, sent);
            let twice = core.take_double();
            for _ in 0..=u32::from(twice) {
                if tx.send(Ok(event.clone())).await.is_err() {
                    return;
                }
            }
        }
        if now.done {
            let _ = tx.send(Ok(finish_event(generation, prompt, now.made))).await;
            return;
        }
        tokio::select! {
            changed = progress.changed() => if changed.is_err() { return },
            () = tx.closed() => return,
        }
    }
}

/// Cancels a generation that has had no reader for `life`.
async fn reap(core: Arc<Core>, generation: GenerationId, life: Duration) {
    let check = (life / 8).max(Duration::from_millis(10));
    let mut seen = Instant::now();
    loop {
        sleep(check).await;
        let now = Instant::now();
        let mut batch = core.batch.lock().expect("batch");
        if batch.follow(generation).is_none() {
            return;
        }
        if batch.readers(generation) > 0 {
            seen = now;
        } else if now.duration_since(seen) >= life {
            let done = batch.follow(generation).is_some_and(|p| p.borrow().done);
            batch.cancel(generation);
            drop(batch);
            core.counts.lock().expect("counts").cancelled += u64::from(!done);
            return;
        }
    }
}
