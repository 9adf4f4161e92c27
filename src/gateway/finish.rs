//! Which requests a stopping daemon still accepts: those that it can answer before the process ends.
//!
//! How long an answer will be is unknown. A request that may run again is accepted at first unless it is expected to
//! take longer than the daemon lasts, as callers may hold this daemon's address for a while; if it takes longer
//! after all, its caller continues the stream at another daemon. Later, and always for requests that may not run
//! again, one is accepted only if even a slow answer is complete in time.

use crate::gateway::request::Size;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Slow answers should be complete this long before the process ends.
pub const MARGIN: Duration = Duration::from_millis(500);
/// Longest time until the first token. The first event arrives within 1.5 s in 99 of 100 cases.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(1_500);
/// Time per output token of an idle engine, and of a busy one, which takes 8 to 10 ms and reads prompts at the same
/// time. They count for services without measurements.
const IDLE_TOKEN_TIME: Duration = Duration::from_millis(7);
const BUSY_TOKEN_TIME: Duration = Duration::from_millis(12);
/// How much longer a token takes at a slow server than at the average one.
const SLOW_SERVER: f64 = 1.3;
/// Number of latest measurements that count, and the fewest that do.
const LATEST: u32 = 32;
const MIN_MEASURED: u32 = 2;

/// When a stopping daemon ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// When the process ends, even with requests still running.
    pub end: Instant,
    /// From when on callers hold the addresses of other daemons, so that a request is refused in doubt.
    pub strict: Instant,
}

/// How long the answer to a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// If its length is the expected one.
    pub expected: Duration,
    /// If it is as long as the request allows, at a slow server.
    pub slow: Duration,
}

impl Estimate {
    /// The estimate for an answer of this size, given the number of tokens in an event and the measured time per
    /// output token. The tokens of the first event arrive together.
    pub fn of_generation(size: Size, event_tokens: u32, token_time: Option<Duration>) -> Estimate {
        let most = size.max_tokens;
        let expected = size.expected_tokens.map_or(most, |hint| hint.min(most));
        let expected = expected.saturating_sub(event_tokens);
        let slow = token_time.map_or(BUSY_TOKEN_TIME, |time| time.mul_f64(SLOW_SERVER));
        Estimate {
            expected: token_time.unwrap_or(IDLE_TOKEN_TIME).saturating_mul(expected),
            slow: FIRST_TOKEN_TIME + slow.max(BUSY_TOKEN_TIME).saturating_mul(most),
        }
    }
}

impl Shutdown {
    /// Whether an answer that takes about as long as estimated is complete before the process ends.
    pub fn can_finish(self, estimate: Estimate, repeatable: bool, now: Instant) -> bool {
        let left = self.end.saturating_duration_since(now);
        match repeatable && now < self.strict {
            true => estimate.expected <= left,
            false => estimate.slow + MARGIN <= left,
        }
    }
}

/// This daemon's measurements of how long answers take.
#[derive(Debug, Default)]
pub struct Durations {
    /// Time per output token of streams.
    pub tokens: TokenTimes,
    /// Response times of plain requests.
    pub responses: ResponseTimes,
}

/// The latest response times of plain requests, by route. A service may have quick and slow routes.
#[derive(Debug, Default)]
pub struct ResponseTimes(BTreeMap<String, VecDeque<Duration>>);

impl ResponseTimes {
    /// Records that a request on a route took `actual`, or was given up after it.
    pub fn record(&mut self, route: &str, actual: Duration) {
        let latest = match self.0.get_mut(route) {
            Some(latest) => latest,
            None => self.0.entry(route.to_string()).or_default(),
        };
        if latest.len() >= LATEST as usize {
            latest.pop_front();
        }
        latest.push_back(actual);
    }

    /// The longest of the latest response times; `None` if there are too few.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let latest = self.0.get(route).filter(|latest| latest.len() >= MIN_MEASURED as usize)?;
        latest.iter().max().copied()
    }
}

/// This daemon's measurements of the time per output token, by service.
#[derive(Debug, Default)]
pub struct TokenTimes(BTreeMap<Arc<str>, Measured>);

/// A mean in which later measurements replace earlier ones.
#[derive(Debug, Default, Clone, Copy)]
struct Measured {
    seconds: f64,
    count: u32,
}

impl TokenTimes {
    /// Records that a server of a service took `actual` for so many tokens of one stream.
    pub fn record(&mut self, service: &Arc<str>, actual: Duration, tokens: u32) {
        let measured = self.0.entry(service.clone()).or_default();
        measured.count = (measured.count + 1).min(LATEST);
        let seconds = actual.as_secs_f64() / f64::from(tokens.max(1));
        measured.seconds += (seconds - measured.seconds) / f64::from(measured.count);
    }

    /// The mean time per token; `None` if there are too few measurements.
    pub fn mean(&self, service: &str) -> Option<Duration> {
        let measured = self.0.get(service).filter(|measured| measured.count >= MIN_MEASURED)?;
        Duration::try_from_secs_f64(measured.seconds).ok()
    }
}
