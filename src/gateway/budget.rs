//! This daemon's share of the budget for sending requests more than once.
//!
//! The budget holds for all daemons together: within a window, what is sent beyond the first
//! sending of each request stays under a ratio of the requests plus a constant. Daemons tell each
//! other what they have spent. Of a daemon that is not heard, it is assumed that it spends its equal
//! part of the constant, and it assumes the same of those that it does not hear: daemons that lose
//! each other can't spend anything twice.

use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the allowance that is used; the rest is for what several daemons spend in the same moment,
/// and for restarted daemons, which forget what they spent.
const USED_FRACTION: f64 = 0.7;
/// Requests within a window that are assumed of each daemon besides those counted: where few have come, as after
/// a start, daemons have equal parts.
const ASSUMED_REQUESTS: f64 = 3.0;
/// Slices of a window; what is older than a window goes by one slice at a time.
const SLICES: u32 = 20;

/// The budget as the platform declares it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all daemons.
    pub slack: f64,
    /// The window in which both are counted.
    pub window: Duration,
}

/// What was asked and spent within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// Requests.
    pub requests: u32,
    /// Sendings beyond the first of each.
    pub retries: u32,
}

impl AddAssign for Spent {
    fn add_assign(&mut self, other: Spent) {
        self.requests += other.requests;
        self.retries += other.retries;
    }
}

/// What is known of the other daemons that share the budget.
#[derive(Debug, Default)]
pub struct Others {
    /// How many there are.
    pub daemons: usize,
    /// How many of them are heard.
    pub reachable: usize,
    /// What those have spent.
    pub spent: HashMap<Tag, Spent>,
    /// The daemons of this one's cell among them.
    pub cell_peers: CellPeers,
}

/// The daemons of a cell, as one of them hears the others.
#[derive(Debug)]
pub struct CellPeers {
    /// The tag of this daemon's name.
    pub own: Tag,
    /// Those of the others.
    pub others: Vec<Tag>,
    /// What the others have spent.
    pub spent: HashMap<Tag, Spent>,
}

impl Default for CellPeers {
    /// A cell of one.
    fn default() -> CellPeers {
        CellPeers { own: Tag::of_number(0), others: Vec::new(), spent: HashMap::new() }
    }
}

impl CellPeers {
    /// How many daemons there are, this one included.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// This daemon's place among them, in an order that each server has of its own.
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

    /// What was counted before a slice.
    fn sum_before(&self, number: u64) -> Spent {
        let mut sum = Spent::default();
        for (_, slice) in self.slices.iter().filter(|(n, _)| *n < number) {
            sum += *slice;
        }
        sum
    }
}

/// What a repeat is for; the more is lost without it, the more of the budget it may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryKind {
    /// Carries a running request over to another replica.
    Continuation,
    /// Sends a request again after a failure or a refusal.
    Retry,
}

impl RetryKind {
    /// Part of the budget up to which such repeats are allowed.
    fn budget_fraction(self) -> f64 {
        match self {
            RetryKind::Continuation => 1.0,
            RetryKind::Retry => 0.8,
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct SharedRetryBudget {
    bounds: BudgetBounds,
    started: Instant,
    services: HashMap<Arc<str>, Window>,
    others: Others,
}

impl SharedRetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(bounds: BudgetBounds, now: Instant) -> SharedRetryBudget {
        SharedRetryBudget {
            bounds,
            started: now,
            services: HashMap::new(),
            others: Others::default(),
        }
    }

    /// Notes a request for a service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Instant) {
        let number = self.slice_number(now);
        self.window(service).slice(number).requests += 1;
    }

    /// Spends one repeat where what all daemons have spent allows it.
    pub fn spend(&mut self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        let allowed = self.allows(service, kind, now);
        if allowed {
            let number = self.slice_number(now);
            self.window(service).slice(number).retries += 1;
        }
        allowed
    }

    /// Whether what all daemons have spent allows one more repeat.
    pub fn allows(&mut self, service: &Arc<str>, kind: RetryKind, now: Instant) -> bool {
        let number = self.slice_number(now);
        let all = self.others.daemons as f64 + 1.0;
        let unreachable = self.others.daemons.saturating_sub(self.others.reachable) as f64;
        let reported = self.others.spent.get(&Tag::of(service)).copied().unwrap_or_default();
        let bounds = self.bounds;
        let window = self.window(service);
        window.slice(number);
        let own = window.sum();
        let requests = f64::from(own.requests + reported.requests);
        let slack = bounds.slack * (1.0 - unreachable / all);
        let spent = f64::from(own.retries + reported.retries + 1);
        spent <= (bounds.ratio * requests + slack) * USED_FRACTION * kind.budget_fraction()
    }

    /// Requests for a service a second, of all daemons that are heard.
    pub fn rate(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let number = self.slice_number(now);
        let reported = self.others.spent.get(&Tag::of(service)).map_or(0, |spent| spent.requests);
        let counted = now.saturating_duration_since(self.started).min(self.bounds.window);
        let window = self.window(service);
        window.slice(number);
        let requests = f64::from(window.sum().requests + reported);
        requests / counted.as_secs_f64().max(1.0)
    }

    /// The same of each service that this daemon has had requests for.
    pub fn rates(&mut self, now: Instant) -> Vec<(Arc<str>, f64)> {
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        services.into_iter().map(|s| (s.clone(), self.rate(&s, now))).collect()
    }

    /// This daemon's part of the requests for a service of all daemons. Those that are not heard are taken to
    /// have as many each as the others; the parts of all daemons add up to one.
    pub fn request_fraction(&mut self, service: &Arc<str>, now: Instant) -> f64 {
        let number = self.slice_number(now);
        let reported = self.others.spent.get(&Tag::of(service)).map_or(0, |spent| spent.requests);
        let all = self.others.daemons as f64 + 1.0;
        let reachable = self.others.reachable as f64 + 1.0;
        let window = self.window(service);
        window.slice(number);
        // What others reported is some tenths of a second old, so that with what has just come here, each daemon
        // would take its own part for larger than it is when many requests begin to come.
        let own = f64::from(window.sum_before(number).requests);
        let requests = (own + f64::from(reported)) * (all / reachable).max(1.0);
        (own + ASSUMED_REQUESTS) / (requests + ASSUMED_REQUESTS * all)
    }

    /// The same for all daemons of this one's cell together.
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

    /// The daemons of this one's cell.
    pub fn cell_peers(&self) -> &CellPeers {
        &self.others.cell_peers
    }

    /// What this daemon has spent within the window.
    pub fn spent(&mut self, now: Instant) -> Vec<(Tag, Spent)> {
        let number = self.slice_number(now);
        let windows = self.services.iter_mut();
        let sums = windows.map(|(service, window)| {
            window.slice(number);
            (Tag::of(service), window.sum())
        });
        sums.filter(|(_, spent)| *spent != Spent::default()).collect()
    }

    /// Takes over other bounds; with another window, what was counted starts anew.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        if bounds.window != self.bounds.window {
            self.services.clear();
        }
        self.bounds = bounds;
    }

    /// Sets what is known of the other daemons.
    pub fn set_others(&mut self, others: Others) {
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
