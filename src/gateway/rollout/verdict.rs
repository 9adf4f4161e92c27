//! Telling a bad version from a sound one by a sequential test.
//!
//! For each route the candidate's failures and its slow answers are weighed against the baseline's by a one-sided
//! cumulative sum of log-likelihood ratios (E. S. Page, Continuous Inspection Schemes, Biometrika 41, 1954). It
//! starts anew wherever the evidence speaks for the candidate, so that a version which turns bad later is told as
//! soon as one that is bad from the start. By Ville's inequality a sound version crosses the threshold within n
//! requests with a chance of at most n times e to the minus threshold; `tests/rollouts.rs` draws the chances of
//! both mistakes.

use crate::gateway::rollout::tally::{Recent, Tally};
use crate::gateway::tag::Tag;
use std::collections::HashMap;

/// Score at which a version is bad.
const THRESHOLD: f64 = 7.0;
/// Score up to which nothing speaks against a version.
const DOUBT_THRESHOLD: f64 = 0.75 * THRESHOLD;
/// How much more often than the baseline's a bad version's requests fail, as a part of those that don't.
const BAD_FAILURE_INCREASE: f64 = 0.2;
/// Least rate of failures that is taken as usual: fewer are not told apart from none by some hundred requests.
const MIN_FAILURE_RATE: f64 = 0.02;
/// Part of the baseline's answers that count as its slowest.
const SLOW_FRACTION: f64 = 0.25;
/// Part of a sound version's answers that may take half as long again as those: its few servers are fuller at times.
const SOUND_SLOW_FRACTION: f64 = 0.12;
/// The same of a bad version.
const BAD_SLOW_FRACTION: f64 = 0.55;
/// Answers of the baseline from which its slowest are known.
const MIN_BASELINE_ANSWERS: f64 = 15.0;
/// Answers of the candidate without one of the baseline after which it is not known what is usual.
const MAX_UNMATCHED: u32 = 3;
/// Answers that came since the last time count for no more than so many: they are late together.
const MAX_BATCH_WEIGHT: f64 = 4.0;
/// Requests that are assumed of the baseline besides those counted, one of which failed.
const PRIOR_REQUESTS: f64 = 10.0;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its requests fail more often than the baseline's.
    Failing,
    /// Its answers take several times as long.
    Slow,
}

impl Fault {
    /// The name, for logs and records.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Failing => "the version's requests fail",
            Fault::Slow => "the version's answers are slow",
        }
    }
}

/// The score of one kind of event: a sum of log-likelihood ratios that does not fall below zero.
#[derive(Debug, Clone, Copy, Default)]
struct Score(f64);

impl Score {
    fn add(&mut self, log_likelihood_ratio: f64) {
        self.0 = (self.0 + log_likelihood_ratio).max(0.0);
    }
}

/// The log-likelihood ratio of so many events in so many requests, expected at the rates `bad` and `sound`.
fn log_likelihood_ratio(events: u32, requests: u32, sound: f64, bad: f64) -> f64 {
    let others = f64::from(requests.saturating_sub(events));
    f64::from(events) * (bad / sound).ln() + others * ((1.0 - bad) / (1.0 - sound)).ln()
}

/// The scores of failures and of slow answers.
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

/// What new requests of one route add to the scores.
#[derive(Debug, Clone, Copy)]
struct Ratios {
    failures: f64,
    slowness: f64,
}

/// The requests of one route that were taken in.
#[derive(Debug, Clone, Copy, Default)]
struct RouteSamples {
    baseline: Tally,
    /// How the baseline's went lately: a candidate is held against what is usual at the same time.
    recent_baseline: Recent,
    /// The candidate's of which the failures were taken in.
    failures_seen: Tally,
    /// Those of which the times were.
    times_seen: Tally,
    /// Answers of the candidate since the baseline's last one.
    unmatched: u32,
}

impl RouteSamples {
    /// Takes in what has come since the last time.
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

/// The test of one candidate: by each route, for one that is bad on that route only, and by all together.
#[derive(Debug, Default)]
pub struct SequentialTest {
    samples: HashMap<Tag, RouteSamples>,
    routes: HashMap<Tag, Scores>,
    all: Scores,
}

impl SequentialTest {
    /// Takes in what has come of a route since the last time. Says what is wrong with the candidate, if that is
    /// proved.
    pub fn evaluate(&mut self, route: Tag, baseline: &Tally, candidate: &Tally) -> Option<Fault> {
        let ratios = self.samples.entry(route).or_default().update(baseline, candidate);
        let scores = self.routes.entry(route).or_default();
        scores.add(ratios);
        self.all.add(ratios);
        scores.fault().or(self.all.fault())
    }

    /// Whether something speaks against the candidate, though it proves nothing.
    pub fn is_doubtful(&self) -> bool {
        self.all.is_doubtful() || self.routes.values().any(Scores::is_doubtful)
    }
}
