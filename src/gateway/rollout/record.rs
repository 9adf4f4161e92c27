//! State of a rollout as recorded in the store.

use crate::platform::Position;
use serde::{Deserialize, Serialize};

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The candidate gets a bounded fraction of the requests.
    Trial,
    /// The candidate was found sound; all requests, including running ones, move to it.
    Shift,
    /// The new version is in force.
    Completed,
    /// The new version gets no requests.
    Reverted,
}

impl State {
    /// Whether the rollout has ended.
    pub fn is_final(self) -> bool {
        self >= State::Completed
    }

    /// Whether a record may replace this state by `next`. A final state stays, except that a version which
    /// another daemon found bad is still reverted.
    pub(super) fn may_become(self, next: State) -> bool {
        self != next && (!self.is_final() || next == State::Reverted)
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            State::Trial => "trial",
            State::Shift => "shift",
            State::Completed => "completed",
            State::Reverted => "reverted",
        }
    }
}

/// The store's record of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of the order in the store.
    pub order: u64,
    /// Era of that revision.
    #[serde(default)]
    pub era: u64,
    /// The new version.
    #[serde(default)]
    pub version: String,
    /// State of the rollout.
    pub state: State,
    /// Reason for the state.
    pub why: String,
}

impl Record {
    /// Position in the store at which the order was written.
    pub(super) fn order_position(&self) -> Position {
        Position::new(self.era, self.order)
    }
}

/// A rollout's record, and what the store holds in its place.
#[derive(Debug)]
pub(super) struct KnownRecord {
    pub(super) record: Record,
    /// Position of the record in the store; [`Position::START`] if the store has none.
    pub(super) position: Position,
    /// Whether the store holds this record, not an older one or none.
    pub(super) stored: bool,
}
