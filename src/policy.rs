//! Policies that choose where a generation goes, behind one trait.

use crate::headroom::Headroom;
use crate::replica::{Replica, ReplicaKey, Stream, StreamKey};
use crate::resource::{Algorithm, PolicySpec};
use rand::{Rng, RngExt};
use slotmap::SlotMap;
use std::time::Instant;

/// What a policy sees.
pub struct View<'a> {
    /// All replicas of the pool.
    pub replicas: &'a SlotMap<ReplicaKey, Replica>,
    /// Streams that this daemon runs on them.
    pub streams: &'a SlotMap<StreamKey, Stream>,
    /// Replicas that may be chosen: not leaving and not ejected.
    pub candidates: &'a [ReplicaKey],
}

/// A generation that asks for a place.
#[derive(Debug, Clone, Copy)]
pub struct Newcomer {
    /// Whether a reader sees each token as it comes.
    pub streamed: bool,
    /// Estimated tokens of its prompt.
    pub prompt: u32,
    /// Memory it is expected to hold at each of [`crate::replica::HORIZONS`], in tokens.
    pub growth: [f32; crate::replica::HORIZON_COUNT],
    /// Hash of its prompt prefix.
    pub prefix: Option<u64>,
    /// Tokens of its prompt prefix.
    pub prefix_tokens: u32,
}

/// A way to place, pause and resume generations.
pub trait Policy: Send {
    /// The name for reports.
    fn name(&self) -> &'static str;

    /// The replica for a newcomer, or `None` to let it wait.
    fn place(
        &mut self,
        view: &View<'_>,
        newcomer: &Newcomer,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaKey>;

    /// Whether one of `streams`, which this policy placed on the replica, should be paused now.
    fn pause(
        &mut self,
        _view: &View<'_>,
        _replica: ReplicaKey,
        _streams: &[StreamKey],
    ) -> Option<StreamKey> {
        None
    }

    /// Whether a paused stream may go on now.
    fn resume(&mut self, _view: &View<'_>, _stream: StreamKey, _now: Instant) -> bool {
        true
    }
}

/// The policy that a spec declares.
pub fn build(spec: &PolicySpec) -> Box<dyn Policy> {
    match spec.algorithm {
        Algorithm::RoundRobin => Box::new(RoundRobin { next: 0 }),
        Algorithm::LeastLoad => Box::new(LeastLoad),
        Algorithm::TwoChoices => Box::new(TwoChoices),
        Algorithm::Headroom => Box::new(Headroom::new(spec.headroom.clone())),
    }
}

/// One replica after the other.
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn place(
        &mut self,
        view: &View<'_>,
        _: &Newcomer,
        _: Instant,
        _: &mut dyn Rng,
    ) -> Option<ReplicaKey> {
        self.next = self.next.wrapping_add(1);
        view.candidates.get(self.next % view.candidates.len().max(1)).copied()
    }
}

/// The lowest lagging load report.
struct LeastLoad;

impl Policy for LeastLoad {
    fn name(&self) -> &'static str {
        "least-load"
    }

    fn place(
        &mut self,
        view: &View<'_>,
        _: &Newcomer,
        _: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaKey> {
        let first = random_index(view, rng)?;
        let rotated = view.candidates[first..].iter().chain(&view.candidates[..first]);
        rotated.copied().min_by_key(|key| view.replicas[*key].reported_load())
    }
}

/// The better of two at random, by report and own dispatches.
struct TwoChoices;

impl Policy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn place(
        &mut self,
        view: &View<'_>,
        _: &Newcomer,
        _: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaKey> {
        let a = view.candidates[random_index(view, rng)?];
        let b = view.candidates[random_index(view, rng)?];
        let load = |key: ReplicaKey| view.replicas[key].corrected_load();
        Some(if load(a) <= load(b) { a } else { b })
    }
}

fn random_index(view: &View<'_>, rng: &mut dyn Rng) -> Option<usize> {
    let count = view.candidates.len();
    (count > 0).then(|| rng.random_range(0..count))
}
