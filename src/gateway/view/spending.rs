//! What other daemons have spent of the retry budgets, those that have ended included.

use super::{UNLISTED_LIFETIME, View, elapsed};
use crate::gateway::budget::{CellPeers, Others, Spent};
use crate::gateway::clock::minus_millis;
use crate::gateway::heartbeat::{Heartbeat, Origin, Sum};
use crate::gateway::sums::add;
use crate::gateway::tag::Tag;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl View {
    /// Sets the window of the retry budgets.
    pub fn set_retry_window(&mut self, window: Duration) {
        self.retry_window = window;
    }

    /// What the other daemons have spent of the shared retry budgets. `listed` is the number of other
    /// daemons that the store lists.
    pub fn spent(&self, listed: usize, now: Instant) -> Others {
        let mut near = CellPeers { own: self.tag, ..CellPeers::default() };
        for peer in self.reachable_in_cell(now) {
            near.others.push(peer.tag);
            add(&mut near.spent, &peer.stats.spent);
        }
        let mut reachable = near.others.len();
        let mut spent: HashMap<Tag, Spent> = near.spent.clone();
        for sum in self.distant_sums(now) {
            reachable += sum.daemons as usize;
            add(&mut spent, &sum.stats.spent);
        }
        let mut ended = HashMap::new();
        self.ended_spending(now).for_each(|of_one| add(&mut ended, of_one));
        let recent =
            self.peers.values().filter(|p| elapsed(p.last_seen, now) <= UNLISTED_LIFETIME).count();
        let daemons = listed.max(recent).max(reachable);
        let earlier_known =
            self.heard_elder || elapsed(self.clock.started(), now) >= self.retry_window;
        Others { daemons, reachable, spent, ended, earlier_known, cell_peers: near }
    }

    /// Keeps what the process that was last heard at `addr` had spent, before another one replaces it.
    pub(super) fn keep_ended_spending(&mut self, addr: SocketAddr) {
        let own_cell = self.layout.own_cell;
        if let Some(peer) = self.peers.get(&addr).filter(|peer| peer.cell == own_cell) {
            self.ended.insert(peer.boot, peer.tag, &peer.stats.spent, peer.last_seen);
        }
    }

    /// The same for the daemons that don't answer.
    pub(super) fn keep_silent_spending(&mut self, now: Instant) {
        let is_silent = |addr: &SocketAddr| !self.can_reach(*addr, now);
        let silent: Vec<SocketAddr> = self.peers.keys().copied().filter(is_silent).collect();
        silent.into_iter().for_each(|addr| self.keep_ended_spending(addr));
        self.ended.remove_expired(self.retry_window, now);
    }

    /// Takes over the reports of ended processes that a daemon of this cell forwards.
    pub(super) fn merge_ended(&mut self, heartbeat: &Heartbeat, sent: Instant) {
        let own_cell = self.layout.own_cell;
        if heartbeat.cell != own_cell {
            return;
        }
        let of_cell = |sum: &&Sum| matches!(sum.origin, Origin::Cell(cell) if cell == own_cell);
        for sum in heartbeat.sums.iter().filter(of_cell) {
            if let Some(last_seen) = minus_millis(sent, sum.age_ms) {
                self.ended.receive(sum, last_seen);
            }
        }
        let uptime = Duration::from_micros(heartbeat.stamp);
        self.heard_elder |= uptime >= self.retry_window;
    }

    /// What each ended process of this cell had spent.
    pub(super) fn ended_spending(&self, now: Instant) -> impl Iterator<Item = &[(Tag, Spent)]> {
        self.ended.spent(self.reachable_boots(now))
    }

    /// The same for heartbeats within the cell.
    pub(super) fn ended_sums(&self, now: Instant) -> Vec<Sum> {
        self.ended.sums(self.layout.own_cell, self.reachable_boots(now), now).collect()
    }

    /// Whether a process, by its number, is known to run. Its own reports count then.
    fn reachable_boots(&self, now: Instant) -> impl Fn(u64) -> bool {
        let mut boots: Vec<u64> = self.reachable_in_cell(now).map(|peer| peer.boot).collect();
        boots.push(self.clock.boot());
        move |boot| boots.contains(&boot)
    }
}
