//! A stream that is continued at a server which hangs is not ended at its route's timeout.

#[path = "../kit/mod.rs"]
mod kit;

use kit::client::{Ask, End, send};
use kit::record::Record;
use kit::replica::{Act, Pool, Replica, wait_until};
use kit::site::{ENGINE, HOST, Route, config};
use kit::store::Store;
use kit::{Random, gateway, sleep_ms, with_trouble};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 2;
const REPLICAS: usize = 9;
/// Replicas that leave together: 0.17 of 9, rounded.
const LEAVING: usize = 2;
/// Share of its requests on which the failing replica hangs.
const HANG_SHARE: f64 = 0.45;
/// For how long it does.
const HANG_MS: u64 = 6_500;
/// Time from the notice of a replica to its end.
const NOTICE_MS: u64 = 1_540;
/// Time after which others come in their place.
const RETURN_MS: u64 = 4_000;
const WAVES: usize = 9;
const STREAMS_PER_WAVE: usize = 160;
const EVENTS: u64 = 25;
const EVENT_GAP_MS: u64 = 100;
const TIMEOUT_MS: u64 = 4_000;
/// The callers' time budget.
const BUDGET: Duration = Duration::from_millis(6_000);
/// Longest gap that callers bear: the longest of 2 s, four times the objective and eight times the pause.
const GAP: Duration = Duration::from_millis(6_000);

fn main() {
    let record = Record::create();
    let trouble = with_trouble();
    let store = Store::start();
    let route = Route {
        name: "r-doc-summary",
        prefix: "/docs/",
        kind: "streaming",
        service: ENGINE,
        timeout_ms: TIMEOUT_MS,
        slo_ms: 1_500,
        attempts: 2,
        resumable: true,
    };
    store.put("op/config", &config(1, &[route], &[("huka270", &["key-of-huka270"])]));
    // Number of the replica that hangs on some requests, or none.
    let grey = Arc::new(AtomicUsize::new(usize::MAX));
    let (hanging, random) = (grey.clone(), Mutex::new(Random::new(7)));
    let pool = Pool::new(&record, &store, move |replica: &Replica, _request| {
        let is_grey = hanging.load(Ordering::Relaxed) == replica.number;
        if is_grey && random.lock().unwrap().fraction() < HANG_SHARE {
            return Act::Hang;
        }
        Act::Events { first_ms: 60, gap_ms: EVENT_GAP_MS, count: EVENTS, break_after: None }
    });
    let zones = gateway::Sheet::default().zones;
    let replica = |n: usize| Replica::start(&pool, ENGINE, &zones[n % zones.len()], n, 48);
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(&replica).collect();
    let gateways = gateway::start(&record, &store, GATEWAYS, &gateway::Sheet::default());
    if !wait_until(Duration::from_secs(15), || gateways.iter().all(gateway::Gateway::is_ready)) {
        record.say("the gateways are not ready");
        std::process::exit(kit::NOT_RUN);
    }
    sleep_ms(1_500);
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let ends: Arc<Mutex<Vec<(String, End, Duration, usize)>>> = Arc::default();
    let mut callers = Vec::new();
    let mut next_number = REPLICAS;
    for wave in 0..WAVES {
        let wave_began = Instant::now();
        for n in 0..STREAMS_PER_WAVE {
            let ask = Ask {
                to: fronts[n % fronts.len()],
                method: "POST",
                host: HOST.into(),
                path: "/docs/2f".into(),
                id: format!("w{wave}n{n}"),
                key: Some("key-of-huka270".into()),
                headers: format!(
                    "x-model: m\r\nx-token-counts: 100,100\r\nx-prompt-prefix: 5c1e07a2:40,{:x}:60\r\n",
                    1_000_000 + wave * 1_000 + n
                ),
                body: vec![b'x'; 400],
                budget: BUDGET,
                gap: GAP,
            };
            let (ends, record) = (ends.clone(), record.clone());
            callers.push(std::thread::spawn(move || {
                record.line(format!("{} sent", ask.id));
                let seen = send(&ask);
                let (events, ms) = (seen.events.len(), seen.took.as_millis());
                record.line(format!(
                    "{} ends: {:?}, status {:?}, {events} events, {ms} ms",
                    ask.id, seen.end, seen.status
                ));
                ends.lock().unwrap().push((ask.id, seen.end, seen.took, events));
            }));
            sleep_ms(2);
        }
        // Planned work: the first replicas give notice, and are gone soon after.
        let leaving: Vec<Replica> = replicas.drain(..LEAVING).collect();
        leaving.iter().for_each(Replica::give_notice);
        if trouble {
            grey.store(replicas[wave % replicas.len()].number, Ordering::Relaxed);
            record.line(format!("replica {} hangs from now on", grey.load(Ordering::Relaxed)));
        }
        sleep_ms(NOTICE_MS);
        leaving.iter().for_each(Replica::leave);
        sleep_ms(RETURN_MS);
        for _ in 0..LEAVING {
            replicas.push(replica(next_number));
            next_number += 1;
        }
        let left = Duration::from_millis(HANG_MS).saturating_sub(wave_began.elapsed());
        std::thread::sleep(left);
        grey.store(usize::MAX, Ordering::Relaxed);
        sleep_ms(1_200);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let ends = ends.lock().unwrap();
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let late = timeout + Duration::from_millis(500);
    let longer = ends.iter().filter(|(_, _, took, _)| *took > timeout).count();
    let unanswered: Vec<_> = ends.iter().filter(|(_, _, took, _)| *took > late).collect();
    for (id, end, took, events) in &unanswered {
        record.line(format!(
            "no final answer at {late:?}: {id}, {events} events, {end:?} after {took:?}"
        ));
    }
    let whole = ends.iter().filter(|(_, end, _, _)| *end == End::Whole).count();
    record.say(format!(
        "{} streams, {whole} whole; {longer} lasted longer than the timeout; {} of these had no final answer 0.5 s after it",
        ends.len(),
        unanswered.len()
    ));
    drop(gateways);
    // CONFIG: eight or more, and over a quarter of those that last longer than their timeout.
    let broken = unanswered.len() >= 8 && unanswered.len() * 4 > longer;
    record.say(if broken { "CONFIG is broken" } else { "CONFIG holds" });
    std::process::exit(if broken { kit::BROKEN } else { kit::HELD });
}
