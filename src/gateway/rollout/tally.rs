//! Counts of how requests went at the servers of one version.

use serde::{Deserialize, Serialize};
use std::ops::AddAssign;
use std::time::Duration;

/// Buckets of a histogram of times; each bound is the square root of two times the one before.
const BUCKETS: usize = 24;
/// Upper bound of the first bucket, in milliseconds. The last bucket begins at 5.8 s.
const FIRST_BOUND_MS: f64 = 2.0;
/// Buckets that double a time.
const DOUBLED: usize = 2;

/// Requests of one route at the servers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All of them.
    pub tried: u32,
    /// Those that failed.
    pub failed: u32,
    /// Times to the answer, of a stream to its first event, of the others.
    times: [u32; BUCKETS],
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.tried += other.tried;
        self.failed += other.failed;
        for (count, more) in self.times.iter_mut().zip(other.times) {
            *count += more;
        }
    }
}

/// The bucket of a time.
fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_BOUND_MS;
    // Not negative, and clipped.
    ((ratio.max(1.0).log2() * DOUBLED as f64).ceil() as usize).min(BUCKETS - 1)
}

impl Tally {
    /// Notes an answer, or with `None` a failure.
    pub fn note(&mut self, time: Option<Duration>) {
        self.tried += 1;
        match time {
            Some(time) => self.times[bucket(time)] += 1,
            None => self.failed += 1,
        }
    }

    /// Answers with a time.
    pub fn answered(&self) -> u32 {
        self.times.iter().sum()
    }

    /// Answers that took half as long again as all but a `part` of those of `usual`, or longer.
    pub fn slower_than(&self, usual: &Tally, part: f64) -> u32 {
        let most = f64::from(usual.answered()) * part;
        let mut above = f64::from(usual.answered());
        let bound = usual.times.iter().position(|count| {
            above -= f64::from(*count);
            above <= most
        });
        let bound = bound.unwrap_or(BUCKETS - 1) + 1;
        self.times.iter().skip(bound + 1).sum()
    }
}
