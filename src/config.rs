//! The settings of one daemon, read from a JSON file and checked whole.

use crate::check::{self, Checker, Problem};
use crate::error::{self, Result};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of `tidestaird`. Times are in milliseconds, sizes in bytes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Config {
    /// Name of this VM, unique in the deployment.
    pub vm: String,
    /// Hall this VM stands in.
    pub hall: String,
    /// Address for callers and operators (HTTP); port 0 takes a free one.
    pub caller_addr: SocketAddr,
    /// Address for other daemons (QUIC over UDP); port 0 takes a free one.
    pub peer_addr: SocketAddr,
    /// Peer addresses to try first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's key-value service, as `127.0.0.1:2379`, tried in order.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Certificates for the links between daemons.
    #[serde(default)]
    pub peer_tls: Option<PeerTls>,
    /// Operators who may read or edit resources.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// How long callers may keep an answer of `/v1/entries`.
    #[serde(default = "default_keep")]
    pub keep_ms: u64,
    /// Time between two load reports taken from a replica.
    #[serde(default = "default_poll")]
    pub poll_ms: u64,
    /// Time between two heartbeats to a peer.
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
    /// Largest request body taken.
    #[serde(default = "default_body")]
    pub body_bytes: u64,
    /// How long a generation lives at its engine without a reader.
    #[serde(default = "default_orphan")]
    pub orphan_ms: u64,
    /// Silence after which a stream is taken as broken and resumed at its engine.
    #[serde(default = "default_silence")]
    pub silence_ms: u64,
    /// How long a drain may take; none waits for the last stream.
    #[serde(default)]
    pub drain_ms: Option<u64>,
}

/// PEM files for mutual TLS between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerTls {
    /// Certificate of the authority that signs all daemons.
    pub ca: String,
    /// This daemon's certificate.
    pub cert: String,
    /// This daemon's private key.
    pub key: String,
}

/// An operator's credential.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Operator {
    /// Name shown in logs.
    pub name: String,
    /// SHA-256 of the bearer key, in hex.
    pub key_hash: String,
    /// What the operator may do.
    pub role: Role,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read resources and reports.
    View,
    /// Change resources as well.
    Edit,
}

fn default_keep() -> u64 {
    5_000
}
fn default_poll() -> u64 {
    250
}
fn default_heartbeat() -> u64 {
    500
}
fn default_body() -> u64 {
    1 << 20
}
fn default_orphan() -> u64 {
    10_000
}

fn default_silence() -> u64 {
    2_000
}

impl Config {
    /// Settings with defaults, listening on free loopback ports.
    pub fn local(vm: &str, hall: &str) -> Config {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Config {
            vm: vm.into(),
            hall: hall.into(),
            caller_addr: any,
            peer_addr: any,
            seeds: Vec::new(),
            platform: Vec::new(),
            peer_tls: None,
            operators: Vec::new(),
            keep_ms: default_keep(),
            poll_ms: default_poll(),
            heartbeat_ms: default_heartbeat(),
            body_bytes: default_body(),
            orphan_ms: default_orphan(),
            silence_ms: default_silence(),
            drain_ms: None,
        }
    }

    /// Reads and checks the settings in `path`.
    pub fn load(path: &Path) -> Result<Config> {
        let text = std::fs::read_to_string(path).context(error::ReadSnafu { path })?;
        let what = path.display().to_string();
        Config::parse(&text).map_err(|problems| error::Error::Invalid { what, problems })
    }

    /// Reads and checks settings; every problem is returned at once.
    pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
        let mut problems = Vec::new();
        let value = match check::read::<Config>(text) {
            Ok(config) => Some(config),
            Err(found) => {
                problems.extend(found);
                serde_json::from_str(text).ok()
            }
        };
        if let Some(config) = &value {
            problems.extend(config.check());
        }
        match value {
            Some(config) if problems.is_empty() => Ok(config),
            _ => Err(problems),
        }
    }

    /// Everything that is out of range or clashes.
    pub fn check(&self) -> Vec<Problem> {
        let mut c = Checker::default();
        c.require(!self.vm.is_empty(), "vm", "empty; name the VM");
        c.require(!self.hall.is_empty(), "hall", "empty; name the hall");
        c.require(
            !self.platform.is_empty(),
            "platform",
            "empty; give one address or more of the platform's service",
        );
        let clash = self.caller_addr == self.peer_addr && self.caller_addr.port() != 0;
        c.require(!clash, "peer_addr", "the same as caller_addr; give each its own port");
        c.require(
            !self.seeds.contains(&self.peer_addr) || self.peer_addr.port() == 0,
            "seeds",
            "names this daemon itself; list other daemons only",
        );
        c.range("keep_ms", self.keep_ms, 100, 600_000);
        c.range("poll_ms", self.poll_ms, 10, 60_000);
        c.range("heartbeat_ms", self.heartbeat_ms, 20, 60_000);
        c.range("body_bytes", self.body_bytes, 1_024, 64 << 20);
        c.range("silence_ms", self.silence_ms, 50, 600_000);
        c.range("orphan_ms", self.orphan_ms, 100, 3_600_000);
        for (i, o) in self.operators.iter().enumerate() {
            let hex = o.key_hash.len() == 64 && o.key_hash.bytes().all(|b| b.is_ascii_hexdigit());
            c.require(
                hex,
                &format!("operators[{i}].key_hash"),
                "not a SHA-256 in hex; give the 64 digits that `printf %s KEY | sha256sum` prints",
            );
        }
        c.finish()
    }
}
