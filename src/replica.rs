//! What a daemon knows of one replica: its lagging report, what was sent there since, and its health.

use crate::engine::LoadReport;
use crate::forecast::{LengthKey, Survival};
use crate::health::Health;
use crate::resource::ReplicaSpec;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

new_key_type! {
    /// Key of a replica in its pool.
    pub struct ReplicaKey;
    /// Key of a stream that this daemon runs in a pool.
    pub struct StreamKey;
}

/// How many times ahead memory is forecast.
pub const HORIZON_COUNT: usize = 4;
/// The times ahead, as tokens each running stream makes until then.
pub const HORIZONS: [f32; HORIZON_COUNT] = [0.0, 32.0, 128.0, 384.0];
const MOST_PREFIXES: usize = 64;
const MOST_CHANGES: usize = 256;
/// Weight of one observed gap between tokens in the mean.
const GAP_WEIGHT: f32 = 0.05;
/// Least gap that tokens are estimated by, in milliseconds.
const SHORTEST_GAP_MS: f32 = 0.5;
/// Gap assumed of a replica not yet seen, in milliseconds.
const FIRST_GAP_MS: f32 = 25.0;

/// Whether a stream may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signal {
    /// Go on.
    Run,
    /// Pause at the engine until told otherwise.
    Pause,
}

/// Who placed a stream and who carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Placed and carried by this daemon.
    Own,
    /// Placed by this daemon and carried by another, which tells only its end.
    Other,
    /// Placed by another daemon and carried by this one.
    Granted,
}

/// A stream that this daemon placed or carries.
#[derive(Debug)]
pub struct Stream {
    /// Where it runs.
    pub replica: ReplicaKey,
    /// Whose lengths it is like.
    pub lengths: LengthKey,
    /// Name of the policy that placed it.
    pub policy: String,
    /// Estimated tokens of its prompt.
    pub prompt: u32,
    /// Tokens made.
    pub made: u32,
    /// Priority of its class.
    pub priority: u8,
    /// When it was placed.
    pub started: Instant,
    /// Since when it is paused.
    pub paused: Option<Instant>,
    /// How often it was paused.
    pub pauses: u32,
    /// Survival of its length.
    pub survival: Survival,
    /// Whether a reader sees each token as it comes.
    pub streamed: bool,
    /// Who placed and who carries it.
    pub origin: Origin,
    /// Tells its relay.
    pub signal: watch::Sender<Signal>,
}

impl Stream {
    /// Memory it holds while it runs, in tokens, by the tokens known to be made.
    pub fn size(&self) -> u32 {
        self.prompt + self.made
    }

    /// Tokens made by `now`; for a stream that another daemon carries, by the usual gap.
    pub fn made_by(&self, gap_ms: f32, now: Instant) -> u32 {
        let running = now.saturating_duration_since(self.started).as_secs_f32() * 1_000.0;
        match self.origin {
            Origin::Own | Origin::Granted => self.made,
            Origin::Other => (running / gap_ms.max(SHORTEST_GAP_MS)) as u32,
        }
    }

    /// Whether this daemon may pause it.
    pub fn may_pause(&self) -> bool {
        self.paused.is_none() && self.origin != Origin::Granted
    }
}

/// Memory expected of a stream at each horizon, in tokens.
pub fn growth(prompt: u32, made: u32, survival: &Survival) -> [f32; HORIZON_COUNT] {
    HORIZONS.map(|more| (prompt as f32 + made as f32 + more) * survival.lives(made, more))
}

/// Streams begun or ended by this daemon at a time.
#[derive(Debug, Clone, Copy)]
struct Delta {
    at: Instant,
    /// When the stream began.
    began: Instant,
    streams: i32,
}

/// One replica as a daemon knows it.
#[derive(Debug)]
pub struct Replica {
    /// Name in the pool.
    pub name: String,
    /// Where it serves.
    pub addr: SocketAddr,
    /// Whether it stands in this daemon's hall.
    pub near: bool,
    /// Its last report.
    pub report: LoadReport,
    /// When that report was true.
    pub reported: Instant,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Whether it is no longer declared, or the VM list says that it is leaving.
    pub withdrawn: bool,
    /// Streams of this daemon on it.
    pub streams: Vec<StreamKey>,
    /// Memory forecast at each horizon, in tokens.
    pub peaks: [f32; HORIZON_COUNT],
    /// Streams known here whose readers see each token.
    pub readers: u32,
    /// Streams known here that are delivered whole.
    pub wholes: u32,
    /// Mean gap between tokens seen here, in milliseconds.
    pub gap_ms: f32,
    /// When the last report came, if one ever has.
    pub last_report: Option<Instant>,
    prefixes: VecDeque<u64>,
    changes: VecDeque<Delta>,
    /// Recent failures and ejection.
    pub health: Health,
}

impl Replica {
    /// A replica of which nothing is known yet.
    pub fn new(spec: &ReplicaSpec, hall: &str, now: Instant) -> Replica {
        let report = LoadReport {
            capacity: 0,
            used: 0,
            running: 0,
            waiting: 0,
            preemptions: 0,
            age_ms: 0,
            leaving: false,
        };
        Replica {
            name: spec.name.clone(),
            addr: spec.address,
            near: spec.hall == hall,
            report,
            reported: now,
            leaving: false,
            withdrawn: false,
            streams: Vec::new(),
            peaks: [0.0; HORIZON_COUNT],
            gap_ms: FIRST_GAP_MS,
            readers: 0,
            wholes: 0,
            last_report: None,
            prefixes: VecDeque::new(),
            changes: VecDeque::new(),
            health: Health::default(),
        }
    }

    /// Takes in a load report received at `now`.
    pub fn take_report(&mut self, report: LoadReport, now: Instant) {
        let known = self.last_report.is_some();
        let measured = now.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(now);
        self.last_report = Some(now);
        self.leaving = report.leaving;
        if known && measured < self.reported {
            return;
        }
        self.report = report;
        self.reported = measured;
        while self.changes.front().is_some_and(|c| c.at <= measured) {
            self.changes.pop_front();
        }
    }

    /// Notes streams that this daemon began (or with a negative number ended) here.
    pub fn note(&mut self, streams: i32, began: Instant, now: Instant) {
        self.changes.push_back(Delta { at: now, began, streams });
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Load by the report alone: running and waiting generations, then memory.
    pub fn reported_load(&self) -> (u32, u32) {
        (self.report.running + self.report.waiting, self.report.used)
    }

    /// Generations by the report and this daemon's own changes since.
    pub fn corrected_load(&self) -> i64 {
        let since: i64 = self.changes.iter().map(|c| i64::from(c.streams)).sum();
        i64::from(self.report.running + self.report.waiting) + since
    }

    /// Adds a stream that begins to the forecast.
    pub fn add(&mut self, stream: &Stream) {
        let grown = growth(stream.prompt, stream.made, &stream.survival);
        for (peak, tokens) in self.peaks.iter_mut().zip(grown) {
            *peak += tokens;
        }
        let count = if stream.streamed { &mut self.readers } else { &mut self.wholes };
        *count += 1;
    }

    /// Takes a stream that ended out of the forecast.
    pub fn subtract(&mut self, stream: &Stream, now: Instant) {
        if stream.paused.is_some() {
            return;
        }
        let made = stream.made_by(self.gap_ms, now);
        let grown = growth(stream.prompt, made, &stream.survival);
        for (peak, tokens) in self.peaks.iter_mut().zip(grown) {
            *peak = (*peak - tokens).max(0.0);
        }
        let count = if stream.streamed { &mut self.readers } else { &mut self.wholes };
        *count = count.saturating_sub(1);
    }

    /// Works out the memory forecast anew from the report and what is known since.
    pub fn refresh(
        &mut self,
        streams: &SlotMap<StreamKey, Stream>,
        pooled: &Survival,
        correct: bool,
        now: Instant,
    ) {
        let known: Vec<&Stream> =
            self.streams.iter().map(|key| &streams[*key]).filter(|s| s.paused.is_none()).collect();
        let reported = known.iter().filter(|s| s.started <= self.reported);
        let known_tokens: u32 =
            reported.clone().map(|s| s.prompt + s.made_by(self.gap_ms, self.reported)).sum();
        // Those that ended since the report are still counted in it.
        let ended =
            self.changes.iter().filter(|c| c.streams < 0 && c.began <= self.reported).count();
        let others = (self.report.running + self.report.waiting) as usize;
        let others = others.saturating_sub(reported.count() + ended);
        let mut peaks = [0.0; HORIZON_COUNT];
        if others > 0 {
            let foreign =
                self.report.used.saturating_sub(known_tokens) as f32 / (others + ended) as f32;
            let each = self.foreign_growth(foreign, pooled, now);
            for (peak, tokens) in peaks.iter_mut().zip(each) {
                *peak += tokens * others as f32;
            }
        }
        let counted = known.iter().filter(|s| correct || s.started <= self.reported);
        for s in counted {
            let made = s.made_by(self.gap_ms, now);
            for (peak, tokens) in peaks.iter_mut().zip(growth(s.prompt, made, &s.survival)) {
                *peak += tokens;
            }
        }
        self.readers = known.iter().filter(|s| s.streamed).count() as u32;
        self.wholes = known.len() as u32 - self.readers;
        self.peaks = peaks;
    }

    /// Memory expected of a stream of which only its mean size at the report is known.
    fn foreign_growth(&self, size: f32, pooled: &Survival, now: Instant) -> [f32; HORIZON_COUNT] {
        let prompt = size * 0.5;
        let since = now.saturating_duration_since(self.reported).as_secs_f32() * 1_000.0;
        let made = size - prompt + since / self.gap_ms.max(SHORTEST_GAP_MS);
        growth(prompt as u32, made as u32, pooled)
    }

    /// Notes a prompt prefix as cached here.
    pub fn remember(&mut self, prefix: u64) {
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MOST_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Whether a prompt prefix is thought to be cached here.
    pub fn remembers(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Forgets a prefix that a reply showed not to be cached.
    pub fn forget(&mut self, prefix: u64) {
        self.prefixes.retain(|p| *p != prefix);
    }

    /// Notes the time between two tokens.
    pub fn saw_gap(&mut self, gap: Duration) {
        let ms = gap.as_secs_f32() * 1_000.0;
        self.gap_ms += GAP_WEIGHT * (ms - self.gap_ms);
    }

    /// Whether it is not leaving.
    pub fn stays(&self) -> bool {
        !self.leaving && !self.withdrawn
    }

    /// Whether it was heard of within `stale`. A daemon that was frozen knows nothing fresh, not
    /// even who is leaving.
    pub fn fresh(&self, stale: Duration, now: Instant) -> bool {
        self.last_report.is_some_and(|at| now.saturating_duration_since(at) <= stale)
    }
}
