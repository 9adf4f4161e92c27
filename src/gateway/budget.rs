//! This daemon's share of the retry budget, the budget for sending requests more than once.
//!
//! The budget holds for all daemons together: within a window, the number of retries (whatever is sent
//! beyond the first attempt of each request) stays below a ratio of the requests plus a constant. Daemons
//! report to each other what they have spent. An unreachable daemon is assumed to spend its equal part of
//! the constant, and it assumes the same of the daemons that it can't reach. Daemons that lose contact with
//! each other therefore can't spend anything twice. What a daemon had spent before it ended or became
//! unreachable counts until the window has passed.

use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Fraction of the allowance that is used. The rest is for what several daemons spend at the same moment.
const USED_FRACTION: f64 = 0.7;
/// The same while it is unknown what was spent before this process started, such as after all daemons have
/// lost power. All of them may have used their fraction, so half of the rest is used.
const USED_FRACTION_IF_UNKNOWN: f64 = (1.0 - USED_FRACTION) / 2.0;
/// Requests that are added to each daemon's count within a window: while few have arrived, such as after a
/// start, daemons get equal parts.
const ASSUMED_REQUESTS: f64 = 3.0;
/// Number of slices of a window; counts expire by whole slices.
const SLICES: u32 = 20;
/// Number of latest slices whose retries may not have been reported to other daemons.
const UNREPORTED_SLICES: u64 = 2;

/// Bounds of the budget, as configured in the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for all daemons together.
    pub slack: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Number of requests.
    pub requests: u32,
    /// Number of attempts beyond the first of each request.
    pub retries: u32,
}

impl AddAssign for Spent {
    fn add_assign(&mut self, other: Spent) {
        self.requests += other.requests;
        self.retries += other.retries;
    }
}

/// How much of the budget of a service is used within the window, as far as this daemon knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUsage {
    /// Retries of this daemon.
    pub own: u32,
    /// Retries that the reachable daemons report.
    pub peers: u32,
    /// Retries of daemons that have ended or don't answer.
    pub ended: u32,
    /// Retries that all of them may make.
    pub allowed: f64,
}

/// What is known of the other daemons that share the budget.
#[derive(Debug, Default)]
pub struct Others {
    /// Number of other daemons.
    pub daemons: usize,
    /// How many of them are reachable.
    pub reachable: usize,
    /// Sum of what the reachable ones have spent, by service.
    pub spent: HashMap<Tag, Spent>,
    /// Sum of what was spent by processes that have ended or don't answer, by service.
    pub ended: HashMap<Tag, Spent>,
    /// Whether this covers what was spent before this process started.
    pub earlier_known: bool,
    /// The other daemons of this daemon's cell.
    pub cell_peers: CellPeers,
}

/// What a daemon knows of the others in its cell.
#[derive(Debug)]
pub struct CellPeers {
    /// Tag of this daemon's name.
    pub own: Tag,
    /// Tags of the other daemons' names.
    pub others: Vec<Tag>,
    /// Sum of what the others have spent, by service.
    pub spent: HashMap<Tag, Spent>,
}

impl Default for CellPeers {
    /// A cell with a single daemon.
    fn default() -> CellPeers {
        CellPeers { own: Tag::of_number(0), others: Vec::new(), spent: HashMap::new() }
    }
}

impl CellPeers {
    /// Number of daemons in the cell, including this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Rank of this daemon among those of the cell; the order differs from server to server.
    pub fn rank(&self, server: Tag) -> usize {
        let own = self.own.combined_with(server);
        self.others.iter().filter(|tag| tag.combined_with(server) < own).count()
    }
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, Spent)>,
}

impl Window {
    fn slice(&mut self, number: u64) -> &mut Spent {
        while self.slices.front().is_some_and(|(n, _)| n + u64::from(SLICES) < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(n, _)| *n != number) {
            self.slices.push_back((number, Spent::default()));
        }
        &mut self.slices.back_mut().expect("just pushed").1
    }

    fn sum(&self) -> Spent {
        self.sum_before(u64::MAX)
    }

    /// Sum of the slices before a slice.
    fn sum_before(&self, number: u64) -> Spent {
        let mut sum = Spent::default();
        for (_, slice) in self.slices.iter().filter(|(n, _)| *n < number) {
            sum += *slice;
        }
        sum
    }
}

/// Purpose of a retry. The more would be lost without it, the larger the fraction of the budget that it may
/// use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryKind {
    /// Continues a running request on another replica.
    Continuation,
    /// Sends a request again after a failure or a refusal.
    Retry,
    /// Returns a run that was stopped for a move to the replica where it ran, after the move has failed.
    Return,
}

impl RetryKind {
    /// Fraction of the used part of the budget up to which retries of this kind are allowed.
    fn budget_fraction(self) -> f64 {
        match self {
            RetryKind::Continuation => 1.0,
            RetryKind::Retry => 0.8,
            RetryKind::Return => 1.2,
        }
    }
}

/// A daemon's view of the retry budget, see the [module documentation](self).
#[derive(Debug)]
pub struct SharedRetryBudget {
    bounds: BudgetBounds,
    started: Instant,
    services: HashMap<Arc<str>, Window>,
    others: Others,
    /// Whether earlier processes may have made retries that this one doesn't know of.
    earlier_unknown: bool,
}

impl SharedRetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(bounds: BudgetBounds, now: Instant) -> SharedRetryBudget {
        SharedRetryBudget {
            bounds,
            started: now,
            services: HashMap::new(),
            others: Others::default(),
            earlier_unknown: false,
        }
    }

    /// For a process that is not part of the fleet's first start: only a small fraction of the budget is used
    /// until the other daemons have reported what was spent before.
    pub fn assume_earlier_spending(&mut self) {
        self.earlier_unknown = true;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Instant) {
        let number = self.slice_number(now);
        self.window(service).slice(number).requests += 1;
    }

    /// Spends one retry if what all daemons have spent allows it.
    pub fn spend(&mut self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        let allowed = self.allows(service, kind, now);
        if allowed {
            let number = self.slice_number(now);
            self.window(service).slice(number).retries += 1;
        }
        allowed
    }

    /// Whether what all daemons have spent allows one more retry.
    pub fn allows(&mut self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        let usage = self.usage(service, now);
        let unreported = self.unreported_retries(service, now);
        let limit = usage.allowed * kind.budget_fraction();
        let spent = usage.own + usage.peers + usage.ended;
        let rest = limit - f64::from(spent - unreported);
        f64::from(unreported + 1) <= self.part_of(rest, service) && f64::from(spent + 1) <= limit
    }

    /// This daemon's equal part of what is left of a budget, so that daemons which have not received each
    /// other's latest reports don't spend the same rest twice. Of less than one retry for each daemon, those
    /// that rank first get one.
    fn part_of(&self, rest: f64, service: &Arc<str>) -> f64 {
        let part = rest / (self.others.reachable as f64 + 1.0);
        if part >= 1.0 {
            return part;
        }
        let cell = &self.others.cell_peers;
        let in_cell = (part * cell.count() as f64).floor();
        if (cell.rank(Tag::of(service)) as f64) < in_cell { 1.0 } else { 0.0 }
    }

    /// This daemon's retries that may not have been reported to others.
    fn unreported_retries(&mut self, service: &Arc<str>, now: Instant) -> u32 {
        let number = self.slice_number(now);
        let window = self.window(service);
        window.slice(number);
        let reported = window.sum_before((number + 1).saturating_sub(UNREPORTED_SLICES));
        window.sum().retries - reported.retries
    }

    /// How much of the budget of a service is used.
    pub fn usage(&mut self, service: &Arc<str>, now: Instant) -> BudgetUsage {
        let number = self.slice_number(now);
        let all = self.others.daemons as f64 + 1.0;
        let unreachable = self.others.daemons.saturating_sub(self.others.reachable) as f64;
        let tag = Tag::of(service);
        let reported = self.others.spent.get(&tag).copied().unwrap_or_default();
        let ended = self.others.ended.get(&tag).copied().unwrap_or_default();
        let fraction = if self.earlier_unknown { USED_FRACTION_IF_UNKNOWN } else { USED_FRACTION };
        let bounds = self.bounds;
        let window = self.window(service);
        window.slice(number);
        let own = window.sum();
        let requests = f64::from(own.requests + reported.requests);
        let slack = bounds.slack * (1.0 - unreachable / all);
        let allowed = (bounds.ratio * requests + slack) * fraction;
        BudgetUsage { own: own.retries, peers: reported.retries, ended: ended.retries, allowed }
    }

    /// The same for each service for which this daemon has had requests.
    pub fn usages(&mut self, now: Instant) -> Vec<(Arc<str>, BudgetUsage)> {
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        services.into_iter().map(|s| (s.clone(), self.usage(&s, now))).collect()
    }

    /// Requests per second for a service, at this daemon and all that are reachable.
    pub fn rate(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let number = self.slice_number(now);
        let reported = self.others.spent.get(&Tag::of(service)).map_or(0, |spent| spent.requests);
        let counted = now.saturating_duration_since(self.started).min(self.bounds.window);
        let window = self.window(service);
        window.slice(number);
        let requests = f64::from(window.sum().requests + reported);
        requests / counted.as_secs_f64().max(1.0)
    }

    /// The same for each service for which this daemon has had requests.
    pub fn rates(&mut self, now: Instant) -> Vec<(Arc<str>, f64)> {
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        services.into_iter().map(|s| (s.clone(), self.rate(&s, now))).collect()
    }

    /// Fraction of all daemons' requests for a service that arrive at this daemon. Unreachable daemons are
    /// assumed to get as many each as the others. The fractions of all daemons add up to one.
    pub fn request_fraction(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let number = self.slice_number(now);
        let reported = self.others.spent.get(&Tag::of(service)).map_or(0, |spent| spent.requests);
        let all = self.others.daemons as f64 + 1.0;
        let reachable = self.others.reachable as f64 + 1.0;
        let window = self.window(service);
        window.slice(number);
        // Reports of other daemons are some tenths of a second old. If requests of the current slice were
        // counted, each daemon would overestimate its own fraction while the rate rises.
        let own = f64::from(window.sum_before(number).requests);
        let requests = (own + f64::from(reported)) * (all / reachable).max(1.0);
        (own + ASSUMED_REQUESTS) / (requests + ASSUMED_REQUESTS * all)
    }

    /// The same for all daemons of this daemon's cell together.
    pub fn cell_fraction(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let tag = Tag::of(service);
        let reported =
            |spent: &HashMap<Tag, Spent>| spent.get(&tag).map_or(0, |spent| spent.requests);
        let (reported, near) =
            (reported(&self.others.spent), reported(&self.others.cell_peers.spent));
        let daemons = self.others.cell_peers.count() as f64;
        let all = self.others.daemons as f64 + 1.0;
        let reachable = self.others.reachable as f64 + 1.0;
        let number = self.slice_number(now);
        let window = self.window(service);
        window.slice(number);
        let own = f64::from(window.sum_before(number).requests);
        let requests = (own + f64::from(reported)) * (all / reachable).max(1.0);
        let cell = own + f64::from(near);
        (cell + ASSUMED_REQUESTS * daemons) / (requests + ASSUMED_REQUESTS * all)
    }

    /// The daemons of this daemon's cell.
    pub fn cell_peers(&self) -> &CellPeers {
        &self.others.cell_peers
    }

    /// What this daemon has spent within the window, by service.
    pub fn spent(&mut self, now: Instant) -> Vec<(Tag, Spent)> {
        let number = self.slice_number(now);
        let windows = self.services.iter_mut();
        let sums = windows.map(|(service, window)| {
            window.slice(number);
            (Tag::of(service), window.sum())
        });
        sums.filter(|(_, spent)| *spent != Spent::default()).collect()
    }

    /// The window over which requests and retries are counted.
    pub fn window_length(&self) -> Duration {
        self.bounds.window
    }

    /// Replaces the bounds. If the window's length changes, all counts are reset.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        if bounds.window != self.bounds.window {
            self.services.clear();
        }
        self.bounds = bounds;
    }

    /// Updates what is known of the other daemons.
    pub fn set_others(&mut self, others: Others) {
        self.earlier_unknown &= !others.earlier_known;
        self.others = others;
    }

    fn window(&mut self, service: &Arc<str>) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }

    fn slice_number(&self, now: Instant) -> u64 {
        let slice = self.bounds.window / SLICES;
        let elapsed = now.saturating_duration_since(self.started);
        (elapsed.as_millis() / slice.as_millis().max(1)) as u64
    }
}
