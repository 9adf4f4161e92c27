//! What is measured from outside: what readers received and what backend servers counted.

use crate::check::{self, Checker, Problem};
use crate::error::{self, Error, Result};
use crate::outcome::Outcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Measures by name, as an outcomes file names them.
pub type Figures = BTreeMap<String, f64>;

/// The names of all measures.
pub const MEASURES: [&str; 30] = [
    "requests",
    "complete",
    "not_run",
    "unknown",
    "cut",
    "stall_ms_total",
    "stall_ms_p99",
    "preemptions",
    "pauses",
    "first_token_ms_p50",
    "first_token_ms_p95",
    "first_token_ms_p99",
    "between_tokens_ms_p50",
    "between_tokens_ms_p95",
    "between_tokens_ms_p99",
    "between_tokens_ms_p999",
    "goodput_tokens",
    "makespan_ms",
    "resumes",
    "faults",
    "tokens_lost",
    "tokens_doubled",
    "tokens_spliced",
    "once_run_twice",
    "false_not_run",
    "stop_cut",
    "late_dispatches_to_leaving",
    "config_reverts",
    "stall_ms_per_1k_tokens",
    "whole_ms_p95",
];

/// One stream as its reader saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// How it ended.
    pub outcome: Outcome,
    /// From the request to the first token; none for an answer delivered whole.
    pub first: Option<Duration>,
    /// From the request to the end.
    pub whole: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Gap past which it counts as stalled.
    pub gap_limit: Duration,
    /// Each token as (part of the generation's id, index).
    pub tokens: Vec<SeenToken>,
    /// Tokens that the whole answer has.
    pub expected: u32,
}

/// A token as its text tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenToken {
    /// Part of the generation's id.
    pub generation: String,
    /// Its index.
    pub index: u32,
}

impl SeenToken {
    /// Reads all tokens in a text of the stand-in engine.
    pub fn parse_all(text: &str) -> Vec<SeenToken> {
        let words = text.split_whitespace().filter_map(|w| w.split_once('.'));
        let token = |(generation, index): (&str, &str)| {
            Some(SeenToken { generation: generation.into(), index: index.parse().ok()? })
        };
        words.filter_map(token).collect()
    }
}

/// What is wrong with the tokens of one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wrong {
    /// Tokens missing.
    pub lost: u32,
    /// Tokens that came again or late.
    pub doubled: u32,
    /// Changes from one generation to another.
    pub spliced: u32,
}

impl Seen {
    /// Judges the tokens: each once, in order, from one generation.
    pub fn judge(&self) -> Wrong {
        let mut wrong = Wrong::default();
        let mut next = 1;
        let mut generation: Option<&str> = None;
        for token in &self.tokens {
            if generation.is_some_and(|g| g != token.generation) {
                wrong.spliced += 1;
            }
            generation = Some(&token.generation);
            if token.index < next {
                wrong.doubled += 1;
            } else {
                wrong.lost += token.index - next;
                next = token.index + 1;
            }
        }
        if self.outcome == Outcome::Complete {
            wrong.lost += (self.expected + 1).saturating_sub(next);
        }
        wrong
    }

    /// Stall time: the sum of the time past the limit in which no token came.
    pub fn stall(&self) -> Duration {
        self.gaps.iter().map(|g| g.saturating_sub(self.gap_limit)).sum()
    }
}

/// Adds up streams.
pub struct Tally {
    speed: f64,
    counts: BTreeMap<&'static str, f64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    stalls: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Tally {
    /// An empty tally of a run that was `speed` times as fast as declared.
    pub fn new(speed: f64) -> Tally {
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("valid bounds");
        Tally {
            speed,
            counts: BTreeMap::new(),
            first: histogram(),
            between: histogram(),
            stalls: histogram(),
            whole: histogram(),
        }
    }

    /// Adds to a count.
    pub fn add(&mut self, measure: &'static str, amount: f64) {
        *self.counts.entry(measure).or_default() += amount;
    }

    /// Counts the outcome of a request.
    pub fn ended(&mut self, outcome: Outcome) {
        self.add("requests", 1.0);
        self.add(outcome.name(), 1.0);
    }

    /// Adds one stream.
    pub fn stream(&mut self, seen: &Seen) {
        self.ended(seen.outcome);
        let wrong = seen.judge();
        self.add("tokens_lost", f64::from(wrong.lost));
        self.add("tokens_doubled", f64::from(wrong.doubled));
        self.add("tokens_spliced", f64::from(wrong.spliced));
        let stall = self.micros(seen.stall());
        self.add("stall_ms_total", stall as f64 / 1_000.0);
        self.stalls.saturating_record(stall);
        if let Some(first) = seen.first {
            let us = self.micros(first);
            self.first.saturating_record(us);
        }
        for gap in &seen.gaps {
            let us = self.micros(*gap);
            self.between.saturating_record(us);
        }
        if seen.outcome == Outcome::Complete {
            let us = self.micros(seen.whole);
            self.whole.saturating_record(us);
            self.add("goodput_tokens", seen.tokens.len() as f64);
        }
    }

    fn micros(&self, time: Duration) -> u64 {
        time.mul_f64(self.speed).as_micros() as u64
    }

    /// All measures; those that nothing was added to are zero.
    pub fn figures(&self) -> Figures {
        let mut figures: Figures = MEASURES.iter().map(|m| (m.to_string(), 0.0)).collect();
        for (measure, count) in &self.counts {
            figures.insert(measure.to_string(), *count);
        }
        let mut quantile = |name: &str, h: &Histogram<u64>, q: f64| {
            figures.insert(name.into(), h.value_at_quantile(q) as f64 / 1_000.0);
        };
        quantile("first_token_ms_p50", &self.first, 0.50);
        quantile("first_token_ms_p95", &self.first, 0.95);
        quantile("first_token_ms_p99", &self.first, 0.99);
        quantile("between_tokens_ms_p50", &self.between, 0.50);
        quantile("between_tokens_ms_p95", &self.between, 0.95);
        quantile("between_tokens_ms_p99", &self.between, 0.99);
        quantile("between_tokens_ms_p999", &self.between, 0.999);
        quantile("stall_ms_p99", &self.stalls, 0.99);
        quantile("whole_ms_p95", &self.whole, 0.95);
        let tokens = figures["goodput_tokens"].max(1.0);
        let per_1k = figures["stall_ms_total"] / tokens * 1_000.0;
        figures.insert("stall_ms_per_1k_tokens".into(), per_1k);
        figures
    }
}

/// A stated outcome of a replay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Bound {
    /// The measure.
    pub measure: String,
    /// Policy it holds for; all of the run where none is named.
    #[serde(default)]
    pub policy: Option<String>,
    /// Upper bound.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Lower bound.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Another policy of the run; the bound is `value` times its figure.
    #[serde(default)]
    pub at_most_ratio_of: Option<String>,
    /// The ratio.
    #[serde(default)]
    pub value: Option<f64>,
}

/// How a stated outcome came out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The measure.
    pub measure: String,
    /// The policy.
    pub policy: String,
    /// What was measured.
    pub figure: f64,
    /// What was stated.
    pub bound: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// Reads an outcomes file.
pub fn load_bounds(path: &Path) -> Result<Vec<Bound>> {
    let text = std::fs::read_to_string(path).context(error::ReadSnafu { path })?;
    parse_bounds(&text)
        .map_err(|problems| Error::Invalid { what: path.display().to_string(), problems })
}

/// Reads stated outcomes: a JSON array.
pub fn parse_bounds(text: &str) -> Result<Vec<Bound>, Vec<Problem>> {
    let bounds: Vec<Bound> = check::read(text)?;
    let mut c = Checker::default();
    for (i, b) in bounds.iter().enumerate() {
        let path = format!("[{i}]");
        let known = MEASURES.contains(&b.measure.as_str());
        c.require(known, &path, format!("`{}` is not a measure; see docs/TRACES.md", b.measure));
        let one = [b.at_most.is_some(), b.at_least.is_some(), b.at_most_ratio_of.is_some()];
        let count = one.iter().filter(|given| **given).count();
        c.require(count == 1, &path, "give exactly one of at_most, at_least, at_most_ratio_of");
        c.require(
            b.at_most_ratio_of.is_none() || b.value.is_some(),
            &path,
            "at_most_ratio_of needs a value",
        );
    }
    let problems = c.finish();
    if problems.is_empty() { Ok(bounds) } else { Err(problems) }
}

/// Compares what was measured with what was stated. A policy that was not run fails its bound.
pub fn compare(bounds: &[Bound], run: &BTreeMap<String, Figures>) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for b in bounds {
        let policies: Vec<String> = match &b.policy {
            Some(policy) => vec![policy.clone()],
            None => run.keys().cloned().collect(),
        };
        for policy in policies {
            verdicts.push(verdict(b, &policy, run));
        }
    }
    verdicts
}

fn verdict(b: &Bound, policy: &str, run: &BTreeMap<String, Figures>) -> Verdict {
    let figure_of =
        |p: &str| run.get(p).and_then(|f| f.get(&b.measure)).copied().unwrap_or(f64::NAN);
    let figure = figure_of(policy);
    let (bound, holds) = match (b.at_most, b.at_least, &b.at_most_ratio_of) {
        (Some(most), _, _) => (most, figure <= most),
        (_, Some(least), _) => (least, figure >= least),
        (_, _, Some(other)) => {
            let bound = figure_of(other) * b.value.unwrap_or(1.0);
            (bound, figure <= bound)
        }
        _ => (f64::NAN, false),
    };
    Verdict { measure: b.measure.clone(), policy: policy.into(), figure, bound, holds }
}
