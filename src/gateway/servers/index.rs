//! Index of listed servers by service and hall: lookups for one service don't touch the others, and a random
//! sample doesn't have to visit every server.

use crate::gateway::server::ServerRecord;
use crate::gateway::servers::ServerKey;
use rand::{Rng, RngExt};
use std::collections::HashMap;
use std::sync::Arc;

/// The servers of one service in one hall.
#[derive(Debug)]
struct HallServers {
    hall: String,
    keys: Vec<ServerKey>,
}

/// Keys of the listed servers by service and hall.
#[derive(Debug, Default)]
pub(super) struct Index {
    services: HashMap<Arc<str>, Vec<HallServers>>,
}

impl Index {
    /// Adds a server under the service and hall of its record.
    pub(super) fn add(&mut self, record: &ServerRecord, key: ServerKey) {
        let rows = self.services.entry(record.service.clone()).or_default();
        match rows.iter_mut().find(|row| row.hall == record.hall) {
            Some(row) => row.keys.push(key),
            None => rows.push(HallServers { hall: record.hall.clone(), keys: vec![key] }),
        }
    }

    /// Removes a server that was added under this record.
    pub(super) fn remove(&mut self, record: &ServerRecord, key: ServerKey) {
        let Some(rows) = self.services.get_mut(&record.service) else {
            return;
        };
        for row in rows.iter_mut().filter(|row| row.hall == record.hall) {
            if let Some(at) = row.keys.iter().position(|other| *other == key) {
                row.keys.swap_remove(at);
            }
        }
    }

    /// The servers of a service by hall.
    pub(super) fn halls(&self, service: &str) -> impl Iterator<Item = (&str, &[ServerKey])> {
        let rows = self.services.get(service).into_iter().flatten();
        rows.map(|row| (row.hall.as_str(), row.keys.as_slice()))
    }

    /// The services that have servers.
    pub(super) fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Draws random servers of a service: `count` in `hall` and `count` in all other halls, fewer where there
    /// are fewer. A server may be drawn more than once.
    pub(super) fn sample(
        &self,
        service: &str,
        hall: &str,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<ServerKey> {
        let mut drawn = Vec::with_capacity(2 * count);
        let (own, others): (Vec<_>, Vec<_>) =
            self.halls(service).partition(|(name, _)| *name == hall);
        for rows in [own, others] {
            draw(&rows, count, rng, &mut drawn);
        }
        drawn
    }

    /// Draws `count` random servers of a service from all halls alike, fewer where there are fewer. A server
    /// may be drawn more than once.
    pub(super) fn sample_all(
        &self,
        service: &str,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<ServerKey> {
        let mut drawn = Vec::with_capacity(count);
        draw(&self.halls(service).collect::<Vec<_>>(), count, rng, &mut drawn);
        drawn
    }
}

/// Draws up to `count` random keys of the rows.
fn draw(
    rows: &[(&str, &[ServerKey])],
    count: usize,
    rng: &mut impl Rng,
    drawn: &mut Vec<ServerKey>,
) {
    let all: usize = rows.iter().map(|(_, keys)| keys.len()).sum();
    for _ in 0..count.min(all) {
        let mut at = rng.random_range(0..all);
        for (_, keys) in rows {
            if at < keys.len() {
                drawn.push(keys[at]);
                break;
            }
            at -= keys.len();
        }
    }
}
