//! The declared configuration: routes, services, workspaces with their keys, and limits.

use crate::gateway::admission::MIN_RETRY_AFTER;
use crate::gateway::cold::WarmUp;
use crate::gateway::software::service_tag;
use crate::gateway::tag::Tag;
use rand::RngExt;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Safe,
    /// At most once.
    Unsafe,
    /// Answered by a stream of events; at most once, unless the stream can be resumed.
    Streaming,
}

impl RouteKind {
    /// Name in metrics.
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
    /// Its weight relative to the other targets.
    pub weight: u32,
}

/// Regions that requests must stay in. If empty, requests may go anywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionList(pub Vec<String>);

impl RegionList {
    /// Whether requests may go to a region; `None` is an unknown region.
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.is_empty() || self.0.iter().any(|home| Some(home.as_str()) == region)
    }
}

/// A route of the declared configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Prefix of the paths, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Whether another run may continue a stream that broke off.
    pub resumable: bool,
    /// Longest time until a request is answered.
    pub timeout: Duration,
    /// Target for the time to the answer or, for streams, to the first event.
    pub latency_slo: Duration,
    /// Target for the longest pause between two events of a stream.
    pub gap_slo: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of replicas that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Services that handle the requests.
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

    /// Whether a request that may have run `runs` times may run once more.
    pub fn may_run_again(&self, runs: u32) -> bool {
        self.repeatable() && runs < self.max_attempts
    }

    /// Draws a service for one request by weight.
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

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of concurrent runs.
    pub slots: u32,
    /// Memory shared by all runs, in tokens.
    pub memory: u32,
    /// Bytes of memory per token.
    pub token_bytes: u64,
    /// Bandwidth of a replica's link for copying runs, in Mbit/s.
    pub link_mbps: f64,
    /// Number of tokens in an event of a stream.
    pub event_tokens: u32,
    /// Whether a running request can be copied to another replica.
    pub supports_moves: bool,
    /// Whether a replica can keep an up-to-date copy of a run on another one.
    pub supports_backups: bool,
}

/// A service of the declared configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Number of connections that a replica accepts from all callers together.
    pub connections: u32,
    /// Path of the replicas' health check; `None` if none is declared.
    pub health_path: Option<Arc<str>>,
    /// How its replicas warm up after a start.
    pub warm_up: WarmUp,
    /// Present if the replicas are model engines.
    pub engine: Option<Engine>,
}

/// A workspace: the owner of requests, identified by its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Regions that its requests must stay in.
    pub allowed_regions: RegionList,
}

/// Limits for callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head must be received.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Table {
    /// Version number, set by the operators.
    pub version: u64,
    /// Limits for callers.
    pub limits: Limits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// The strictest SLO of the routes to each service.
    latency_slos: HashMap<Arc<str>, Duration>,
    /// The longest timeout of the resumable routes to each service, by group tag.
    stream_timeouts: BTreeMap<Tag, Duration>,
    /// The smallest and the largest priority of the routes to each service.
    priorities: HashMap<Arc<str>, RangeInclusive<u8>>,
    /// Services that have deferrable routes.
    deferrable: HashSet<Arc<str>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    workspaces: Vec<Workspace>,
    by_key: HashMap<String, usize>,
}

impl Table {
    /// Builds a version of the configuration. Routes of a host are matched in the order of their prefixes'
    /// lengths, longest first.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
    ) -> Table {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut aims: HashMap<Arc<str>, Duration> = HashMap::new();
        let mut priorities: HashMap<Arc<str>, RangeInclusive<u8>> = HashMap::new();
        let mut stream_timeouts: BTreeMap<Tag, Duration> = BTreeMap::new();
        for route in routes {
            let own = route.priority;
            for target in &route.targets {
                let slo = aims.entry(target.service.clone()).or_insert(route.latency_slo);
                *slo = route.latency_slo.min(*slo);
                if route.kind == RouteKind::Streaming && route.repeatable() {
                    let longest = stream_timeouts.entry(service_tag(&target.service)).or_default();
                    *longest = route.timeout.max(*longest);
                }
                let range = priorities.entry(target.service.clone()).or_insert(own..=own);
                *range = own.min(*range.start())..=own.max(*range.end());
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
        let mut table = Table {
            version,
            limits,
            by_host,
            latency_slos: aims,
            stream_timeouts,
            priorities,
            deferrable: HashSet::new(),
            services,
            workspaces,
            by_key,
        };
        table.deferrable = table.services_with_deferrable_routes();
        table
    }

    fn services_with_deferrable_routes(&self) -> HashSet<Arc<str>> {
        let routes = self.by_host.values().flatten();
        let served = routes.flat_map(|route| {
            let names = route.targets.iter().map(|target| &target.service);
            names.filter(|name| self.is_deferrable(name, route, route.priority)).cloned()
        });
        served.collect()
    }

    /// The route of a request: the one with the longest matching path prefix among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The region restrictions of a host's routes, without those that are empty.
    pub fn allowed_regions<'a>(&'a self, host: &str) -> impl Iterator<Item = &'a RegionList> {
        let routes = self.by_host.get(&host.to_ascii_lowercase());
        routes
            .into_iter()
            .flatten()
            .map(|route| &route.allowed_regions)
            .filter(|homes| !homes.0.is_empty())
    }

    /// The strictest SLO of the routes to a service.
    pub fn latency_slo(&self, service: &str) -> Option<Duration> {
        self.latency_slos.get(service).copied()
    }

    /// The longest timeout of the routes whose streams callers may take up again, to the service with this group
    /// tag; `None` if there is no such route.
    pub fn stream_timeout(&self, service: Tag) -> Option<Duration> {
        self.stream_timeouts.get(&service).copied()
    }

    /// Group tags of the services with streams that can be resumed.
    pub fn resumable_services(&self) -> impl Iterator<Item = Tag> + '_ {
        self.stream_timeouts.keys().copied()
    }

    /// The smallest and the largest priority of the routes to a service.
    pub fn priorities(&self, service: &str) -> Option<&RangeInclusive<u8>> {
        self.priorities.get(service)
    }

    /// Whether a request of this route and priority may be deferred in favour of others of the service: some
    /// route is more urgent, and its own SLO is longer than the strictest one by the time of a retry, so that
    /// it can still be met after a refusal.
    pub fn is_deferrable(&self, service: &str, route: &Route, priority: u8) -> bool {
        let more_urgent = self.priorities(service).is_some_and(|all| *all.start() < priority);
        let strictest = self.latency_slo(service).unwrap_or(route.latency_slo);
        more_urgent && route.latency_slo >= strictest + MIN_RETRY_AFTER
    }

    /// Whether any route to a service is deferrable by its own priority.
    pub fn has_deferrable_routes(&self, service: &str) -> bool {
        self.deferrable.contains(service)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Whether any workspace is declared, so that requests need a key.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }
}
