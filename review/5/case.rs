//! A gateway that was told to stop accepts requests that it can't answer before it ends.

#[path = "../kit/mod.rs"]
mod kit;

use kit::client::{Ask, Channel, End, Seen};
use kit::record::Record;
use kit::replica::{Act, Pool, Replica, wait_until};
use kit::site::{ENGINE, HOST, Route, config};
use kit::socket::SIGTERM;
use kit::store::Store;
use kit::{gateway, sleep_ms, with_trouble};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 7;
/// Gateways that are stopped in turn: 0.43 of all.
const STOPPED: usize = 3;
const REPLICAS: usize = 9;
/// Callers with an open channel to each gateway.
const CALLERS: usize = 40;
/// Time between two requests of all callers of a gateway.
const SPACING: Duration = Duration::from_millis(100);
/// Requests sent later than this after the signal count: the 3 s of the rule and some time on the way.
const COUNTED: Duration = Duration::from_millis(3_050);
const GRACE: Duration = Duration::from_millis(8_000);
const EVENTS: u64 = 60;
const EVENT_GAP_MS: u64 = 100;

/// One request as its caller saw it.
struct Sent {
    id: String,
    at: Instant,
    seen: Seen,
}

fn ask(to: SocketAddr, id: String, number: usize) -> Ask {
    Ask {
        to,
        method: "POST",
        host: HOST.into(),
        path: "/docs/2f".into(),
        id,
        key: Some("key-of-huka270".into()),
        headers: format!(
            "x-model: m\r\nx-token-counts: 500,240\r\nx-prompt-prefix: 5c1e07a2:79,{:x}:421\r\n",
            1_000_000 + number
        ),
        body: vec![b'x'; 400],
        budget: Duration::from_millis(39_000),
        gap: Duration::from_millis(7_200),
    }
}

fn main() {
    let record = Record::create();
    let trouble = with_trouble();
    let store = Store::start();
    let route = Route {
        name: "r-long-summary",
        prefix: "/docs/",
        kind: "streaming",
        service: ENGINE,
        timeout_ms: 39_000,
        slo_ms: 1_800,
        attempts: 2,
        resumable: true,
    };
    store.put("op/config", &config(1, &[route], &[("huka270", &["key-of-huka270"])]));
    let pool = Pool::new(&record, &store, |_: &Replica, _| Act::Events {
        first_ms: 60,
        gap_ms: EVENT_GAP_MS,
        count: EVENTS,
        break_after: None,
    });
    let zones = gateway::Sheet::default().zones;
    let _replicas: Vec<Replica> = (0..REPLICAS)
        .map(|n| Replica::start(&pool, ENGINE, &zones[n % zones.len()], n, 48))
        .collect();
    let mut gateways = gateway::start(&record, &store, GATEWAYS, &gateway::Sheet::default());
    if !wait_until(Duration::from_secs(15), || gateways.iter().all(gateway::Gateway::is_ready)) {
        record.say("the gateways are not ready");
        std::process::exit(kit::NOT_RUN);
    }
    sleep_ms(1_500);
    let (mut all, mut read, mut lost) = (0, 0, 0);
    // Some gateways are stopped in turn, as in a rolling restart, and started again.
    for number in 0..STOPPED {
        let stopping = &mut gateways[number];
        let channels: Vec<Channel> =
            (0..CALLERS).filter_map(|_| Channel::open(stopping.front).ok()).collect();
        sleep_ms(300);
        let signalled = Instant::now();
        if trouble {
            stopping.signal(SIGTERM);
        }
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let mut callers = Vec::new();
        for (n, mut channel) in channels.into_iter().enumerate() {
            std::thread::sleep((SPACING * n as u32).saturating_sub(signalled.elapsed()));
            let (sent, record) = (sent.clone(), record.clone());
            let ask = ask(stopping.front, format!("g{number}n{n}"), number * 1_000 + n);
            callers.push(std::thread::spawn(move || {
                let at = Instant::now();
                let ms = at.duration_since(signalled).as_millis();
                record.line(format!("{} sent {ms} ms after the signal", ask.id));
                let seen = channel.send(&ask);
                record.line(format!(
                    "{} ends: {:?}, status {:?}, {} events, after {} ms",
                    ask.id,
                    seen.end,
                    seen.status,
                    seen.events.len(),
                    seen.took.as_millis()
                ));
                sent.lock().unwrap().push(Sent { id: ask.id, at, seen });
            }));
        }
        for caller in callers {
            let _ = caller.join();
        }
        if trouble {
            stopping.wait();
            record.line(format!("ended {} ms after the signal", signalled.elapsed().as_millis()));
            stopping.run();
            let ready = wait_until(Duration::from_secs(10), || stopping.is_ready());
            record.line(format!("started again, ready: {ready}"));
        }
        let runs = pool.runs_by_request();
        for Sent { id, at, seen } in sent.lock().unwrap().iter() {
            let after = at.duration_since(signalled);
            all += 1;
            let ran = runs.contains_key(id);
            read += usize::from(ran);
            let is_cut = matches!(seen.end, End::Cut(_));
            if ran && is_cut && after > COUNTED && after < GRACE + Duration::from_secs(1) {
                lost += 1;
                record.line(format!("lost: {id}, sent {after:?} after the signal"));
            }
        }
    }
    record.say(format!(
        "{all} requests, {read} passed on; {lost} of those sent later than 3 s after the signal were passed on and cut"
    ));
    drop(gateways);
    record.say(if lost > 0 { "LOST is broken" } else { "LOST holds" });
    std::process::exit(if lost > 0 { kit::BROKEN } else { kit::HELD });
}
