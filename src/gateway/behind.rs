//! How far a copy of the store is behind the changes that peers have reported.

use crate::platform::Position;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of changes that are tracked one by one; of more, the oldest and the newest are kept.
const MAX_TRACKED: usize = 64;

/// Reported changes that a copy does not have yet, oldest first, each with the time when it was first reported.
#[derive(Debug, Default)]
pub struct Behind {
    missing: VecDeque<(Position, Instant)>,
}

/// How far a copy is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delay {
    /// Time since the oldest missing change was first reported.
    pub time: Duration,
    /// Number of missing changes that were reported, at most 64.
    pub changes: usize,
    /// The newest of them.
    pub newest: Position,
}

impl Behind {
    /// Records at `now` that a peer reported a change that this copy does not have.
    pub fn report(&mut self, change: Position, now: Instant) {
        if self.missing.back().is_some_and(|(newest, _)| change <= *newest) {
            return;
        }
        if self.missing.len() == MAX_TRACKED {
            self.missing.pop_back();
        }
        self.missing.push_back((change, now));
    }

    /// Records that the copy has all changes up to `position`.
    pub fn reach(&mut self, position: Position) {
        while self.missing.front().is_some_and(|(change, _)| *change <= position) {
            self.missing.pop_front();
        }
    }

    /// How far the copy is behind; `None` if it has all reported changes.
    pub fn delay(&self, now: Instant) -> Option<Delay> {
        let ((_, since), (newest, _)) = (self.missing.front()?, self.missing.back()?);
        let time = now.saturating_duration_since(*since);
        Some(Delay { time, changes: self.missing.len(), newest: *newest })
    }
}
