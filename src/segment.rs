//! What the journal writes: records, the segments that hold them, and what they come to for a key.

use crate::claim::{ClaimKey, Claimed, Nonce, StoredAnswer};
use serde::{Deserialize, Serialize};

/// About how many bytes a record takes without its body.
const RECORD_BYTES: usize = 64;

/// One line of a segment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Record {
    Claim { key: ClaimKey, nonce: Nonce, body: u128 },
    Settle { key: ClaimKey, nonce: Nonce, kept: StoredAnswer },
    Release { key: ClaimKey, nonce: Nonce },
}

/// Records that one writer appended together.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Tells its writer's attempt from others at the same number.
    pub nonce: Nonce,
    /// Unix time in milliseconds after which all of it may be forgotten.
    pub forget_ms: u64,
    /// In the order in which they count.
    pub records: Vec<Record>,
}

impl Record {
    /// About how many bytes it takes in a segment.
    pub fn bytes(&self) -> usize {
        match self {
            Record::Settle { kept, .. } => RECORD_BYTES + kept.body.len(),
            Record::Claim { .. } | Record::Release { .. } => RECORD_BYTES,
        }
    }
}

/// What the journal holds of a key.
pub(crate) struct Claim {
    pub nonce: Nonce,
    pub body: u128,
    /// The outcome, once it is settled.
    pub answer: Option<StoredAnswer>,
    /// Number of the segment that claimed it.
    pub segment: u64,
}

impl Claim {
    /// What a claimant is told.
    pub fn answer(&self, nonce: Nonce, body: u128) -> Claimed {
        if self.body != body {
            return Claimed::Mismatch;
        }
        match &self.answer {
            Some(kept) => Claimed::Settled(kept.clone()),
            None if self.nonce == nonce => Claimed::Yours,
            None => Claimed::Taken,
        }
    }
}
