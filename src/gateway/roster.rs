//! The daemons that serve callers, as the store and they themselves say.

use crate::gateway::cold::Rank;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// What a daemon says of itself, under its own key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Daemon {
    /// Name of its VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where daemons reach it.
    pub peers: SocketAddr,
    /// Its VM's share of the processor, in thousandths of a core.
    #[serde(default)]
    pub strength: u32,
}

/// The other daemons that the store lists, at one moment.
#[derive(Debug)]
pub struct Listing {
    /// Tells listings apart.
    pub number: u64,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Where they reach each other.
    pub peers: HashSet<SocketAddr>,
}

impl Listing {
    /// A listing of these daemons.
    pub fn new(daemons: Vec<Daemon>) -> Listing {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let peers = daemons.iter().map(|d| d.peers).collect();
        Listing { number: NUMBER.fetch_add(1, Ordering::Relaxed), daemons, peers }
    }
}

/// All daemons known, this one included.
#[derive(Debug)]
pub struct Roster {
    own: Daemon,
    listed: Mutex<HashMap<String, Daemon>>,
    /// What is asked for often, until the list changes.
    latest: Mutex<Option<(Arc<Listing>, Rank)>>,
}

impl Roster {
    /// A roster that knows this daemon only.
    pub fn new(own: Daemon) -> Roster {
        Roster { own, listed: Mutex::default(), latest: Mutex::default() }
    }

    /// This daemon.
    pub fn own(&self) -> &Daemon {
        &self.own
    }

    /// Takes in a daemon's key; `None` where it is gone.
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

    /// The other daemons, and this one's place among all by name; made anew only after a change.
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

    /// The halls of all that are listed, by where callers reach them.
    pub fn halls(&self) -> HashMap<SocketAddr, String> {
        let listed = self.listed();
        let all = listed.values().chain([&self.own]);
        all.map(|daemon| (daemon.callers, daemon.hall.clone())).collect()
    }

    /// How many other daemons the store lists.
    pub fn count(&self) -> usize {
        self.listing().0.daemons.len()
    }

    /// Whether the store lists this daemon as it is.
    pub fn lists_own(&self) -> bool {
        self.listed().values().any(|d| *d == self.own)
    }

    /// Whether one of the other daemons is reached there.
    pub fn has_peer(&self, addr: SocketAddr) -> bool {
        self.listing().0.peers.contains(&addr)
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, Daemon>> {
        self.listed.lock().expect("no holder panics")
    }
}
