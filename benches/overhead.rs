//! What a daemon adds to calling an engine directly: time, processor, memory. Real processes on loopback.
//!
//! `cargo bench --bench overhead`; it takes about a minute and prints JSON.

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tidestair::admin::{Admin, read_all};
use tidestair::client::Client;
use tidestair::seal::GenerationId;
use tidestair::tls::Authority;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Worker threads of the daemon, its "two cores".
const WORKERS: &str = "2";
const STREAMS: usize = 1_000;
const MANY_STREAMS: usize = 5_000;
const OUTPUT: u32 = 240;
/// Time of a step: about 30 tokens a second.
const STEP_US: u64 = 33_000;
const SLOW_STEP_US: u64 = 1_000_000;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() {
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    println!("{}", serde_json::to_string_pretty(&runtime.block_on(measure())).expect("JSON"));
}

async fn measure() -> Value {
    let dir = tempfile::tempdir().expect("a folder");
    let (_platform, platform) = standin(&["platform"]);
    let spec = |step: u64| {
        json!({"memory_tokens": 100_000_000, "step_us": step, "sequence_us": 0, "prefill_us": 0, "max_running": 20_000, "prefill_chunk": 1_000_000}).to_string()
    };
    let (_engine, engine) = standin(&["engine", "--spec", &spec(STEP_US)]);
    let (_slow, slow) = standin(&["engine", "--spec", &spec(SLOW_STEP_US)]);
    let (daemon, entry) = daemon(dir.path(), platform);
    declare(dir.path(), entry, &[("m1", engine), ("slow", slow)]).await;
    let direct = direct(engine).await;
    let before = cpu_seconds(&daemon);
    let through = through(entry).await;
    let cpu = cpu_seconds(&daemon) - before;
    let tokens = (STREAMS as u32 * OUTPUT) as f64;
    let empty = resident_bytes(&daemon);
    let mut memory = serde_json::Map::new();
    let mut readers = JoinSet::new();
    for count in [STREAMS, MANY_STREAMS] {
        while readers.len() < count {
            readers.spawn(read("slow", entry, 1_000, Arc::default()));
        }
        sleep(Duration::from_secs(4)).await;
        let each = (resident_bytes(&daemon) - empty) / count as f64;
        memory.insert(format!("bytes_per_stream_at_{count}"), json!(each));
    }
    readers.abort_all();
    let q = |s: &Seen, q: f64| s.gaps.value_at_quantile(q) as f64 / 1_000.0;
    let f = |s: &Seen, q: f64| s.first.value_at_quantile(q) as f64 / 1_000.0;
    let both = |at: f64, of: &dyn Fn(&Seen, f64) -> f64| json!({"direct_ms": of(&direct, at), "through_ms": of(&through, at), "added_ms": of(&through, at) - of(&direct, at)});
    json!({
        "streams": STREAMS, "tokens_each": OUTPUT, "workers": WORKERS,
        "between_tokens_p50": both(0.5, &q), "between_tokens_p99": both(0.99, &q),
        "first_token_p50": both(0.5, &f), "first_token_p99": both(0.99, &f),
        "daemon_cpu_us_per_token": cpu * 1e6 / tokens, "tokens_per_core_second": tokens / cpu,
        "memory": memory,
    })
}

fn start(program: &str, args: &[&str]) -> Child {
    let bench = std::env::current_exe().expect("a path");
    let folder = bench.parent().and_then(Path::parent).expect("target/PROFILE");
    let mut command = Command::new(folder.join(program));
    command
        .args(args)
        .env("TOKIO_WORKER_THREADS", WORKERS)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command.spawn().expect("build the binaries first: cargo build --release")
}

fn standin(args: &[&str]) -> (Process, SocketAddr) {
    let mut child = start("tidestair-standin", args);
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("an address");
    (Process(child), line.trim().parse().expect("an address"))
}

fn daemon(dir: &Path, platform: SocketAddr) -> (Process, SocketAddr) {
    Authority::generate().and_then(|a| a.sign()).and_then(|i| i.write(dir)).expect("keys");
    let file = |name: &str| dir.join(name).display().to_string();
    let settings = json!({
        "vm": "vm-1", "hall": "h", "caller_addr": "127.0.0.1:0", "peer_addr": "127.0.0.1:0", "platform": [platform],
        "peer_tls": {"ca": file("ca.pem"), "cert": file("cert.pem"), "key": file("key.pem")},
        "operators": [{"name": "o", "key_hash": tidestair::snapshot::key_hash("op"), "role": "edit"}],
    });
    let path = file("settings.json");
    std::fs::write(&path, settings.to_string()).expect("written");
    let mut child = start("tidestaird", &["--settings", &path]);
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line =
        lines.find_map(|l| l.ok().filter(|l| l.contains("serves callers on "))).expect("it serves");
    std::thread::spawn(move || lines.for_each(drop));
    let entry = line
        .split("serves callers on ")
        .nth(1)
        .and_then(|r| r.split(' ').next())
        .expect("an address");
    (Process(child), entry.parse().expect("an address"))
}

async fn declare(dir: &Path, entry: SocketAddr, models: &[(&str, SocketAddr)]) {
    let kind = |kind: &str, name: &str, spec: Value| json!({"apiVersion": "tidestair/v1", "kind": kind, "metadata": {"name": name}, "spec": spec});
    let mut all = vec![
        kind("Policy", "p", json!({"algorithm": "headroom"})),
        kind("TrafficClass", "draft", json!({"priority": 5})),
        kind(
            "Workspace",
            "w",
            json!({"keyHashes": [tidestair::snapshot::key_hash("k")], "defaultClass": "draft"}),
        ),
    ];
    for (model, addr) in models {
        let replicas = json!([{"name": "r", "address": addr, "hall": "h"}]);
        all.push(kind(
            "EnginePool",
            model,
            json!({"model": model, "policy": "p", "replicas": replicas}),
        ));
    }
    let path = dir.join("resources.json");
    std::fs::write(&path, Value::from(all).to_string()).expect("written");
    let admin = Admin::new(&entry.to_string(), "op").expect("an address");
    for resource in read_all(&path).expect("they hold") {
        while admin.apply(&resource, false).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    }
    sleep(Duration::from_secs(2)).await;
}

struct Seen {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl Default for Seen {
    fn default() -> Seen {
        let new = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds");
        Seen { first: new(), gaps: new() }
    }
}

/// Times of one stream.
struct Times {
    began: Instant,
    last: Option<Instant>,
    seen: Arc<Mutex<Seen>>,
}

impl Times {
    fn new(seen: Arc<Mutex<Seen>>) -> Times {
        Times { began: Instant::now(), last: None, seen }
    }

    fn token(&mut self) {
        let now = Instant::now();
        let mut seen = self.seen.lock().expect("seen");
        match self.last {
            None => seen.first.saturating_record((now - self.began).as_micros() as u64),
            Some(last) => seen.gaps.saturating_record((now - last).as_micros() as u64),
        }
        self.last = Some(now);
    }
}

fn body(model: &str, output: u32) -> bytes::Bytes {
    let metadata = json!({"standin_output_tokens": output.to_string()});
    let messages = json!([{"role": "user", "content": "Explain the difference."}]);
    json!({"model": model, "stream": true, "messages": messages, "metadata": metadata})
        .to_string()
        .into()
}

fn total(seen: Arc<Mutex<Seen>>) -> Seen {
    std::mem::take(&mut *seen.lock().expect("seen"))
}

async fn through(entry: SocketAddr) -> Seen {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut readers = JoinSet::new();
    for _ in 0..STREAMS {
        readers.spawn(read("m1", entry, OUTPUT, seen.clone()));
    }
    readers.join_all().await;
    total(seen)
}

async fn read(model: &'static str, entry: SocketAddr, output: u32, seen: Arc<Mutex<Seen>>) {
    let client = Client::new("k", vec![entry]);
    let mut times = Times::new(seen);
    client.stream("/v1/chat/completions", "draft", body(model, output), |_| times.token()).await;
}

async fn direct(engine: SocketAddr) -> Seen {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut readers = JoinSet::new();
    for i in 0..STREAMS {
        let seen = seen.clone();
        readers.spawn(async move {
            let client = Client::new("", vec![engine]);
            let id = GenerationId(i as u128 + 1).to_string();
            let mut times = Times::new(seen);
            let headers = [("x-generation", id.as_str())];
            client
                .stream_from(engine, "/v1/chat/completions", body("m1", OUTPUT), &headers, |_| {
                    times.token()
                })
                .await;
        });
    }
    readers.join_all().await;
    total(seen)
}

/// Seconds on a processor of a process.
fn cpu_seconds(process: &Process) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", process.0.id())).expect("procfs");
    let nanos =
        tasks.filter_map(|t| std::fs::read_to_string(t.ok()?.path().join("schedstat")).ok());
    nanos.filter_map(|s| s.split(' ').next()?.parse::<f64>().ok()).sum::<f64>() / 1e9
}

fn resident_bytes(process: &Process) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).expect("procfs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") * 1_024.0
}
