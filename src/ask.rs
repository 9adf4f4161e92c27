//! What is asked of a pool, here or over a link to its keeper.

use crate::forecast::LengthKey;
use serde::{Deserialize, Serialize};

/// A generation that asks for a place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// Whose lengths it is like.
    pub lengths: LengthKey,
    /// Weight of the workspace.
    pub share: u32,
    /// Priority of the class.
    pub priority: u8,
    /// Whether a reader sees each token as it comes.
    pub streamed: bool,
    /// Name of the policy that places it.
    pub policy: String,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Tokens of the prefix.
    pub prefix_tokens: u32,
}

/// No place: come back after this many milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// When to come back.
    pub retry_ms: u64,
}
