//! How far a roll-out has come, as the store has it.

use crate::platform::Position;
use serde::{Deserialize, Serialize};

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The candidate gets a part of the requests.
    Trial,
    /// The candidate was found sound, and all requests and runs go there.
    Shift,
    /// The new version is in force.
    Completed,
    /// The new version gets nothing.
    Reverted,
}

impl State {
    /// Whether the roll-out is over.
    pub fn is_final(self) -> bool {
        self >= State::Completed
    }

    /// Whether the store's record may lead from one state to another. What is over stays as it ended, but a version
    /// that another daemon found bad goes out.
    pub(super) fn may_become(self, next: State) -> bool {
        self != next && (!self.is_final() || next == State::Reverted)
    }

    /// The name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            State::Trial => "trial",
            State::Shift => "shift",
            State::Completed => "completed",
            State::Reverted => "reverted",
        }
    }
}

/// What the store holds of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The store's revision of the order.
    pub order: u64,
    /// The era of that revision.
    #[serde(default)]
    pub era: u64,
    /// The new version.
    #[serde(default)]
    pub version: String,
    /// How far the roll-out has come.
    pub state: State,
    /// Why.
    pub why: String,
}

impl Record {
    /// Where the store wrote the order.
    pub(super) fn order_position(&self) -> Position {
        Position::new(self.era, self.order)
    }
}

/// The record of a roll-out, and what the store has of it.
#[derive(Debug)]
pub(super) struct KnownRecord {
    pub(super) record: Record,
    /// Where the store has its record; the start where it has none.
    pub(super) position: Position,
    /// Whether that is this record, and not an older one or none.
    pub(super) stored: bool,
}
