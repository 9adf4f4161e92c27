//! The status of copies of the store and the updates that daemons exchange about them.

use crate::gateway::chunks::Outline;
use crate::gateway::servers::ServerRecord;
use crate::platform::Position;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The status of a daemon's copy, sent with its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// The position up to which the copy is complete.
    pub position: Position,
    /// The last significant change: one that is more than a server's heartbeat.
    pub last_change: Position,
    /// The position up to which servers' entries and the other urgent keys are complete; never below
    /// `position`.
    pub servers_position: Position,
    /// The last significant change of those keys up to `servers_position`.
    pub last_server_change: Position,
    /// The position after which the copy knows every deletion: a full read of the store does not show earlier
    /// ones.
    pub deletions_known_after: Position,
    /// Time since the copy was last confirmed to be current, in milliseconds.
    pub age_ms: u32,
    /// A checksum of the values that the sender retains although the store has lost them; zero if there
    /// are none.
    pub retained_checksum: u64,
}

/// A value that the store has lost and that stays in effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retained {
    /// The key.
    pub key: String,
    /// The content in effect.
    pub content: Content,
    /// The position of its write, in an earlier era.
    pub position: Position,
    /// The position of the store's change that it overrides.
    pub overridden: Position,
    /// Time until it expires, in milliseconds; `None` if it lasts until the key is written.
    pub remaining_ms: Option<u32>,
}

/// The latest state of one key, as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyUpdate {
    /// The key.
    pub key: String,
    /// The position of its last change.
    pub revision: Position,
    /// The position of its last significant change. The receiver can't derive it: a server that was
    /// deleted and came back looks unchanged to it.
    pub last_significant: Position,
    /// Its content.
    pub content: Content,
}

/// The content of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The key was deleted.
    Deleted,
    /// The bytes of the value in the store.
    Value(Bytes),
    /// A backend server's entry, parsed. It takes a fifth of the bytes that the server writes, and
    /// servers' entries are most of what daemons store and exchange.
    Server(ServerRecord),
    /// The outline of a large value, in updates only; its chunks are requested separately.
    Chunked(Outline),
}

impl Content {
    /// Whether the key was deleted.
    pub fn is_deleted(&self) -> bool {
        *self == Content::Deleted
    }

    /// Whether it is the outline of a large value.
    pub fn is_chunked(&self) -> bool {
        matches!(self, Content::Chunked(_))
    }

    /// Number of bytes of the value in the store; zero for a parsed server's entry.
    pub fn bytes(&self) -> usize {
        match self {
            Content::Deleted | Content::Server(_) | Content::Chunked(_) => 0,
            Content::Value(value) => value.len(),
        }
    }
}

/// The changes that a daemon sends to one whose copy is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The status of the sender's copy.
    pub copy_status: CopyStatus,
    /// Whether `keys` lists all keys, so that keys not in it are deleted.
    pub full: bool,
    /// Whether every change is included; otherwise large values were left out.
    pub complete: bool,
    /// The position of the first full read of the store in this era: later changes were written in this
    /// era.
    pub first_read: Position,
    /// Keys with their latest changes.
    pub keys: Vec<KeyUpdate>,
    /// Values that stay in effect although the store has lost them.
    pub retained: Vec<Retained>,
}

impl Update {
    /// The contents of all keys and retained values.
    pub fn contents(&self) -> impl Iterator<Item = (&str, &Content)> {
        let keys = self.keys.iter().map(|key| (&*key.key, &key.content));
        keys.chain(self.retained.iter().map(|retained| (&*retained.key, &retained.content)))
    }

    /// Replaces contents by those that `replace` returns for them.
    pub fn replace_contents(&mut self, mut replace: impl FnMut(&str, &Content) -> Option<Content>) {
        let keys = self.keys.iter_mut().map(|key| (&*key.key, &mut key.content));
        let retained = self.retained.iter_mut();
        let retained = retained.map(|retained| (&*retained.key, &mut retained.content));
        for (key, content) in keys.chain(retained) {
            if let Some(replacement) = replace(key, content) {
                *content = replacement;
            }
        }
    }

    /// Whether any value is sent as chunks.
    pub fn is_chunked(&self) -> bool {
        self.contents().any(|(_, content)| content.is_chunked())
    }

    /// The same update without the values that are sent as chunks.
    pub fn without_chunked(&self) -> Update {
        let keys = self.keys.iter().filter(|key| !key.content.is_chunked()).cloned().collect();
        let retained = self.retained.iter().filter(|retained| !retained.content.is_chunked());
        let retained = retained.cloned().collect();
        let complete = self.complete && !self.is_chunked();
        Update { keys, retained, complete, ..*self }
    }
}

/// What a copy is missing compared with a peer's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// No significant change.
    Nothing,
    /// Large values only.
    LargeValues,
    /// Changes of any kind.
    Changes,
}
