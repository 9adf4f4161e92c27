//! The cases. Each returns whether the rule held, or why it couldn't run.

use crate::client::{self, Answer};
use crate::fleet::{self, Record, Signal};
use crate::store::Store;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

/// Whether the rule held.
type Verdict = Result<bool, String>;

const SECOND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn run(name: &str, folder: &str) -> i32 {
    let record = Record::new(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case {name}, trouble: {trouble}"));
    fleet::end_after(ms(110_000));
    // A stand-in that doesn't start is no finding.
    let verdict = std::panic::catch_unwind(|| verdict_of(name, &record, trouble));
    let (code, line) = match verdict.unwrap_or_else(|_| Err("a stand-in failed".into())) {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.note(&line);
    println!("{line}");
    code
}

fn verdict_of(name: &str, record: &Record, trouble: bool) -> Verdict {
    match name {
        "cut-body" => cut_body(record, trouble),
        "crashed-streams" => crashed_streams(record, trouble),
        "frozen-stream" => frozen_stream(record, trouble),
        "stopped-download" => stopped_download(record, trouble),
        "returned-run" => returned_run(record, trouble),
        "kept-limits" => kept_limits(record, trouble),
        _ => Err(format!("no case {name}")),
    }
}

/// The replica that runs a request, once one does.
fn runner_of(record: &Record, id: &str, names: &[String]) -> Result<usize, String> {
    let until = record.now() + 5 * SECOND;
    while record.now() < until {
        let runs = |name: &String| record.at(&format!("{name} runs {id}")).is_some();
        if let Some(found) = names.iter().position(runs) {
            return Ok(found);
        }
        sleep(ms(5));
    }
    Err(format!("no replica runs {id}"))
}

/// How long a replica serves on after it has said that it leaves: `drainMs` and some seconds.
const LIFE: Duration = Duration::from_millis(4_000);

/// Ends a replica at a time.
fn end_at(record: &Record, replica: &mut fleet::Process, at: Duration) {
    sleep(at.saturating_sub(record.now()));
    replica.kill();
    record.note(&format!("{} has ended", replica.name));
}

fn note_answer(record: &Record, id: &str, answer: &Answer) {
    let Answer { status, seal, body, complete, why, pause } = answer;
    let seal = seal.as_deref().unwrap_or("-");
    let events = answer.event_ids();
    let events = format!("{:?}..{:?} ({})", events.first(), events.last(), events.len());
    let (bytes, pause) = (body.len(), pause.as_millis());
    record.note(&format!("client {id}: status {status}, seal {seal}, {bytes} bytes, events {events}, complete {complete} {why}, longest pause {pause} ms"));
}

/// A plain answer without a length whose replica crashes in the middle.
fn cut_body(record: &Record, trouble: bool) -> Verdict {
    const BYTES: usize = 1 << 20;
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, 16_384));
    let bytes = format!("bytes={BYTES}");
    let mut replicas = Vec::new();
    for (i, zone) in ["kakkanad", "edappally", "kalamassery", "vyttila", "kakkanad", "edappally"]
        .into_iter()
        .enumerate()
    {
        let (id, addr) = (format!("i-{i}"), fleet::free_addr());
        replicas.push(fleet::replica(
            record,
            &id,
            addr,
            &[bytes.as_str(), "framing=none", "gap_ms=20"],
        ));
        fleet::entry(&store, &id, "samarpan", zone, addr, 6, "ready");
    }
    let gateway = fleet::gateway(record, "edge-kakkanad-1", "kakkanad", &store);
    sleep(SECOND);
    let front = gateway.front;
    let asking = thread::spawn(move || {
        let mut channel = client::connect(front).expect("a channel");
        client::ask(&mut channel, &client::request("POST", "/status/1", "r1", 20_000, ""))
    });
    let names: Vec<String> = replicas.iter().map(|replica| replica.name.clone()).collect();
    let runner = runner_of(record, "r1", &names)?;
    sleep(ms(800));
    if trouble {
        replicas[runner].kill();
        record.note(&format!("{} killed", replicas[runner].name));
    }
    let answer = asking.join().map_err(|_| "the client failed")?;
    note_answer(record, "r1", &answer);
    if !trouble && !(answer.complete && answer.body.len() == BYTES) {
        return Err("the request was not served without trouble".into());
    }
    let looks_whole = answer.status == 200 && answer.seal.is_some() && answer.complete;
    Ok(!looks_whole || answer.body.len() == BYTES)
}

/// A stream without a length whose replica crashes while the gateway is frozen, and whose address is given to another
/// replica before the gateway wakes.
fn frozen_stream(record: &Record, trouble: bool) -> Verdict {
    const EVENTS: usize = 80;
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, 16_384));
    let parameters = ["events=80", "framing=none", "gap_ms=100"];
    let mut replicas = Vec::new();
    for i in 0..9 {
        let (id, addr) = (format!("i-{i}"), fleet::free_addr());
        replicas.push((addr, fleet::replica(record, &id, addr, &parameters)));
        fleet::entry(
            &store,
            &id,
            "vakya",
            ["kakkanad", "edappally", "kalamassery"][i % 3],
            addr,
            48,
            "ready",
        );
    }
    let gateways = fleet::seven_gateways(record, &store);
    let gateway = &gateways[0];
    sleep(SECOND);
    let front = gateway.front;
    let more =
        "X-Model: m\r\nX-Token-Counts: 1460,320\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
    let request = client::request("POST", "/draft/stream/1", "r1", 39_000, more);
    let asking = thread::spawn(move || {
        client::ask(&mut client::connect(front).expect("a channel"), &request)
    });
    let names: Vec<String> = replicas.iter().map(|(_, replica)| replica.name.clone()).collect();
    let runner = runner_of(record, "r1", &names)?;
    sleep(2 * SECOND);
    let mut successor = None;
    if trouble {
        gateway.process.signal(Signal::Stop);
        record.note("edge-kakkanad-1 frozen");
        sleep(ms(200));
        let (addr, replica) = &mut replicas[runner];
        let (addr, id) = (*addr, replica.name.clone());
        replica.kill();
        record.note(&format!("{id} killed"));
        sleep(ms(2_300));
        successor = Some(fleet::replica(record, "i-new", addr, &["bytes=800"]));
        fleet::entry(&store, "i-new", "samarpan", "kakkanad", addr, 6, "ready");
        store.remove(&format!("servers/{id}"));
        sleep(ms(500));
        gateway.process.signal(Signal::Continue);
        record.note("edge-kakkanad-1 wakes");
    }
    let answer = asking.join().map_err(|_| "the client failed")?;
    drop(successor);
    note_answer(record, "r1", &answer);
    let events = answer.event_ids();
    if !trouble && !(answer.complete && events.len() == EVENTS) {
        return Err("the stream was not served without trouble".into());
    }
    let looks_whole = answer.status == 200 && answer.seal.is_some() && answer.complete;
    Ok(!looks_whole || events.last() == Some(&(EVENTS as u64)))
}

/// Long plain answers that a stopping gateway takes on kept channels, late in its grace.
fn stopped_download(record: &Record, trouble: bool) -> Verdict {
    const BYTES: usize = 2 << 20;
    const CALLERS: u64 = 8;
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, 16_384));
    let bytes = format!("bytes={BYTES}");
    let zones = ["kakkanad", "edappally", "kalamassery", "vyttila"];
    let mut replicas = Vec::new();
    for (i, zone) in zones.into_iter().enumerate() {
        let (id, addr) = (format!("i-{i}"), fleet::free_addr());
        replicas.push(fleet::replica(record, &id, addr, &[bytes.as_str(), "gap_ms=40"]));
        fleet::entry(&store, &id, "samarpan", zone, addr, 6, "ready");
    }
    let mut gateways = fleet::seven_gateways(record, &store);
    sleep(SECOND);
    let front = gateways[0].front;
    let (start, started) = std::sync::mpsc::channel::<()>();
    let started = std::sync::Arc::new(std::sync::Mutex::new(started));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let (record, started) = (record.clone(), started.clone());
            thread::spawn(move || {
                let mut channel = client::connect(front).expect("a channel");
                let ask = |channel: &mut _, id: &str| {
                    let request = client::request("POST", "/status/1", id, 20_000, "");
                    client::ask(channel, &request)
                };
                let earlier = ask(&mut channel, &format!("a{i}"));
                note_answer(&record, &format!("a{i}"), &earlier);
                // All wait for the same moment, and send 30 ms apart.
                let waited = started.lock().map(|started| started.recv().is_ok());
                assert!(waited.is_ok_and(|waited| waited), "the signal");
                sleep(ms(30 * i));
                let sent = record.now();
                let answer = ask(&mut channel, &format!("b{i}"));
                note_answer(&record, &format!("b{i}"), &answer);
                (sent, record.now(), answer)
            })
        })
        .collect();
    // The earlier answers take some five seconds.
    sleep(7 * SECOND);
    let signalled = record.now();
    if trouble {
        gateways[0].process.signal(Signal::Terminate);
        record.note("SIGTERM to edge-kakkanad-1");
    }
    sleep(ms(3_020));
    for _ in 0..CALLERS {
        start.send(()).map_err(|_| "no caller waits")?;
    }
    let (mut whole, mut cut, mut refused) = (0, 0, 0);
    for caller in callers {
        let (sent, ended, answer) = caller.join().map_err(|_| "a client failed")?;
        let passed_on = answer.status == 200;
        match passed_on && !answer.complete {
            true if sent > signalled + ms(3_000) && ended < sent + ms(19_000) => cut += 1,
            false if passed_on && answer.body.len() == BYTES => whole += 1,
            _ => refused += 1,
        }
    }
    gateways.clear();
    record.note(&format!("of requests sent later than 3 s after the signal: {whole} whole, {cut} passed on and cut, {refused} others"));
    if !trouble && whole < CALLERS {
        return Err("not all requests were served without trouble".into());
    }
    Ok(cut == 0)
}

/// A run that is stopped for a move long after its replica has said that it leaves, and goes back there.
fn returned_run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, 16_384));
    let parameters =
        ["events=100", "gap_ms=100", "copy_ms=1150", "last_ms=1150", "last=first_no_room"];
    let mut replicas = Vec::new();
    let zones = ["kakkanad", "edappally", "kalamassery", "vyttila"];
    for (i, zone) in zones.into_iter().enumerate() {
        let (id, addr) = (format!("i-{i}"), fleet::free_addr());
        replicas.push((addr, fleet::replica(record, &id, addr, &parameters)));
        fleet::entry(&store, &id, "vakya", zone, addr, 48, "ready");
    }
    let gateway = fleet::gateway(record, "edge-kakkanad-1", "kakkanad", &store);
    sleep(SECOND);
    let front = gateway.front;
    let more =
        "X-Model: m\r\nX-Token-Counts: 3000,400\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:2200\r\n";
    let request = client::request("POST", "/draft/stream/1", "r1", 39_000, more);
    let asking = thread::spawn(move || {
        client::ask(&mut client::connect(front).expect("a channel"), &request)
    });
    let names: Vec<String> = replicas.iter().map(|(_, replica)| replica.name.clone()).collect();
    let runner = runner_of(record, "r1", &names)?;
    sleep(SECOND);
    let (addr, id) = (replicas[runner].0, replicas[runner].1.name.clone());
    if trouble {
        fleet::entry(&store, &id, "vakya", zones[runner], addr, 48, "draining");
        record.note(&format!("{id} is draining (acknowledged)"));
    }
    let acked = record.now();
    if trouble {
        end_at(record, &mut replicas[runner].1, acked + LIFE);
    }
    let answer = asking.join().map_err(|_| "the client failed")?;
    note_answer(record, "r1", &answer);
    let beginning = format!("{id} continues ");
    let late = record
        .lines()
        .into_iter()
        .find(|(at, line)| line.starts_with(&beginning) && *at > acked + ms(2_000));
    if let Some((at, line)) = &late {
        record.note(&format!(
            "{line}: {} ms after the ack of its draining",
            (*at - acked).as_millis()
        ));
    }
    Ok(late.is_none())
}

/// Kept channels after a configuration that allows larger heads.
fn kept_limits(record: &Record, trouble: bool) -> Verdict {
    const CHANNELS: usize = 40;
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, if trouble { 16_384 } else { 65_536 }));
    let mut replicas = Vec::new();
    for (i, zone) in ["kakkanad", "edappally", "kalamassery", "vyttila"].into_iter().enumerate() {
        let (id, addr) = (format!("i-{i}"), fleet::free_addr());
        replicas.push(fleet::replica(record, &id, addr, &["bytes=800"]));
        fleet::entry(&store, &id, "samarpan", zone, addr, 6, "ready");
    }
    let gateway = fleet::gateway(record, "edge-kakkanad-1", "kakkanad", &store);
    sleep(SECOND);
    let mut channels = Vec::new();
    for i in 0..CHANNELS {
        let mut channel = client::connect(gateway.front).map_err(|e| e.to_string())?;
        let id = format!("a{i}");
        let answer =
            client::ask(&mut channel, &client::request("GET", "/submit/1", &id, 4_000, ""));
        note_answer(record, &id, &answer);
        channels.push(channel);
    }
    store.put("op/config", &fleet::configuration(4, 65_536));
    record.note("configuration 4 allows heads of 65,536 bytes (acknowledged)");
    sleep(3 * SECOND);
    let more = format!("X-Note: {}\r\n", "n".repeat(30_000));
    let mut denied = 0;
    for (i, channel) in channels.iter_mut().enumerate() {
        let id = format!("b{i}");
        let answer = client::ask(channel, &client::request("GET", "/submit/1", &id, 4_000, &more));
        note_answer(record, &id, &answer);
        denied += usize::from(answer.status == 431);
    }
    record.note(&format!("{denied} of {} requests denied with 431", 2 * CHANNELS));
    Ok(denied <= 5 + 2 * CHANNELS / 500)
}

/// Streams without a length whose replicas crash, one at a time; each comes back as a new boot at a new address.
fn crashed_streams(record: &Record, trouble: bool) -> Verdict {
    const EVENTS: u64 = 60;
    const ZONES: [&str; 3] = ["kakkanad", "edappally", "kalamassery"];
    const CALLERS: usize = 100;
    const CRASHES: usize = 24;
    let store = Store::start();
    store.put("op/config", &fleet::configuration(3, 16_384));
    let parameters = ["events=60", "framing=none", "gap_ms=100"];
    let mut replicas = Vec::new();
    for i in 0..9 {
        let (id, addr, zone) = (format!("i-{i}"), fleet::free_addr(), ZONES[i % 3]);
        replicas.push(fleet::replica(record, &id, addr, &parameters));
        fleet::entry(&store, &id, "vakya", zone, addr, 48, "ready");
    }
    let gateway = fleet::gateway(record, "edge-kakkanad-1", "kakkanad", &store);
    sleep(SECOND);
    let front = gateway.front;
    let more =
        "X-Model: m\r\nX-Token-Counts: 600,240\r\nX-Prompt-Prefix: 5c1e07a2:400,e4402b7d:200\r\n";
    let over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            sleep(ms(20));
            let over = over.clone();
            thread::spawn(move || {
                let mut answers = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    let id = format!("r{i}-{}", answers.len());
                    let target = format!("/draft/stream/{id}");
                    let request = client::request("POST", &target, &id, 39_000, more);
                    let answer =
                        client::ask(&mut client::connect(front).expect("a channel"), &request);
                    sleep(if answer.status == 200 { ms(20) } else { ms(300) });
                    answers.push((id, answer));
                }
                answers
            })
        })
        .collect();
    if !trouble {
        sleep(12 * SECOND);
    }
    for i in (0..CRASHES).filter(|_| trouble) {
        replicas[i].kill();
        record.note(&format!("{} killed", replicas[i].name));
        sleep(SECOND);
        store.remove(&format!("servers/{}", replicas[i].name));
        let (id, addr) = (format!("i-{}", 9 + i), fleet::free_addr());
        replicas.push(fleet::replica(record, &id, addr, &parameters));
        fleet::entry(&store, &id, "vakya", ZONES[i % 3], addr, 48, "ready");
        sleep(ms(300));
    }
    over.store(true, Ordering::Relaxed);
    let (mut whole, mut false_ends, mut cut, mut other) = (0, 0, 0, 0);
    for caller in callers {
        for (id, answer) in caller.join().map_err(|_| "a client failed")? {
            let last = answer.event_ids().last().copied();
            match (answer.status, answer.complete && answer.seal.is_some()) {
                (200, true) if last == Some(EVENTS) => whole += 1,
                (200, true) => {
                    false_ends += 1;
                    note_answer(record, &id, &answer);
                }
                (200, false) => cut += 1,
                _ => other += 1,
            }
        }
    }
    record.note(&format!("{whole} whole, {false_ends} end as complete before the last event, {cut} cut, {other} others"));
    if !trouble && cut + other > 0 {
        return Err("not all streams were served without trouble".into());
    }
    Ok(false_ends == 0)
}
