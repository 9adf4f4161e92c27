//! Messages between daemons, encoded as a version byte followed by `postcard` data.

use crate::ask::Ask;
use crate::claim::{ClaimAsk, ClaimKey, Claimed, Nonce, StoredAnswer};
use crate::member::Record;
use crate::replica::Signal;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Protocol version that this daemon writes, and the highest that it supports. A newer version may add
/// variants and trailing fields. A daemon answers a request that it cannot decode with
/// [`Reply::NotUnderstood`].
pub const VERSION: u8 = 1;

/// A heartbeat, sent as a datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own record, followed by those it received about other daemons.
    pub records: Vec<Record>,
}

/// The first message on a new bidirectional stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the configuration changes after a revision.
    Fetch {
        /// Revision that the requesting daemon has applied.
        have: u64,
    },
    /// Claims a key; sent to the daemon that writes the shard of the key.
    Claim(ClaimAsk),
    /// Asks for a replica of a pool.
    Place(PlaceAsk),
    /// Reports the outcome of a claim.
    Settle {
        /// The claimed key.
        key: ClaimKey,
        /// Nonce of the claim.
        nonce: Nonce,
        /// The answer to store; `None` releases the claim.
        answer: Option<StoredAnswer>,
    },
}

/// Request for a replica, sent to the daemon that manages the pool's queue. The stream stays open for as long
/// as the replica is in use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceAsk {
    /// Name of the pool.
    pub pool: String,
    /// The generation to place.
    pub ask: Ask,
    /// Maximum time in the queue, in milliseconds.
    pub wait_ms: u64,
}

/// Message from the daemon that manages the queue, on the stream of a [`PlaceAsk`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum PlaceReply {
    /// The request is still queued.
    Waiting,
    /// The replica to use.
    Granted(SocketAddr),
    /// The request was rejected for lack of capacity.
    Shed {
        /// Delay before the next attempt, in milliseconds.
        retry_ms: u64,
    },
    /// Pauses or resumes the generation.
    Signal(Signal),
}

/// Message from the requesting daemon, on the stream of a [`PlaceAsk`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum PlaceUpdate {
    /// The generation completed normally.
    Done {
        /// Number of tokens generated.
        tokens: u32,
    },
}

/// A configuration key as sent to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change to the key.
    pub revision: u64,
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The requesting daemon has the latest configuration.
    UpToDate,
    /// Changes after the requested revision, in order.
    Changes(Vec<Item>),
    /// The complete configuration at a revision.
    Snapshot {
        /// Revision of the snapshot.
        revision: u64,
        /// All keys with their values.
        items: Vec<Item>,
    },
    /// Result of a claim.
    Claimed(Claimed),
    /// The request was carried out.
    Done,
    /// The request has a version that this daemon cannot decode.
    NotUnderstood,
}

/// Why a message could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreadable {
    /// The message is empty (reported as version 0), or has version 0 or a newer one and cannot be decoded.
    Version(u8),
    /// The message has a supported version but is malformed.
    Broken,
}

/// Encodes a message, preceded by the version byte.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(postcard::to_stdvec(message).expect("messages are always serializable"));
    bytes
}

/// Decodes a message. Trailing fields of a newer version are ignored.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Unreadable> {
    let (version, payload) = bytes.split_first().ok_or(Unreadable::Version(0))?;
    match postcard::take_from_bytes::<T>(payload) {
        Ok((message, trailing)) if trailing.is_empty() || *version > VERSION => Ok(message),
        _ if *version > VERSION || *version == 0 => Err(Unreadable::Version(*version)),
        _ => Err(Unreadable::Broken),
    }
}
