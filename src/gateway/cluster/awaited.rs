//! Reports how far this daemon's copy of the store is behind and what it is waiting for.

use super::Cluster;
use crate::gateway::clock::millis_between;
use log::warn;
use std::fmt::{Display, Formatter, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A copy that is behind for longer than this is logged, and again after each further period of this length.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A transfer from a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub(super) peer: SocketAddr,
    pub(super) since: Instant,
    /// Bytes received so far.
    pub(super) received: usize,
    /// Total number of bytes; zero until it is known.
    pub(super) total: usize,
}

/// What a daemon whose copy is behind is waiting for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Awaited {
    pub(super) transfer: Option<Transfer>,
    /// When the store was asked, if it has not answered yet.
    pub(super) store: Option<Instant>,
    /// When the last line was logged.
    reported: Option<Instant>,
}

/// What is awaited at a point in time, for log lines.
struct AwaitedAt(Awaited, Instant);

impl Display for AwaitedAt {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let AwaitedAt(awaited, now) = self;
        if let Some(Transfer { peer, since, received, total }) = awaited.transfer {
            let ms = millis_between(since, *now);
            write!(f, "peer {peer} for {ms} ms with {received} of {total} bytes")?;
        }
        if let Some(since) = awaited.store {
            let separator = if awaited.transfer.is_some() { "; " } else { "" };
            write!(f, "{separator}store for {} ms", millis_between(since, *now))?;
        }
        match (awaited.transfer, awaited.store) {
            (None, None) => f.write_str("a heartbeat of a peer that has the changes"),
            _ => Ok(()),
        }
    }
}

impl Cluster {
    /// Publishes how far the copy is behind, and logs it while it lasts.
    pub(super) fn report_delay(&self, now: Instant) {
        let delay = self.mirror.delay(now);
        let metrics = self.metrics();
        metrics.behind_ms.set(delay.map_or(0, |delay| delay.time.as_millis() as i64));
        metrics.behind_changes.set(delay.map_or(0, |delay| delay.changes as i64));
        let Some(delay) = delay.filter(|delay| delay.time >= REPORT_INTERVAL) else {
            return;
        };
        let awaited = {
            let mut awaited = self.awaited();
            let is_due = |at: Instant| now.saturating_duration_since(at) >= REPORT_INTERVAL;
            if !awaited.reported.is_none_or(is_due) {
                return;
            }
            awaited.reported = Some(now);
            AwaitedAt(*awaited, now).to_string()
        };
        let (behind_ms, position) = (delay.time.as_millis() as u64, self.mirror.position());
        let config_revision = self.gateway.in_force.position().revision;
        warn!(behind_ms = behind_ms, changes = delay.changes, revision = position.revision, newest = delay.newest.revision, config_revision = config_revision, waits_for = awaited.as_str(); "copy of the store is behind");
    }

    /// Records that this daemon asked the store, or that the store has answered.
    pub fn set_store_asked(&self, asked: Option<Instant>) {
        self.awaited().store = asked;
    }
}
