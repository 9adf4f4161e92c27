//! The daemons that serve callers, as the store and they themselves say.

use crate::gateway::cold::Rank;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

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

/// All daemons known, this one included.
#[derive(Debug)]
pub struct Roster {
    own: Daemon,
    listed: Mutex<HashMap<String, Daemon>>,
}

impl Roster {
    /// A roster that knows this daemon only.
    pub fn new(own: Daemon) -> Roster {
        Roster { own, listed: Mutex::default() }
    }

    /// This daemon.
    pub fn own(&self) -> &Daemon {
        &self.own
    }

    /// Takes in a daemon's key; `None` where it is gone.
    pub fn take(&self, key: &str, daemon: Option<Daemon>) {
        let mut listed = self.listed();
        match daemon {
            Some(daemon) => {
                listed.insert(key.to_string(), daemon);
            }
            None => {
                listed.remove(key);
            }
        }
    }

    /// The other daemons.
    pub fn others(&self) -> Vec<Daemon> {
        let listed = self.listed();
        listed.values().filter(|d| d.vm != self.own.vm).cloned().collect()
    }

    /// This daemon's place among all that are listed, by name.
    pub fn rank(&self) -> Rank {
        let listed = self.listed();
        let others = || listed.values().filter(|d| d.vm != self.own.vm);
        let before = others().filter(|d| d.vm < self.own.vm).count();
        Rank { before, daemons: others().count() + 1 }
    }

    /// The halls of all that are listed, by where callers reach them.
    pub fn halls(&self) -> HashMap<SocketAddr, String> {
        let listed = self.listed();
        let all = listed.values().chain([&self.own]);
        all.map(|daemon| (daemon.callers, daemon.hall.clone())).collect()
    }

    /// How many other daemons the store lists.
    pub fn count(&self) -> usize {
        self.listed().values().filter(|d| d.vm != self.own.vm).count()
    }

    /// Whether the store lists this daemon as it is.
    pub fn lists_own(&self) -> bool {
        self.listed().values().any(|d| *d == self.own)
    }

    /// Where the other daemons reach each other.
    pub fn peers(&self) -> HashSet<SocketAddr> {
        let listed = self.listed();
        listed.values().filter(|d| d.vm != self.own.vm).map(|d| d.peers).collect()
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, Daemon>> {
        self.listed.lock().expect("no holder panics")
    }
}
