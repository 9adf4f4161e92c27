//! Counts of how requests went at the servers of one version.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;
use std::time::Duration;

/// Buckets of a histogram of times; each bound is the square root of two times the one before.
const BUCKETS: usize = 24;
/// Upper bound of the first bucket, in milliseconds. The last bucket begins at 5.8 s.
const FIRST_BUCKET_MS: f64 = 2.0;
/// Requests after which those before them count for a third.
const WINDOW: f64 = 30.0;
/// Buckets that double a time.
const BUCKETS_PER_DOUBLING: usize = 2;

/// Requests of one route at the servers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All of them.
    pub requests: u32,
    /// Those that failed.
    pub failed: u32,
    /// Times to the answer, of a stream to its first event, of the others.
    times: [u32; BUCKETS],
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.requests += other.requests;
        self.failed += other.failed;
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count += more;
        }
    }
}

/// The bucket of a time.
fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_BUCKET_MS;
    // Not negative, and clipped.
    ((ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING as f64).ceil() as usize).min(BUCKETS - 1)
}

impl Tally {
    /// Notes an answer, or with `None` a failure.
    pub fn record(&mut self, time: Option<Duration>) {
        self.requests += 1;
        match time {
            Some(time) => self.times[bucket(time)] += 1,
            None => self.failed += 1,
        }
    }

    /// Answers with a time.
    pub fn answered(&self) -> u32 {
        self.times.iter().sum()
    }

    /// What has come since an earlier tally.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let mut times = self.times;
        for (count, before) in times.iter_mut().zip(earlier.times) {
            *count = count.saturating_sub(before);
        }
        Tally {
            requests: self.requests.saturating_sub(earlier.requests),
            failed: self.failed.saturating_sub(earlier.failed),
            times,
        }
    }

    /// Answers that took longer than a time that [`Recent::slow`] gave.
    pub fn count_slower(&self, bound: SlowBound) -> u32 {
        self.times.iter().skip(bound.0 + 1).sum()
    }
}

/// A bound on times.
#[derive(Debug, Clone, Copy)]
pub struct SlowBound(usize);

/// How requests went lately; each new one makes those before it count a little less.
#[derive(Debug, Clone, Copy, Default)]
pub struct Recent {
    requests: f64,
    failed: f64,
    times: [f64; BUCKETS],
}

impl Recent {
    /// Adds requests.
    pub fn add(&mut self, more: &Tally) {
        let decay = (1.0 - f64::from(more.requests) / WINDOW).max(0.0);
        let add = |total: &mut f64, more: u32| *total = *total * decay + f64::from(more);
        add(&mut self.requests, more.requests);
        add(&mut self.failed, more.failed);
        for (total, more) in self.times.iter_mut().zip(more.times) {
            add(total, more);
        }
    }

    /// Answers with a time.
    pub fn answered(&self) -> f64 {
        self.times.iter().sum()
    }

    /// The rate of failures, with `assumed` requests besides of which one failed.
    pub fn failure_rate(&self, prior_requests: f64) -> f64 {
        (self.failed + 1.0) / (self.requests + prior_requests)
    }

    /// Half as long again as all but a `part` of the answers take.
    pub fn slow_bound(&self, fraction: f64) -> SlowBound {
        let mut above = self.answered();
        let most = above * fraction;
        let bound = self.times.iter().position(|count| {
            above -= count;
            above <= most
        });
        SlowBound(bound.unwrap_or(BUCKETS - 1) + 1)
    }
}
