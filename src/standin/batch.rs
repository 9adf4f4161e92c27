//! A continuously batching engine, modelled: memory fills while decoding and then preempts.

use super::events::{CacheEvent, Change, Events};
use crate::engine::LoadReport;
use crate::seal::GenerationId;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Sizes and speeds of a stand-in engine.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// Time of a step with nothing in it, in microseconds.
    pub step_us: u64,
    /// Time that each decoding generation adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each prompt token adds to the step that computes it, in microseconds.
    pub prefill_us: u64,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk: u32,
    /// Most generations decoding at once.
    pub max_running: usize,
    /// Tokens that its prefix cache holds.
    pub cache_tokens: u32,
    /// Age of the load reports in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            memory_tokens: 8_000,
            step_us: 18_000,
            sequence_us: 150,
            prefill_us: 25,
            prefill_chunk: 512,
            max_running: 64,
            cache_tokens: 4_000,
            report_lag_ms: 500,
        }
    }
}

/// What a new generation asks for.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens it will make, known to the stand-in alone.
    pub output: u32,
    /// Key of its prompt prefix, with the prefix's tokens.
    pub prefix: Option<Prefix>,
    /// Higher goes first.
    pub priority: u8,
}

/// A prompt prefix that may be cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of its text.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// How far a generation is, for its reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Tokens made.
    pub made: u32,
    /// Whether it made its last.
    pub done: bool,
    /// Whether it is gone.
    pub gone: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Paused,
    Done,
}

struct Gen {
    ask: Ask,
    phase: Phase,
    prefill_left: u32,
    progress: watch::Sender<Progress>,
    order: u64,
}

/// The engine's state between two steps.
pub struct Batch {
    spec: EngineSpec,
    gens: HashMap<GenerationId, Gen>,
    running: Vec<GenerationId>,
    waiting: VecDeque<GenerationId>,
    cache: VecDeque<Prefix>,
    events: Events,
    used: u32,
    preemptions: u64,
    arrivals: u64,
    made: u64,
}

impl Batch {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Batch {
        Batch {
            spec,
            gens: HashMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            events: Events::default(),
            used: 0,
            preemptions: 0,
            arrivals: 0,
            made: 0,
        }
    }

    /// Changes the memory's size while it runs.
    pub fn set_memory(&mut self, tokens: u32) {
        self.spec.memory_tokens = tokens;
    }

    /// Takes a generation; returns the prompt tokens found in the cache.
    pub fn add(&mut self, id: GenerationId, ask: Ask) -> u32 {
        self.arrivals += 1;
        let cached = ask.prefix.map_or(0, |p| self.cached(p));
        let start = Progress { made: 0, done: false, gone: false };
        let gens = Gen {
            ask,
            phase: Phase::Waiting,
            prefill_left: 0,
            progress: watch::Sender::new(start),
            order: self.arrivals,
        };
        self.gens.insert(id, gens);
        self.enqueue(id, false);
        cached
    }

    /// Follows a generation.
    pub fn follow(&self, id: GenerationId) -> Option<watch::Receiver<Progress>> {
        self.gens.get(&id).map(|g| g.progress.subscribe())
    }

    /// How many readers a generation has.
    pub fn readers(&self, id: GenerationId) -> usize {
        self.gens.get(&id).map_or(0, |g| g.progress.receiver_count())
    }

    /// Prompt tokens of a generation.
    pub fn prompt(&self, id: GenerationId) -> u32 {
        self.gens.get(&id).map_or(0, |g| g.ask.prompt)
    }

    /// Takes a paused generation up again.
    pub fn unpause(&mut self, id: GenerationId) {
        if self.gens.get(&id).is_some_and(|g| g.phase == Phase::Paused) {
            self.enqueue(id, true);
        }
    }

    /// Stops a generation and frees its memory; it keeps its tokens.
    pub fn pause(&mut self, id: GenerationId) -> bool {
        let Some(g) = self.gens.get(&id) else {
            return false;
        };
        match g.phase {
            Phase::Running => self.free(id),
            Phase::Waiting => self.waiting.retain(|w| *w != id),
            Phase::Paused => return true,
            Phase::Done => return false,
        }
        self.gens.get_mut(&id).expect("found above").phase = Phase::Paused;
        true
    }

    /// Ends a generation; says whether it had started, `None` where it is unknown.
    pub fn cancel(&mut self, id: GenerationId) -> Option<bool> {
        let g = self.gens.get(&id)?;
        let started = g.progress.borrow().made > 0 || g.phase != Phase::Waiting;
        match g.phase {
            Phase::Running => self.free(id),
            Phase::Waiting => self.waiting.retain(|w| *w != id),
            Phase::Paused | Phase::Done => {}
        }
        let g = self.gens.remove(&id).expect("found above");
        g.progress.send_modify(|p| p.gone = true);
        Some(started)
    }

    /// Loses everything, as a crash does.
    pub fn clear(&mut self) {
        let spec = self.spec.clone();
        for g in self.gens.values() {
            g.progress.send_modify(|p| p.gone = true);
        }
        *self = Batch { preemptions: self.preemptions, made: self.made, ..Batch::new(spec) };
    }

    /// One step: admit, compute prompts, decode. Returns how long it takes.
    pub fn step(&mut self) -> Duration {
        self.admit();
        let prefill = self.prefill();
        let decoded = self.decode();
        let us = self.spec.step_us
            + self.spec.sequence_us * decoded
            + self.spec.prefill_us * u64::from(prefill);
        Duration::from_micros(us)
    }

    /// The load now.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            capacity: self.spec.memory_tokens,
            used: self.used,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            preemptions: self.preemptions,
            age_ms: 0,
            leaving: false,
        }
    }

    /// Cache events after `sequence`, as late as the engine publishes them.
    pub fn cache_events(&self, sequence: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        self.events.published(sequence, lag, now)
    }

    /// Tokens made since the start.
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Generations that have not ended.
    pub fn open(&self) -> usize {
        self.gens.values().filter(|g| g.phase != Phase::Done).count()
    }

    fn size(&self, id: GenerationId) -> u32 {
        let g = &self.gens[&id];
        g.ask.prompt + g.progress.borrow().made
    }

    fn enqueue(&mut self, id: GenerationId, first: bool) {
        let g = self.gens.get_mut(&id).expect("a known generation");
        g.phase = Phase::Waiting;
        let priority = g.ask.priority;
        let before = |w: &GenerationId| {
            let other = self.gens[w].ask.priority;
            if first { other > priority } else { other >= priority }
        };
        let at = self.waiting.iter().take_while(|w| before(w)).count();
        self.waiting.insert(at, id);
    }

    fn free(&mut self, id: GenerationId) {
        self.used -= self.size(id);
        self.running.retain(|r| *r != id);
    }

    fn admit(&mut self) {
        while let Some(&id) = self.waiting.front() {
            let size = self.size(id);
            let fits = self.used + size < self.spec.memory_tokens || self.running.is_empty();
            if !fits || self.running.len() >= self.spec.max_running {
                return;
            }
            self.waiting.pop_front();
            let prefix = self.gens[&id].ask.prefix;
            let cached = prefix.map_or(0, |p| self.cached(p));
            if let Some(p) = prefix {
                self.remember(p);
            }
            let g = self.gens.get_mut(&id).expect("queued");
            g.phase = Phase::Running;
            g.prefill_left = size - cached.min(size);
            self.used += size;
            self.running.push(id);
        }
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.spec.prefill_chunk;
        for id in &self.running {
            let g = self.gens.get_mut(id).expect("running");
            let now = g.prefill_left.min(budget);
            g.prefill_left -= now;
            budget -= now;
        }
        self.spec.prefill_chunk - budget
    }

    fn decode(&mut self) -> u64 {
        let ready: Vec<GenerationId> =
            self.running.iter().copied().filter(|id| self.gens[id].prefill_left == 0).collect();
        let mut decoded = 0;
        for id in ready {
            // An earlier one may have preempted this one.
            if self.gens[&id].phase != Phase::Running {
                continue;
            }
            if self.used + 1 > self.spec.memory_tokens && !self.preempt(id) {
                continue;
            }
            if self.gens[&id].phase == Phase::Running {
                self.emit(id);
                decoded += 1;
            }
        }
        decoded
    }

    fn emit(&mut self, id: GenerationId) {
        self.used += 1;
        self.made += 1;
        let g = self.gens.get_mut(&id).expect("running");
        let output = g.ask.output;
        let mut done = false;
        g.progress.send_modify(|p| {
            p.made += 1;
            p.done = p.made >= output;
            done = p.done;
        });
        if done {
            g.phase = Phase::Done;
            self.free(id);
        }
    }

    /// Preempts the newest generation of the lowest priority; `false` where only `keep` runs.
    fn preempt(&mut self, keep: GenerationId) -> bool {
        let rank = |id: &GenerationId| {
            (self.gens[id].ask.priority, std::cmp::Reverse(self.gens[id].order))
        };
        let Some(victim) = self.running.iter().copied().min_by_key(rank) else {
            return false;
        };
        if victim == keep && self.running.len() == 1 {
            return true;
        }
        self.free(victim);
        self.preemptions += 1;
        self.enqueue(victim, true);
        true
    }

    fn cached(&self, prefix: Prefix) -> u32 {
        if self.cache.contains(&prefix) { prefix.tokens } else { 0 }
    }

    fn remember(&mut self, prefix: Prefix) {
        let now = Instant::now();
        if !self.cache.contains(&prefix) {
            self.events.note(Change::Added, prefix.key, now);
        }
        self.cache.retain(|p| *p != prefix);
        self.cache.push_back(prefix);
        while self.cache.iter().map(|p| p.tokens).sum::<u32>() > self.spec.cache_tokens {
            let Some(evicted) = self.cache.pop_front() else { return };
            self.events.note(Change::Evicted, evicted.key, now);
        }
    }
}
