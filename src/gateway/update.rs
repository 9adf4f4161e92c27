//! What daemons tell and give each other of their copies of the store.

use crate::gateway::servers::ServerRecord;
use crate::platform::Position;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What a daemon says of its copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// The position up to which nothing is missing.
    pub position: Position,
    /// The last change that matters.
    pub changed: Position,
    /// The position up to which no server's entry is missing; that of the copy or beyond it.
    pub servers: Position,
    /// The last change of a server's entry up to there.
    pub servers_changed: Position,
    /// The position from which on it knows every deletion: a copy that was read as a whole does not show
    /// what went before.
    pub since: Position,
    /// How long ago the store was known to stand so, in milliseconds.
    pub age_ms: u32,
    /// A checksum of the values that the sender retains though the store has lost them; zero where there are none.
    pub retained: u64,
}

/// A value that the store has lost and that still holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retained {
    /// The key.
    pub key: String,
    /// What it holds.
    pub content: Content,
    /// Where it was written, in an earlier era.
    pub position: Position,
    /// The change in whose place it stands.
    pub over: Position,
    /// How long it still stands, in milliseconds; `None` where it does until the key is written.
    pub left_ms: Option<u32>,
}

/// One key on its way between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// The key.
    pub key: String,
    /// Its last change.
    pub revision: Position,
    /// The last one that matters. A daemon that is given the key can't tell by itself: a
    /// server that went and came back looks to it as it did before.
    pub mattered: Position,
    /// What it holds.
    pub content: Content,
}

/// What a key holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Nothing: it was deleted.
    Deleted,
    /// A value as the store has it.
    Value(Bytes),
    /// A backend server's entry, as it was read: a fifth of the bytes of what the server writes, which most of all
    /// that daemons hold and give each other consists of.
    Server(ServerRecord),
}

impl Content {
    /// Whether the key was deleted.
    pub fn is_deleted(&self) -> bool {
        *self == Content::Deleted
    }

    /// Bytes of a value as the store has it.
    pub fn bytes(&self) -> usize {
        match self {
            Content::Deleted | Content::Server(_) => 0,
            Content::Value(value) => value.len(),
        }
    }
}

/// What a daemon that is behind is given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// How the giver's copy stands.
    pub copy_status: CopyStatus,
    /// Whether the cells are all there is: other keys are gone.
    pub full: bool,
    /// Whether the cells have every change; otherwise large values were left out.
    pub complete: bool,
    /// Where the giver's first read of the whole store in this era stood: what is later was written in this era.
    pub base: Position,
    /// Keys with their latest changes.
    pub cells: Vec<Cell>,
    /// Values that stand though the store has lost them.
    pub retained: Vec<Retained>,
}

/// What a copy lacks against a peer's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// Nothing that matters.
    Nothing,
    /// Large values only.
    LargeValues,
    /// Changes of any kind.
    Changes,
}
