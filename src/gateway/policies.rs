//! Simple placement policies, to compare with [`Headroom`] on live traffic.

use crate::gateway::place::{
    Candidate, Headroom, PlacementPolicy, PlacementRequest, draw_cheapest,
};
use crate::gateway::servers::ServerKey;
use rand::{Rng, RngExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Names of all policies, as given on the command line.
pub const NAMES: [&str; 4] = ["headroom", "least-load", "two-choices", "round-robin"];

/// Returns the policy with a name; `None` if there is none.
pub fn by_name(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "headroom" => Some(Box::new(Headroom)),
        "least-load" => Some(Box::new(LeastLoad)),
        "two-choices" => Some(Box::new(TwoChoices)),
        "round-robin" => Some(Box::new(RoundRobin::default())),
        _ => None,
    }
}

/// Chooses the server with the fewest requests, as far as known, and a random one of several with equally
/// few.
#[derive(Debug, Default)]
pub struct LeastLoad;

impl PlacementPolicy for LeastLoad {
    fn name(&self) -> &'static str {
        "least-load"
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _request: &PlacementRequest<'_>,
        _now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ServerKey> {
        draw_cheapest(candidates, |c| f64::from(c.load.runs), 0.0, rng)
    }
}

/// Draws two servers and chooses the one with fewer requests.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl PlacementPolicy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _request: &PlacementRequest<'_>,
        _now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ServerKey> {
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || &candidates[rng.random_range(0..candidates.len())];
        let (one, other) = (draw(), draw());
        Some(if one.load.runs <= other.load.runs { one.key } else { other.key })
    }
}

/// Chooses the servers in turn, whatever their load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl PlacementPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(
        &self,
        candidates: &[Candidate<'_>],
        _request: &PlacementRequest<'_>,
        _now: Instant,
        _rng: &mut dyn Rng,
    ) -> Option<ServerKey> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let at = turn.checked_rem(candidates.len())?;
        Some(candidates[at].key)
    }
}
