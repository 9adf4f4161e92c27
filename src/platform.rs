//! The platform's key-value service as the system sees it.
//!
//! Everything that must last or be agreed goes through this trait: single-key
//! compare-and-swap, leases and watches, nothing more.

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// Prefix of all keys of the system.
pub const ROOT: &str = "/tidestair/";

/// A call of the platform's service that did not answer well.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The call took no effect.
    #[snafu(display(
        "the platform's service is unavailable ({reason}); it is tried again, check its health"
    ))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display(
        "the platform's service gave no answer ({reason}); the effect is settled by reading"
    ))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
}

/// Result of a call of the platform's service.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A place in the order of a service's changes, where the service may come back from an older copy of itself. It then
/// has lost what it acknowledged since the copy was made, and gives the same revisions out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the service had come back from a copy; zero where it never says.
    pub era: u64,
    /// The service's revision in that era.
    pub revision: u64,
}

impl Position {
    /// Before the first change.
    pub const START: Position = Position { era: 0, revision: 0 };

    /// A revision of an era.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Whether it is before the first change.
    pub fn is_start(self) -> bool {
        self == Position::START
    }

    /// The least one after it.
    pub fn next(self) -> Position {
        Position { revision: self.revision + 1, ..self }
    }
}

/// A value and the revision that wrote it. Where the service may go back, revisions are of type [`Position`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<R = u64> {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// The service's revision at the last write of this key.
    pub revision: R,
}

/// Entries below a prefix, all read at one revision.
#[derive(Debug, Clone)]
pub struct Range<R = u64> {
    /// In the order of their keys.
    pub entries: Vec<Entry<R>>,
    /// The service's revision at the read.
    pub revision: R,
}

/// What a compare-and-swap expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No value.
    Absent,
    /// The value written at this revision.
    Revision(u64),
}

/// Which way a compare-and-swap went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap<R = u64> {
    /// Done, at this revision.
    Won(R),
    /// Something else was found; nothing was written.
    Lost,
}

/// A change seen by a watch.
#[derive(Debug, Clone)]
pub struct Change<R = u64> {
    /// The key.
    pub key: String,
    /// The new value; `None` where it was deleted.
    pub value: Option<Vec<u8>>,
    /// The service's revision of the change.
    pub revision: R,
}

/// The id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// The platform's key-value service.
pub trait Platform: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, PlatformResult<Option<Entry>>>;
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, PlatformResult<Range>>;
    /// Writes (or with `None` deletes) a key if it is as expected.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, PlatformResult<Swap>>;
    /// Opens a lease of `ttl_ms` milliseconds (whole seconds at the service).
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, PlatformResult<LeaseId>>;
    /// Renews a lease; `false` where it has lapsed.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, PlatformResult<bool>>;
    /// Changes below `prefix` after revision `after`; the channel closes when the watch breaks.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, PlatformResult<mpsc::Receiver<Vec<Change>>>>;
}

/// Counts calls by kind before handing them on.
pub struct Counted {
    inner: Arc<dyn Platform>,
    calls: CallCounts,
}

/// Calls made so far, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads of one key or a prefix.
    pub reads: AtomicU64,
    /// Compare-and-swaps, lease grants and renewals.
    pub writes: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
}

impl CallCounts {
    /// The counts by name.
    pub fn by_kind(&self) -> BTreeMap<&'static str, u64> {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        BTreeMap::from([
            ("read", load(&self.reads)),
            ("watch", load(&self.watches)),
            ("write", load(&self.writes)),
        ])
    }
}

impl Counted {
    /// Counts the calls made to `inner`.
    pub fn new(inner: Arc<dyn Platform>) -> Counted {
        Counted { inner, calls: CallCounts::default() }
    }

    /// The counts so far.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Platform for Counted {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, PlatformResult<Option<Entry>>> {
        increment(&self.calls.reads);
        self.inner.get(key)
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, PlatformResult<Range>> {
        increment(&self.calls.reads);
        self.inner.range(prefix)
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, PlatformResult<Swap>> {
        increment(&self.calls.writes);
        self.inner.swap(key, expect, value, lease)
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, PlatformResult<LeaseId>> {
        increment(&self.calls.writes);
        self.inner.grant(ttl_ms)
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, PlatformResult<bool>> {
        increment(&self.calls.writes);
        self.inner.renew(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, PlatformResult<mpsc::Receiver<Vec<Change>>>> {
        increment(&self.calls.watches);
        self.inner.watch(prefix, after)
    }
}
