//! Replays a trace against real daemons over loopback and judges from outside.

use crate::client::{Client, Piece};
use crate::deployment::Deployment;
use crate::error::{Error, Result};
use crate::faults;
use crate::fleet::Fleet;
use crate::measure::{Figures, Seen, SeenToken, Tally};
use crate::outcome::Outcome;
use crate::prompt::TOKEN_BYTES;
use crate::resource::{Delivery, TrafficClassSpec};
use crate::trace::{Call, Generation, Line};
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Most time after the last line of the trace before what is open is given up, in trace time.
const TAIL: Duration = Duration::from_secs(240);
/// First tokens that take longer are logged, in trace time.
const SLOW_FIRST: Duration = Duration::from_secs(8);
/// Time after which a caller in doubt sends a call again, in trace time.
const CALL_PAUSE: Duration = Duration::from_millis(1_000);
const REVISION_STEP: Duration = Duration::from_millis(20);

/// Told how far a replay is.
pub type Progress<'a> = &'a dyn Fn(usize, usize);

struct Run {
    fleet: Fleet,
    clients: BTreeMap<String, Client>,
    tally: Mutex<Tally>,
    calls: Mutex<Vec<CallSeen>>,
    done: AtomicU64,
    classes: BTreeMap<String, Class>,
    drained: Mutex<Vec<std::net::SocketAddr>>,
}

/// What judging needs to know of a class.
#[derive(Clone, Copy)]
struct Class {
    gap: Duration,
    streamed: bool,
}

/// A call as its caller saw it.
struct CallSeen {
    label: String,
    once: bool,
    outcome: Outcome,
}

/// Replays a trace once with one policy, `speed` times as fast as recorded.
pub async fn run(
    deployment: &Deployment,
    trace: &[Line],
    policy: &str,
    speed: f64,
    progress: Progress<'_>,
) -> Result<Figures> {
    if !deployment.policies.contains_key(policy) {
        let names: Vec<&str> = deployment.policies.keys().map(String::as_str).collect();
        return Err(Error::Usage {
            message: format!(
                "policy `{policy}` is not in the deployment; use one of {}",
                names.join(", ")
            ),
        });
    }
    let fleet = Fleet::start(deployment, policy, speed).await?;
    let clients = deployment
        .workspaces
        .iter()
        .map(|w| (w.name.clone(), Client::new(&Deployment::key(&w.name), fleet.entries())));
    let run = Arc::new(Run {
        clients: clients.collect(),
        tally: Mutex::new(Tally::new(speed)),
        calls: Mutex::default(),
        done: AtomicU64::new(0),
        classes: deployment.classes.iter().map(class).collect(),
        drained: Mutex::default(),
        fleet,
    });
    let ended = Arc::new(AtomicBool::new(false));
    let reverts = tokio::spawn(watch_reverts(run.clone(), ended.clone()));
    let began = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for (i, line) in trace.iter().enumerate() {
        let at = Duration::from_millis(line.at_ms()).div_f64(speed);
        sleep_until(began + at).await;
        progress(run.done.load(Ordering::Relaxed) as usize, trace.len());
        start(&run, line.clone(), i, &mut tasks);
    }
    finish(&run, &mut tasks, trace.len(), progress).await;
    let makespan = began.elapsed().mul_f64(speed);
    ended.store(true, Ordering::Relaxed);
    let reverts = reverts.await.unwrap_or(0);
    Ok(figures(&run, makespan, reverts).await)
}

fn class((name, spec): (&String, &TrafficClassSpec)) -> (String, Class) {
    let gap = Duration::from_millis(spec.gap_ms);
    (name.clone(), Class { gap, streamed: spec.delivery == Delivery::Stream })
}

fn start(run: &Arc<Run>, line: Line, number: usize, tasks: &mut JoinSet<()>) {
    let run = run.clone();
    match line {
        Line::Generation(g) => tasks.spawn(generation(run, g)),
        Line::Call(c) => tasks.spawn(call(run, c, number)),
        Line::Fault(f) => {
            run.tally.lock().expect("tally").add("faults", 1.0);
            tasks.spawn(async move {
                if let Some(entry) = faults::bring_about(&run.fleet, &f).await {
                    run.drained.lock().expect("drained").push(entry);
                }
                run.done.fetch_add(1, Ordering::Relaxed);
            })
        }
    };
}

async fn finish(run: &Run, tasks: &mut JoinSet<()>, total: usize, progress: Progress<'_>) {
    let limit = sleep(TAIL.div_f64(run.fleet.speed()));
    tokio::pin!(limit);
    loop {
        tokio::select! {
            joined = tasks.join_next() => if joined.is_none() { return },
            () = &mut limit => break,
        }
        progress(run.done.load(Ordering::Relaxed) as usize, total);
    }
    // What is still open after so long counts as unknown.
    let open = tasks.len();
    tasks.shutdown().await;
    let mut tally = run.tally.lock().expect("tally");
    for _ in 0..open {
        tally.ended(Outcome::Unknown);
    }
}

async fn generation(run: Arc<Run>, g: Generation) {
    let client = &run.clients[&g.workspace];
    let class = run.classes[&g.class];
    let gap_limit = class.gap.div_f64(run.fleet.speed());
    let body = completion_body(&g);
    let began = Instant::now();
    let mut tokens = Vec::new();
    let mut first = None;
    let mut last: Option<Instant> = None;
    let mut gaps = Vec::new();
    let each = |piece: Piece| {
        tokens.extend(SeenToken::parse_all(&piece.text));
        first.get_or_insert(piece.at - began);
        if let Some(last) = last {
            gaps.push(piece.at - last);
        }
        last = Some(piece.at);
    };
    let ended = client.stream("/v1/chat/completions", &g.class, body, each).await;
    let first = first.filter(|_| class.streamed);
    let seen = Seen {
        outcome: ended.outcome,
        first,
        whole: began.elapsed(),
        gaps,
        gap_limit,
        tokens,
        expected: g.output_tokens,
    };
    if let Some(first) = first.filter(|f| *f > SLOW_FIRST.div_f64(run.fleet.speed())) {
        log::debug!("first token of the request at {} ms after {first:?}", g.at_ms);
    }
    if ended.outcome != Outcome::Complete {
        log::debug!("{:?}: {}", ended.outcome, ended.message);
    }
    let mut tally = run.tally.lock().expect("tally");
    tally.stream(&seen);
    tally.add("resumes", f64::from(ended.resumes));
    let stopped = run.drained.lock().expect("drained").contains(&ended.entry);
    if stopped && ended.outcome == Outcome::Cut {
        tally.add("stop_cut", 1.0);
    }
    drop(tally);
    run.done.fetch_add(1, Ordering::Relaxed);
}

/// A request body whose prompt has as many tokens as the trace says.
fn completion_body(g: &Generation) -> Bytes {
    let prefix_bytes = g.prefix_tokens as usize * TOKEN_BYTES;
    let rest_bytes = (g.prompt_tokens.saturating_sub(g.prefix_tokens)) as usize * TOKEN_BYTES;
    let prefix = fill(g.prefix.as_deref().unwrap_or_default(), prefix_bytes);
    let rest = fill(&g.prompt, rest_bytes);
    let mut messages = Vec::new();
    if prefix_bytes > 0 {
        messages.push(json!({"role": "system", "content": prefix}));
    }
    messages.push(json!({"role": "user", "content": rest}));
    let metadata = json!({"standin_output_tokens": g.output_tokens.to_string()});
    let body =
        json!({"model": g.model, "stream": true, "messages": messages, "metadata": metadata});
    Bytes::from(body.to_string())
}

fn fill(start: &str, bytes: usize) -> String {
    const FILLER: &str = " Please consider the figures and the earlier correspondence as given.";
    let text: String =
        start.chars().chain(FILLER.chars().cycle()).filter(char::is_ascii).take(bytes).collect();
    text
}

async fn call(run: Arc<Run>, c: Call, number: usize) {
    let client = &run.clients[&c.workspace];
    let path = format!("/v1/services/{}/{}", c.service, c.path);
    let label = format!("call-{number}");
    let headers = [("x-call", label.as_str())];
    let body = Bytes::from(json!({"number": number}).to_string());
    let called = match c.once {
        // A caller in doubt asks again with the same key; it must not run again.
        true => {
            let pause = CALL_PAUSE.div_f64(run.fleet.speed());
            client.call_once(&path, &label, body, &headers, pause).await
        }
        false => client.call(Method::POST, &path, body, &headers).await,
    };
    run.tally.lock().expect("tally").ended(called.outcome);
    run.calls.lock().expect("calls").push(CallSeen {
        label,
        once: c.once,
        outcome: called.outcome,
    });
    run.done.fetch_add(1, Ordering::Relaxed);
}

/// Counts how often a VM has a lower revision in force than it had before.
async fn watch_reverts(run: Arc<Run>, ended: Arc<AtomicBool>) -> u64 {
    let mut seen: BTreeMap<(String, std::net::SocketAddr), u64> = BTreeMap::new();
    let mut reverts = 0;
    while !ended.load(Ordering::Relaxed) {
        for (name, vm) in run.fleet.vms() {
            let Some(now) = vm.revision().await else {
                continue;
            };
            let last = seen.entry((name, vm.peer_addr)).or_default();
            reverts += u64::from(now < *last);
            *last = now;
        }
        sleep(REVISION_STEP).await;
    }
    reverts
}

async fn figures(run: &Run, makespan: Duration, reverts: u64) -> Figures {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in run.fleet.services.values() {
        for (label, count) in service.runs() {
            *runs.entry(label).or_default() += count;
        }
    }
    let mut pauses = 0.0;
    for vm in run.fleet.vms().values() {
        let text = vm.metrics().await.unwrap_or_default();
        log::debug!("{}", placing_lines(&text));
        let line = text.lines().find_map(|l| l.strip_prefix("tidestair_pauses_total "));
        pauses += line.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    }
    let mut tally = run.tally.lock().expect("tally");
    for seen in run.calls.lock().expect("calls").iter() {
        let ran = runs.get(&seen.label).copied().unwrap_or(0);
        tally.add("once_run_twice", f64::from(u8::from(seen.once && ran > 1)));
        tally.add("false_not_run", f64::from(u8::from(seen.outcome == Outcome::NotRun && ran > 0)));
    }
    for engine in run.fleet.engines.values() {
        let counts = engine.counts();
        tally.add("preemptions", counts.preemptions as f64);
        tally.add("late_dispatches_to_leaving", counts.sent_late as f64);
    }
    tally.add("pauses", pauses);
    tally.add("config_reverts", reverts as f64);
    tally.add("makespan_ms", makespan.as_millis() as f64);
    tally.figures()
}

/// The lines of a daemon's metrics that tell how it placed.
fn placing_lines(metrics: &str) -> String {
    let lines = metrics
        .lines()
        .filter(|l| l.starts_with("tidestair_places_total") || l.starts_with("tidestair_peers "));
    lines.collect::<Vec<_>>().join(" ")
}
