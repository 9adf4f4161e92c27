//! Traits for what the gateway needs from its environment. Adapters implement them for the protocols of a
//! particular deployment.

use crate::gateway::condition::Remarks;
use crate::gateway::request::{AnswerBody, Call};
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

/// Where a backend server is, and which one is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Id of the server's start; any other server at the address refuses.
    pub id: Arc<str>,
    /// Its address.
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
    /// Time that the backend server is given.
    pub time_left: Duration,
    /// The copy to resume the run from, if any.
    pub resume_from: Option<RunCopy>,
    /// Id of the last event that the server must not send again.
    pub after: Option<u64>,
}

/// A backend server's answer.
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Whether the server states that it did not run the request.
    pub declined: bool,
    /// Whether a different server now has the address.
    pub misdirected: bool,
    /// What the response says about the server.
    pub remarks: Remarks,
    /// The body. Dropping it closes the connection, which stops the request at the server.
    pub body: AnswerBody,
}

/// The request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent; the proof is returned.
    Unsent {
        /// As it was handed over.
        proof: Option<NotSent>,
        /// Whether the connection was refused: nothing listens at the address any more.
        refused: bool,
        /// What was seen.
        reason: String,
    },
    /// It may have run.
    Unanswered {
        /// What was seen.
        reason: String,
    },
}

/// A copy of a run's memory, made at its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copied {
    /// The copy's handle.
    pub handle: String,
    /// Number of events that the run had produced.
    pub events: u64,
}

/// A copy that was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotCopied {
    /// The server runs no such request.
    NoRun,
    /// Another copy of the run is being made.
    Busy,
    /// The target has no memory left. If the run was stopped, its memory stays at its server under this handle.
    NoRoom(Option<String>),
    /// No answer, or none that can be read.
    Unanswered(String),
}

/// What a server's health check says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Whether the server is healthy.
    pub healthy: bool,
    /// What the answer says of its server.
    pub remarks: Remarks,
}

/// What a server reports of itself, as of some hundred milliseconds ago.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// What the answer says of its server, in its head or its body.
    pub remarks: Remarks,
    /// What it runs: the events that each run has made, by the request's id.
    pub runs: HashMap<String, u64>,
}

/// The answer to a copy that was asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct CopyAnswer {
    /// What came of it.
    pub outcome: Result<Copied, NotCopied>,
    /// What the answer says of the run's server.
    pub remarks: Remarks,
}

/// Communication with backend servers.
pub trait BackendTransport: Send + Sync {
    /// Sends a request. The proof, there while the request has never run, is spent with the first byte.
    fn send<'a>(
        &'a self,
        call: &'a Call,
        options: SendOptions,
        proof: Option<NotSent>,
    ) -> BoxFuture<'a, Result<Reply, SendError>>;

    /// Copies the memory of a run from `source` to `target`; with `last` the run is stopped first.
    fn copy<'a>(
        &'a self,
        source: SocketAddr,
        run: &'a str,
        target: SocketAddr,
        stop_run: bool,
    ) -> BoxFuture<'a, CopyAnswer>;

    /// Checks a server's health at `path`. It is not well when it is about to leave, and tells so
    /// without the delay of a report; but it may be unwell, or be wrong, for other reasons. An error where another server answers at the address.
    fn health<'a>(
        &'a self,
        server: &'a Destination,
        path: &'a str,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Health, String>>;

    /// Asks a server for its report.
    fn report(
        &self,
        server: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Report, String>>;

    /// Whether nothing listens at a server's address any more, as seen within `limit`.
    fn refuses_connections(&self, server: SocketAddr, timeout: Duration) -> BoxFuture<'_, bool>;

    /// Frees a copy that is not needed.
    fn free<'a>(&'a self, source: SocketAddr, handle: &'a str) -> BoxFuture<'a, ()>;
}

/// A key of the store.
pub type Entry = platform::Entry<Position>;

/// A change of a key.
pub type Change = platform::Change<Position>;

/// The outcome of a conditional write.
pub type Swap = platform::Swap<Position>;

/// A lease, which is known to the store in one era only: it may give the id to another lease after it came back from
/// a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// The era in which it was granted.
    pub era: u64,
}

/// Changes that a waiting read gave.
#[derive(Debug, Clone)]
pub struct Changes {
    /// In the order of their revisions.
    pub changes: Vec<Change>,
    /// The position up to which nothing is missing.
    pub revision: Position,
}

/// A page of keys of the store. The pages of one read do not form a consistent snapshot.
#[derive(Debug, Clone)]
pub struct Page {
    /// In the order of their keys.
    pub entries: Vec<Entry>,
    /// The store's position at the read.
    pub revision: Position,
    /// Whether there are more.
    pub more: bool,
}

/// The platform's store as the gateway uses it: reads that wait for a change, and keys under a lease.
pub trait Store: Send + Sync {
    /// Reads keys that start with `prefix`, those after another one, as many as the store gives at a time.
    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, PlatformResult<Page>>;
    /// Changes below `prefix` after a position, at latest after `wait`; `None` where the store no
    /// longer knows that far back, or has come back from a copy since.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'a, PlatformResult<Option<Changes>>>;
    /// Opens a lease.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, PlatformResult<Lease>>;
    /// Renews a lease; `false` where it has lapsed or is of an earlier era.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, PlatformResult<bool>>;
    /// Writes a key under a lease; `false` where the lease has lapsed or is of an earlier era.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: Lease,
    ) -> BoxFuture<'a, PlatformResult<bool>>;
    /// Writes keys if `key` was last changed at this position; at the start, if it is not there.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        at: Position,
        puts: Vec<(String, Vec<u8>)>,
    ) -> BoxFuture<'a, PlatformResult<Swap>>;
    /// Ends a lease and its keys; nothing where it is of an earlier era.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, PlatformResult<()>>;
}

/// Opens a lease and writes a key under it.
pub async fn put_leased(
    store: &dyn Store,
    key: &str,
    value: Vec<u8>,
    ttl: Duration,
) -> PlatformResult<Lease> {
    let lease = store.grant(ttl).await?;
    match store.put(key, value, lease).await? {
        true => Ok(lease),
        false => Err(PlatformError::Unavailable { reason: "the lease of the key is over".into() }),
    }
}

/// A value of the store that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

/// The store's keys and the decoding of their values.
pub trait Schema: Send + Sync {
    /// The key of the declared configuration.
    fn declaration(&self) -> &str;
    /// The prefix of the backend servers' own entries.
    fn servers(&self) -> &str;
    /// The prefix of the daemons' own keys.
    fn daemons(&self) -> &str;
    /// The prefix of the keys that name halls which are to get nothing; whatever the value says.
    fn closed_halls(&self) -> &str;
    /// The prefix of the keys that name requests which end servers, by their fingerprints; whatever the
    /// value says.
    fn quarantine(&self) -> &str;
    /// The prefix of the keys that order roll-outs, by their services.
    fn rollouts(&self) -> &str;
    /// The prefix of the daemons' records of roll-outs, by their services.
    fn rollout_records(&self) -> &str;
    /// Reads an order for a roll-out of a service.
    fn rollout(&self, service: &str, value: &[u8]) -> Result<Order, DecodeError>;
    /// The key and the value that tell the operators how far a roll-out has come.
    fn rollout_status(&self, service: &str, version: &str, state: State) -> (String, Vec<u8>);
    /// Reads a declared configuration.
    fn table(&self, value: &[u8]) -> Result<Table, DecodeError>;
    /// Reads a backend server's entry.
    fn server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, DecodeError>;
}
