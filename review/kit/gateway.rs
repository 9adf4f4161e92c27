//! Gateways as separate processes, with settings like those of a small deployment.

use super::http::{Head, read_head};
use super::record::Record;
use super::socket::{SIGKILL, kill_with_parent, signal};
use super::store::Store;
use std::fs::{File, create_dir_all};
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Ports that all gateways of a case use, each on its own loopback address.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    peers: u16,
}

/// Finds ports that are free on all addresses.
fn free_ports(ips: &[IpAddr]) -> Option<Ports> {
    let tcp = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    let udp = |port: u16| ips.iter().all(|ip| UdpSocket::bind((*ip, port)).is_ok());
    // Below the range from which the kernel takes ports for outgoing connections.
    let offset = (std::process::id() % 900) as u16 * 20;
    (0..200).find_map(|i| {
        let base = 10_000 + (offset + i * 20) % 20_000;
        let all = (0..4).all(|i| tcp(base + i)) && udp(base + 4);
        all.then_some(Ports {
            front: base,
            ready: base + 1,
            control: base + 2,
            directory: base + 3,
            peers: base + 4,
        })
    })
}

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    record: Record,
}

/// What a case may set differently from the sheet.
#[derive(Debug, Clone)]
pub struct Sheet {
    pub zones: Vec<String>,
    pub memory_mb: u32,
    pub budget_slack: f64,
    /// Further fields of `bounds`, as JSON text that begins with a comma.
    pub bounds: String,
}

impl Default for Sheet {
    fn default() -> Sheet {
        let zones = ["kakkanad", "edappally", "kalamassery", "vyttila"].map(String::from).to_vec();
        Sheet { zones, memory_mb: 110, budget_slack: 54.0, bounds: String::new() }
    }
}

fn temp_dir() -> PathBuf {
    let dir = std::env::var("WORK_DIR").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// Starts `count` gateways. They run from the repository's root, by the command of the deploy file.
pub fn start(record: &Record, store: &Store, count: usize, sheet: &Sheet) -> Vec<Gateway> {
    let ips: Vec<IpAddr> = (0..count).map(|i| IpAddr::from([127, 0, 1, 1 + i as u8])).collect();
    let Some(ports) = free_ports(&ips) else {
        eprintln!("no free ports");
        std::process::exit(super::NOT_RUN);
    };
    let quoted = |texts: Vec<String>| -> String {
        texts.into_iter().map(|text| format!("\"{text}\"")).collect::<Vec<_>>().join(",")
    };
    let seeds = quoted(ips.iter().take(3).map(|ip| format!("{ip}:{}", ports.control)).collect());
    let zones: Vec<String> =
        sheet.zones.iter().map(|zone| format!("\"{zone}\":\"kochi\"")).collect();
    let dir = temp_dir();
    let gateways = ips.iter().enumerate().map(|(i, ip)| {
        let zone = &sheet.zones[i % sheet.zones.len()];
        let name = format!("edge-{zone}-{}", 1 + i / sheet.zones.len());
        let Ports { front, ready, control, directory, peers } = ports;
        let last = peers + 15;
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"gateway\",\"machineClass\":\"edge\",\"serves\":[\"edge\",\"control\",\"registry\"],\
             \"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"kochi\",\"zones\":{{{}}},\
             \"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\",\"control\":\"{ip}:{control}\",\"directory\":\"{ip}:{directory}\"}},\
             \"portRange\":[{peers},{last}],\"seeds\":[{seeds}],\"bootstrap\":true,\"lossCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":{},\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"registry\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],\
             \"faultTolerance\":{{\"machines\":2,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\
             \"configMs\":2000,\"backMs\":250,\"outerMs\":5000,\"strictRevoke\":true,\"revokeMs\":5000,\"budgetRatio\":0.2,\"budgetWindowS\":10,\
             \"budgetSlack\":{},\"recoveryS\":12,\"pass_ms\":120,\"again_s\":4.6,\"ttl_max_s\":5{}}},\
             \"provider\":{{\"address\":\"{}\",\"form\":\"kv\",\"writes_per_s\":400,\"reads_per_s\":2000,\"historyS\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            zones.join(","), sheet.memory_mb, sheet.budget_slack, sheet.bounds, store.addr,
        );
        let settings_path = dir.join(format!("{name}.json"));
        let written = File::create(&settings_path)
            .and_then(|mut file| file.write_all(settings.as_bytes()));
        written.expect("a settings file");
        let mut gateway = Gateway {
            name: name.clone(),
            front: SocketAddr::new(*ip, front),
            ready: SocketAddr::new(*ip, ready),
            directory: SocketAddr::new(*ip, directory),
            settings: settings_path,
            log: dir.join(format!("{name}.log")),
            process: None,
            record: record.clone(),
        };
        gateway.run();
        gateway
    });
    gateways.collect()
}

impl Gateway {
    /// Starts the process.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let mut command = Command::new("target/release/tidestair-gateway");
        kill_with_parent(&mut command);
        let process = command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TIDESTAIR_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match process {
            Ok(process) => self.process = Some(process),
            Err(e) => {
                eprintln!("cannot start the gateway: {e}; run the build of the deploy file first");
                std::process::exit(super::NOT_RUN);
            }
        }
        self.record.line(format!("gateway {} started", self.name));
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        if let Some(process) = &self.process {
            self.record.line(format!("signal {number} to gateway {}", self.name));
            signal(process.id(), number);
        }
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
            self.record.line(format!("gateway {} has ended", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Whether the platform's check finds it ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/ready").is_some_and(|head| head.status == 200)
    }

    /// Value of a field in the process's status file in kilobytes, such as `VmHWM`.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            signal(process.id(), SIGKILL);
            let _ = process.wait();
        }
    }
}

fn get(addr: SocketAddr, path: &str) -> Option<Head> {
    let limit = Duration::from_millis(1_000);
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n").ok()?;
    read_head(&mut BufReader::new(stream)).ok()
}
