//! Forecasts of output lengths from decaying histograms.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Buckets in each doubling of the length.
const PER_OCTAVE: u32 = 4;
const BUCKETS: usize = 64;
/// Each new length makes the earlier ones weigh this much less.
const DECAY: f32 = 0.995;
/// Observations that the wider histogram counts for in a narrower one.
const PRIOR_WEIGHT: f32 = 12.0;
/// Most keys kept; past it the one least recently seen is dropped.
const MOST_KEYS: usize = 4_096;

/// Whose lengths are alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LengthKey {
    /// Workspace of the caller.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
}

/// A decaying histogram of lengths, in logarithmic buckets.
#[derive(Debug, Clone)]
pub struct Lengths {
    counts: [f32; BUCKETS],
    total: f32,
    seen: u64,
}

impl Lengths {
    fn empty() -> Lengths {
        Lengths { counts: [0.0; BUCKETS], total: 0.0, seen: 0 }
    }

    /// What is assumed of a newcomer: a broad, heavy-tailed spread around 200 tokens.
    fn prior() -> Lengths {
        let mut lengths = Lengths::empty();
        for (i, count) in lengths.counts.iter_mut().enumerate() {
            let octaves = (i as f32 - bucket(200) as f32) / PER_OCTAVE as f32;
            *count = (-octaves * octaves / 4.0).exp();
        }
        lengths.total = lengths.counts.iter().sum();
        lengths
    }

    fn record(&mut self, tokens: u32, tick: u64) {
        for count in &mut self.counts {
            *count *= DECAY;
        }
        self.counts[bucket(tokens)] += 1.0;
        self.total = self.total * DECAY + 1.0;
        self.seen = tick;
    }

    /// Share of lengths above `tokens`.
    fn above(&self, tokens: f32) -> f32 {
        if self.total <= 0.0 {
            return 0.0;
        }
        let at = position(tokens);
        let whole = at.floor() as usize;
        if whole >= BUCKETS {
            return 0.0;
        }
        let later: f32 = self.counts[whole + 1..].iter().sum();
        let part = self.counts[whole] * (1.0 - at.fract());
        (later + part) / self.total
    }
}

/// Survival of lengths at a few points, worked out once for a stream.
#[derive(Debug, Clone)]
pub struct Survival {
    /// Share of lengths above each bucket's start.
    above: [f32; BUCKETS + 1],
}

impl Survival {
    /// Chance that a stream with `made` tokens makes `more` than that.
    pub fn lives(&self, made: u32, more: f32) -> f32 {
        let made = made as f32;
        let now = self.at(made).max(1e-4);
        (self.at(made + more) / now).min(1.0)
    }

    fn at(&self, tokens: f32) -> f32 {
        let at = position(tokens);
        let whole = (at.floor() as usize).min(BUCKETS - 1);
        let part = (at - whole as f32).min(1.0);
        self.above[whole] * (1.0 - part) + self.above[whole + 1] * part
    }
}

/// Lengths by workspace and class, with wider ones to fall back on.
#[derive(Debug)]
pub struct Forecasts {
    by_key: HashMap<LengthKey, Lengths>,
    by_class: HashMap<String, Lengths>,
    prior: Lengths,
    tick: u64,
}

impl Default for Forecasts {
    fn default() -> Forecasts {
        Forecasts {
            by_key: HashMap::new(),
            by_class: HashMap::new(),
            prior: Lengths::prior(),
            tick: 0,
        }
    }
}

impl Forecasts {
    /// Learns the length of one complete answer.
    pub fn record(&mut self, key: &LengthKey, tokens: u32) {
        self.tick += 1;
        let tick = self.tick;
        self.by_class.entry(key.class.clone()).or_insert_with(Lengths::empty).record(tokens, tick);
        if !self.by_key.contains_key(key) && self.by_key.len() >= MOST_KEYS {
            self.forget_oldest();
        }
        self.by_key.entry(key.clone()).or_insert_with(Lengths::empty).record(tokens, tick);
    }

    /// The survival of lengths for a key, blended with its class and the prior.
    pub fn survival(&self, key: &LengthKey) -> Survival {
        let own = self.by_key.get(key);
        let class = self.by_class.get(&key.class);
        let mut above = [0.0; BUCKETS + 1];
        for (i, slot) in above.iter_mut().enumerate() {
            let tokens = start(i);
            let wide = blend(class, tokens, self.prior.above(tokens));
            *slot = blend(own, tokens, wide);
        }
        Survival { above }
    }

    /// The survival of all lengths of a pool, for streams of other daemons.
    pub fn pooled(&self) -> Survival {
        let mut above = [0.0; BUCKETS + 1];
        let weight: f32 = self.by_class.values().map(|l| l.total).sum();
        for (i, slot) in above.iter_mut().enumerate() {
            let tokens = start(i);
            let seen: f32 = self.by_class.values().map(|l| l.above(tokens) * l.total).sum();
            *slot = (seen + self.prior.above(tokens) * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
        }
        Survival { above }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_key.iter().min_by_key(|(_, l)| l.seen).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.by_key.remove(&key);
        }
    }
}

fn blend(lengths: Option<&Lengths>, tokens: f32, wide: f32) -> f32 {
    match lengths {
        Some(l) => (l.above(tokens) * l.total + wide * PRIOR_WEIGHT) / (l.total + PRIOR_WEIGHT),
        None => wide,
    }
}

/// Where in the buckets a length lies, with its fraction.
fn position(tokens: f32) -> f32 {
    (tokens.max(1.0).log2() * PER_OCTAVE as f32).min(BUCKETS as f32)
}

fn bucket(tokens: u32) -> usize {
    (position(tokens as f32) as usize).min(BUCKETS - 1)
}

fn start(bucket: usize) -> f32 {
    2f32.powf(bucket as f32 / PER_OCTAVE as f32)
}
