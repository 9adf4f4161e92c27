//! The daemons that serve callers, as listed in the store.

use crate::gateway::cold::Rank;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// A daemon's entry, which it writes under its own key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Daemon {
    /// Name of its VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its address for other daemons.
    pub peers: SocketAddr,
    /// Its VM's CPU share, in thousandths of a core.
    #[serde(default)]
    pub strength: u32,
}

/// The other daemons that the store lists, at one moment.
#[derive(Debug)]
pub struct Listing {
    /// Unique id of this listing, to detect changes.
    pub id: u64,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Their addresses for other daemons.
    pub peers: HashSet<SocketAddr>,
}

impl Listing {
    /// Creates a listing with a new id.
    pub fn new(daemons: Vec<Daemon>) -> Listing {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        let peers = daemons.iter().map(|d| d.peers).collect();
        Listing { id: NEXT_ID.fetch_add(1, Ordering::Relaxed), daemons, peers }
    }
}

/// All daemons known, this one included.
#[derive(Debug)]
pub struct Roster {
    own: Daemon,
    /// The entries in the store, by their keys.
    listed: Mutex<HashMap<String, Daemon>>,
    /// The last result of `listing`, until an entry changes.
    latest: Mutex<Option<(Arc<Listing>, Rank)>>,
}

impl Roster {
    /// Creates a roster of this daemon only.
    pub fn new(own: Daemon) -> Roster {
        Roster { own, listed: Mutex::default(), latest: Mutex::default() }
    }

    /// This daemon.
    pub fn own(&self) -> &Daemon {
        &self.own
    }

    /// Updates the entry of a daemon; `None` if its key was deleted.
    pub fn update(&self, key: &str, daemon: Option<Daemon>) {
        let mut listed = self.listed();
        let changed = match daemon {
            Some(daemon) => listed.insert(key.to_string(), daemon.clone()) != Some(daemon),
            None => listed.remove(key).is_some(),
        };
        if changed {
            *self.latest.lock().expect("no holder panics") = None;
        }
    }

    /// The other daemons, and this one's rank among all by VM name; recomputed only after a change.
    pub fn listing(&self) -> (Arc<Listing>, Rank) {
        let listed = self.listed();
        let mut latest = self.latest.lock().expect("no holder panics");
        let (listing, rank) = latest.get_or_insert_with(|| {
            let others = listed.values().filter(|d| d.vm != self.own.vm).cloned().collect();
            let listing = Listing::new(others);
            let before = listing.daemons.iter().filter(|d| d.vm < self.own.vm).count();
            let rank = Rank { before, daemons: listing.daemons.len() + 1 };
            (Arc::new(listing), rank)
        });
        (listing.clone(), *rank)
    }

    /// The halls of all daemons, by their address for callers.
    pub fn halls_by_address(&self) -> HashMap<SocketAddr, String> {
        let listed = self.listed();
        let all = listed.values().chain([&self.own]);
        all.map(|daemon| (daemon.callers, daemon.hall.clone())).collect()
    }

    /// Number of other daemons that the store lists.
    pub fn count_others(&self) -> usize {
        self.listing().0.daemons.len()
    }

    /// Whether the store has this daemon's current entry.
    pub fn lists_own(&self) -> bool {
        self.listed().values().any(|d| *d == self.own)
    }

    /// Whether another daemon has this address for daemons.
    pub fn has_peer(&self, addr: SocketAddr) -> bool {
        self.listing().0.peers.contains(&addr)
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, Daemon>> {
        self.listed.lock().expect("no holder panics")
    }
}
