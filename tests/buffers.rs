//! Bytes that are buffered for callers who read slowly or not at all, by counted bytes.

#[path = "common/servers.rs"]
mod servers;
#[path = "common/wire.rs"]
mod wire;

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tidestair::gateway::buffers::{BufferKind, BufferLimits, Buffers};
use tidestair::gateway::core::Gateway;
use tidestair::gateway::metrics::GatewayMetrics;
use tidestair::gateway::request::AnswerBody;
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::{Route, RouteKind};
use tidestair::time;
use tokio::task::yield_now;
use tokio::time::timeout;
use wire::{Wire, call, gateway_with, route};

const EVENTS: usize = 100;
const LIMITS: BufferLimits = BufferLimits { bodies: 1_000, events: 64_000, responses: 1_000 };
/// Ends a hung test; the paused clock reaches it once all tasks wait.
const HUNG: Duration = Duration::from_secs(60);

/// A gateway before one server whose streams have events of one size.
struct Site {
    gateway: Arc<Gateway>,
    route: Arc<Route>,
    /// Events that were taken from the server, by path.
    taken: Arc<Mutex<HashMap<String, usize>>>,
}

fn event(n: usize, bytes: usize) -> Bytes {
    let head = format!("id: {n}\ndata: ");
    format!("{head}{}\n\n", "x".repeat(bytes - head.len() - 2)).into()
}

impl Site {
    fn new(event_bytes: usize, limits: BufferLimits) -> Site {
        let taken: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let counts = taken.clone();
        let wire = Wire::new(move |path| {
            let (counts, path) = (counts.clone(), path.to_string());
            let events = (1..=EVENTS).map(move |n| {
                *counts.lock().unwrap().entry(path.clone()).or_default() += 1;
                Ok(Frame::data(event(n, event_bytes)))
            });
            StreamBody::new(futures_util::stream::iter(events)).boxed_unsync()
        });
        let route = route(RouteKind::Streaming);
        let gateway = gateway_with(wire, &route, &[Load::default()], limits);
        Site { gateway, route, taken }
    }

    async fn open(&self, path: &str, left: Duration) -> AnswerBody {
        let call = call(&self.route, path, 0, left, time::now());
        self.gateway.answer(call).await.expect("it is answered").body
    }

    fn taken(&self) -> usize {
        self.taken.lock().unwrap().values().sum()
    }

    fn held(&self) -> (usize, usize) {
        (self.gateway.buffers.held(BufferKind::Events), self.gateway.buffers.held_extra())
    }

    fn runs(&self) -> u32 {
        let servers = self.gateway.servers();
        servers.listed("model").map(|(_, server)| server.load().runs).sum()
    }
}

/// Lets all tasks go on until each waits for something.
async fn settle() {
    for _ in 0..2_000 {
        yield_now().await;
    }
}

/// Reads a stream to its end and returns the number of its events.
async fn read(mut body: AnswerBody) -> usize {
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        let data = frame.expect("it is not cut").into_data().expect("data");
        events += 1;
        assert!(data.starts_with(format!("id: {events}\n").as_bytes()), "in order");
    }
    events
}

/// Guards against memory that grows with the number of callers who don't read, and against a caller that
/// waits for those.
#[tokio::test(start_paused = true)]
async fn callers_that_do_not_read_share_the_budget_and_delay_nobody() {
    const STREAMS: usize = 200;
    let site = Site::new(1_000, LIMITS);
    let mut slow = Vec::new();
    for n in 0..STREAMS {
        slow.push(site.open(&format!("/{n}"), Duration::from_secs(600)).await);
    }
    settle().await;
    let (held, extra) = site.held();
    assert_eq!(held, LIMITS.events, "the budget is used");
    assert!(extra <= STREAMS * 1_000, "{extra}");
    assert_eq!(site.taken() * 1_000, held + extra, "whatever was taken is counted");
    let quick = site.open("/quick", Duration::from_secs(600)).await;
    assert_eq!(timeout(HUNG, read(quick)).await, Ok(EVENTS), "it waits for nobody");
    assert_eq!(site.held(), (held, extra));
    let waited = site.gateway.metrics.buffer_shortages.with_label_values(&["events", "waited"]);
    assert!(waited.get() >= STREAMS as u64);
    let all = timeout(HUNG, join_all(slow.into_iter().map(read))).await;
    assert_eq!(all, Ok(vec![EVENTS; STREAMS]), "none was cut");
    assert_eq!(site.held(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn one_stream_queues_sixteen_events_or_64_kb() {
    // The last event before the limit of bytes may exceed it.
    for (event_bytes, most) in [(1_000, 16), (30 << 10, 3)] {
        let limits = BufferLimits { events: 100 << 20, ..LIMITS };
        let site = Site::new(event_bytes, limits);
        let body = site.open("/r", Duration::from_secs(600)).await;
        settle().await;
        assert_eq!(site.taken(), most);
        assert_eq!(site.held(), (most * event_bytes, 0));
        drop(body);
        settle().await;
        assert_eq!((site.held(), site.runs()), ((0, 0), 0), "a caller that leaves holds nothing");
    }
}

/// Guards against an event that never fits: it is larger than the memory for all of them.
#[tokio::test(start_paused = true)]
async fn a_stream_passes_without_any_memory_for_events() {
    let site = Site::new(1_000, BufferLimits { events: 0, ..LIMITS });
    let body = site.open("/r", Duration::from_secs(600)).await;
    settle().await;
    assert_eq!((site.taken(), site.held()), (1, (0, 1_000)));
    assert_eq!(timeout(HUNG, read(body)).await, Ok(EVENTS));
}

/// Guards against a server that is kept for a caller who reads nothing until its deadline and beyond.
#[tokio::test(start_paused = true)]
async fn a_caller_that_does_not_read_keeps_no_server_after_its_deadline() {
    let site = Site::new(1_000, LIMITS);
    let mut body = site.open("/r", Duration::from_secs(5)).await;
    settle().await;
    assert_eq!(site.runs(), 1);
    time::pretend_suspended(Duration::from_secs(6));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.runs(), 0);
    let mut frames = 0;
    while let Some(Ok(_)) = body.frame().await {
        frames += 1;
    }
    assert_eq!((frames, site.held()), (16, (0, 0)), "what was queued is still its own");
}

/// A plain response in parts of 400 bytes.
fn response() -> AnswerBody {
    let parts = (0..2).map(|_| Ok(Frame::data(Bytes::from(vec![b'x'; 400]))));
    StreamBody::new(futures_util::stream::iter(parts)).boxed_unsync()
}

#[tokio::test(start_paused = true)]
async fn a_response_without_room_is_streamed_instead_of_buffered() {
    let route = route(RouteKind::Safe);
    let gateway = gateway_with(Wire::new(|_| response()), &route, &[Load::default()], LIMITS);
    let open = async |path| {
        let call = call(&route, path, 0, Duration::from_secs(600), time::now());
        gateway.answer(call).await.expect("it is answered").body
    };
    let held = || gateway.buffers.held(BufferKind::Responses);
    let first = open("/1").await;
    assert_eq!(held(), 800);
    let second = open("/2").await;
    assert_eq!(held(), 800, "its first part is passed on with the rest");
    let refused = gateway.metrics.buffer_shortages.with_label_values(&["responses", "refused"]);
    assert_eq!(refused.get(), 1);
    for body in [second, first] {
        assert_eq!(body.collect().await.expect("it is whole").to_bytes().len(), 800);
    }
    assert_eq!(held(), 0);
}

#[tokio::test(start_paused = true)]
async fn bytes_of_a_body_are_waited_for_until_the_given_time() {
    let buffers = Buffers::new(LIMITS, &GatewayMetrics::default());
    let (now, kind) = (time::now(), BufferKind::Bodies);
    let first = buffers.reserve_by(kind, 1_000, now).await.expect("there is room");
    assert!(buffers.reserve_by(kind, 1, now).await.is_none(), "the time has passed");
    let later = now + Duration::from_secs(600);
    let waiting = async { buffers.reserve_by(kind, 600, later).await.map(drop) };
    let freeing = async {
        settle().await;
        drop(first);
    };
    assert_eq!(
        timeout(HUNG, futures_util::future::join(waiting, freeing)).await,
        Ok((Some(()), ()))
    );
    assert_eq!(buffers.held(kind), 0);
}
