//! What a daemon knows of one replica: its lagging report, what was sent there since, and its health.

use crate::engine::LoadReport;
use crate::forecast::{LengthKey, Survival};
use crate::health::Health;
use crate::resource::ReplicaSpec;
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
/// Gap assumed of a replica not yet seen, in milliseconds.
const FIRST_GAP_MS: f32 = 25.0;

/// Whether a stream may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Go on.
    Run,
    /// Pause at the engine until told otherwise.
    Pause,
}

/// A stream that this daemon runs.
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
    /// Tells its relay.
    pub signal: watch::Sender<Signal>,
}

impl Stream {
    /// Memory it holds now, in tokens.
    pub fn size(&self) -> u32 {
        if self.paused.is_some() {
            0
        } else {
            self.prompt + self.made
        }
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
    /// Mean gap between tokens seen here, in milliseconds.
    pub gap_ms: f32,
    /// Whether a report has ever come.
    pub known: bool,
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
            known: false,
            prefixes: VecDeque::new(),
            changes: VecDeque::new(),
            health: Health::default(),
        }
    }

    /// Takes in a load report received at `now`.
    pub fn take_report(&mut self, report: LoadReport, now: Instant) {
        let measured = now
            .checked_sub(Duration::from_millis(report.age_ms))
            .unwrap_or(now);
        if self.known && measured < self.reported {
            return;
        }
        self.report = report;
        self.reported = measured;
        self.known = true;
        self.leaving = report.leaving;
        while self.changes.front().is_some_and(|c| c.at <= measured) {
            self.changes.pop_front();
        }
    }

    /// Notes streams that this daemon began (or with a negative number ended) here.
    pub fn note(&mut self, streams: i32, now: Instant) {
        self.changes.push_back(Delta { at: now, streams });
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

    /// Works out the memory forecast anew from the report and the changes since.
    pub fn refresh(
        &mut self,
        streams: &SlotMap<StreamKey, Stream>,
        pooled: &Survival,
        correct: bool,
        now: Instant,
    ) {
        let own: Vec<&Stream> = self
            .streams
            .iter()
            .map(|key| &streams[*key])
            .filter(|s| s.paused.is_none())
            .collect();
        let old = own.iter().filter(|s| s.started <= self.reported);
        let own_tokens: u32 = old.clone().map(|s| s.size()).sum();
        let others = (self.report.running + self.report.waiting).saturating_sub(old.count() as u32);
        let mut peaks = [0.0; HORIZON_COUNT];
        if others > 0 {
            let foreign = self.report.used.saturating_sub(own_tokens) as f32 / others as f32;
            let age = now.duration_since(self.reported).as_millis() as f32;
            // Streams of other daemons went on making tokens since the report.
            let made = foreign * 0.5 + age / self.gap_ms.max(1.0);
            let each = growth((foreign * 0.5) as u32, made as u32, pooled);
            for (peak, tokens) in peaks.iter_mut().zip(each) {
                *peak += tokens * others as f32;
            }
        }
        let counted = own.iter().filter(|s| correct || s.started <= self.reported);
        for s in counted {
            for (peak, tokens) in peaks.iter_mut().zip(growth(s.prompt, s.made, &s.survival)) {
                *peak += tokens;
            }
        }
        self.peaks = peaks;
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

    /// Whether work may be sent here.
    pub fn usable(&self, now: Instant) -> bool {
        self.stays() && self.health.usable(now)
    }
}
