//! What a daemon has heard of the others: who speaks, who is ready, what runs where, what is spent.

use crate::gateway::beat::{Beat, Echo, Told};
use crate::gateway::budget::Others;
use crate::gateway::cell::{CellId, Layout};
use crate::gateway::roster::Daemon;
use crate::gateway::servers::Heard;
use crate::gateway::tag::Tag;
use log::info;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Silence after which a daemon of the same cell is taken as gone for now: callers are not sent
/// there, and its load is not counted. Almost three heartbeats.
const SILENT: Duration = Duration::from_millis(700);
/// The same for a contact, and for what is heard of another cell.
const FAR_SILENT: Duration = Duration::from_millis(2_500);
/// Silence after which a daemon that the store does not list is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// Places that callers are told of at least, so that one loss does not leave them without.
const LEAST_ENTRIES: usize = 3;

/// A daemon as its heartbeats tell.
#[derive(Debug)]
struct Peer {
    daemon: Daemon,
    boot: u64,
    /// Its clock in its last heartbeat.
    stamp: u64,
    heard: Instant,
    ready: bool,
    /// Whether it chose this daemon as its contact.
    chose: bool,
    cell: CellId,
    /// Its own; nothing where it told sums.
    told: Told,
}

/// Another cell as one of its daemons told last.
#[derive(Debug)]
struct Sums {
    heard: Instant,
    members: u32,
    told: Told,
}

/// See the module.
#[derive(Debug)]
pub struct View {
    own: Daemon,
    layout: Layout,
    peers: HashMap<SocketAddr, Peer>,
    cells: HashMap<CellId, Sums>,
    /// The latest read of the store by any daemon, as far as told.
    read: Option<Instant>,
}

impl View {
    /// A view of one that has heard nothing.
    pub fn new(own: Daemon) -> View {
        let layout = Layout::of(&own, &[], |_| false);
        View { own, layout, peers: HashMap::new(), cells: HashMap::new(), read: None }
    }

    /// How the fleet is divided.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Divides the fleet anew: the daemons that the store lists, and those heard of lately. Those
    /// that are neither are forgotten. `tried` tells since when a daemon is being greeted.
    pub fn divide(
        &mut self,
        listed: Vec<Daemon>,
        tried: impl Fn(SocketAddr) -> Option<Instant>,
        now: Instant,
    ) {
        let addrs: HashSet<SocketAddr> = listed.iter().map(|d| d.peers).collect();
        self.peers.retain(|addr, peer| addrs.contains(addr) || since(peer.heard, now) <= FORGOTTEN);
        self.cells.retain(|_, sums| since(sums.heard, now) <= FORGOTTEN);
        let unlisted = self.peers.values().filter(|p| !addrs.contains(&p.daemon.peers));
        let mut others = listed;
        others.extend(unlisted.map(|p| p.daemon.clone()));
        let is_silent = |addr: SocketAddr| {
            let heard = self.peers.get(&addr).map(|p| p.heard);
            let from = heard.max(tried(addr));
            from.is_some_and(|from| since(from, now) > FAR_SILENT)
        };
        self.layout = Layout::of(&self.own, &others, is_silent);
    }

    /// Notes a heartbeat, unless a later one of the same process came before it. Says whether it
    /// was noted.
    pub fn note(&mut self, beat: &Beat, now: Instant) -> bool {
        let addr = beat.daemon.peers;
        let known = self.peers.get(&addr);
        if known.is_some_and(|known| known.boot == beat.boot && known.stamp > beat.stamp) {
            return false;
        }
        if known.is_none_or(|known| known.boot != beat.boot) {
            info!(peer = beat.daemon.vm.as_str(), addr = addr.to_string().as_str(); "peer heard");
        }
        let read = beat.read_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms.into())));
        self.has_read(read);
        let mut own = beat.told.clone();
        if let Some(members) = beat.members {
            let told = std::mem::take(&mut own);
            self.cells.insert(beat.cell, Sums { heard: now, members, told });
        }
        let peer = Peer {
            daemon: beat.daemon.clone(),
            boot: beat.boot,
            stamp: beat.stamp,
            heard: now,
            ready: beat.ready,
            chose: beat.chosen,
            cell: beat.cell,
            told: own,
        };
        self.peers.insert(addr, peer);
        true
    }

    /// Notes that some daemon has read the store.
    pub fn has_read(&mut self, at: Option<Instant>) {
        self.read = self.read.max(at);
    }

    /// When the store was last read by any daemon, as far as told.
    pub fn read(&self) -> Option<Instant> {
        self.read
    }

    /// The clock of a daemon, to be returned to it.
    pub fn echo(&self, addr: SocketAddr, now: Instant) -> Option<Echo> {
        let peer = self.peers.get(&addr)?;
        let held = since(peer.heard, now).as_micros() as u64;
        Some(Echo { boot: peer.boot, stamp: peer.stamp, held })
    }

    /// Whether a daemon has been heard and is not forgotten.
    pub fn knows(&self, addr: SocketAddr) -> bool {
        self.peers.contains_key(&addr)
    }

    /// Whether a daemon is heard.
    pub fn hears(&self, addr: SocketAddr, now: Instant) -> bool {
        let silent = if self.layout.near.contains(&addr) { SILENT } else { FAR_SILENT };
        self.peers.get(&addr).is_some_and(|p| since(p.heard, now) <= silent)
    }

    /// Whether a daemon of another cell chose this one as its contact and is heard.
    pub fn has_chosen_us(&self, addr: SocketAddr, now: Instant) -> bool {
        self.peers.get(&addr).is_some_and(|p| p.chose && since(p.heard, now) <= FAR_SILENT)
    }

    /// All such daemons.
    pub fn chose_us(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied().filter(move |addr| self.has_chosen_us(*addr, now))
    }

    /// How many daemons come before this one in the order in which they read the store: those of
    /// its cell that rank before it, and a daemon for each cell that does.
    pub fn readers_before(&self, now: Instant) -> usize {
        let own = Tag::of(&self.own.vm);
        let near = self.near(now).filter(|p| Tag::of(&p.daemon.vm) < own).count();
        near + self.other_cells(now).filter(|(id, _)| **id < self.layout.own).count()
    }

    /// Where callers may be sent, this daemon not among them: to its own cell, and to contacts where
    /// the cell has few.
    pub fn entries(&self, now: Instant) -> Vec<SocketAddr> {
        let ready = |p: &&Peer| p.ready;
        let mut entries: Vec<SocketAddr> =
            self.near(now).filter(ready).map(|p| p.daemon.callers).collect();
        if entries.len() < LEAST_ENTRIES {
            let others = self.peers.values().filter(|p| p.cell != self.layout.own);
            let heard = others.filter(|p| since(p.heard, now) <= FAR_SILENT);
            entries.extend(heard.filter(ready).map(|p| p.daemon.callers));
        }
        entries
    }

    /// Some daemons of this cell that are heard.
    pub fn named(&self, most: usize, now: Instant) -> Vec<SocketAddr> {
        self.near(now).map(|p| p.daemon.peers).take(most).collect()
    }

    /// The sum of `own` and what the daemons of this cell told, and of how many daemons it is.
    pub fn cell_sum(&self, own: Told, now: Instant) -> (u32, Told) {
        let mut loads = own.loads.into_iter().collect();
        let mut spent = own.spent.into_iter().collect();
        let mut outcomes = own.outcomes.into_iter().collect();
        let mut members = 1;
        for peer in self.near(now) {
            members += 1;
            add(&mut loads, &peer.told.loads);
            add(&mut spent, &peer.told.spent);
            add(&mut outcomes, &peer.told.outcomes);
        }
        let (loads, spent) = (loads.into_iter().collect(), spent.into_iter().collect());
        (members, Told { loads, spent, outcomes: outcomes.into_iter().collect() })
    }

    /// What the other daemons told of servers.
    pub fn heard(&self, now: Instant) -> Heard {
        let own = Tag::of(&self.own.vm);
        let mut heard = Heard::default();
        for peer in self.near(now) {
            add(&mut heard.loads, &peer.told.loads);
            add(&mut heard.outcomes, &peer.told.outcomes);
            if Tag::of(&peer.daemon.vm) < own {
                add(&mut heard.ahead, &peer.told.loads);
            }
        }
        for (_, sums) in self.other_cells(now) {
            add(&mut heard.loads, &sums.told.loads);
            add(&mut heard.outcomes, &sums.told.outcomes);
        }
        heard
    }

    /// What the daemons that share budgets have spent, as far as they are heard. `listed` is how
    /// many other daemons the store lists.
    pub fn spent(&self, listed: usize, now: Instant) -> Others {
        let mut spent = HashMap::new();
        let mut heard = 0;
        for peer in self.near(now) {
            heard += 1;
            add(&mut spent, &peer.told.spent);
        }
        for (_, sums) in self.other_cells(now) {
            heard += sums.members as usize;
            add(&mut spent, &sums.told.spent);
        }
        let lately = self.peers.values().filter(|p| since(p.heard, now) <= FORGOTTEN).count();
        Others { daemons: listed.max(lately).max(heard), heard, spent }
    }

    /// Daemons that are heard themselves.
    pub fn count(&self, now: Instant) -> usize {
        self.peers.keys().filter(|addr| self.hears(**addr, now)).count()
    }

    /// The daemons of this cell that are heard.
    fn near(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let same = self.peers.values().filter(|p| p.cell == self.layout.own);
        same.filter(move |p| since(p.heard, now) <= SILENT)
    }

    /// The other cells that are heard.
    fn other_cells(&self, now: Instant) -> impl Iterator<Item = (&CellId, &Sums)> {
        let others = self.cells.iter().filter(|(id, _)| **id != self.layout.own);
        others.filter(move |(_, sums)| since(sums.heard, now) <= FAR_SILENT)
    }
}

fn add<T: Default + std::ops::AddAssign + Copy>(sums: &mut HashMap<Tag, T>, parts: &[(Tag, T)]) {
    for (tag, part) in parts {
        *sums.entry(*tag).or_default() += *part;
    }
}

fn since(then: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(then)
}
