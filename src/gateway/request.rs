//! A caller's request as the gateway forwards it, and the response.

use crate::gateway::buffers::Reservation;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::shares::share_tag;
use crate::gateway::software::Software;
use crate::gateway::table::{RegionList, Route, RouteKind};
use crate::gateway::tag::Tag;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, StatusCode};
use snafu::Snafu;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Expected size of a generation; all 0 for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Upper limit of output tokens.
    pub max_tokens: u32,
    /// Number of output tokens that the caller expects.
    pub expected_tokens: Option<u32>,
}

impl Size {
    /// Memory that the generation is expected to occupy at its end, in tokens.
    pub fn peak_tokens(&self) -> u32 {
        let out = self.expected_tokens.map_or(self.max_tokens, |hint| hint.min(self.max_tokens));
        self.prompt_tokens.saturating_add(out)
    }
}

/// The workspace that sent the request, and the API key that proves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential {
    /// The workspace's name.
    pub workspace: Arc<str>,
    /// The caller's API key. It is looked up again before each send, as it may have been revoked meanwhile.
    pub key: String,
    /// Regions that requests of the workspace must stay in.
    pub homes: RegionList,
    /// Priority that overrides the route's, if the workspace declares one.
    pub priority: Option<u8>,
}

/// A caller's request. Times are on this process's monotonic clock.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id that the caller gave this attempt.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// Headers for the backend server, without hop-by-hop headers and those that the gateway itself consumes.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// Reserves the body's share of the memory for request bodies, until the request is dropped.
    pub body_permit: Option<Arc<Reservation>>,
    /// The route that was in effect when the request arrived.
    pub route: Arc<Route>,
    /// Present if the route requires an API key.
    pub credential: Option<Credential>,
    /// When the request's head had been read.
    pub arrived: Instant,
    /// When the final response is due.
    pub deadline: Instant,
    /// For how long the caller waited when the request arrived; it may send further attempts within this time.
    pub caller_time: Duration,
    /// The expected size of the generation.
    pub size: Size,
    /// Id of the last event that the caller has received, if it continues a stream.
    pub after: Option<u64>,
    /// Fingerprints of the parts of the prompt that other requests may share, which are all but the last.
    pub parts: Vec<Fingerprint>,
    /// Id of the caller's attempt that brought the first event of the stream, if it continues one.
    pub resumes: Option<String>,
    /// The software that began the stream, once it is known; the stream goes on only there.
    pub begun_by: OnceLock<Software>,
    /// Whether another daemon passed the request on.
    pub forwarded: bool,
    /// The fingerprint, computed on first use.
    pub cached_fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// Time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Priority; 0 is the most urgent. It was determined when the request arrived, so that a later change of
    /// the configuration does not reorder requests that run.
    pub fn priority(&self) -> u8 {
        let workspace = self.credential.as_ref().and_then(|credential| credential.priority);
        workspace.unwrap_or(self.route.priority)
    }

    /// Tag under which the request's load counts for its workspace at a service.
    pub(super) fn share_tag(&self, service: &str) -> Tag {
        share_tag(service, self.credential.as_ref().map(|credential| &*credential.workspace))
    }

    /// What a crash of its server may be due to: the request, or one of the shared parts of its prompt.
    pub fn suspects(&self) -> Vec<Fingerprint> {
        [self.fingerprint()].into_iter().chain(self.parts.iter().copied()).collect()
    }

    /// Whether the call continues a stream of an earlier attempt.
    pub fn continues(&self) -> bool {
        self.after.is_some() && self.route.kind == RouteKind::Streaming
    }

    /// Tag of the attempt that began the call's stream: this one or the one that it names.
    pub fn stream(&self) -> Tag {
        Tag::of(self.resumes.as_deref().unwrap_or(&self.id))
    }

    /// Identifies the same request across attempts and daemons.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.cached_fingerprint.get_or_init(|| Fingerprint::of(self))
    }
}

/// A response body that ended before it was complete.
#[derive(Debug, Clone, Snafu)]
#[snafu(display(
    "the response is incomplete: {reason}; send the request again if it may run twice"
))]
pub struct IncompleteBody {
    /// What happened to the connection or the stream.
    pub reason: String,
}

/// The body of a response.
pub type AnswerBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Creates a body from bytes that are all in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// The response to a caller.
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body; ends with an error if the response is incomplete.
    pub body: AnswerBody,
}
