//! Interface to the platform's key-value service.
//!
//! All state that must be durable or agreed between daemons goes through the [`Platform`] trait. It offers
//! only reads, single-key compare-and-swap, leases and watches.

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// Prefix of all keys that tidestair stores.
pub const ROOT: &str = "/tidestair/";

/// Failure of a call to the platform's key-value service.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The call had no effect.
    #[snafu(display(
        "the platform's key-value service is unavailable ({reason}); the call is retried, check the service's health"
    ))]
    Unavailable {
        /// What went wrong in the call, as seen by the client.
        reason: String,
    },
    /// The call may have taken effect.
    #[snafu(display(
        "the platform's key-value service did not answer ({reason}); a read will show whether the call took effect"
    ))]
    NoAnswer {
        /// What went wrong in the call, as seen by the client.
        reason: String,
    },
}

/// Result of a call to the platform's key-value service.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Position in the change history of a service that may be restored from a backup. A restore loses the
/// changes acknowledged since the backup was made, and the service then assigns the same revisions a second
/// time. The era tells them apart.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times the service had been restored from a backup; zero if it does not report this.
    pub era: u64,
    /// The service's revision within the era.
    pub revision: u64,
}

impl Position {
    /// The position before the first change.
    pub const START: Position = Position { era: 0, revision: 0 };

    /// Creates a position from an era and a revision in it.
    pub fn new(era: u64, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns whether this is the position before the first change.
    pub fn is_start(self) -> bool {
        self == Position::START
    }

    /// Returns the position directly after this one, in the same era.
    pub fn next(self) -> Position {
        Position { revision: self.revision + 1, ..self }
    }
}

/// A key, its value and the revision that wrote it. `R` is [`Position`] for a service that may be restored
/// from a backup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<R = u64> {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Vec<u8>,
    /// Revision of the last write to this key.
    pub revision: R,
}

/// Entries under a prefix, all read at the same revision.
#[derive(Debug, Clone)]
pub struct Range<R = u64> {
    /// The entries, sorted by key.
    pub entries: Vec<Entry<R>>,
    /// Revision at which the entries were read.
    pub revision: R,
}

/// Precondition of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key has no value.
    Absent,
    /// The last write to the key has this revision.
    Revision(u64),
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap<R = u64> {
    /// The write was applied, at this revision.
    Won(R),
    /// The precondition did not hold; nothing was written.
    Lost,
}

/// A change reported by a watch.
#[derive(Debug, Clone)]
pub struct Change<R = u64> {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: R,
}

/// Identifier of a lease. The service deletes a key attached to a lease when the lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// Client of the platform's key-value service.
pub trait Platform: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, PlatformResult<Option<Entry>>>;
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, PlatformResult<Range>>;
    /// Writes a key, or deletes it if `value` is `None`, provided that `expect` holds. If a lease is given,
    /// the key is attached to it.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, PlatformResult<Swap>>;
    /// Creates a lease of `ttl_ms` milliseconds. The service itself counts in whole seconds.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, PlatformResult<LeaseId>>;
    /// Renews a lease. Returns `false` if it has expired.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, PlatformResult<bool>>;
    /// Watches for changes under `prefix` after revision `after`. The channel closes when the watch is
    /// interrupted.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, PlatformResult<mpsc::Receiver<Vec<Change>>>>;
}

/// A [`Platform`] that counts calls by kind and forwards them to another one.
pub struct Counted {
    inner: Arc<dyn Platform>,
    calls: CallCounts,
}

/// Number of calls made so far, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads of a key or of a prefix.
    pub reads: AtomicU64,
    /// Compare-and-swaps, lease grants and renewals.
    pub writes: AtomicU64,
    /// Watches started.
    pub watches: AtomicU64,
}

impl CallCounts {
    /// Returns the counts, keyed by the name of the kind.
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
    /// Wraps `inner` and counts the calls made to it.
    pub fn new(inner: Arc<dyn Platform>) -> Counted {
        Counted { inner, calls: CallCounts::default() }
    }

    /// Returns the counts so far.
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
