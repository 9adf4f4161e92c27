//! The declared resources: kinds, their fields, and what each must satisfy alone.

use crate::check::{Checker, Problem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The only API version there is.
pub const API_VERSION: &str = "tidestair/v1";

/// The kinds of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// How generations are placed, paused and resumed.
    Policy,
    /// The replicas of one model.
    EnginePool,
    /// The replicas of one plain service.
    ServicePool,
    /// Priority, delivery and objectives of a kind of request.
    TrafficClass,
    /// A workspace, its credentials and share.
    Workspace,
    /// Two policies side by side.
    Experiment,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 6] = [
        Kind::Policy,
        Kind::EnginePool,
        Kind::ServicePool,
        Kind::TrafficClass,
        Kind::Workspace,
        Kind::Experiment,
    ];

    /// The name in `kind` and in paths.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Policy => "Policy",
            Kind::EnginePool => "EnginePool",
            Kind::ServicePool => "ServicePool",
            Kind::TrafficClass => "TrafficClass",
            Kind::Workspace => "Workspace",
            Kind::Experiment => "Experiment",
        }
    }

    /// The kind of that name, in any case.
    pub fn parse(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.name().eq_ignore_ascii_case(name))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One declared resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Always [`API_VERSION`].
    #[serde(rename = "apiVersion")]
    pub api_version: String,
    /// Name, labels and versions.
    pub metadata: Metadata,
    /// What is declared.
    #[serde(flatten)]
    pub spec: Spec,
}

/// Name, labels and versions of a resource.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Unique within the kind.
    pub name: String,
    /// Labels for selectors.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub labels: BTreeMap<String, String>,
    /// The platform's revision of the last accepted change; set by the system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<String>,
    /// Counts changes of the spec; set by the system.
    #[serde(default)]
    pub generation: u64,
    /// Id of the change that wrote this value; settles lost answers.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub change_id: String,
}

/// What is declared, by kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// See [`PolicySpec`].
    Policy(PolicySpec),
    /// See [`EnginePoolSpec`].
    EnginePool(EnginePoolSpec),
    /// See [`ServicePoolSpec`].
    ServicePool(ServicePoolSpec),
    /// See [`TrafficClassSpec`].
    TrafficClass(TrafficClassSpec),
    /// See [`WorkspaceSpec`].
    Workspace(WorkspaceSpec),
    /// See [`ExperimentSpec`].
    Experiment(ExperimentSpec),
}

/// Which algorithm places generations, with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct PolicySpec {
    /// The algorithm.
    pub algorithm: Algorithm,
    /// Parameters of `headroom`; the others have none.
    #[serde(default)]
    pub headroom: HeadroomSpec,
}

/// The placing algorithms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Algorithm {
    /// One after the other.
    RoundRobin,
    /// The lowest lagging load report.
    LeastLoad,
    /// The better of two at random.
    TwoChoices,
    /// Forecast memory headroom, with a queue and pauses.
    Headroom,
}

/// Parameters of the `headroom` algorithm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct HeadroomSpec {
    /// Share of a replica's memory that forecasts may fill (0.1 to 1.5).
    pub fill: f64,
    /// Weight of running generations against memory in choosing (tail time between tokens).
    pub batch_weight: f64,
    /// Weight of the time that computing prompts takes from streams that readers watch.
    pub tail_weight: f64,
    /// Bonus for a cached prefix, as a share of the tokens it saves.
    pub affinity: f64,
    /// Whether streams may be paused before an engine preempts.
    pub pause: bool,
    /// Longest pause in milliseconds; well below a generation's life without a reader.
    pub max_pause_ms: u64,
    /// Whether one daemon keeps the pool's queue for all; otherwise each places by its own view.
    pub keeper: bool,
    /// Whether lagging reports are corrected by dispatches since.
    pub correct: bool,
    /// Whether lengths are forecast; otherwise the prompt alone counts.
    pub forecast: bool,
}

impl Default for HeadroomSpec {
    fn default() -> HeadroomSpec {
        HeadroomSpec {
            fill: 0.92,
            batch_weight: 0.3,
            tail_weight: 0.0,
            affinity: 0.5,
            pause: false,
            max_pause_ms: 4_000,
            keeper: true,
            correct: true,
            forecast: true,
        }
    }
}

/// A replica of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSpec {
    /// Unique within the pool.
    pub name: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The hall it stands in.
    pub hall: String,
}

/// The replicas of one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// Model that callers name.
    pub model: String,
    /// Policy that places its generations, unless the class or an experiment says otherwise.
    pub policy: String,
    /// The replicas.
    pub replicas: Vec<ReplicaSpec>,
    /// Most tokens one answer may have.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Most requests waiting in one daemon.
    #[serde(default = "default_queue")]
    pub queue_length: u32,
}

/// The replicas and routes of one plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServicePoolSpec {
    /// Name in `/v1/services/{service}/…`.
    pub service: String,
    /// The replicas.
    pub replicas: Vec<ReplicaSpec>,
    /// Routes by first path segment; a path not listed may not be repeated.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
    /// How long the claim and outcome of a key are kept.
    #[serde(default = "default_retention")]
    pub retention_ms: u64,
}

/// One route of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RouteSpec {
    /// First segment of the path.
    pub path: String,
    /// Whether a call may be sent twice.
    pub repeatable: bool,
    /// How long one call may take.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

/// Priority, delivery and objectives of a kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TrafficClassSpec {
    /// Higher goes first; 0 to 9.
    pub priority: u8,
    /// Whether tokens are streamed or held until the answer is whole.
    #[serde(default)]
    pub delivery: Delivery,
    /// Gap between tokens past which a stream counts as stalled.
    #[serde(default = "default_gap")]
    pub gap_ms: u64,
    /// How long a request may wait for a place.
    #[serde(default = "default_wait")]
    pub wait_ms: u64,
    /// Policy instead of the pool's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<String>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Objectives,
}

/// How an answer reaches its reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Delivery {
    /// Token by token.
    #[default]
    Stream,
    /// Once complete; a lost generation may be placed anew at any point.
    Whole,
}

/// Service-level objectives of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Objectives {
    /// First token within this time.
    pub first_token_ms: u64,
    /// Time between tokens within this.
    pub between_tokens_ms: u64,
    /// Share of requests that must meet each.
    pub share: f64,
}

impl Default for Objectives {
    fn default() -> Objectives {
        Objectives { first_token_ms: 670, between_tokens_ms: 32, share: 0.95 }
    }
}

/// A workspace, its credentials and share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// SHA-256 of each bearer key, in hex.
    pub key_hashes: Vec<String>,
    /// Weight in the fair queue.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Class of requests that name none.
    pub default_class: String,
    /// Most open streams at one daemon.
    #[serde(default = "default_streams")]
    pub max_streams: u32,
}

/// Two policies side by side on one model's traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ExperimentSpec {
    /// Model whose traffic is split.
    pub model: String,
    /// Policy of the rest of the traffic.
    pub control: String,
    /// Policy on trial.
    pub candidate: String,
    /// Share of the traffic on trial, 0 to 1.
    pub share: f64,
    /// What is assigned as a whole.
    #[serde(default)]
    pub unit: Unit,
}

/// What an experiment assigns as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// All streams of a workspace.
    #[default]
    Workspace,
    /// Each stream by itself.
    Stream,
}

fn default_max_tokens() -> u32 {
    32_768
}
fn default_queue() -> u32 {
    2_000
}
fn default_retention() -> u64 {
    24 * 3_600_000
}
fn default_timeout() -> u64 {
    10_000
}
fn default_gap() -> u64 {
    100
}
fn default_wait() -> u64 {
    30_000
}
fn default_share() -> u32 {
    1
}
fn default_streams() -> u32 {
    10_000
}

impl Spec {
    /// The kind of this spec.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Policy(_) => Kind::Policy,
            Spec::EnginePool(_) => Kind::EnginePool,
            Spec::ServicePool(_) => Kind::ServicePool,
            Spec::TrafficClass(_) => Kind::TrafficClass,
            Spec::Workspace(_) => Kind::Workspace,
            Spec::Experiment(_) => Kind::Experiment,
        }
    }
}

impl Resource {
    /// A resource as an operator would declare it.
    pub fn new(name: &str, spec: Spec) -> Resource {
        let metadata = Metadata { name: name.into(), ..Metadata::default() };
        Resource { api_version: API_VERSION.into(), metadata, spec }
    }

    /// The kind of this resource.
    pub fn kind(&self) -> Kind {
        self.spec.kind()
    }

    /// Reads one resource; problems carry JSON paths.
    pub fn parse(text: &str) -> Result<Resource, Vec<Problem>> {
        let value: serde_json::Value = crate::check::read(text)?;
        Resource::from_value(value)
    }

    /// Reads one resource from JSON already parsed.
    pub fn from_value(mut value: serde_json::Value) -> Result<Resource, Vec<Problem>> {
        let mut c = Checker::default();
        if let Some(map) = value.as_object_mut() {
            map.remove("status");
            for key in map.keys() {
                let known = ["apiVersion", "kind", "metadata", "spec"].contains(&key.as_str());
                c.require(known, key, "unknown field; remove it or correct its name");
            }
        }
        let kind = value.get("kind").and_then(|k| k.as_str()).unwrap_or_default();
        if Kind::parse(kind).is_none() {
            let names: Vec<&str> = Kind::ALL.iter().map(|k| k.name()).collect();
            c.add("kind", format!("`{kind}` is not a kind; use one of {}", names.join(", ")));
            return Err(c.finish());
        }
        let parsed: Result<Resource, _> = serde_json::from_value(value);
        match parsed {
            Ok(resource) => {
                resource.check(&mut c);
                let problems = c.finish();
                if problems.is_empty() { Ok(resource) } else { Err(problems) }
            }
            Err(e) => {
                c.add("spec", format!("{e}; correct the value"));
                Err(c.finish())
            }
        }
    }

    fn check(&self, c: &mut Checker) {
        let named = !self.metadata.name.is_empty()
            && self
                .metadata
                .name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'.');
        c.require(self.api_version == API_VERSION, "apiVersion", format!("use {API_VERSION}"));
        c.require(named, "metadata.name", "use letters, digits, `-` and `.`");
        match &self.spec {
            Spec::Policy(p) => {
                c.range("spec.headroom.fill", p.headroom.fill, 0.1, 1.5);
                c.range("spec.headroom.batchWeight", p.headroom.batch_weight, 0.0, 10.0);
                c.range("spec.headroom.maxPauseMs", p.headroom.max_pause_ms, 10, 60_000);
                c.range("spec.headroom.tailWeight", p.headroom.tail_weight, 0.0, 10.0);
                c.range("spec.headroom.affinity", p.headroom.affinity, 0.0, 1.0);
            }
            Spec::EnginePool(p) => {
                c.require(!p.model.is_empty(), "spec.model", "empty; name the model");
                c.range("spec.maxTokens", p.max_tokens, 1, 1_000_000);
                check_replicas(&p.replicas, c);
            }
            Spec::ServicePool(p) => {
                c.require(!p.service.is_empty(), "spec.service", "empty; name the service");
                check_replicas(&p.replicas, c);
            }
            Spec::TrafficClass(t) => {
                c.range("spec.priority", t.priority, 0, 9);
                c.range("spec.gapMs", t.gap_ms, 1, 60_000);
                c.range("spec.objectives.share", t.objectives.share, 0.5, 0.99999);
            }
            Spec::Workspace(w) => {
                c.range("spec.share", w.share, 1, 10_000);
                for (i, hash) in w.key_hashes.iter().enumerate() {
                    let hex = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                    c.require(
                        hex,
                        &format!("spec.keyHashes[{i}]"),
                        "not a SHA-256 in hex; give 64 digits",
                    );
                }
            }
            Spec::Experiment(e) => c.range("spec.share", e.share, 0.0, 1.0),
        }
    }
}

fn check_replicas(replicas: &[ReplicaSpec], c: &mut Checker) {
    for (i, r) in replicas.iter().enumerate() {
        let earlier = &replicas[..i];
        let path = format!("spec.replicas[{i}]");
        c.require(
            !earlier.iter().any(|e| e.name == r.name),
            &format!("{path}.name"),
            "named twice; give each its own name",
        );
        c.require(
            !earlier.iter().any(|e| e.address == r.address),
            &format!("{path}.address"),
            "given twice; give each its own address",
        );
    }
}
