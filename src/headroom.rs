//! The product's own policy: forecast memory headroom, a queue in the daemon, pauses before preemption.

use crate::policy::{Newcomer, Policy, View};
use crate::replica::{HORIZON_COUNT, Replica, ReplicaKey, StreamKey};
use crate::resource::HeadroomSpec;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Most replicas looked at for one newcomer.
const SAMPLE: usize = 64;
/// Share of memory past which a stream is paused.
const PAUSE_AT: f32 = 0.99;
/// Share of memory below which a paused stream goes on.
const RESUME_AT: f32 = 0.85;
/// Cost of a replica in another hall, as a share of memory.
const FAR_COST: f32 = 0.02;
/// Running generations that weigh as much as the whole memory.
const BATCH_SCALE: f32 = 64.0;
/// Prompt tokens that weigh as much as one running generation.
const PROMPT_SCALE: f32 = 500.0;
/// Weight of gaps longer than usual.
const GAP_COST: f32 = 0.5;
/// Gap up to which a replica is not thought slow, in milliseconds.
const USUAL_GAP_MS: f32 = 40.0;

/// See the module.
pub struct Headroom {
    spec: HeadroomSpec,
}

impl Headroom {
    /// The policy with these parameters.
    pub fn new(spec: HeadroomSpec) -> Headroom {
        Headroom { spec }
    }

    /// Cost of placing a newcomer, or `None` where it does not fit.
    fn cost(&self, replica: &Replica, newcomer: &Newcomer) -> Option<f32> {
        let capacity = replica.report.capacity as f32;
        if replica.last_report.is_none() || capacity <= 0.0 {
            return None;
        }
        let peak = self.peak(replica, newcomer);
        let idle = replica.peaks[0] < 1.0 && replica.report.running == 0;
        let fits = peak <= capacity * self.spec.fill as f32 && replica.report.waiting == 0;
        if !fits && !idle {
            return None;
        }
        let running = replica.report.running as f32 / BATCH_SCALE;
        let far = if replica.near { 0.0 } else { FAR_COST };
        let slow = (replica.gap_ms / USUAL_GAP_MS - 1.0).max(0.0) * GAP_COST;
        let saved = self.saved(replica, newcomer) / capacity;
        Some(
            peak / capacity
                + running * self.spec.batch_weight as f32
                + far
                + slow
                + self.interference(replica, newcomer)
                - saved,
        )
    }

    /// What computing prompts takes from readers: this prompt from those here, and later long
    /// prompts of answers delivered whole from this reader.
    fn interference(&self, replica: &Replica, newcomer: &Newcomer) -> f32 {
        let cached = newcomer.prefix.is_some_and(|prefix| replica.remembers(prefix));
        let computed =
            newcomer.prompt - if cached { newcomer.prefix_tokens.min(newcomer.prompt) } else { 0 };
        let taken = computed as f32 / PROMPT_SCALE * replica.readers as f32 / BATCH_SCALE;
        let awaited = if newcomer.streamed { replica.wholes as f32 / BATCH_SCALE } else { 0.0 };
        (taken + awaited) * self.spec.tail_weight as f32
    }

    fn peak(&self, replica: &Replica, newcomer: &Newcomer) -> f32 {
        if !self.spec.forecast {
            return replica.peaks[0] + newcomer.prompt as f32;
        }
        let mut peak = 0.0f32;
        for i in 0..HORIZON_COUNT {
            peak = peak.max(replica.peaks[i] + newcomer.growth[i]);
        }
        peak
    }

    fn saved(&self, replica: &Replica, newcomer: &Newcomer) -> f32 {
        match newcomer.prefix {
            Some(prefix) if replica.remembers(prefix) => {
                newcomer.prefix_tokens as f32 * self.spec.affinity as f32
            }
            _ => 0.0,
        }
    }
}

impl Policy for Headroom {
    fn name(&self) -> &'static str {
        "headroom"
    }

    fn place(
        &mut self,
        view: &View<'_>,
        newcomer: &Newcomer,
        _now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaKey> {
        let count = view.candidates.len();
        if count == 0 {
            return None;
        }
        // A random start spreads daemons that see the same reports, and bounds the work.
        let first = rng.random_range(0..count);
        let mut best: Option<(f32, ReplicaKey)> = None;
        for i in 0..count.min(SAMPLE) {
            let key = view.candidates[(first + i) % count];
            if let Some(cost) = self.cost(&view.replicas[key], newcomer)
                && best.is_none_or(|(least, _)| cost < least)
            {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn pause(
        &mut self,
        view: &View<'_>,
        replica: ReplicaKey,
        streams: &[StreamKey],
    ) -> Option<StreamKey> {
        let r = &view.replicas[replica];
        let full = r.peaks[1] > r.report.capacity as f32 * PAUSE_AT;
        if !self.spec.pause || !full || r.last_report.is_none() || streams.len() < 2 {
            return None;
        }
        // Once each, so that nobody is paused again and again.
        let pausable = streams.iter().copied().filter(|key| view.streams[*key].pauses == 0);
        pausable.min_by_key(|key| (view.streams[*key].priority, view.streams[*key].size()))
    }

    fn resume(&mut self, view: &View<'_>, stream: StreamKey, now: Instant) -> bool {
        let s = &view.streams[stream];
        let r = &view.replicas[s.replica];
        let since = s.paused.map_or(Duration::ZERO, |at| now.duration_since(at));
        let size = (s.prompt + s.made) as f32;
        let fits = r.peaks[1] + size <= r.report.capacity as f32 * RESUME_AT;
        fits || since >= Duration::from_millis(self.spec.max_pause_ms)
    }
}
