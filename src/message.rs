//! Messages between daemons: a version byte, then `postcard`.

use crate::ask::Ask;
use crate::claim::{ClaimAsk, ClaimKey, Claimed, Nonce, StoredAnswer};
use crate::member::Record;
use crate::replica::Signal;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version that this daemon writes and the highest it knows. A newer one may add variants and
/// trailing fields; what it cannot read it answers with [`Reply::NotUnderstood`].
pub const VERSION: u8 = 1;

/// A heartbeat, sent as a datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's record first, then others it heard of.
    pub records: Vec<Record>,
}

/// A request on a stream of its own.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// The configuration after this revision.
    Fetch {
        /// Revision that the asker has in force.
        have: u64,
    },
    /// A claim on a key, asked of the daemon that writes its shard.
    Claim(ClaimAsk),
    /// A place in a pool.
    Place(PlaceAsk),
    /// The outcome of a claim.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Its claim.
        nonce: Nonce,
        /// The answer; `None` gives the claim back.
        answer: Option<StoredAnswer>,
    },
}

/// A place asked for of the daemon that keeps a pool's queue; the stream stays open while it is used.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceAsk {
    /// Name of the pool.
    pub pool: String,
    /// What is to be placed.
    pub ask: Ask,
    /// Longest wait in milliseconds.
    pub wait_ms: u64,
}

/// What the keeper says on such a stream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum PlaceReply {
    /// Still in the queue.
    Waiting,
    /// The replica to use.
    Granted(SocketAddr),
    /// No place.
    Shed {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// Pause, or go on.
    Signal(Signal),
}

/// What the asker says on such a stream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum PlaceUpdate {
    /// The generation ended properly.
    Done {
        /// Its tokens.
        tokens: u32,
    },
}

/// One key of the configuration on its way to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value; `None` where it was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing newer.
    UpToDate,
    /// Changes after the asker's revision, in order.
    Changes(Vec<Item>),
    /// Everything, at this revision.
    Snapshot {
        /// The revision.
        revision: u64,
        /// All keys.
        items: Vec<Item>,
    },
    /// The answer to a claim.
    Claimed(Claimed),
    /// Done.
    Done,
    /// The request is of a version that this daemon cannot read.
    NotUnderstood,
}

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// No bytes, or of a newer version with parts unknown here.
    Version(u8),
    /// Of a known version, and broken.
    Broken,
}

/// Writes a message with its version byte.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(postcard::to_stdvec(message).expect("a message is plain data"));
    bytes
}

/// Reads a message; unknown trailing parts of a newer version are left out.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Unreadable> {
    let (version, payload) = bytes.split_first().ok_or(Unreadable::Version(0))?;
    match postcard::take_from_bytes::<T>(payload) {
        Ok((message, trailing)) if trailing.is_empty() || *version > VERSION => Ok(message),
        _ if *version > VERSION || *version == 0 => Err(Unreadable::Version(*version)),
        _ => Err(Unreadable::Broken),
    }
}
