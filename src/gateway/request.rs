//! A caller's request on its way through the gateway, and the answer to it.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::table::{RegionList, Route};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// What a generation is expected to take; all 0 for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Tokens of the answer that the caller expects.
    pub expected_tokens: Option<u32>,
}

impl Size {
    /// Memory that the generation is expected to hold at its end, in tokens.
    pub fn peak_tokens(&self) -> u32 {
        let out = self.expected_tokens.map_or(self.max_tokens, |hint| hint.min(self.max_tokens));
        self.prompt_tokens.saturating_add(out)
    }
}

/// Time for one token of an answer on a busy engine: 8 to 10 ms were seen, prompts beside it included.
const TOKEN_TIME: Duration = Duration::from_millis(12);
/// Time until the first token: the first event came within 1.5 s in 99 of 100.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(1_500);

impl Size {
    /// Time that the generation may take; nothing for plain services.
    pub fn max_duration(&self) -> Duration {
        match self.max_tokens {
            0 => Duration::ZERO,
            most => FIRST_TOKEN_TIME + TOKEN_TIME.saturating_mul(most),
        }
    }
}

/// Whose request it is: the workspace and the key that says so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// The caller's key; it is looked up again before each sending.
    pub key: String,
    /// Regions that requests of the workspace must stay in.
    pub homes: RegionList,
}

/// A caller's request. Time limits are on this process's steady clock.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's id of this attempt.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// Headers for the backend server, without those that concern one connection or the system.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The part of the memory for bodies that it takes, as long as the request lives.
    pub body_permit: Option<Arc<OwnedSemaphorePermit>>,
    /// The route in force when it arrived.
    pub route: Arc<Route>,
    /// Present where the route needs a key.
    pub credential: Option<Credential>,
    /// When its head had been read.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// What it is expected to take.
    pub size: Size,
    /// The last event that the caller has of a stream it continues.
    pub after: Option<u64>,
    /// Its fingerprint, once it is needed.
    pub cached_fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// Time left until the final answer is due.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// What makes the request known again beyond this attempt.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.cached_fingerprint.get_or_init(|| Fingerprint::of(self))
    }
}

/// Why a body ended before its time.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("the answer broke off: {reason}; send the request again if it may run twice"))]
pub struct IncompleteBody {
    /// What was seen.
    pub reason: String,
}

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// A body that is there as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// The answer to a caller.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Body; ends in an error where the answer is not complete.
    pub body: AnswerBody,
}
