//! The simple ways to choose a server, beside [`Headroom`], to compare with it on live traffic.

use crate::gateway::place::{
    Candidate, Headroom, PlacementPolicy, PlacementRequest, draw_cheapest,
};
use crate::gateway::servers::ServerKey;
use rand::{Rng, RngExt};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Names of all ways to choose, as they are given on the command line.
pub const NAMES: [&str; 4] = ["headroom", "least-load", "two-choices", "round-robin"];

/// A way to choose by its name; `None` where there is none of that name.
pub fn by_name(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "headroom" => Some(Box::new(Headroom)),
        "least-load" => Some(Box::new(LeastLoad)),
        "two-choices" => Some(Box::new(TwoChoices)),
        "round-robin" => Some(Box::new(RoundRobin::default())),
        _ => None,
    }
}

/// The server with the fewest requests, as far as known; one is drawn where several have as few.
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

/// Of two servers drawn, the one with fewer requests.
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

/// Each server in its turn, whatever it has.
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
