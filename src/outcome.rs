//! How a request ends, and the proof that lets a daemon say `not_run`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The one outcome of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete,
    /// Nothing that could run reached a backend server; safe to send again.
    NotRun,
    /// It may have run.
    Unknown,
    /// Tokens were delivered and the rest of the generation is lost.
    Cut,
}

impl Outcome {
    /// The name used in bodies, headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Cut => "cut",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Proof that no byte of a request has left for a backend server.
///
/// Made once for each request, before its first dispatch. [`crate::wire`]
/// consumes it with the first write and hands it back only where the write
/// provably did not happen. It is neither `Clone` nor `Copy`.
#[derive(Debug)]
pub struct NotSent(());

impl NotSent {
    /// Begins a request of which nothing has been sent yet.
    pub(crate) fn begin() -> NotSent {
        NotSent(())
    }

    /// The first byte is about to be written: from here on the request may run.
    pub fn spend(self) {}

    /// The backend server itself says that it started nothing.
    pub(crate) fn declared() -> NotSent {
        NotSent(())
    }
}

/// Why a request ended other than `complete`. `NotRun` carries its proof.
#[derive(Debug)]
pub enum Failure {
    /// Nothing ran.
    NotRun {
        /// Spent by saying so.
        proof: NotSent,
        /// What the caller is told.
        reason: Reason,
    },
    /// It may have run.
    Unknown {
        /// What the caller is told.
        reason: Reason,
    },
    /// Delivered in part.
    Cut {
        /// What the caller is told.
        reason: Reason,
    },
}

impl Failure {
    /// A failure of a request of which nothing was sent.
    pub fn not_run(proof: NotSent, reason: Reason) -> Failure {
        Failure::NotRun { proof, reason }
    }

    /// A failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Failure {
        Failure::Unknown { reason }
    }

    /// The outcome that the caller is told.
    pub fn outcome(&self) -> Outcome {
        match self {
            Failure::NotRun { .. } => Outcome::NotRun,
            Failure::Unknown { .. } => Outcome::Unknown,
            Failure::Cut { .. } => Outcome::Cut,
        }
    }

    /// The reason that the caller is told.
    pub fn reason(&self) -> &Reason {
        match self {
            Failure::NotRun { reason, .. } => reason,
            Failure::Unknown { reason } => reason,
            Failure::Cut { reason } => reason,
        }
    }
}

/// What a caller is told about a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reason {
    /// HTTP status, where the answer has not begun.
    pub status: u16,
    /// Stable short code, as `no_capacity`.
    pub code: &'static str,
    /// A sentence that names the remedy.
    pub message: String,
    /// When to come back, in milliseconds, where it helps.
    pub retry_ms: Option<u64>,
}

impl Reason {
    /// A reason without a time to come back.
    pub fn new(status: u16, code: &'static str, message: impl Into<String>) -> Reason {
        Reason { status, code, message: message.into(), retry_ms: None }
    }

    /// The same reason with a time to come back.
    pub fn retry_after(mut self, ms: u64) -> Reason {
        self.retry_ms = Some(ms);
        self
    }

    /// The reason of a daemon or pool that has no room now.
    pub fn no_capacity(retry_ms: u64) -> Reason {
        Reason::new(
            429,
            "no_capacity",
            "no replica has room; send the request again after Retry-After",
        )
        .retry_after(retry_ms)
    }
}
