//! Measures the slopes that `docs/CAPACITY.md` is worked out from and prints them as JSON.
//!
//! `cargo bench --bench slopes > docs/slopes.json`; it takes about two minutes.

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::claim::{ClaimAsk, ClaimKey, Nonce};
use tidestair::client::Client;
use tidestair::deployment::{Deployment, Placed};
use tidestair::fleet::Fleet;
use tidestair::forecast::Forecasts;
use tidestair::journal::Journal;
use tidestair::metrics::Metrics;
use tidestair::platform::{Change, Entry, Platform};
use tidestair::policy::{Newcomer, View, build};
use tidestair::replica::{Replica, ReplicaKey, growth};
use tidestair::resource::*;
use tidestair::seal::{GenerationId, Position, SealKeys};
use tidestair::snapshot::{Snapshot, key};
use tidestair::standin::kv::Kv;

const WATCHED: Duration = Duration::from_secs(6);

fn main() {
    if std::env::args().any(|a| a == "--test") {
        // `cargo test --benches` only checks that it builds.
        return;
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let mut slopes = BTreeMap::new();
    slopes.insert("seal_us_per_token".into(), seal());
    let sizes = [
        ("place_us_at_10", 10),
        ("place_us_at_100", 100),
        ("place_us_at_330", 330),
        ("place_us_at_1000", 1_000),
    ];
    for (name, count) in sizes {
        slopes.insert(name.into(), place(count));
    }
    let (apply_us, bytes, lookup_us) = config(30_000);
    slopes.insert("workspace_lookup_us_at_30000".into(), lookup_us);
    slopes.insert("config_apply_us_at_30000".into(), apply_us);
    slopes.insert("config_bytes_per_workspace".into(), bytes);
    runtime.block_on(async {
        journal(&mut slopes).await;
        idle_fleets(&mut slopes).await;
        requests(&mut slopes).await;
    });
    println!("{}", serde_json::to_string_pretty(&json!(slopes)).expect("numbers are JSON"));
}

fn micros(count: u32, mut act: impl FnMut()) -> f64 {
    for _ in 0..count / 10 {
        act();
    }
    let began = Instant::now();
    for _ in 0..count {
        act();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

fn seal() -> f64 {
    let keys = SealKeys::generate(&mut StdRng::seed_from_u64(1));
    let position = Position {
        generation: GenerationId(7),
        index: 100,
        replica: "127.0.0.1:9".parse().expect("an address"),
        model: "m1".into(),
        class: "draft".into(),
        chat: true,
        prompt: 300,
        workspace: "w1".into(),
        expires: 1,
    };
    micros(100_000, || {
        black_box(keys.seal(black_box(&position)));
    })
}

fn place(count: usize) -> f64 {
    let now = Instant::now();
    let mut replicas: slotmap::SlotMap<ReplicaKey, Replica> = slotmap::SlotMap::with_key();
    let keys: Vec<ReplicaKey> = (0..count)
        .map(|i| {
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + i as u16));
            let spec = ReplicaSpec { name: format!("r{i}"), address, hall: "h".into() };
            let mut replica = Replica::new(&spec, "h", now);
            replica.last_report = Some(now);
            replica.report.capacity = 8_000;
            replica.report.running = (i % 30) as u32;
            replica.peaks = [(i * 37 % 7_000) as f32; 4];
            replicas.insert(replica)
        })
        .collect();
    let streams = slotmap::SlotMap::with_key();
    let view = View { replicas: &replicas, streams: &streams, candidates: &keys };
    let growth = growth(300, 0, &Forecasts::default().pooled());
    let newcomer =
        Newcomer { streamed: true, prompt: 300, growth, prefix: Some(4), prefix_tokens: 200 };
    let spec = PolicySpec { algorithm: Algorithm::Headroom, headroom: HeadroomSpec::default() };
    let mut policy = build(&spec);
    let mut rng = StdRng::seed_from_u64(1);
    micros(20_000, || {
        black_box(policy.place(&view, black_box(&newcomer), now, &mut rng));
    })
}

fn workspace(i: usize) -> Resource {
    let key_hashes = vec![format!("{i:064x}")];
    let spec =
        WorkspaceSpec { key_hashes, share: 1, default_class: "draft".into(), max_streams: 100 };
    Resource::new(&format!("w{i}"), Spec::Workspace(spec))
}

/// Microseconds to apply one change, bytes of memory for each workspace, microseconds to find one.
fn config(count: usize) -> (f64, f64, f64) {
    let entry = |i: usize| {
        let resource = workspace(i);
        let value = serde_json::to_vec(&resource).expect("JSON");
        Entry { key: key(Kind::Workspace, &resource.metadata.name), value, revision: 1 }
    };
    let entries: Vec<Entry> = (0..count).map(entry).collect();
    let before = resident_bytes();
    let snapshot = Snapshot::from_entries(&entries, 1);
    let bytes = (resident_bytes() - before) / count as f64;
    let value = Some(serde_json::to_vec(&workspace(5)).expect("JSON"));
    let change = [Change { key: key(Kind::Workspace, "w5"), value, revision: 2 }];
    let us = micros(20, || {
        black_box(snapshot.apply(&change));
    });
    let lookup_us = micros(20_000, || {
        black_box(snapshot.workspace_of(black_box("some key")));
    });
    (us, bytes, lookup_us)
}

async fn journal(slopes: &mut BTreeMap<String, f64>) {
    const CLAIMS: u128 = 4_000;
    let kv = Kv::new();
    let journal =
        Journal::start(Arc::new(kv.clone()), Duration::from_millis(50), Arc::new(Metrics::new()));
    let began = Instant::now();
    let mut claims = tokio::task::JoinSet::new();
    for i in 0..CLAIMS {
        let journal = journal.clone();
        let claim =
            ClaimAsk { key: ClaimKey(i), nonce: Nonce::random(), body: 1, retention_ms: 1_000 };
        claims.spawn(async move { journal.claim(claim).await });
    }
    claims.join_all().await;
    let seconds = began.elapsed().as_secs_f64();
    let segments = kv.range("/tidestair/claims/").await.expect("up").entries;
    let bytes: usize = segments.iter().map(|e| e.value.len()).sum();
    slopes.insert("journal_bytes_per_claim".into(), bytes as f64 / CLAIMS as f64);
    slopes.insert("journal_claims_per_segment".into(), CLAIMS as f64 / segments.len() as f64);
    slopes.insert("journal_claims_per_second_one_daemon".into(), CLAIMS as f64 / seconds);
}

fn deployment(vms: usize, halls: usize, engines: usize) -> Deployment {
    let text = include_str!("../examples/nikuthi.deployment.json");
    let mut d = Deployment::parse(text).expect("the example holds");
    let place = |i: usize| d.halls[i % halls].name.clone();
    let vms = (0..vms).map(|i| Placed { name: format!("vm-{i}"), hall: place(i) }).collect();
    d.engines.replicas.truncate(engines);
    d.vms = vms;
    d
}

/// What one daemon spends, on the average over a fleet.
struct Spent {
    cpu_share: f64,
    bytes: f64,
    messages: f64,
    calls: f64,
}

async fn watch(fleet: &Fleet, time: Duration) -> Spent {
    let (cpu, bytes, messages) = sums(fleet).await;
    let calls = fleet.kv.calls();
    tokio::time::sleep(time).await;
    let (cpu2, bytes2, messages2) = sums(fleet).await;
    let per = fleet.vms().len() as f64 * time.as_secs_f64();
    let calls = (fleet.kv.calls() - calls) as f64 / time.as_secs_f64();
    Spent {
        cpu_share: (cpu2 - cpu) / per,
        bytes: (bytes2 - bytes) / per,
        messages: (messages2 - messages) / per,
        calls,
    }
}

/// Seconds on a processor, bytes and messages to and from peers, over all daemons.
async fn sums(fleet: &Fleet) -> (f64, f64, f64) {
    let (mut bytes, mut messages) = (0.0, 0.0);
    for vm in fleet.vms().values() {
        let text = vm.metrics().await.unwrap_or_default();
        bytes += sum_of(&text, "tidestair_peer_bytes_total{direction=\"out\"}");
        messages += sum_of(&text, "tidestair_peer_messages_total{direction=\"out\"}");
    }
    (thread_seconds("vm-"), bytes, messages)
}

fn sum_of(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter_map(|l| l.strip_prefix(name));
    lines.filter_map(|n| n.trim().parse::<f64>().ok()).sum()
}

/// Seconds on a processor of all threads whose names start so.
fn thread_seconds(prefix: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("procfs");
    let read = |path: std::path::PathBuf| std::fs::read_to_string(path).unwrap_or_default();
    let named =
        tasks.filter_map(|t| t.ok()).filter(|t| read(t.path().join("comm")).starts_with(prefix));
    let nanos = named.map(|t| {
        let stat = read(t.path().join("schedstat"));
        stat.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
    });
    nanos.sum::<f64>() / 1e9
}

fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("procfs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
    let kb: f64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kb * 1_024.0
}

/// Control of idle daemons at several sizes; all in one hall is the worst case.
async fn idle_fleets(slopes: &mut BTreeMap<String, f64>) {
    for (size, halls, label) in
        [(7, 1, "7"), (20, 1, "20"), (50, 1, "50"), (100, 2, "100_in_2_halls")]
    {
        let before = resident_bytes();
        let fleet =
            Fleet::start(&deployment(size, halls, 1), "headroom", 1.0).await.expect("it starts");
        tokio::time::sleep(Duration::from_secs(4)).await;
        let spent = watch(&fleet, WATCHED).await;
        let mut note = |name: &str, value: f64| slopes.insert(format!("{name}_at_{label}"), value);
        note("idle_cpu", spent.cpu_share);
        note("idle_bytes", spent.bytes);
        note("idle_messages", spent.messages);
        note("idle_platform_calls", spent.calls);
        note("memory_bytes_per_daemon", (resident_bytes() - before) / size as f64);
        note("in_force_ms", in_force(&fleet).await);
        stop(fleet).await;
    }
}

/// Milliseconds from acceptance to in force on every daemon, the worst of five changes.
async fn in_force(fleet: &Fleet) -> f64 {
    let mut worst: f64 = 0.0;
    for i in 0..5 {
        let began = Instant::now();
        fleet.declare(&workspace(100_000 + i)).await.expect("the platform is up");
        let wanted = fleet.kv.range(&key(Kind::Workspace, &format!("w{}", 100_000 + i))).await;
        let wanted = wanted.expect("up").entries[0].revision;
        for vm in fleet.vms().values() {
            while vm.revision().await < Some(wanted) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        worst = worst.max(began.elapsed().as_secs_f64() * 1e3);
    }
    worst
}

/// Processor time of a token and of a place, from 200 streams of one daemon against its idle time.
async fn requests(slopes: &mut BTreeMap<String, f64>) {
    let fleet = Fleet::start(&deployment(2, 1, 9), "headroom", 1.0).await.expect("it starts");
    let idle = watch(&fleet, WATCHED).await;
    let seconds = |s: &Spent| s.cpu_share * 2.0 * WATCHED.as_secs_f64();
    for output in [1u32, 200] {
        let (cpu, bytes, _) = sums(&fleet).await;
        let started = Instant::now();
        let made = burst(&fleet, output).await;
        let (cpu2, bytes2, _) = sums(&fleet).await;
        let control = seconds(&idle) / WATCHED.as_secs_f64() * started.elapsed().as_secs_f64();
        let spent = cpu2 - cpu - control;
        if output == 1 {
            slopes.insert("request_us".into(), spent * 1e6 / f64::from(made.0));
            let idle_bytes = idle.bytes * 2.0 * started.elapsed().as_secs_f64();
            slopes.insert(
                "place_peer_bytes".into(),
                (bytes2 - bytes - idle_bytes) / f64::from(made.0),
            );
        } else {
            slopes.insert("token_us".into(), spent * 1e6 / f64::from(made.1));
        }
    }
    stop(fleet).await;
}

/// 200 streams at once; how many ended and how many tokens came.
async fn burst(fleet: &Fleet, output: u32) -> (u32, u32) {
    let mut streams = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let client = Client::new(&Deployment::key("w1"), fleet.entries());
        let metadata = json!({"standin_output_tokens": output.to_string()});
        let messages = json!([{"role": "user", "content": "Explain the difference."}]);
        let body =
            json!({"model": "m1", "stream": true, "messages": messages, "metadata": metadata});
        streams.spawn(async move {
            let mut count = 0;
            client
                .stream("/v1/chat/completions", "draft", body.to_string().into(), |_| count += 1)
                .await;
            count
        });
    }
    let counts = streams.join_all().await;
    (counts.len() as u32, counts.iter().sum())
}

async fn stop(fleet: Fleet) {
    for (name, vm) in fleet.vms() {
        fleet.remove_vm(&name);
        vm.kill();
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
}
