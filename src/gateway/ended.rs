//! What processes that have ended or don't answer had spent of the retry budgets.
//!
//! Retries count until the budget's window has passed, also those of a process that has ended. The daemons
//! of its cell therefore keep its last report, and send it to each other and to their successors. Each report
//! is identified by its process, so it counts once however many daemons send it.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::clock::millis_between;
use crate::gateway::heartbeat::{DaemonStats, Origin, Sum};
use crate::gateway::tag::Tag;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The last report of one process.
#[derive(Debug)]
struct Ended {
    /// The tag of the daemon's name.
    daemon: Tag,
    /// The retries that it had made within the window, by service.
    spent: Vec<(Tag, Spent)>,
    /// When it was last heard of, by this daemon or another.
    last_seen: Instant,
}

/// The last reports of ended processes, by the numbers that identify the processes.
#[derive(Debug, Default)]
pub(crate) struct EndedProcesses {
    by_boot: HashMap<u64, Ended>,
}

impl EndedProcesses {
    /// Keeps the last report of a process. Its requests are left out: they may have left the window.
    pub(crate) fn insert(
        &mut self,
        boot: u64,
        daemon: Tag,
        spent: &[(Tag, Spent)],
        last_seen: Instant,
    ) {
        if self.by_boot.get(&boot).is_some_and(|known| known.last_seen >= last_seen) {
            return;
        }
        let retries = |spent: &Spent| Spent { requests: 0, retries: spent.retries };
        let spent: Vec<(Tag, Spent)> = spent
            .iter()
            .filter(|(_, spent)| spent.retries > 0)
            .map(|(service, spent)| (*service, retries(spent)))
            .collect();
        if !spent.is_empty() {
            self.by_boot.insert(boot, Ended { daemon, spent, last_seen });
        }
    }

    /// Removes reports whose retries have all left the window.
    pub(crate) fn remove_expired(&mut self, window: Duration, now: Instant) {
        self.by_boot.retain(|_, ended| now.saturating_duration_since(ended.last_seen) <= window);
    }

    /// The reports of the processes that are not reachable.
    pub(crate) fn spent(
        &self,
        is_reachable: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = &[(Tag, Spent)]> {
        self.unreachable(is_reachable).map(|(_, ended)| ended.spent.as_slice())
    }

    /// The same as sums without daemons, for heartbeats to the daemons of `cell`.
    pub(crate) fn sums(
        &self,
        cell: CellId,
        is_reachable: impl Fn(u64) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = Sum> {
        self.unreachable(is_reachable).map(move |(boot, ended)| Sum {
            origin: Origin::Cell(cell),
            boot,
            stamp: 0,
            age_ms: millis_between(ended.last_seen, now),
            members: vec![ended.daemon],
            daemons: 0,
            entries: Vec::new(),
            stats: DaemonStats { spent: ended.spent.clone(), ..DaemonStats::default() },
        })
    }

    fn unreachable(
        &self,
        is_reachable: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = (u64, &Ended)> {
        let ended = self.by_boot.iter().map(|(boot, ended)| (*boot, ended));
        ended.filter(move |(boot, _)| !is_reachable(*boot))
    }

    /// Takes over a report that a daemon of the same cell forwards; other sums are ignored.
    pub(crate) fn receive(&mut self, sum: &Sum, last_seen: Instant) {
        if let (0, [daemon]) = (sum.daemons, sum.members.as_slice()) {
            self.insert(sum.boot, *daemon, &sum.stats.spent, last_seen);
        }
    }
}
