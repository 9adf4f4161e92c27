//! Starts the gateway and replicas as processes, keeps the record, and ends all at the end.

use crate::client::status_of;
use crate::json::quote;
use crate::store::Store;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let file =
            File::create(Path::new(folder).join("record.txt")).expect("the record can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, line: &str) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {line}", at.as_secs_f64());
        self.lines.lock().unwrap().push((at, line.to_string()));
    }

    /// When a line with this beginning was first noted.
    pub fn at(&self, beginning: &str) -> Option<Duration> {
        let lines = self.lines.lock().unwrap();
        lines.iter().find(|(_, line)| line.starts_with(beginning)).map(|(at, _)| *at)
    }

    /// Waits for such a line.
    pub fn wait_for(&self, beginning: &str, patience: Duration) -> Result<Duration, String> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if let Some(at) = self.at(beginning) {
                return Ok(at);
            }
            sleep(Duration::from_millis(2));
        }
        Err(format!("never noted: {beginning}"))
    }

    pub fn lines(&self) -> Vec<(Duration, String)> {
        self.lines.lock().unwrap().clone()
    }
}

/// Ids of the processes that run, to be killed when the time is up.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this program and all processes that it started after a time, as a case that couldn't run.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            send_signal(*pid, Signal::Kill);
        }
        std::process::exit(2);
    });
}

/// Signals, with their numbers on Linux.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

fn send_signal(pid: u32, signal: Signal) {
    extern "C" {
        fn kill(pid: i32, signal: i32) -> i32;
    }
    // The process was started here and has not been waited for, so the id is still its own.
    let sent = unsafe { kill(pid as i32, signal as i32) };
    assert_eq!(sent, 0, "the signal was sent");
}

/// A process that is killed when this is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Sends a signal to a process that has not been killed.
    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn spawn(record: &Record, name: &str, mut command: Command, shows: bool) -> Process {
    let mut child =
        command.stdout(Stdio::piped()).stderr(Stdio::inherit()).spawn().expect("it starts");
    RUNNING.lock().unwrap().push(child.id());
    let out = BufReader::new(child.stdout.take().expect("piped"));
    let (record, prefix) = (record.clone(), name.to_string());
    thread::spawn(move || {
        for line in out.lines().map_while(Result::ok) {
            if shows {
                record.note(&format!("{prefix} {line}"));
            }
        }
    });
    Process { name: name.into(), child }
}

/// Starts a replica at `addr` and waits until it listens.
pub fn replica(record: &Record, id: &str, addr: SocketAddr, parameters: &[&str]) -> Process {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["replica", id, &addr.to_string()]).args(parameters);
    let process = spawn(record, id, command, true);
    record
        .wait_for(&format!("{id} listens {addr}"), Duration::from_secs(5))
        .expect("the replica listens");
    process
}

/// The gateway's addresses.
pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    pub settings: PathBuf,
}

/// Starts the gateway with the command of the deploy file and the settings of a small deployment.
pub fn gateway(record: &Record, name: &str, zone: &str, store: &Store) -> Gateway {
    let [front, ready, control, directory, peers] = [(); 5].map(|()| free_addr());
    let settings = format!(
        r#"{{
  "nodeName": {}, "role": "gateway", "machineClass": "edge", "serves": ["edge", "control", "registry"],
  "ip": "127.0.0.1", "zone": {}, "region": "kochi",
  "zones": {{"kakkanad": "kochi", "edappally": "kochi", "kalamassery": "kochi", "vyttila": "kochi"}},
  "listen": {{"front": "{front}", "ready": "{ready}", "control": "{control}", "directory": "{directory}"}},
  "portRange": [{}, {}], "seeds": ["{control}"], "bootstrap": true, "lossCounted": false,
  "limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
  "faultTolerance": {{"machines": 2, "zones": 0, "regions": 0}},
  "bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "backMs": 250, "outerMs": 5000, "strictRevoke": true,
    "revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "pass_ms": 120,
    "again_s": 4.6, "ttl_max_s": 5}},
  "provider": {{"address": "{}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "historyS": 20,
    "value_bytes": 1048576, "ttl_min_ms": 1000}}
}}"#,
        quote(name),
        quote(zone),
        peers.port(),
        peers.port(),
        store.addr
    );
    let folder = std::env::temp_dir().join(format!("stand-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let path = folder.join("local.json");
    fs::write(&path, settings).expect("the settings can be written");
    let mut command = Command::new("target/release/tidestair-gateway");
    command.env("TIDESTAIR_NODE_FILE", &path);
    let shows = std::env::var("SHOW_LOG").is_ok();
    let process = spawn(record, name, command, shows);
    let until = Instant::now() + Duration::from_secs(10);
    while status_of(ready, "/-/ready") != Some(200) {
        assert!(Instant::now() < until, "the gateway is not ready");
        sleep(Duration::from_millis(20));
    }
    record.note(&format!("{name} is ready"));
    Gateway { process, front, settings: path }
}

/// The gateways of a small deployment.
pub fn seven_gateways(record: &Record, store: &Store) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for zone in ["kakkanad", "edappally", "kalamassery"] {
        for i in 1..=2 {
            gateways.push(gateway(record, &format!("edge-{zone}-{i}"), zone, store));
        }
    }
    gateways.push(gateway(record, "edge-vyttila-1", "vyttila", store));
    gateways
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.process.kill();
        if let Some(folder) = self.settings.parent() {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// A replica's entry in the store.
pub fn entry(
    store: &Store,
    id: &str,
    service: &str,
    zone: &str,
    addr: SocketAddr,
    capacity: u32,
    state: &str,
) {
    let value = format!(
        r#"{{"backend":"{service}","address":"{addr}","zone":"{zone}","configVersion":"v1","capacity":{capacity},"state":"{state}","coldLeftMs":0,"sequence":1}}"#
    );
    store.put(&format!("servers/{id}"), &value);
}

/// A configuration with one route of each kind, like that of a small deployment.
pub fn configuration(version: u64, header_bytes: u32) -> String {
    format!(
        r#"{{"configVersion":{version},
"routes":[
 {{"name":"file-status","hostname":"shop.example","pathPrefix":"/status/","routeType":"unsafe","timeoutMs":20000,"sloMs":100,"priority":2,"maxAttempts":1,"backend":"samarpan"}},
 {{"name":"file-submit","hostname":"shop.example","pathPrefix":"/submit/","routeType":"safe","timeoutMs":20000,"sloMs":100,"priority":2,"maxAttempts":2,"backend":"samarpan"}},
 {{"name":"draft-explain","hostname":"shop.example","pathPrefix":"/draft/","routeType":"streaming","timeoutMs":39000,"sloMs":1800,"priority":1,"maxAttempts":1,"gap_aim_ms":180,"sessionAffinity":true,"backend":"vakya"}},
 {{"name":"doc-summary","hostname":"shop.example","pathPrefix":"/doc/","routeType":"streaming","timeoutMs":6000,"sloMs":1500,"priority":0,"maxAttempts":2,"resumable":true,"gap_aim_ms":180,"sessionAffinity":true,"backend":"vakya"}}],
"services":[
 {{"name":"samarpan","healthPath":"/health","maxConnections":100}},
 {{"name":"vakya","healthPath":"/health","maxConnections":372,"engine":{{"capacity":48,"kvTokens":34414,"kvBytes":131072,"linkMbps":19000.0,"moves":true,"backups":true,"stride":4}}}}],
"limits":{{"maxHeaderBytes":{header_bytes},"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"huka270","apiKeys":["key-of-huka270"]}}]}}"#
    )
}
