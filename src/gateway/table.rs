//! The declared configuration: routes, services, workspaces with their keys, and limits.

use crate::gateway::cold::WarmUp;
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Safe,
    /// At most once.
    Unsafe,
    /// Answered by a stream of events; at most once unless the stream may be resumed.
    Streaming,
}

impl RouteKind {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Streaming => "streaming",
        }
    }
}

/// A service behind a route, with its share of the traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// Regions that requests must stay in; none where they may go anywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionList(pub Vec<String>);

impl RegionList {
    /// Whether requests may go to a region; `None` is one that isn't known.
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.is_empty() || self.0.iter().any(|home| Some(home.as_str()) == region)
    }
}

/// One route of the declared configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Whether a broken stream may be continued by another run.
    pub resumable: bool,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time to the answer (of a stream: to its first event) that the service aims at.
    pub latency_slo: Duration,
    /// Longest pause between events that the service aims at.
    pub gap_slo: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Replicas that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Regions that requests must stay in.
    pub allowed_regions: RegionList,
}

impl Route {
    /// Whether a request may run a second time.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Whether a request that may have run so many times may run once more.
    pub fn may_run_again(&self, runs: u32) -> bool {
        self.repeatable() && runs < self.max_attempts
    }

    /// A service for one request, drawn by weight.
    pub fn draw(&self, rng: &mut impl rand::Rng) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        if total == 0 {
            return self.targets.first().map(|t| &t.service);
        }
        let mut at = rng.random_range(0..total);
        for target in &self.targets {
            if at < target.weight {
                return Some(&target.service);
            }
            at -= target.weight;
        }
        None
    }
}

/// What a service of model replicas says of its engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Runs at a time.
    pub slots: u32,
    /// Memory shared by all runs, in tokens.
    pub memory: u32,
    /// Bytes of memory a token.
    pub token_bytes: u64,
    /// Bandwidth of a replica's link for copies of runs, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// Whether running requests can be copied to another replica.
    pub supports_moves: bool,
    /// Whether a replica can keep a copy of a run up to date elsewhere.
    pub supports_backups: bool,
}

/// A service of the declared configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one replica takes from all callers.
    pub connections: u32,
    /// Path of the health check of its replicas; `None` where none is declared.
    pub health_path: Option<Arc<str>>,
    /// How its replicas warm up after a start.
    pub warm_up: WarmUp,
    /// Present where the replicas are model engines.
    pub engine: Option<Engine>,
}

/// A workspace: whose requests they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Regions that its requests must stay in.
    pub allowed_regions: RegionList,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head to come.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Table {
    /// Version that the operators gave it.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// The shortest slo of the routes to each service.
    latency_slos: HashMap<Arc<str>, Duration>,
    services: HashMap<Arc<str>, Arc<Service>>,
    workspaces: Vec<Workspace>,
    by_key: HashMap<String, usize>,
}

impl Table {
    /// Puts a version together; the routes of a host are tried from the longest prefix on.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Table {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut aims: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in routes {
            for target in &route.targets {
                let slo = aims.entry(target.service.clone()).or_insert(route.latency_slo);
                *slo = route.latency_slo.min(*slo);
            }
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        let mut by_key = HashMap::new();
        for (i, workspace) in workspaces.iter().enumerate() {
            by_key.extend(workspace.keys.iter().map(|key| (key.clone(), i)));
        }
        Table { version, limits, by_host, latency_slos: aims, services, workspaces, by_key }
    }

    /// The route of a request: of its host's routes, the one with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// What the routes of a host say of the regions that requests must stay in.
    pub fn allowed_regions<'a>(&'a self, host: &str) -> impl Iterator<Item = &'a RegionList> {
        let routes = self.by_host.get(&host.to_ascii_lowercase());
        routes
            .into_iter()
            .flatten()
            .map(|route| &route.allowed_regions)
            .filter(|homes| !homes.0.is_empty())
    }

    /// The shortest slo of the routes to a service.
    pub fn latency_slo(&self, service: &str) -> Option<Duration> {
        self.latency_slos.get(service).copied()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Whether requests need a key at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }
}
