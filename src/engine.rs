//! Model engines as the system sees them. The protocol of one kind of engine is in [`crate::adapter`].

use crate::outcome::NotSent;
use crate::seal::GenerationId;
use crate::wire::Fault;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which caller interface a generation came through; engines offer both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// One generation as it is handed to an engine.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Chosen before the dispatch.
    pub generation: GenerationId,
    /// The caller's interface.
    pub shape: Shape,
    /// The caller's JSON body.
    pub body: Bytes,
    /// Priority of the class; higher goes first.
    pub priority: u8,
    /// How long the generation lives without a reader, in milliseconds.
    pub orphan_ms: u64,
}

/// What an engine sends for one generation.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineEvent {
    /// The engine has taken the generation.
    Accepted {
        /// Prompt tokens found in its prefix cache.
        cached: u32,
    },
    /// One token.
    Token(Token),
    /// The proper end.
    Finished(Finish),
}

/// One token of a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Token {
    /// Generation that the engine says it belongs to.
    pub generation: GenerationId,
    /// Counted from 1.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// The proper end of a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens made, which is the last index.
    pub output_tokens: u32,
}

/// Why an engine did not open a generation.
#[derive(Debug)]
pub enum OpenError {
    /// It was not run: never sent, or the engine says that it did not start it.
    NotRun(NotSent),
    /// The engine is leaving and says that it did not start it.
    Leaving(NotSent),
    /// It may be running.
    Unknown,
    /// The engine refuses the request itself; another replica would as well.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The engine's message.
        message: String,
    },
}

/// Why an engine did not resume a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// The engine does not have it any more.
    Gone,
    /// No answer; it may be tried again.
    Unreachable,
}

/// Load of one replica, as it reports it with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Tokens its memory holds.
    pub capacity: u32,
    /// Tokens in use.
    pub used: u32,
    /// Generations decoding.
    pub running: u32,
    /// Generations waiting inside the engine.
    pub waiting: u32,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Whether the replica is leaving.
    pub leaving: bool,
}

/// The events of one generation, in the order sent.
pub trait EngineStream: Send {
    /// The next event; `None` where the stream ended without its proper end.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<EngineEvent>, Fault>>;
}

/// An open stream of an engine.
pub type OpenStream = Box<dyn EngineStream>;

/// The engines' protocol.
pub trait Engine: Send + Sync {
    /// Starts a generation.
    fn open<'a>(
        &'a self,
        replica: SocketAddr,
        dispatch: &'a Dispatch,
        proof: NotSent,
    ) -> BoxFuture<'a, Result<OpenStream, OpenError>>;
    /// Goes on with a generation after token `after`; takes a paused one up again.
    fn resume(
        &self,
        replica: SocketAddr,
        generation: GenerationId,
        after: u32,
    ) -> BoxFuture<'_, Result<OpenStream, ResumeError>>;
    /// Ends a generation; `true` where the engine confirms that it had not started.
    fn cancel(&self, replica: SocketAddr, generation: GenerationId) -> BoxFuture<'_, bool>;
    /// Stops a generation and frees its memory until it is resumed.
    fn pause(&self, replica: SocketAddr, generation: GenerationId) -> BoxFuture<'_, bool>;
    /// The replica's last load report.
    fn load(&self, replica: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;
}
