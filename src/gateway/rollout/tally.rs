//! Counts of request outcomes at the servers of one version.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;
use std::time::Duration;

/// Buckets of the histogram of response times. Each upper bound is the square root of two times the previous
/// one.
const BUCKETS: usize = 24;
/// Upper bound of the first bucket, in milliseconds. The last bucket begins at 5.8 s.
const FIRST_BUCKET_MS: f64 = 2.0;
/// Number of requests after which the weight of earlier ones has dropped to about a third.
const WINDOW: f64 = 30.0;
/// Number of buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: usize = 2;

/// Outcomes of one route's requests at the servers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All requests.
    pub requests: u32,
    /// Failed requests.
    pub failed: u32,
    /// Histogram of response times of the others; for a stream, the time to its first event.
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

/// Index of the bucket for a response time.
fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_BUCKET_MS;
    // The value is at least 0 before the cast, and capped at the last bucket after it.
    ((ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING as f64).ceil() as usize).min(BUCKETS - 1)
}

impl Tally {
    /// Records a response time; `None` means that the request failed.
    pub fn record(&mut self, time: Option<Duration>) {
        self.requests += 1;
        match time {
            Some(time) => self.times[bucket(time)] += 1,
            None => self.failed += 1,
        }
    }

    /// Number of responses with a time.
    pub fn answered(&self) -> u32 {
        self.times.iter().sum()
    }

    /// What was added since an earlier tally.
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

    /// Number of responses that took longer than a bound from [`Recent::slow_bound`].
    pub fn count_slower(&self, bound: SlowBound) -> u32 {
        self.times.iter().skip(bound.0 + 1).sum()
    }
}

/// An upper bound on response times, as the index of a bucket.
#[derive(Debug, Clone, Copy)]
pub struct SlowBound(usize);

/// Outcomes of recent requests. Each new request reduces the weight of the earlier ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Recent {
    requests: f64,
    failed: f64,
    times: [f64; BUCKETS],
}

impl Recent {
    /// Adds new requests.
    pub fn add(&mut self, more: &Tally) {
        let decay = (1.0 - f64::from(more.requests) / WINDOW).max(0.0);
        let add = |total: &mut f64, more: u32| *total = *total * decay + f64::from(more);
        add(&mut self.requests, more.requests);
        add(&mut self.failed, more.failed);
        for (total, more) in self.times.iter_mut().zip(more.times) {
            add(total, more);
        }
    }

    /// Weighted number of responses with a time.
    pub fn answered(&self) -> f64 {
        self.times.iter().sum()
    }

    /// Failure rate, with one failure among `prior_requests` more requests added as a prior.
    pub fn failure_rate(&self, prior_requests: f64) -> f64 {
        (self.failed + 1.0) / (self.requests + prior_requests)
    }

    /// A bound of about one and a half times the response time that only `fraction` of the responses exceed.
    pub fn slow_bound(&self, fraction: f64) -> SlowBound {
        let mut above = self.answered();
        let max_above = above * fraction;
        let bound = self.times.iter().position(|count| {
            above -= count;
            above <= max_above
        });
        SlowBound(bound.unwrap_or(BUCKETS - 1) + 1)
    }
}
