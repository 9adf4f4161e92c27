//! This daemon's share of the budget for sending requests more than once.
//!
//! The budget holds for all daemons together: within a window, what is sent beyond the first
//! sending of each request stays under a ratio of the requests plus a constant. The ratio part
//! follows each daemon's own requests, so it adds up by itself. The constant is divided by the
//! number of daemons, the largest lately known, so that daemons that lose each other can't spend
//! it twice.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Part of the allowance that is used; the rest is for restarted daemons, which forget what they spent.
const USED_PART: f64 = 0.7;
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

#[derive(Debug, Default)]
struct Slice {
    requests: u32,
    repeats: u32,
}

#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<(u64, Slice)>,
}

impl Window {
    fn slice(&mut self, number: u64) -> &mut Slice {
        while self.slices.front().is_some_and(|(n, _)| n + u64::from(SLICES) < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|(n, _)| *n != number) {
            self.slices.push_back((number, Slice::default()));
        }
        &mut self.slices.back_mut().expect("just pushed").1
    }

    fn sums(&self) -> (u32, u32) {
        self.slices.iter().fold((0, 0), |(requests, repeats), (_, s)| {
            (requests + s.requests, repeats + s.repeats)
        })
    }
}

/// What a repeat is for; the more is lost without it, the more of the budget it may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Carries a running request over to another replica.
    Continuation,
    /// Sends a request again after a failure or a refusal.
    Retry,
}

impl Repeat {
    /// Part of the budget up to which such repeats are allowed.
    fn part(self) -> f64 {
        match self {
            Repeat::Continuation => 1.0,
            Repeat::Retry => 0.8,
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct RepeatBudget {
    bounds: BudgetBounds,
    started: Instant,
    services: HashMap<Arc<str>, Window>,
}

impl RepeatBudget {
    /// A budget of which nothing is spent.
    pub fn new(bounds: BudgetBounds, now: Instant) -> RepeatBudget {
        RepeatBudget { bounds, started: now, services: HashMap::new() }
    }

    /// Notes a request for a service.
    pub fn request(&mut self, service: &Arc<str>, now: Instant) {
        let number = self.number(now);
        self.window(service).slice(number).requests += 1;
    }

    /// Spends one repeat where the share of this daemon among `daemons` allows it.
    pub fn take(
        &mut self,
        service: &Arc<str>,
        repeat: Repeat,
        daemons: usize,
        now: Instant,
    ) -> bool {
        let number = self.number(now);
        let bounds = self.bounds;
        let window = self.window(service);
        window.slice(number);
        let (requests, repeats) = window.sums();
        let own = bounds.ratio * f64::from(requests) + bounds.slack / daemons.max(1) as f64;
        let allowed = f64::from(repeats + 1) <= own * USED_PART * repeat.part();
        if allowed {
            window.slice(number).repeats += 1;
        }
        allowed
    }

    fn window(&mut self, service: &Arc<str>) -> &mut Window {
        self.services.entry(service.clone()).or_default()
    }

    fn number(&self, now: Instant) -> u64 {
        let slice = self.bounds.window / SLICES;
        let elapsed = now.saturating_duration_since(self.started);
        (elapsed.as_millis() / slice.as_millis().max(1)) as u64
    }
}
