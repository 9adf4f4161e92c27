//! Reading the store into the mirror: everything once, then what has changed.
//!
//! Each answer also says that nothing else has changed, as of the moment of the question. One
//! daemon reads for all; the others hear of changes from it. Who reads is not agreed upon: each
//! daemon reads unless one that ranks before it has read lately.

use crate::gateway::cluster::Cluster;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::{Changes, Store};
use crate::platform::{PlatformError, PlatformResult, Position, Range};
use crate::time;
use futures_util::future::BoxFuture;
use log::{debug, info, warn};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Longest wait of one question for changes: the age that a confirmation may reach by waiting.
const CHANGES_WAIT: Duration = Duration::from_millis(400);
/// Time for an answer after which the servers' entries are asked for apart: with a large value in it, it
/// takes seconds on a narrow link, and that a server leaves may not wait for it. Longer than the wait
/// and a slow store's answer to it.
const SLOW_ANSWER: Duration = Duration::from_millis(650);
/// Least time between two questions, so that changes which come together are asked for once.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a question that failed; it doubles with each further one.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause of the daemon that is first in the order of reading: it finds the store's return,
/// and the others hear of it.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// What each daemon before another one in that order adds to its longest pause.
const RETRY_PAUSE_STEP: Duration = Duration::from_millis(150);
/// Daemons that add to it at most: a daemon whose peers are all cut off reads within 1.5 s.
const MAX_PAUSE_STEPS: u32 = 8;
/// Pause of a daemon that need not read, before it looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// All keys: one question then covers configuration, servers and daemons. Every call is priced.
const ALL_KEYS: &str = "";

/// See the module.
pub struct Follower {
    mirror: Arc<Mirror>,
    cluster: Arc<Cluster>,
    store: Arc<dyn Store>,
    /// Whether the store answers.
    is_reachable: bool,
    /// Questions that failed since the last one that did not.
    failures: u32,
}

impl Follower {
    /// A follower that has read nothing.
    pub fn new(mirror: Arc<Mirror>, cluster: Arc<Cluster>, store: Arc<dyn Store>) -> Follower {
        Follower { mirror, cluster, store, is_reachable: true, failures: 0 }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        loop {
            let asked_at = time::now();
            if !self.cluster.should_read(asked_at) {
                sleep(self.cluster.time_to_next_read_check(asked_at).max(POLL_INTERVAL)).await;
                continue;
            }
            let read = self.read(asked_at).await;
            let outcome = if read.is_ok() { "read" } else { "failed" };
            self.cluster.metrics().store_reads.with_label_values(&[outcome]).inc();
            match read {
                // A peer has given everything.
                Ok(false) => {}
                Ok(true) => {
                    self.cluster.note_store_read(time::now());
                    self.note_answer();
                    self.failures = 0;
                    sleep(MIN_READ_INTERVAL.saturating_sub(time::since(asked_at))).await;
                }
                Err(e) => {
                    self.cluster.note_store_failure(time::now());
                    self.note_failure(&e);
                    self.failures += 1;
                    let before = self.cluster.readers_before(time::now());
                    sleep(retry_pause(self.failures, before)).await;
                }
            }
        }
    }

    /// Reads what has changed, or everything. Says whether it did, or a peer gave it.
    async fn read(&mut self, asked_at: Instant) -> PlatformResult<bool> {
        let after = self.mirror.position();
        if after.is_start() {
            return self.read_all(asked_at).await;
        }
        match self.read_urgent_until(self.store.changes(ALL_KEYS, after, CHANGES_WAIT)).await? {
            Some(changes) => {
                let now = time::now();
                self.mirror.store_answered(now, now);
                self.mirror.advance(changes.changes, changes.revision, asked_at, now);
                Ok(true)
            }
            None => {
                info!(after = after.revision, era = after.era; "the store's history is gone; reading everything again");
                self.read_all(asked_at).await
            }
        }
    }

    async fn read_all(&mut self, asked_at: Instant) -> PlatformResult<bool> {
        let Some(all) = self.read_urgent_until(Box::pin(self.read_pages())).await? else {
            return Ok(false);
        };
        let now = time::now();
        self.mirror.store_answered(now, now);
        self.mirror.replace(all.entries, all.revision, asked_at, now);
        Ok(true)
    }

    /// Reads everything; `None` where a peer gives it meanwhile.
    async fn read_pages(&self) -> PlatformResult<Option<Range<Position>>> {
        let mut page = self.store.page(ALL_KEYS, None).await?;
        if page.more
            && self.has_none_of(page.revision.era)
            && self.await_peer_copy(page.revision.era).await?
        {
            return Ok(None);
        }
        // Pages are no snapshot: what changes after the first is asked for again.
        let mut range = Range { entries: Vec::new(), revision: page.revision };
        loop {
            range.entries.append(&mut page.entries);
            let Some(last) = range.entries.last().filter(|_| page.more) else {
                return Ok(Some(range));
            };
            page = self.store.page(ALL_KEYS, Some(&last.key)).await?;
            if page.revision.era != range.revision.era {
                // What was read is of a history that the store has lost.
                page = self.store.page(ALL_KEYS, None).await?;
                range = Range { entries: Vec::new(), revision: page.revision };
            }
        }
    }

    /// Whether this copy has nothing of an era.
    fn has_none_of(&self, era: u64) -> bool {
        let position = self.mirror.position();
        position.is_start() || position.era < era
    }

    /// Waits for a peer's copy where others are to read the store first: of daemons that start together, or to which it
    /// comes back together, few read all of its pages. Says whether one was given.
    async fn await_peer_copy(&self, era: u64) -> PlatformResult<bool> {
        let asked_at = time::now();
        if self.mirror.position().is_start() {
            let daemons =
                self.store.page(&self.mirror.daemons_of(self.cluster.hall()), None).await?;
            self.mirror.apply_early(daemons.entries, asked_at, time::now());
        }
        let until = asked_at + self.cluster.startup_wait();
        while self.has_none_of(era) && time::now() < until {
            sleep(POLL_INTERVAL).await;
        }
        Ok(!self.has_none_of(era))
    }

    /// Waits for an answer, and follows the servers' entries apart while it takes long.
    async fn read_urgent_until<T>(&self, mut answer: BoxFuture<'_, T>) -> T {
        loop {
            if let Ok(answer) = timeout(SLOW_ANSWER, &mut answer).await {
                return answer;
            }
            let read = tokio::select! {
                answer = &mut answer => return answer,
                read = self.read_urgent() => read,
            };
            if !read {
                // The store doesn't answer: asking it more often would cost more and tell nothing.
                return answer.await;
            }
        }
    }

    /// Reads what has changed of servers' entries and of closed halls. Says whether that came.
    async fn read_urgent(&self) -> bool {
        let after = self.mirror.urgent_position();
        let asked_at = time::now();
        if after.is_start() {
            return false;
        }
        let [servers, halls, rollouts] = self.mirror.urgent();
        // Servers' changes, the more frequent ones, are waited for; the others are looked at beside them.
        let servers = self.read_prefix(servers, after, CHANGES_WAIT);
        let halls = self.read_prefix(halls, after, Duration::ZERO);
        let rollouts = self.read_prefix(rollouts, after, Duration::ZERO);
        let (servers, halls, rollouts) = tokio::join!(servers, halls, rollouts);
        let (Some(mut read), Some(halls), Some(rollouts)) = (servers, halls, rollouts) else {
            debug!(after = after.revision; "servers' entries, closed halls and roll-outs not read apart");
            return false;
        };
        let revision = read.revision.min(halls.revision).min(rollouts.revision);
        // An order goes before the servers that it is about.
        read.changes.extend(halls.changes);
        read.changes.extend(rollouts.changes);
        read.changes.sort_by_key(|change| change.revision);
        let now = time::now();
        self.mirror.store_answered(now, now);
        self.mirror.advance_urgent(read.changes, revision, asked_at, now);
        true
    }

    async fn read_prefix(&self, prefix: &str, after: Position, wait: Duration) -> Option<Changes> {
        let read = self.store.changes(prefix, after, wait).await;
        let outcome = if read.is_ok() { "servers" } else { "failed" };
        self.cluster.metrics().store_reads.with_label_values(&[outcome]).inc();
        read.ok().flatten()
    }

    fn note_answer(&mut self) {
        if !self.is_reachable {
            self.is_reachable = true;
            info!("the store answers again");
        }
    }

    fn note_failure(&mut self, e: &PlatformError) {
        if self.is_reachable {
            self.is_reachable = false;
            warn!(why = e.to_string().as_str(); "the store does not answer");
        }
    }
}

/// The pause after so many failures in a row, where so many daemons read before this one.
fn retry_pause(failures: u32, before: usize) -> Duration {
    let steps = u32::try_from(before).unwrap_or(MAX_PAUSE_STEPS).min(MAX_PAUSE_STEPS);
    let max_pause = MAX_RETRY_PAUSE + RETRY_PAUSE_STEP * steps;
    let doubled =
        INITIAL_RETRY_PAUSE.saturating_mul(2u32.saturating_pow(failures.saturating_sub(1)));
    doubled.min(max_pause)
}
