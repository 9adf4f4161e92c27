//! Claims on keys of calls that must not be repeated, and their answers.

use serde::{Deserialize, Serialize};

/// Hash of a key within its workspace and service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

/// Tells two claims apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u128);

impl Nonce {
    /// A new one.
    pub fn random() -> Nonce {
        Nonce(rand::random())
    }
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, where it is small enough.
    pub body: Vec<u8>,
    /// Whether the body was left out for its size.
    pub omitted: bool,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// It stands: the call may be dispatched, once.
    Yours,
    /// Another claim stands and has no outcome yet.
    Taken,
    /// It ran; this is its outcome.
    Settled(StoredAnswer),
    /// The key was used with another body.
    Mismatch,
    /// The platform's service cannot say now; nothing was claimed for this caller.
    Unavailable,
}

/// A claim as it is asked for, here or of the daemon that writes its shard.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ClaimAsk {
    /// The key.
    pub key: ClaimKey,
    /// Chosen by the claimant; asking again with it settles a lost answer.
    pub nonce: Nonce,
    /// Hash of the call.
    pub body: u128,
    /// How long claim and outcome are kept, in milliseconds.
    pub retention_ms: u64,
}

impl Claimed {
    /// The name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Claimed::Yours => "yours",
            Claimed::Taken => "taken",
            Claimed::Settled(_) => "settled",
            Claimed::Mismatch => "mismatch",
            Claimed::Unavailable => "unavailable",
        }
    }
}
