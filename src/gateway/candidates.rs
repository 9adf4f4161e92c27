//! The servers that are examined for a request: all of a service, or a sample where there are many.

use crate::gateway::place::Candidate;
use crate::gateway::servers::{Server, ServerKey, Servers};
use crate::gateway::table::Service;
use std::time::Instant;

/// Number of servers of a service up to which all are examined for each request. Of more servers, a sample
/// is examined: its least loaded server differs from the least loaded of all by too little for a request to
/// notice.
pub(super) const MAX_EXAMINED: usize = 256;
/// Sample size from the preferred hall, and from all other halls together.
const SAMPLE_SIZE: usize = 64;
/// Size of a sample that stands for all servers of a service. The standard deviation of a fraction of them is
/// then at most 0.04.
const REPRESENTATIVE_SIZE: usize = 128;

/// Servers that stand for all open ones of a service.
pub(super) struct OpenServers<'a> {
    /// The open servers, or a sample of them. A server may be in it more than once.
    pub servers: Vec<(ServerKey, &'a Server)>,
    /// Number of servers for which each of them stands.
    pub weight: f64,
}

impl<'a> OpenServers<'a> {
    /// All open servers of a service, or a sample of those of a service with more than [`MAX_EXAMINED`].
    pub fn of(servers: &'a Servers, service: &'a str) -> OpenServers<'a> {
        let all = servers.count(service);
        if all <= MAX_EXAMINED {
            return OpenServers { servers: servers.open(service).collect(), weight: 1.0 };
        }
        let drawn = servers.sample_all(service, REPRESENTATIVE_SIZE, &mut rand::rng());
        let weight = all as f64 / drawn.len() as f64;
        let is_open = |(_, server): &(ServerKey, &Server)| servers.is_open(service, server);
        OpenServers { servers: drawn.into_iter().filter(is_open).collect(), weight }
    }
}

/// The servers that a request may go to. For services with many servers this is a sample, unless no usable
/// server is in the sample.
pub(super) fn candidates<'a>(
    servers: &'a Servers,
    service: &'a Service,
    hall: &'a str,
    may_take: impl Fn(ServerKey, &Server) -> bool,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let may_take = |(key, server): &(ServerKey, &Server)| {
        servers.is_open(&service.name, server) && may_take(*key, server)
    };
    if servers.count(&service.name) > MAX_EXAMINED {
        let drawn = servers.sample(&service.name, hall, SAMPLE_SIZE, &mut rand::rng());
        let drawn = reachable_or_all(drawn.into_iter().filter(may_take), now);
        if drawn.iter().any(|candidate| !candidate.server.is_skipped(now)) {
            return drawn;
        }
    }
    reachable_or_all(servers.listed(&service.name).filter(may_take), now)
}

/// The servers that can be reached, or all of them if none can.
fn reachable_or_all<'a>(
    open: impl Iterator<Item = (ServerKey, &'a Server)>,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let (passed_over, mut reached): (Vec<_>, Vec<_>) =
        open.partition(|(_, server)| server.is_skipped(now));
    if reached.is_empty() {
        reached = passed_over;
    }
    reached
        .into_iter()
        .map(|(key, server)| Candidate { key, server, load: server.load() })
        .collect()
}
