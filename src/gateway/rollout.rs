//! Rollouts: moving a service's traffic to a new version whose servers start beside the old ones.
//!
//! The servers of the new version are the candidate, all others are the baseline. Until the candidate is
//! known to be sound, it gets a bounded fraction of the requests. Each request is assigned by a hash of its
//! route and id, so that the fraction stays the same when daemons are killed, cut off or join. These requests
//! go to a few candidate servers at a time, the canaries, so that a canary is as loaded as a baseline server;
//! the canaries rotate through all candidate servers. Rare routes send a larger fraction of their requests,
//! so that every route is tested.
//!
//! Daemons sum up the outcomes of requests by version and route ([`tally`]), and each daemon tests the sums
//! ([`verdict`]). A daemon that finds the candidate bad sends it no more requests, whatever the store says.
//! The state of the rollout has to be agreed on: it is a record in the store, written by compare-and-swap
//! ([`controller`]), so that any daemon may take the next step and only one does.

pub mod controller;
mod pick;
mod record;
mod rollouts;
pub mod tally;
pub mod verdict;

use crate::gateway::servers::ServerKey;
use crate::gateway::tag::Tag;
use crate::platform::Position;
pub use pick::{Arm, Draw, Pick, Retired};
pub use record::{Record, State};
pub use rollouts::Rollouts;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tally::Tally;
use verdict::SequentialTest;

/// Fraction of the platform's exposure limit for candidates that is used.
const EXPOSURE_FRACTION: f64 = 0.85;
/// Highest fraction of one route's requests that the candidate gets during its trial.
const MAX_ROUTE_FRACTION: f64 = 0.3;
/// Time for which requests go to the same canaries.
const CANARY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Fraction of a rollout's time limit in which all traffic and all running requests move to the candidate,
/// with the bounds of that time.
const SHIFT_FRACTION: f64 = 0.35;
const MIN_SHIFT_TIME: Duration = Duration::from_millis(3_000);
const MAX_SHIFT_TIME: Duration = Duration::from_millis(5_000);
/// Fraction of the shift time in which the candidate's share of requests grows to all of them.
const RAMP_FRACTION: f64 = 0.25;
/// Time before the deadline of a rollout at which it is decided, even with work still in progress.
const DECISION_MARGIN: Duration = Duration::from_millis(800);
/// Time before the deadline up to which a candidate may still be found sound. A shorter shift time takes
/// precedence.
const MIN_TIME_FOR_SHIFT: Duration = Duration::from_millis(2_500);
/// Time after the order from which a service is taken not to be declared, or to have no baseline, if neither
/// was seen by then.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Requests that the candidate must have served to count as sound, if its share of the traffic allows as
/// many.
const MIN_REQUESTS: u32 = 12;
/// The same minimum for each route.
const MIN_REQUESTS_PER_ROUTE: u32 = 3;
/// Time after a completed rollout in which servers of other versions are still kept out of use: they are old
/// ones that are about to stop.
const STOP_PERIOD: Duration = Duration::from_secs(30);

/// An operator's order to roll out a version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The new version.
    pub version: Arc<str>,
    /// Time from the order to the deadline, by which the version must be in force.
    pub time_limit: Duration,
}

/// Key of a tally: the requests of one route at the servers of one arm of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stratum {
    rollout: Tag,
    route: Tag,
    arm: Arm,
}

impl Stratum {
    /// Whether these requests went to the baseline or to the candidate.
    pub fn arm(&self) -> Arm {
        self.arm
    }
}

/// What daemons report to each other about rollouts.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// Outcomes of requests.
    pub tallies: HashMap<Stratum, Tally>,
    /// Time since each order was given, in milliseconds; a lower bound.
    pub order_ages_ms: HashMap<Tag, u32>,
}

/// The servers of a service, counted by version.
#[derive(Debug, Clone, Default)]
pub struct VersionCounts {
    /// Whether they have been counted since the order.
    pub counted: bool,
    /// Whether the configuration declares the service.
    pub declared: bool,
    /// Candidate servers that are open and warmed up, in an order that is the same at all daemons.
    pub ready_candidates: Vec<ServerKey>,
    /// Number of listed candidate servers.
    pub candidate_count: usize,
    /// Number of listed baseline servers.
    pub baseline_count: usize,
    /// Number of requests that run at the baseline servers.
    pub baseline_runs: u32,
}

/// A state change that is due in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The new state.
    pub to: State,
    /// The reason, as written to the record.
    pub why: &'static str,
}

/// One rollout as this daemon knows it.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    /// Position in the store at which the order was written.
    position: Position,
    /// Identifies the rollout in messages between daemons.
    tag: Tag,
    /// Earliest time at which any daemon is known to have seen the order.
    ordered_at: Instant,
    /// State according to the store, and when this daemon learned of it.
    state: Option<(State, Instant)>,
    /// Why this daemon sends nothing to the candidate.
    halt_reason: Option<&'static str>,
    own_tallies: HashMap<(Tag, Arm), Tally>,
    peer_tallies: HashMap<(Tag, Arm), Tally>,
    test: SequentialTest,
    counts: VersionCounts,
    /// Whether baseline servers were seen since the order.
    had_baseline: bool,
}

impl Rollout {
    fn new(service: &str, position: Position, order: Order, now: Instant) -> Rollout {
        Rollout {
            order,
            position,
            tag: tag(service, position),
            ordered_at: now,
            state: None,
            halt_reason: None,
            own_tallies: HashMap::new(),
            peer_tallies: HashMap::new(),
            test: SequentialTest::default(),
            counts: VersionCounts::default(),
            had_baseline: false,
        }
    }

    /// Whether `order` is this one, written again by the operators after the store lost it.
    fn is_reissue(&self, order: &Order, position: Position) -> bool {
        self.position.era < position.era && self.order == *order
    }

    /// State that applies to this daemon's own requests.
    fn state(&self) -> State {
        match self.state {
            Some((State::Completed, _)) => State::Completed,
            _ if self.halt_reason.is_some() => State::Reverted,
            Some((state, _)) => state,
            None => State::Trial,
        }
    }

    /// Time for moving all traffic and all running requests to the candidate.
    fn shift_time(&self) -> Duration {
        let shift = self.order.time_limit.mul_f64(SHIFT_FRACTION);
        shift.clamp(MIN_SHIFT_TIME, MAX_SHIFT_TIME).min(self.order.time_limit)
    }

    /// Time in which the candidate's share of requests grows to all of them.
    fn ramp_time(&self) -> Duration {
        self.shift_time().mul_f64(RAMP_FRACTION)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at)
    }

    /// Sum of all daemons' tallies.
    fn total(&self, route: Tag, arm: Arm) -> Tally {
        let mut total = self.own_tallies.get(&(route, arm)).copied().unwrap_or_default();
        total += self.peer_tallies.get(&(route, arm)).copied().unwrap_or_default();
        total
    }

    fn routes(&self) -> Vec<Tag> {
        let mut routes: Vec<Tag> = self
            .own_tallies
            .keys()
            .chain(self.peer_tallies.keys())
            .map(|(route, _)| *route)
            .collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Requests of a route at both arms.
    fn requests(&self, route: Tag) -> u32 {
        self.total(route, Arm::Baseline).requests + self.total(route, Arm::Candidate).requests
    }

    /// Fraction of a route's requests that go to the candidate during its trial. The candidate gets the same
    /// number of requests from each route, as far as the route has that many.
    fn candidate_fraction(&self, route: Tag, exposure: f64) -> f64 {
        let mut routes = self.routes();
        if !routes.contains(&route) {
            routes.push(route);
        }
        let all: f64 = routes.iter().map(|route| f64::from(self.requests(*route)) + 1.0).sum();
        let own = f64::from(self.requests(route)) + 1.0;
        let even = all / routes.len() as f64 / own;
        (exposure * EXPOSURE_FRACTION * even).min(MAX_ROUTE_FRACTION)
    }

    /// The candidate servers that get its requests at present.
    fn canaries(&self, exposure: f64, now: Instant) -> Vec<ServerKey> {
        let all = &self.counts.ready_candidates;
        let count =
            (self.counts.baseline_count as f64 * exposure * EXPOSURE_FRACTION).ceil() as usize;
        let count = count.clamp(1, all.len().max(1));
        let round = (self.age(now).as_millis() / CANARY_INTERVAL.as_millis()) as usize;
        let start = round * count;
        (start..start + count).filter_map(|n| all.get(n % all.len().max(1)).copied()).collect()
    }

    /// The servers that a request may go to; `None` if all servers of the service are equivalent.
    fn pick(&self, drawn: Draw, exposure: f64, now: Instant) -> Option<Pick> {
        let state = self.state();
        let is_only_version = self.counts.counted && self.counts.baseline_count == 0;
        if state == State::Completed || (is_only_version && state != State::Reverted) {
            return None;
        }
        let fraction = match drawn {
            Draw::First(route, _) => self.candidate_fraction(route, exposure),
            Draw::Retry => 0.0,
        };
        let fraction = match self.state {
            Some((State::Shift, since)) if state == State::Shift => {
                let ramp = now.saturating_duration_since(since).div_duration_f64(self.ramp_time());
                fraction.max(ramp)
            }
            _ => fraction,
        };
        let is_candidate = match drawn {
            Draw::First(_, drawn) => drawn < fraction,
            Draw::Retry => fraction >= 1.0,
        };
        let version = self.order.version.clone();
        let baseline = Pick { version, arm: Arm::Baseline, canaries: Vec::new() };
        let canaries = match state {
            State::Trial if is_candidate => self.canaries(exposure, now),
            _ => Vec::new(),
        };
        let is_shifting = state == State::Shift && self.counts.candidate_count > 0;
        let goes_to_candidate = is_candidate && (is_shifting || !canaries.is_empty());
        Some(if goes_to_candidate {
            Pick { arm: Arm::Candidate, canaries, ..baseline }
        } else {
            baseline
        })
    }

    /// Servers that get no more requests.
    fn retired(&self, now: Instant) -> Option<Retired> {
        let version = || self.order.version.clone();
        let since = self.state.map_or(self.ordered_at, |(_, since)| since);
        let elapsed = now.saturating_duration_since(since);
        match self.state() {
            State::Trial => None,
            State::Shift => (elapsed >= self.ramp_time() && self.counts.candidate_count > 0)
                .then(|| Retired::Others(version())),
            State::Completed => (elapsed < STOP_PERIOD && self.counts.candidate_count > 0)
                .then(|| Retired::Others(version())),
            State::Reverted => Some(Retired::Version(version())),
        }
    }

    /// Runs the sequential test on the tallies, and halts the rollout here if the candidate is bad.
    fn evaluate(&mut self) {
        if self.state().is_final() {
            return;
        }
        for route in self.routes() {
            let (baseline, candidate) =
                (self.total(route, Arm::Baseline), self.total(route, Arm::Candidate));
            let fault = self.test.evaluate(route, &baseline, &candidate);
            if let Some(fault) = fault {
                self.halt_reason.get_or_insert(fault.name());
            }
        }
    }

    /// Whether the candidate has had enough requests, in total and on each route, and the test raises no
    /// doubt.
    fn is_sound(&self, exposure: f64) -> bool {
        let routes = self.routes();
        let candidate_requests = |route: &Tag| self.total(*route, Arm::Candidate).requests;
        let expected =
            |route: &Tag| f64::from(self.requests(*route)) * exposure * EXPOSURE_FRACTION;
        let has_enough = |route: &Tag| {
            candidate_requests(route) >= MIN_REQUESTS_PER_ROUTE
                || expected(route) < f64::from(2 * MIN_REQUESTS_PER_ROUTE)
        };
        let total: u32 = routes.iter().map(candidate_requests).sum();
        let total_expected: f64 = routes.iter().map(expected).sum();
        let enough = total >= MIN_REQUESTS || total_expected < f64::from(2 * MIN_REQUESTS);
        enough && routes.iter().all(has_enough) && !self.test.is_doubtful()
    }

    /// The step that is due. Daemons with the same knowledge come to the same step.
    fn due_step(&self, exposure: f64, now: Instant) -> Option<Step> {
        let step = |to, why| Some(Step { to, why });
        let Some((state, since)) = self.state else {
            return step(State::Trial, "ordered");
        };
        if let Some(why) = self.halt_reason.filter(|_| !state.is_final()) {
            return step(State::Reverted, why);
        }
        let (age, time_limit) = (self.age(now), self.order.time_limit);
        let is_near_deadline = age + DECISION_MARGIN >= time_limit;
        match state {
            State::Trial if self.counts.candidate_count == 0 => match self.counts.declared {
                false if age >= SETTLE_TIME => step(State::Reverted, "the service is not declared"),
                _ if is_near_deadline => step(State::Reverted, "no server of the version came"),
                _ => None,
            },
            State::Trial if !self.had_baseline && age >= SETTLE_TIME => {
                step(State::Completed, "no server has another version")
            }
            State::Trial => {
                let shift = self.shift_time();
                if age + shift < time_limit {
                    None
                } else if self.is_sound(exposure) {
                    step(State::Shift, "the version is sound")
                } else if age + MIN_TIME_FOR_SHIFT.min(shift) >= time_limit {
                    step(State::Reverted, "the version was not shown to be sound in time")
                } else {
                    None
                }
            }
            State::Shift => {
                let is_ramped = now.saturating_duration_since(since) >= 2 * self.ramp_time();
                match () {
                    () if is_ramped && self.counts.baseline_runs == 0 => {
                        step(State::Completed, "all runs have ended or moved")
                    }
                    () if is_near_deadline => step(State::Completed, "time is over"),
                    () => None,
                }
            }
            State::Completed | State::Reverted => None,
        }
    }
}

/// Computes the tag that identifies a rollout in messages between daemons.
fn tag(service: &str, order_position: Position) -> Tag {
    let era = Tag::of(service).combined_with(Tag::of_number(order_position.era));
    era.combined_with(Tag::of_number(order_position.revision))
}
