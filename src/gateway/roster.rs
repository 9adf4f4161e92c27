//! The daemons that serve callers, as the store and they themselves say.

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
}

/// All daemons known, this one included.
#[derive(Debug)]
pub struct Roster {
    own: Daemon,
    listed: Mutex<HashMap<String, Daemon>>,
    /// Addresses that peers named.
    named: Mutex<HashSet<SocketAddr>>,
}

impl Roster {
    /// A roster that knows this daemon only.
    pub fn new(own: Daemon) -> Roster {
        Roster { own, listed: Mutex::default(), named: Mutex::default() }
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

    /// A peer named another one.
    pub fn hear_of(&self, addr: SocketAddr) {
        self.named.lock().expect("no holder panics").insert(addr);
    }

    /// The addresses that were named since the last call.
    pub fn take_named(&self) -> HashSet<SocketAddr> {
        std::mem::take(&mut self.named.lock().expect("no holder panics"))
    }

    /// The other daemons.
    pub fn others(&self) -> Vec<Daemon> {
        let listed = self.listed();
        listed.values().filter(|d| d.vm != self.own.vm).cloned().collect()
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, Daemon>> {
        self.listed.lock().expect("no holder panics")
    }
}
