//! Tells a bad version from a sound one by a sequential test.
//!
//! For each route, the candidate's failures and slow responses are compared with the baseline's by a
//! one-sided cumulative sum (CUSUM) of log-likelihood ratios (E. S. Page, Continuous Inspection Schemes,
//! Biometrika 41, 1954). The sum starts over whenever the evidence favors the candidate, so that a version
//! which turns bad later is detected as fast as one that is bad from the start. By Ville's inequality, a
//! sound version crosses the threshold within n requests with a probability of at most n times e to the minus
//! threshold. `tests/rollouts.rs` simulates the probabilities of both kinds of error.

use crate::gateway::rollout::tally::{Recent, Tally};
use crate::gateway::tag::Tag;
use std::collections::HashMap;

/// Score from which a version counts as bad.
const THRESHOLD: f64 = 7.0;
/// Score up to which a version may still count as sound.
const DOUBT_THRESHOLD: f64 = 0.75 * THRESHOLD;
/// Fraction of the baseline's successful requests that would fail at a bad version, in addition to its
/// failures.
const BAD_FAILURE_INCREASE: f64 = 0.2;
/// Lower bound for the baseline's failure rate. Lower rates can't be distinguished from zero with a few
/// hundred requests.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Fraction of the baseline's responses that count as its slowest.
const SLOW_FRACTION: f64 = 0.25;
/// Fraction of a sound version's responses that may exceed [`Recent::slow_bound`]: its few canaries are more
/// loaded at times.
const SOUND_SLOW_FRACTION: f64 = 0.12;
/// The same fraction for a bad version.
const BAD_SLOW_FRACTION: f64 = 0.55;
/// Baseline responses needed before their slowest are known.
const MIN_BASELINE_ANSWERS: f64 = 15.0;
/// Candidate responses without a baseline response after which the current baseline is unknown, so that
/// response times are ignored.
const MAX_UNMATCHED: u32 = 3;
/// Highest total weight of the responses of one update: responses at one moment are slow together.
const MAX_BATCH_WEIGHT: f64 = 4.0;
/// Prior for the baseline's failure rate: this many requests, one of them failed.
const PRIOR_REQUESTS: f64 = 10.0;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its requests fail more often than the baseline's.
    Failing,
    /// Its responses take several times as long.
    Slow,
}

impl Fault {
    /// Text for logs and records.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Failing => "the version's requests fail",
            Fault::Slow => "the version's answers are slow",
        }
    }
}

/// CUSUM score of one kind of event: a sum of log-likelihood ratios that does not fall below zero.
#[derive(Debug, Clone, Copy, Default)]
struct Score(f64);

impl Score {
    fn add(&mut self, log_likelihood_ratio: f64) {
        self.0 = (self.0 + log_likelihood_ratio).max(0.0);
    }
}

/// Log-likelihood ratio of `events` in `requests`, for the rates `bad` and `sound`.
fn log_likelihood_ratio(events: u32, requests: u32, sound: f64, bad: f64) -> f64 {
    let others = f64::from(requests.saturating_sub(events));
    f64::from(events) * (bad / sound).ln() + others * ((1.0 - bad) / (1.0 - sound)).ln()
}

/// Scores for failures and for slow responses.
#[derive(Debug, Clone, Copy, Default)]
struct Scores {
    failures: Score,
    slowness: Score,
}

impl Scores {
    fn add(&mut self, ratios: Ratios) {
        self.failures.add(ratios.failures);
        self.slowness.add(ratios.slowness);
    }

    fn fault(&self) -> Option<Fault> {
        if self.failures.0 >= THRESHOLD {
            return Some(Fault::Failing);
        }
        (self.slowness.0 >= THRESHOLD).then_some(Fault::Slow)
    }

    fn is_doubtful(&self) -> bool {
        self.failures.0.max(self.slowness.0) > DOUBT_THRESHOLD
    }
}

/// Log-likelihood ratios that new requests of one route add to the scores.
#[derive(Debug, Clone, Copy)]
struct Ratios {
    failures: f64,
    slowness: f64,
}

/// The tallies of one route that were already scored.
#[derive(Debug, Clone, Copy, Default)]
struct RouteSamples {
    baseline: Tally,
    /// Recent outcomes of the baseline. The candidate is compared with the baseline of the same time.
    recent_baseline: Recent,
    /// The candidate's tally up to which failures were scored.
    failures_seen: Tally,
    /// The candidate's tally up to which response times were scored.
    times_seen: Tally,
    /// Candidate responses since the last baseline response.
    unmatched: u32,
}

impl RouteSamples {
    /// Scores what was added since the last call, and takes it into the samples.
    fn update(&mut self, baseline: &Tally, candidate: &Tally) -> Ratios {
        let added = baseline.since(&self.baseline);
        self.baseline = *baseline;
        self.recent_baseline.add(&added);
        let answers = candidate.since(&self.times_seen).answered();
        self.unmatched = if added.answered() > 0 { 0 } else { self.unmatched + answers };
        Ratios { failures: self.score_failures(candidate), slowness: self.score_times(candidate) }
    }

    fn score_failures(&mut self, candidate: &Tally) -> f64 {
        let added = candidate.since(&self.failures_seen);
        self.failures_seen = *candidate;
        let sound = self.recent_baseline.failure_rate(PRIOR_REQUESTS).max(MIN_FAILURE_RATE);
        let bad = sound + (1.0 - sound) * BAD_FAILURE_INCREASE;
        log_likelihood_ratio(added.failed, added.requests.max(added.failed), sound, bad)
    }

    fn score_times(&mut self, candidate: &Tally) -> f64 {
        if self.recent_baseline.answered() < MIN_BASELINE_ANSWERS {
            return 0.0;
        }
        let added = candidate.since(&self.times_seen);
        self.times_seen = *candidate;
        if self.unmatched > MAX_UNMATCHED {
            return 0.0;
        }
        let slow = added.count_slower(self.recent_baseline.slow_bound(SLOW_FRACTION));
        let weight = (MAX_BATCH_WEIGHT / f64::from(added.answered().max(1))).min(1.0);
        weight
            * log_likelihood_ratio(slow, added.answered(), SOUND_SLOW_FRACTION, BAD_SLOW_FRACTION)
    }
}

/// The test of one candidate: for each route, to detect a version that is bad on one route only, and for all
/// routes together.
#[derive(Debug, Default)]
pub struct SequentialTest {
    samples: HashMap<Tag, RouteSamples>,
    routes: HashMap<Tag, Scores>,
    all: Scores,
}

impl SequentialTest {
    /// Scores what was added to a route's tallies since the last call. Returns the fault of the candidate
    /// once it is proved.
    pub fn evaluate(&mut self, route: Tag, baseline: &Tally, candidate: &Tally) -> Option<Fault> {
        let ratios = self.samples.entry(route).or_default().update(baseline, candidate);
        let scores = self.routes.entry(route).or_default();
        scores.add(ratios);
        self.all.add(ratios);
        scores.fault().or(self.all.fault())
    }

    /// Whether there is evidence against the candidate, even if it proves nothing.
    pub fn is_doubtful(&self) -> bool {
        self.all.is_doubtful() || self.routes.values().any(Scores::is_doubtful)
    }
}
