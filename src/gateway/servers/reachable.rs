//! Which servers can't be reached, and samples of servers to probe.

use super::{ServerKey, Servers};
use crate::gateway::reach::Reachability;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Instant;

impl Servers {
    /// Notes that a connection to a server failed; `refused` says that nothing listens at its address.
    pub fn note_unreachable(&mut self, key: ServerKey, refused: bool, now: Instant) {
        if let Some(server) = self.arena.get_mut(key) {
            server.reach.connect_failed(refused, now);
            server.condition.cold.note_unreachable();
            self.reportable.insert(key);
        }
    }

    /// Forgets which servers could not be reached, after that turned out to be due to this VM.
    pub fn reset_reachability(&mut self) {
        self.arena.values_mut().for_each(|server| server.reach = Reachability::default());
    }

    /// Addresses of up to `count` random servers of each service.
    pub fn sample_of_each_service(&self, count: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let drawn = self.index.services().flat_map(|s| self.index.sample_all(s, count, rng));
        drawn.filter_map(|key| Some(self.arena.get(key)?.record.addr)).collect()
    }
}
