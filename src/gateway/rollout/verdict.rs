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
const DOUBT: f64 = 0.75 * THRESHOLD;
/// How much more often than the baseline's a bad version's requests fail, as a part of those that don't.
const MORE_FAILURES: f64 = 0.2;
/// Least rate of failures that is taken as usual: fewer are not told apart from none by some hundred requests.
const LEAST_FAILURES: f64 = 0.02;
/// Part of the baseline's answers that count as its slowest.
const SLOWEST: f64 = 0.25;
/// Part of a sound version's answers that may take half as long again as those: its few servers are fuller at times.
const SLOW_AT_MOST: f64 = 0.12;
/// The same of a bad version.
const SLOW_AT_LEAST: f64 = 0.55;
/// Answers of the baseline from which its slowest are known.
const LEAST_ANSWERS: f64 = 15.0;
/// Answers of the candidate without one of the baseline after which it is not known what is usual.
const MOST_ALONE: u32 = 3;
/// Answers that came since the last time count for no more than so many: they are late together.
const MOST_AT_ONCE: f64 = 4.0;
/// Requests that are assumed of the baseline besides those counted, one of which failed.
const ASSUMED: f64 = 10.0;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its requests fail more often than the baseline's.
    Fails,
    /// Its answers take several times as long.
    Slow,
}

impl Fault {
    /// The name, for logs and records.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Fails => "the version's requests fail",
            Fault::Slow => "the version's answers are slow",
        }
    }
}

/// The score of one kind of event: a sum of log-likelihood ratios that does not fall below zero.
#[derive(Debug, Clone, Copy, Default)]
struct Score(f64);

impl Score {
    fn add(&mut self, ratio: f64) {
        self.0 = (self.0 + ratio).max(0.0);
    }
}

/// The log-likelihood ratio of so many events in so many requests, expected at the rates `bad` and `sound`.
fn ratio(events: u32, requests: u32, sound: f64, bad: f64) -> f64 {
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
            return Some(Fault::Fails);
        }
        (self.slowness.0 >= THRESHOLD).then_some(Fault::Slow)
    }

    fn doubts(&self) -> bool {
        self.failures.0.max(self.slowness.0) > DOUBT
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
struct Taken {
    baseline: Tally,
    /// How the baseline's went lately: a candidate is held against what is usual at the same time.
    usual: Recent,
    /// The candidate's of which the failures were taken in.
    tried: Tally,
    /// Those of which the times were.
    timed: Tally,
    /// Answers of the candidate since the baseline's last one.
    alone: u32,
}

impl Taken {
    /// Takes in what has come since the last time.
    fn take(&mut self, baseline: &Tally, candidate: &Tally) -> Ratios {
        let news = baseline.since(&self.baseline);
        self.baseline = *baseline;
        self.usual.add(&news);
        let alone = candidate.since(&self.timed).answered();
        self.alone = if news.answered() > 0 { 0 } else { self.alone + alone };
        Ratios { failures: self.take_failures(candidate), slowness: self.take_times(candidate) }
    }

    fn take_failures(&mut self, candidate: &Tally) -> f64 {
        let news = candidate.since(&self.tried);
        self.tried = *candidate;
        let sound = self.usual.failing(ASSUMED).max(LEAST_FAILURES);
        let bad = sound + (1.0 - sound) * MORE_FAILURES;
        ratio(news.failed, news.requests.max(news.failed), sound, bad)
    }

    fn take_times(&mut self, candidate: &Tally) -> f64 {
        if self.usual.answered() < LEAST_ANSWERS {
            return 0.0;
        }
        let news = candidate.since(&self.timed);
        self.timed = *candidate;
        if self.alone > MOST_ALONE {
            return 0.0;
        }
        let slow = news.slower(self.usual.slow(SLOWEST));
        let weight = (MOST_AT_ONCE / f64::from(news.answered().max(1))).min(1.0);
        weight * ratio(slow, news.answered(), SLOW_AT_MOST, SLOW_AT_LEAST)
    }
}

/// The test of one candidate: by each route, for one that is bad on that route only, and by all together.
#[derive(Debug, Default)]
pub struct Test {
    taken: HashMap<Tag, Taken>,
    routes: HashMap<Tag, Scores>,
    all: Scores,
}

impl Test {
    /// Takes in what has come of a route since the last time. Says what is wrong with the candidate, if that is
    /// proved.
    pub fn evaluate(&mut self, route: Tag, baseline: &Tally, candidate: &Tally) -> Option<Fault> {
        let ratios = self.taken.entry(route).or_default().take(baseline, candidate);
        let scores = self.routes.entry(route).or_default();
        scores.add(ratios);
        self.all.add(ratios);
        scores.fault().or(self.all.fault())
    }

    /// Whether something speaks against the candidate, though it proves nothing.
    pub fn doubts(&self) -> bool {
        self.all.doubts() || self.routes.values().any(Scores::doubts)
    }
}
