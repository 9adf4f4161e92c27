//! Relative latency of the servers of a service: how much longer a server takes than the median of its
//! service takes under the same load.
//!
//! Engines are measured by the time between the events of relayed streams, divided by the time that an engine
//! of nominal speed needs with as many runs while it reads no prompt, so that a busy fast server doesn't look
//! slow. Other servers are measured by their response times. Daemons share and add up these sums: a server
//! lives for some 20 s and gets about one request a second from all daemons together.

use crate::gateway::outcomes::Outcomes;
use crate::gateway::server::Load;
use crate::gateway::table::Engine;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Half-life of a sample's weight.
const HALF_LIFE: Duration = Duration::from_millis(3_000);
/// Weight of samples below which nothing is concluded from them.
const MIN_SAMPLES: f32 = 8.0;
/// Deviation from the median up to which servers count as equal: equal servers are chosen as if nothing were
/// measured.
const EQUAL_WITHIN: f64 = 0.15;
/// Bounds of the relative latency. A lower minimum would let daemons with late figures send too much to one
/// server; above the maximum a server gets almost no requests anyway, and it needs some to be measured again.
const BOUNDS: (f64, f64) = (0.4, 3.0);
/// Time of an engine's step without runs, in milliseconds.
const STEP_MS: f64 = 7.0;
/// Time by which each run lengthens a step.
const RUN_MS: f64 = 0.12;
/// Number of gaps between events in one sample. Single gaps vary with the daemon's turns on its CPU; four
/// take 0.1 to 0.3 s.
const WINDOW_GAPS: u32 = 4;
/// Gap from which a stream counts as stalled. The slowest engine needs 0.2 s between events.
const STALL: Duration = Duration::from_millis(300);
/// Gaps that are left out after a stall or where a stream is resumed: events that have queued up arrive at
/// once.
const SKIPPED_GAPS: u32 = 4;
/// Weight of one response of a plain service. Response times vary far more than the times between events.
const RESPONSE_WEIGHT: f32 = 0.25;

/// Sums over samples, each weighted by its age. Each sample has an expected time of one unit, so that the
/// expected times also count the samples.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceSums {
    /// Expected times.
    pub expected: f32,
    /// Actual times.
    pub actual: f32,
}

impl AddAssign for PaceSums {
    fn add_assign(&mut self, other: PaceSums) {
        self.expected += other.expected;
        self.actual += other.actual;
    }
}

impl From<Outcomes> for PaceSums {
    /// Sums that a peer reported. Sums that can't have been measured count as none.
    fn from(reported: Outcomes) -> PaceSums {
        let sums = PaceSums { expected: reported.tried, actual: reported.failed };
        let valid = |sum: f32| sum.is_finite() && sum >= 0.0;
        if valid(sums.expected) && valid(sums.actual) { sums } else { PaceSums::default() }
    }
}

impl From<PaceSums> for Outcomes {
    /// The format in which sums are reported to peers.
    fn from(sums: PaceSums) -> Outcomes {
        Outcomes { tried: sums.expected, failed: sums.actual }
    }
}

impl PaceSums {
    /// Actual by expected time; `None` if there are too few samples.
    pub fn ratio(self) -> Option<f64> {
        let ratio = f64::from(self.actual) / f64::from(self.expected);
        (self.expected >= MIN_SAMPLES && ratio.is_finite() && ratio > 0.0).then_some(ratio)
    }
}

/// Sums over this daemon's samples of one server, which decay with time.
#[derive(Debug, Clone, Copy)]
pub struct DecayingPace {
    sums: PaceSums,
    /// The time to which `sums` are decayed.
    at: Instant,
}

impl DecayingPace {
    /// Starts without samples.
    pub fn new(now: Instant) -> DecayingPace {
        DecayingPace { sums: PaceSums::default(), at: now }
    }

    /// The sums decayed to `now`.
    pub fn decayed(&self, now: Instant) -> PaceSums {
        let elapsed = now.saturating_duration_since(self.at);
        let left = 0.5f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        PaceSums { expected: self.sums.expected * left, actual: self.sums.actual * left }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: PaceSums, now: Instant) {
        let mut sums = self.decayed(now);
        sums += sample;
        (self.sums, self.at) = (sums, now);
    }
}

/// Number of tokens that a stream brings in a window of gaps.
pub fn window_tokens(engine: &Engine) -> u32 {
    WINDOW_GAPS * engine.event_tokens.max(1)
}

/// The sample of a stream's four gaps between events, which took `actual` at a server that had
/// these loads at their beginning and end. `None` if prompt was unread there: steps take twice as long while
/// it is read, but some of it waits for memory, or has been read and shows in the next event only.
pub fn stream_sample(
    actual: Duration,
    engine: &Engine,
    before: Load,
    after: Load,
) -> Option<PaceSums> {
    if before.unread_prompt > 0 || after.unread_prompt > 0 {
        return None;
    }
    let steps = f64::from(window_tokens(engine));
    let runs = f64::from(before.runs.max(1)) / 2.0 + f64::from(after.runs.max(1)) / 2.0;
    let step = STEP_MS + RUN_MS * runs;
    let actual = actual.as_secs_f64() * 1_000.0 / (steps * step);
    Some(PaceSums { expected: 1.0, actual: actual as f32 })
}

/// The sample of a plain response after `actual` from a server with this load. The unit of time is the
/// route's SLO, which differs between routes about as their response times do.
pub fn response_sample(actual: Duration, slo: Duration, load: Load, slots: u32) -> PaceSums {
    let queued = (f64::from(load.runs) / f64::from(slots.max(1))).max(1.0);
    let ratio = actual.as_secs_f64() / (slo.as_secs_f64().max(0.001) * queued);
    PaceSums { expected: RESPONSE_WEIGHT, actual: RESPONSE_WEIGHT * ratio as f32 }
}

/// The median of the ratios of a service's servers; `None` if there are none.
pub fn median(mut ratios: Vec<f64>) -> Option<f64> {
    ratios.sort_by(f64::total_cmp);
    let (low, high) = (ratios.len().checked_sub(1)? / 2, ratios.len() / 2);
    Some(ratios[low].midpoint(ratios[high]))
}

/// The relative latency of a server with this ratio, given the median of its service; 1 if either is unknown.
pub fn relative_latency(ratio: Option<f64>, median: Option<f64>) -> f64 {
    let relative = ratio.zip(median).map_or(1.0, |(ratio, median)| ratio / median);
    match (relative - 1.0).abs() <= EQUAL_WITHIN {
        true => 1.0,
        false => relative.clamp(BOUNDS.0, BOUNDS.1),
    }
}

/// How a server's latency compares with the median of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedClass {
    /// Its relative latency is below 1.
    Fast,
    /// Its relative latency is 1, or unknown.
    Normal,
    /// Its relative latency is above 1.
    Slow,
}

impl SpeedClass {
    /// The class of a relative latency.
    pub fn of(relative: f64) -> SpeedClass {
        if relative > 1.0 {
            SpeedClass::Slow
        } else if relative < 1.0 {
            SpeedClass::Fast
        } else {
            SpeedClass::Normal
        }
    }

    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            SpeedClass::Fast => "fast",
            SpeedClass::Normal => "normal",
            SpeedClass::Slow => "slow",
        }
    }
}

/// What an event means for the window of gaps that is being measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be recorded.
    None,
    /// A window begins.
    Begun,
    /// A window has ended after this time, and the next one begins.
    Ended(Duration),
}

/// Measures windows of gaps between the events of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventTimer {
    last: Option<Instant>,
    begun: Option<Instant>,
    gaps: u32,
    skipped: u32,
    stopped: bool,
}

impl EventTimer {
    /// Begins anew where the stream is resumed.
    pub fn resume(&mut self) {
        *self = EventTimer { skipped: SKIPPED_GAPS, stopped: self.stopped, ..Default::default() };
    }

    /// Ends the measurement, because the caller reads slowly and the times are no longer the server's.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Notes an event.
    pub fn event(&mut self, now: Instant) -> Step {
        let gap = self.last.map(|last| now.saturating_duration_since(last));
        self.last = Some(now);
        if self.stopped {
            return Step::None;
        }
        if gap.is_some_and(|gap| gap >= STALL) {
            (self.begun, self.skipped) = (None, SKIPPED_GAPS);
        }
        let Some(begun) = self.begun else {
            if self.skipped > 0 {
                self.skipped -= 1;
                return Step::None;
            }
            (self.begun, self.gaps) = (Some(now), 0);
            return Step::Begun;
        };
        self.gaps += 1;
        if self.gaps < WINDOW_GAPS {
            return Step::None;
        }
        (self.begun, self.gaps) = (Some(now), 0);
        Step::Ended(now.saturating_duration_since(begun))
    }
}
