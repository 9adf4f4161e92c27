//! Choosing a backend server for a request, or for a run that must leave its server.

use crate::gateway::servers::{Load, Server, ServerKey};
use crate::gateway::table::Engine;
use rand::{Rng, RngExt};
use std::time::Instant;

/// Cost of a server in another hall for a request, as a share of a server's capacity: enough to stay
/// near while loads are alike, not enough to run into a busier server.
pub const REMOTE_HALL_COST: f64 = 0.04;
/// The same where loads in other halls are told late: many daemons see the same server free there
/// and fill it at once. About the cost of two prompts that are still to be read.
pub const STALE_REMOTE_HALL_COST: f64 = 0.6;
/// The same for a run that is copied there: copies between halls take twice as long, and a server
/// that leaves has little time; but a server that gets all runs of another one can't be emptied in
/// its turn.
pub const REMOTE_HALL_COPY_COST: f64 = 0.25;
/// Cost of a server all of whose recent exchanges failed.
const FAILURE_COST: f64 = 3.0;
/// Runs that weigh as much as a full memory: decoding slows with the batch before memory is short.
const BATCH_SCALE: f64 = 40.0;
/// Prompt tokens still to be read that weigh as much as a full memory: the time to read them is the
/// time that the newcomer's first event waits, about 0.5 s.
const READ_SCALE: f64 = 7_000.0;
/// Tokens on their way to a server that cost a run which is copied there as much as a full memory:
/// the copy of one run in the same hall waits as long for another one as it would take longer to
/// another hall.
const ARRIVING_SCALE: f64 = 14_000.0;
/// Requests are sent to one drawn from the servers whose costs differ by less than this from the
/// least, so that daemons don't herd.
pub const COST_TOLERANCE: f64 = 0.03;
/// The same for runs that are copied.
pub const COPY_COST_TOLERANCE: f64 = 0.1;
/// Cost up to which servers are alike for a run that is copied. Several servers leave at the same
/// moment, and many daemons choose at once: a link that two copies share costs a run that has 1.5 s
/// more than a fuller memory.
const COPY_COST_FLOOR: f64 = 0.8;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The hall that is preferred.
    pub hall: &'a str,
    /// Cost of another hall, as a share of a server's capacity.
    pub remote_cost: f64,
    /// Difference in cost up to which servers are alike.
    pub cost_tolerance: f64,
    /// Requests like this one that other daemons are expected to have sent since they told what they have
    /// running.
    pub unreported_requests: f64,
    /// What it is expected to take.
    pub load: Load,
    /// Present for model engines.
    pub engine: Option<&'a Engine>,
}

impl PlacementRequest<'_> {
    /// Whether a run is to be copied, rather than a request sent.
    fn is_copy(&self) -> bool {
        self.load.incoming_copies > 0
    }
}

/// A server that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: ServerKey,
    /// What is known of it.
    pub server: &'a Server,
    /// What runs there.
    pub load: Load,
}

/// A way to choose.
pub trait PlacementPolicy: Send + Sync {
    /// The name for logs and reports.
    fn name(&self) -> &'static str;
    /// One of the candidates; `None` where there is none.
    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        request: &PlacementRequest<'_>,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ServerKey>;
}

/// The least expected use of memory and batch, near servers first where they are alike.
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
            * request.engine.map_or(0.0, |engine| utilization(request.load, engine));
        if unreported > request.cost_tolerance {
            return draw_weighted(candidates, |c| cost(c, request, now), unreported, rng);
        }
        draw_cheapest(candidates, |c| cost(c, request, now), request.cost_tolerance, rng)
    }
}

/// One drawn where `unreported` more has been placed than the costs tell, by daemons that knew as little as
/// this one and went where it seemed least. They have raised the least costs to one level: a server is as
/// likely to be the right one as its cost lies below it (the "basic load interpretation" of M. Dahlin,
/// Interpreting Stale Load Information, ICDCS 1999). To go to the least would send all of them to one server.
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

/// The level to which `more` raises the least of some costs, which rise; `None` where there are none.
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

/// One drawn from the candidates whose costs differ by up to `alike` from the least; `None` where
/// there is no candidate.
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

/// What a load takes of an engine, as a share of a full one.
fn utilization(load: Load, engine: &Engine) -> f64 {
    f64::from(load.tokens) / f64::from(engine.memory.max(1))
        + f64::from(load.runs) / BATCH_SCALE
        + f64::from(load.unread_prompt) / READ_SCALE
}

/// Cost of a server for a newcomer, as a share of a full one.
fn cost(candidate: &Candidate<'_>, request: &PlacementRequest<'_>, now: Instant) -> f64 {
    let (server, load) = (candidate.server, candidate.load);
    let used = match request.engine {
        Some(engine) => {
            utilization(load, engine)
                + f64::from(request.load.tokens) / f64::from(engine.memory.max(1))
        }
        None => f64::from(load.runs) / f64::from(server.record.slots.max(1)),
    };
    let used = if request.is_copy() {
        used.max(COPY_COST_FLOOR) + f64::from(load.incoming_copies) / ARRIVING_SCALE
    } else {
        used
    };
    let remote_cost = if server.record.hall == request.hall { 0.0 } else { request.remote_cost };
    used + remote_cost + server.failure_rate(now) * FAILURE_COST
}
