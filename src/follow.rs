//! Follows the platform's service and holds the revision in force, which never goes back.

use crate::message::{Item, Reply};
use crate::metrics::Metrics;
use crate::platform::{Change, Entry, Platform, PlatformResult};
use crate::snapshot::{self, Snapshot};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_millis(5_000);

/// Changes kept for peers that are a little behind.
const MOST_CHANGES: usize = 1_024;

/// The revision in force in one daemon.
#[derive(Clone)]
pub struct InForce {
    current: Arc<watch::Sender<Arc<Snapshot>>>,
    recent: Arc<Mutex<Recent>>,
    metrics: Arc<Metrics>,
}

/// The last changes, without a gap after `from`.
#[derive(Default)]
struct Recent {
    from: u64,
    changes: VecDeque<Change>,
}

impl Recent {
    fn restart(&mut self, from: u64) {
        self.from = from;
        self.changes.clear();
    }

    fn push(&mut self, batch: &[Change]) {
        self.changes.extend(batch.iter().cloned());
        while self.changes.len() > MOST_CHANGES {
            let dropped = self.changes.pop_front().expect("not empty");
            self.from = dropped.revision;
        }
    }

    fn after(&self, have: u64) -> Option<Vec<Change>> {
        let later = self.changes.iter().filter(|c| c.revision > have);
        (have >= self.from).then(|| later.cloned().collect())
    }
}

impl InForce {
    /// Nothing in force yet.
    pub fn new(metrics: Arc<Metrics>) -> InForce {
        InForce {
            current: Arc::new(watch::Sender::new(Arc::default())),
            recent: Arc::default(),
            metrics,
        }
    }

    /// The revision in force. A request takes it once and uses it throughout.
    pub fn get(&self) -> Arc<Snapshot> {
        self.current.borrow().clone()
    }

    /// Puts a whole snapshot in force if its revision is higher; says whether it did.
    pub fn take(&self, snapshot: Snapshot) -> bool {
        let mut recent = self.recent.lock().expect("recent");
        let revision = snapshot.revision;
        let newer = self.offer(snapshot);
        if newer {
            recent.restart(revision);
        }
        newer
    }

    /// Applies changes that follow the revision in force, in order.
    pub fn apply(&self, changes: &[Change]) {
        let mut recent = self.recent.lock().expect("recent");
        let current = self.get();
        let new: Vec<Change> =
            changes.iter().filter(|c| c.revision > current.revision).cloned().collect();
        if !new.is_empty() && self.offer(current.apply(&new)) {
            recent.push(&new);
        }
    }

    /// Takes changes from a peer that were asked for after the revision in force.
    pub fn take_changes(&self, items: Vec<Item>) {
        let change = |i: Item| Change { key: i.key, value: i.value, revision: i.revision };
        let changes: Vec<Change> = items.into_iter().map(change).collect();
        self.apply(&changes);
    }

    /// Takes everything from a peer, if it is newer.
    pub fn replace_all(&self, revision: u64, items: Vec<Item>) {
        let entry = |i: Item| Some(Entry { key: i.key, value: i.value?, revision: i.revision });
        let entries: Vec<Entry> = items.into_iter().filter_map(entry).collect();
        self.take(Snapshot::from_entries(&entries, revision));
    }

    /// The changes after a revision, as far back as they are kept.
    pub fn changes_after(&self, have: u64) -> Option<Vec<Change>> {
        self.recent.lock().expect("recent").after(have)
    }

    /// What a peer lacks that has `have` in force.
    pub fn since(&self, have: u64) -> Reply {
        let recent = self.recent.lock().expect("recent");
        let current = self.get();
        if current.revision <= have {
            return Reply::UpToDate;
        }
        if let Some(changes) = recent.after(have) {
            let item = |c: Change| Item { key: c.key, value: c.value, revision: c.revision };
            return Reply::Changes(changes.into_iter().map(item).collect());
        }
        let item = |e: Entry| Item { key: e.key, value: Some(e.value), revision: e.revision };
        Reply::Snapshot {
            revision: current.revision,
            items: current.to_entries().into_iter().map(item).collect(),
        }
    }

    fn offer(&self, snapshot: Snapshot) -> bool {
        let revision = snapshot.revision;
        let mut snapshot = Some(snapshot);
        let newer = self.current.send_if_modified(|current| {
            let newer = revision > current.revision;
            if let Some(next) = snapshot.take().filter(|_| newer) {
                *current = Arc::new(next);
            }
            newer
        });
        if newer {
            self.metrics.revision.set(revision as i64);
        }
        newer
    }

    /// Told of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.current.subscribe()
    }
}

/// Reads, then watches, for as long as the daemon lives. `reading` says whether it is this daemon's turn.
pub async fn follow(
    platform: Arc<dyn Platform>,
    in_force: InForce,
    mut reading: watch::Receiver<bool>,
) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        if reading.wait_for(|on| *on).await.is_err() {
            return;
        }
        let followed = tokio::select! {
            followed = read_and_watch(&*platform, &in_force, &mut backoff) => followed,
            _ = stopped(&mut reading) => Ok(()),
        };
        if let Err(e) = followed {
            log::debug!("configuration reader: {e}");
            sleep(backoff).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
    }
}

async fn stopped(reading: &mut watch::Receiver<bool>) {
    let _ = reading.wait_for(|on| !*on).await;
}

async fn read_and_watch(
    platform: &dyn Platform,
    in_force: &InForce,
    backoff: &mut Duration,
) -> PlatformResult<()> {
    let prefix = snapshot::prefix();
    let range = platform.range(&prefix).await?;
    *backoff = FIRST_BACKOFF;
    let held = in_force.get().revision;
    let behind = range.revision < held;
    note_behind(in_force, behind, range.revision, held);
    if behind {
        // Restored from an older state: what was accepted stays in force.
        sleep(LONGEST_BACKOFF).await;
        return Ok(());
    }
    let mut at = range.revision;
    in_force.take(Snapshot::from_entries(&range.entries, range.revision));
    let mut changes = platform.watch(&prefix, at).await?;
    while let Some(batch) = changes.recv().await {
        at = batch.last().map_or(at, |c| c.revision);
        in_force.apply(&batch);
    }
    log::info!("the watch on the configuration broke at revision {at}; reading again");
    sleep(FIRST_BACKOFF).await;
    Ok(())
}

fn note_behind(in_force: &InForce, behind: bool, found: u64, held: u64) {
    let was = in_force.metrics.platform_behind.get() == 1;
    in_force.metrics.platform_behind.set(i64::from(behind));
    if behind && !was {
        log::warn!(
            "the platform's service is at revision {found}, behind {held} in force; see docs/operate/platform.md"
        );
    }
}
