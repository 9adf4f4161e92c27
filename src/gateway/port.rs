//! Traits for what the gateway needs from its environment. Adapters implement them for the protocols of a
//! particular deployment.

use crate::gateway::condition::Remarks;
use crate::gateway::request::{Answer, AnswerBody, Call};
use crate::gateway::rollout::{Order, State};
use crate::gateway::servers::ServerRecord;
use crate::gateway::table::Table;
use crate::outcome::NotSent;
use crate::platform::{self, LeaseId, PlatformError, PlatformResult, Position};
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, StatusCode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A backend server's address, with the id of the server that is expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Id that is new after each restart of a server. Any other server at the address refuses the request.
    pub id: Arc<str>,
    /// The server's address.
    pub addr: SocketAddr,
}

/// A copy of a run's memory at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCopy {
    /// The server that issued the copy's handle.
    pub server: SocketAddr,
    /// The copy's handle at that server.
    pub handle: String,
}

/// Options for sending a request to a backend server.
#[derive(Debug, Clone)]
pub struct SendOptions {
    /// The server to send to.
    pub to: Destination,
    /// Time that the backend server has for the request.
    pub time_left: Duration,
    /// The copy to resume the run from, if any.
    pub resume_from: Option<RunCopy>,
    /// Id of the last event that the server must not send again.
    pub after: Option<u64>,
    /// Priority by which an engine orders the request, 0 first; `None` if its service has no order.
    pub priority: Option<u8>,
}

/// How the end of a response body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk. A body that is cut short fails.
    Marked,
    /// By the end of its connection. A body that is cut short looks complete unless the connection is reset.
    Close,
}

impl BodyEnd {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Marked => "marked",
            BodyEnd::Close => "close",
        }
    }
}

/// A backend server's response.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whether the server states that it did not run the request.
    pub declined: bool,
    /// Whether a different server now has the address.
    pub misdirected: bool,
    /// What the response says about the server.
    pub remarks: Remarks,
    /// The body. Dropping it closes the connection, which stops the request at the server.
    pub body: AnswerBody,
    /// How the end of the body is recognized.
    pub body_end: BodyEnd,
}

/// A request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    Unsent {
        /// The proof that was passed to the transport.
        proof: Option<NotSent>,
        /// Whether the connection was refused: nothing listens at the address any more.
        refused: bool,
        /// The error of the connection.
        reason: String,
    },
    /// The request may have run.
    Unanswered {
        /// The error of the connection.
        reason: String,
    },
}

/// Why a connection to a server was not established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing listens at the address.
    Refused,
    /// There was no answer in time, or another error.
    Other,
}

/// A copy of a run's memory, made at its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copied {
    /// The copy's handle.
    pub handle: String,
    /// Number of events that the run had produced.
    pub events: u64,
}

/// Why a copy was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotCopied {
    /// The server runs no such request.
    NoRun,
    /// Another copy of the run is being made.
    Busy,
    /// The target has no memory left. If the run was stopped, its memory stays at its server under this
    /// handle.
    NoRoom(Option<String>),
    /// The server did not answer, or its answer could not be decoded.
    Unanswered(String),
}

/// The result of a server's health check.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Whether the server is healthy.
    pub healthy: bool,
    /// What the response says about the server.
    pub remarks: Remarks,
}

/// A server's report of its state, which is some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// What the response says about the server, in its headers or its body.
    pub remarks: Remarks,
    /// The server's runs: the number of events that each has produced, by request id.
    pub runs: HashMap<String, u64>,
}

/// The response to a requested copy.
#[derive(Debug, Clone, PartialEq)]
pub struct CopyAnswer {
    /// The copy, or why it was not made.
    pub outcome: Result<Copied, NotCopied>,
    /// What the response says about the run's server.
    pub remarks: Remarks,
}

/// Communication with backend servers.
pub trait BackendTransport: Send + Sync {
    /// Sends a request. `proof` is present if the request has never run; it is lost once the first byte is
    /// sent.
    fn send<'a>(
        &'a self,
        call: &'a Call,
        options: SendOptions,
        proof: Option<NotSent>,
    ) -> BoxFuture<'a, Result<Reply, SendError>>;

    /// Copies the memory of a run from `source` to `target`. With `stop_run`, the run is stopped first.
    fn copy<'a>(
        &'a self,
        source: SocketAddr,
        run: &'a str,
        target: SocketAddr,
        stop_run: bool,
    ) -> BoxFuture<'a, CopyAnswer>;

    /// Checks a server's health at `path`. A server that is about to leave is unhealthy, and its health check
    /// says so without the delay of a report. It may also be unhealthy, or wrongly say so, for other reasons.
    /// Fails if a different server answers at the address.
    fn health<'a>(
        &'a self,
        server: &'a Destination,
        path: &'a str,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Health, String>>;

    /// Fetches a server's report.
    fn report(
        &self,
        server: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Report, String>>;

    /// Opens a connection to the server's address and closes it again.
    fn connect(
        &self,
        server: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<(), ConnectFailure>>;

    /// Frees a copy that is not needed any more.
    fn free<'a>(&'a self, source: SocketAddr, handle: &'a str) -> BoxFuture<'a, ()>;
}

/// Passes callers' requests on to other daemons.
pub trait DaemonTransport: Send + Sync {
    /// Sends a request to the daemon that accepts callers at `to`, and returns its response. `proof` is present
    /// if the request has never run; it is lost once the first byte is sent.
    fn forward<'a>(
        &'a self,
        call: &'a Call,
        to: SocketAddr,
        time_left: Duration,
        proof: Option<NotSent>,
    ) -> BoxFuture<'a, Result<Answer, SendError>>;
}

/// A key of the store with its value.
pub type Entry = platform::Entry<Position>;

/// A change of a key.
pub type Change = platform::Change<Position>;

/// The outcome of a conditional write.
pub type Swap = platform::Swap<Position>;

/// A lease. It is valid in one era of the store only: after the store was restored from a copy, it may give
/// the same id to another lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The lease's id.
    pub id: LeaseId,
    /// The era in which it was granted.
    pub era: u64,
}

/// The result of a read that waits for changes.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
    /// The position up to which `changes` is complete.
    pub revision: Position,
    /// Time that it took to receive the answer once it had begun.
    pub transfer: Duration,
}

/// A page of keys of the store. The pages of one read do not form a consistent snapshot.
#[derive(Debug, Clone)]
pub struct Page {
    /// The entries, in the order of their keys.
    pub entries: Vec<Entry>,
    /// The store's position at the time of the read.
    pub revision: Position,
    /// Whether more entries follow.
    pub more: bool,
}

/// The platform's key-value store, with reads that wait for changes and keys bound to leases.
pub trait Store: Send + Sync {
    /// Reads one page of the keys that start with `prefix` and come after `after`. The store sets the page's
    /// size.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, PlatformResult<Page>>;
    /// Waits up to `wait` for changes below `prefix` after a position. `None` if the store no longer has the
    /// changes since then, or was restored from a copy meanwhile.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'a, PlatformResult<Option<Changes>>>;
    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, PlatformResult<Lease>>;
    /// Renews a lease; `false` if it has expired or is of an earlier era.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, PlatformResult<bool>>;
    /// Writes a key under a lease; `false` if the lease has expired or is of an earlier era.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Lease,
    ) -> BoxFuture<'a, PlatformResult<bool>>;
    /// Writes `puts` if `key` was last changed at position `at`. [`Position::START`] means that `key` does
    /// not exist.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        at: Position,
        puts: Vec<(String, Vec<u8>)>,
    ) -> BoxFuture<'a, PlatformResult<Swap>>;
    /// Ends a lease and deletes its keys. Does nothing if the lease is of an earlier era.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, PlatformResult<()>>;
}

/// Grants a lease and writes a key under it.
pub async fn put_leased(
    store: &dyn Store,
    key: &str,
    value: Vec<u8>,
    ttl: Duration,
) -> PlatformResult<Lease> {
    let lease = store.grant(ttl).await?;
    match store.put(key, value, lease).await? {
        true => Ok(lease),
        false => Err(PlatformError::Unavailable {
            reason: "the lease expired before its key was written".into(),
        }),
    }
}

/// A value of the store that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

/// The names of the store's keys, and the decoding of their values.
pub trait Schema: Send + Sync {
    /// The key of the declared configuration.
    fn declaration(&self) -> &str;
    /// The prefix of the entries that backend servers write about themselves.
    fn servers(&self) -> &str;
    /// The prefix of the keys that daemons write about themselves.
    fn daemons(&self) -> &str;
    /// The prefix of the keys that name closed halls, to which nothing is sent. Their values are ignored.
    fn closed_halls(&self) -> &str;
    /// The prefix of the keys that name requests which crash servers, by fingerprint. Their values are
    /// ignored.
    fn quarantine(&self) -> &str;
    /// The prefix of the operators' orders for rollouts, by service.
    fn rollouts(&self) -> &str;
    /// The prefix of the daemons' records of rollouts, by service.
    fn rollout_records(&self) -> &str;
    /// Decodes an order for the rollout of a service.
    fn rollout(&self, service: &str, value: &[u8]) -> Result<Order, DecodeError>;
    /// The key and the value that show operators the state of a rollout.
    fn rollout_status(&self, service: &str, version: &str, state: State) -> (String, Vec<u8>);
    /// Decodes a declared configuration.
    fn table(&self, value: &[u8]) -> Result<Table, DecodeError>;
    /// Decodes a backend server's entry.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, DecodeError>;
}
