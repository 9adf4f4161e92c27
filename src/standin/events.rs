//! Cache events of a stand-in engine, published late and with gaps.

use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Every so many events one is never published.
const GAP_EVERY: u64 = 7;
const MOST_EVENTS: usize = 256;

/// What happened in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix was cached.
    Added,
    /// The prefix was dropped.
    Evicted,
}

/// One event.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// What happened.
    pub change: Change,
    /// Hash of the prefix.
    pub prefix: u64,
}

/// Events kept for publishing.
#[derive(Debug, Default)]
pub struct Events {
    last: u64,
    kept: VecDeque<(Instant, CacheEvent)>,
}

impl Events {
    /// Notes a change at `now`.
    pub fn note(&mut self, change: Change, prefix: u64, now: Instant) {
        self.last += 1;
        if self.last.is_multiple_of(GAP_EVERY) {
            return;
        }
        self.kept.push_back((now, CacheEvent { sequence: self.last, change, prefix }));
        if self.kept.len() > MOST_EVENTS {
            self.kept.pop_front();
        }
    }

    /// The events after `sequence` that are at least `lag` old.
    pub fn published(&self, sequence: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let old = self.kept.iter().filter(|(at, _)| now.duration_since(*at) >= lag);
        old.map(|(_, event)| *event).filter(|e| e.sequence > sequence).collect()
    }
}
