//! An in-memory key-value service with compare-and-swap, leases, watches and faults.

use crate::platform::{
    Change, Entry, Expect, LeaseId, Platform, PlatformError, PlatformResult, Range, Swap,
};
use futures_util::future::BoxFuture;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const RESTORE_TIME: Duration = Duration::from_millis(100);

/// Faults of the service, switched on from outside.
#[derive(Debug, Clone, Copy, Default)]
pub struct KvFaults {
    /// Refuses every call.
    pub down: bool,
    /// Delays every answer.
    pub slow: Duration,
    /// Loses the answer of this many writes after their effect.
    pub lose_answers: u32,
}

/// The service. Clones share one store.
#[derive(Clone, Default)]
pub struct Kv {
    store: Arc<Mutex<Store>>,
    faults: Arc<Mutex<KvFaults>>,
    tick: Arc<watch::Sender<u64>>,
    calls: Arc<AtomicU64>,
}

#[derive(Default)]
struct Store {
    revision: u64,
    entries: BTreeMap<String, StoredValue>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    log: Vec<Change>,
}

struct StoredValue {
    value: Vec<u8>,
    revision: u64,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

impl Kv {
    /// An empty service without faults.
    pub fn new() -> Kv {
        Kv::default()
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut KvFaults)) {
        change(&mut self.faults.lock().expect("faults"));
        // Watches look at the faults again.
        self.tick.send_modify(|_| {});
    }

    /// Replaces everything by an older state, as a restore from a backup does; watches break.
    pub fn restore(&self, entries: &[Entry]) {
        let mut store = Store::default();
        for entry in entries {
            store.write(&entry.key, Some(entry.value.clone()), None);
        }
        self.fault(|f| f.down = true);
        *self.store.lock().expect("store") = store;
        let faults = self.faults.clone();
        // Down for a moment, so that every watch notices.
        tokio::spawn(async move {
            tokio::time::sleep(RESTORE_TIME).await;
            faults.lock().expect("faults").down = false;
        });
    }

    /// Calls taken so far, refused ones included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn enter(&self) -> PlatformResult<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = *self.faults.lock().expect("faults");
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        match self.faults.lock().expect("faults").down {
            true => Err(PlatformError::Unavailable { reason: "refused".into() }),
            false => Ok(()),
        }
    }

    fn leave<T>(&self, answer: T) -> PlatformResult<T> {
        let mut faults = self.faults.lock().expect("faults");
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return Err(PlatformError::NoAnswer { reason: "answer lost".into() });
        }
        Ok(answer)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = self.store.lock().expect("store");
        store.expire(Instant::now());
        let before = store.revision;
        let answer = act(&mut store);
        let after = store.revision;
        drop(store);
        if before != after {
            self.tick.send_replace(after);
        }
        answer
    }

    async fn follow(self, prefix: String, mut after: u64, tx: mpsc::Sender<Vec<Change>>) {
        let mut tick = self.tick.subscribe();
        loop {
            if self.faults.lock().expect("faults").down {
                return;
            }
            let (batch, revision) = self.with(|s| (s.changes(&prefix, after), s.revision));
            after = revision;
            if !batch.is_empty() && tx.send(batch).await.is_err() {
                return;
            }
            tokio::select! {
                changed = tick.changed() => if changed.is_err() { return },
                () = tx.closed() => return,
            }
        }
    }
}

impl Store {
    fn select(&self, prefix: &str) -> Vec<Entry> {
        let from = self.entries.range(prefix.to_string()..);
        let below = from.take_while(|(key, _)| key.starts_with(prefix));
        below
            .map(|(key, held)| Entry {
                key: key.clone(),
                value: held.value.clone(),
                revision: held.revision,
            })
            .collect()
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Change> {
        let start = self.log.partition_point(|c| c.revision <= after);
        self.log[start..].iter().filter(|c| c.key.starts_with(prefix)).cloned().collect()
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: Option<LeaseId>) {
        self.revision += 1;
        let revision = self.revision;
        self.log.push(Change { key: key.into(), value: value.clone(), revision });
        match value {
            Some(value) => {
                self.entries.insert(key.into(), StoredValue { value, revision, lease });
            }
            None => {
                self.entries.remove(key);
            }
        }
    }

    fn swap(
        &mut self,
        key: &str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Swap {
        let found = self.entries.get(key).map(|held| held.revision);
        let as_expected = match expect {
            Expect::Absent => found.is_none(),
            Expect::Revision(revision) => found == Some(revision),
        };
        let lease_lives = lease.is_none_or(|l| self.leases.contains_key(&l.0));
        if !as_expected || !lease_lives {
            return Swap::Lost;
        }
        self.write(key, value, lease);
        Swap::Won(self.revision)
    }

    fn expire(&mut self, now: Instant) {
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in lapsed {
            self.leases.remove(&id);
            let held = self.entries.iter().filter(|(_, h)| h.lease == Some(LeaseId(id)));
            let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.write(&key, None, None);
            }
        }
    }
}

impl Platform for Kv {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, PlatformResult<Option<Entry>>> {
        Box::pin(async move {
            self.enter().await?;
            let found = self.with(|s| s.entries.get(key).map(|h| (h.value.clone(), h.revision)));
            Ok(found.map(|(value, revision)| Entry { key: key.into(), value, revision }))
        })
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, PlatformResult<Range>> {
        Box::pin(async move {
            self.enter().await?;
            Ok(self.with(|s| Range { entries: s.select(prefix), revision: s.revision }))
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, PlatformResult<Swap>> {
        Box::pin(async move {
            self.enter().await?;
            let answer = self.with(|s| s.swap(key, expect, value, lease));
            self.leave(answer)
        })
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, PlatformResult<LeaseId>> {
        Box::pin(async move {
            self.enter().await?;
            let ttl = Duration::from_millis(ttl_ms);
            let id = self.with(|s| {
                s.last_lease += 1;
                let id = s.last_lease;
                s.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
                id
            });
            self.leave(LeaseId(id))
        })
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, PlatformResult<bool>> {
        Box::pin(async move {
            self.enter().await?;
            let lives = self.with(|s| match s.leases.get_mut(&lease.0) {
                Some(held) => {
                    held.until = Instant::now() + held.ttl;
                    true
                }
                None => false,
            });
            self.leave(lives)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, PlatformResult<mpsc::Receiver<Vec<Change>>>> {
        Box::pin(async move {
            self.enter().await?;
            let (tx, rx) = mpsc::channel(64);
            tokio::spawn(self.clone().follow(prefix.to_string(), after, tx));
            Ok(rx)
        })
    }
}
