//! Chooses a backend server for a new request, or for a run that must leave its server.

use crate::gateway::servers::{Load, Server, ServerKey};
use crate::gateway::table::Engine;
use rand::{Rng, RngExt};
use std::time::Instant;

/// Added cost of a server in another hall, as a fraction of a server's capacity: enough to stay in the hall
/// while loads are similar, too little to prefer a server that is busier than a remote one.
pub const REMOTE_HALL_COST: f64 = 0.04;
/// The same where loads in other halls are reported late: many daemons see the same remote server free and
/// fill it at once. About the cost of two prompts that are still to be read.
pub const STALE_REMOTE_HALL_COST: f64 = 0.6;
/// The same for a run that is copied to another hall. Such copies take twice as long, and a server that
/// leaves has little time; but a single server in the hall that gets all runs of a leaving one could not be
/// emptied in its turn.
pub const REMOTE_HALL_COPY_COST: f64 = 0.25;
/// Cost of a server whose recent exchanges all failed.
const FAILURE_COST: f64 = 3.0;
/// Number of runs that cost as much as a full memory: decoding slows with the batch before memory runs out.
const BATCH_SCALE: f64 = 40.0;
/// Number of unread prompt tokens that cost as much as a full memory. Reading them takes about 0.5 s, by
/// which the new request's first event is delayed.
const READ_SCALE: f64 = 7_000.0;
/// Weight of what the request itself costs more at a slow server. In simulated days of 48 engines at 0.6, 1.0
/// and 1.6 times the stated time, 4.4 % of the digests were late without it, 2.6 % with half of it and 1.9 %
/// with all of it, but then the busiest engine had 1.29 times the mean work by its speed.
const OWN_DELAY_WEIGHT: f64 = 0.5;
/// Number of tokens being copied to a server that cost a further copied run as much as a full memory.
/// Waiting for one run's copy in the same hall takes as long as the extra time of a copy to another hall.
const ARRIVING_SCALE: f64 = 14_000.0;
/// A request goes to a random one of the servers whose costs exceed the lowest by at most this, so that
/// daemons don't all choose the same server.
pub const COST_TOLERANCE: f64 = 0.03;
/// The same for runs that are copied.
pub const COPY_COST_TOLERANCE: f64 = 0.1;
/// Lower bound on a server's utilization when its cost for a copied run is computed, so that all servers
/// below it count as equally free. Several servers leave at the same moment and many daemons choose at
/// once: sharing a link with another copy costs a run that has 1.5 s left more than a fuller memory does.
const COPY_COST_FLOOR: f64 = 0.8;

/// A request or a copied run that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Preferred hall.
    pub hall: &'a str,
    /// Added cost of a server in another hall, as a fraction of a server's capacity.
    pub remote_cost: f64,
    /// Difference in cost up to which servers count as equal.
    pub cost_tolerance: f64,
    /// Expected number of similar requests that other daemons have sent since they last reported their
    /// loads.
    pub unreported_requests: f64,
    /// Load that the request is expected to cause.
    pub load: Load,
    /// The engine's properties; `None` for services other than model engines.
    pub engine: Option<&'a Engine>,
}

impl PlacementRequest<'_> {
    /// Whether this is a run that is copied, rather than a new request.
    fn is_copy(&self) -> bool {
        self.load.incoming_copies > 0
    }
}

/// A server that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Key of the server.
    pub key: ServerKey,
    /// State of the server.
    pub server: &'a Server,
    /// Current load of the server.
    pub load: Load,
}

/// A policy that chooses one of several servers.
pub trait PlacementPolicy: Send + Sync {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;
    /// Chooses one of the candidates; `None` if there are none.
    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        request: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ServerKey>;
}

/// Chooses the lowest expected use of memory and batch; among similar servers, one in the preferred hall.
#[derive(Debug, Default)]
pub struct Headroom;

impl PlacementPolicy for Headroom {
    fn name(&self) -> &'static str {
        "headroom"
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        request: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ServerKey> {
        let unreported = request.unreported_requests
            * request.engine.map_or(0.0, |engine| utilization(request.load, engine, 1.0));
        if unreported > request.cost_tolerance {
            return draw_weighted(candidates, |c| cost(c, request, now), unreported, rng);
        }
        draw_cheapest(candidates, |c| cost(c, request, now), request.cost_tolerance, rng)
    }
}

/// Draws a candidate when `unreported` more load has been placed than the costs show, by daemons that knew
/// as little as this one and chose the servers that seemed cheapest. They have raised the lowest costs to
/// one common level, so a server is drawn with a probability proportional to how far its cost lies below
/// that level (the "basic load interpretation" of M. Dahlin, Interpreting Stale Load Information, ICDCS
/// 1999). Always choosing the cheapest would send all requests to one server.
fn draw_weighted(
    candidates: &[Candidate<'_>],
    cost: impl Fn(&Candidate<'_>) -> f64,
    unreported: f64,
    rng: &mut dyn Rng,
) -> Option<ServerKey> {
    let mut costs: Vec<(f64, ServerKey)> = candidates.iter().map(|c| (cost(c), c.key)).collect();
    costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let level = water_level(costs.iter().map(|(cost, _)| *cost), unreported)?;
    let below: Vec<(f64, ServerKey)> = costs
        .into_iter()
        .map(|(cost, key)| (level - cost, key))
        .take_while(|(below_level, _)| *below_level > 0.0)
        .collect();
    let all: f64 = below.iter().map(|(below_level, _)| below_level).sum();
    let mut at = rng.random_range(0.0..1.0) * all;
    let drawn = below.iter().find(|(below_level, _)| {
        at -= below_level;
        at < 0.0
    });
    drawn.or(below.last()).map(|(_, key)| *key)
}

/// The level up to which the lowest of some ascending costs are raised by `more` in total; `None` if there
/// are no costs.
fn water_level(costs: impl Iterator<Item = f64>, more: f64) -> Option<f64> {
    let (mut sum, mut count, mut level) = (more, 0.0, None);
    for cost in costs {
        if level.is_some_and(|level| level <= cost) {
            break;
        }
        sum += cost;
        count += 1.0;
        level = Some(sum / count);
    }
    level
}

/// Draws one of the candidates whose costs exceed the lowest by at most `tolerance`; `None` if there are no
/// candidates.
pub(crate) fn draw_cheapest(
    candidates: &[Candidate<'_>],
    cost: impl Fn(&Candidate<'_>) -> f64,
    tolerance: f64,
    rng: &mut dyn Rng,
) -> Option<ServerKey> {
    let costs: Vec<(f64, ServerKey)> = candidates.iter().map(|c| (cost(c), c.key)).collect();
    let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
    let cheapest: Vec<ServerKey> =
        costs.iter().filter(|(cost, _)| *cost <= least + tolerance).map(|(_, key)| *key).collect();
    Some(cheapest[rng.random_range(0..cheapest.len())])
}

/// Fraction of an engine's capacity that a load uses. The batch and the unread prompt take longer at a slow
/// server; memory doesn't.
fn utilization(load: Load, engine: &Engine, relative_latency: f64) -> f64 {
    f64::from(load.tokens) / f64::from(engine.memory.max(1))
        + f64::from(load.runs) / BATCH_SCALE * relative_latency
        + f64::from(load.unread_prompt) / READ_SCALE * relative_latency
}

/// What the request's own prompt and run cost more at a server than at one of median speed; without it, an
/// idle slow server would cost as much as an idle fast one. Zero between equal servers.
fn own_delay(load: Load, relative_latency: f64) -> f64 {
    (relative_latency - 1.0)
        * (f64::from(load.runs) / BATCH_SCALE + f64::from(load.unread_prompt) / READ_SCALE)
}

/// Cost of placing the request at a server, as a fraction of a full server.
fn cost(candidate: &Candidate<'_>, request: &PlacementRequest<'_>, now: Instant) -> f64 {
    let (server, load) = (candidate.server, candidate.load);
    let relative = server.relative_latency();
    let used = match request.engine {
        Some(engine) => {
            utilization(load, engine, relative)
                + f64::from(request.load.tokens) / f64::from(engine.memory.max(1))
                + OWN_DELAY_WEIGHT * own_delay(request.load, relative)
        }
        None => {
            let slots = f64::from(server.record.slots.max(1));
            f64::from(load.runs) / slots * relative + (relative - 1.0) / slots
        }
    };
    let used = if request.is_copy() {
        used.max(COPY_COST_FLOOR) + f64::from(load.incoming_copies) / ARRIVING_SCALE
    } else {
        used
    };
    let remote_cost = if server.record.hall == request.hall { 0.0 } else { request.remote_cost };
    used + remote_cost + server.failure_rate(now) * FAILURE_COST
}
