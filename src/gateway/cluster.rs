//! What daemons tell each other, several times a second: who they are, how current their copy of
//! the store is, and what they have running where.
//!
//! Nothing rests on one daemon and nothing is agreed upon. A heartbeat carries the sender's clock
//! and returns the receiver's, so that each statement in it is known to have been true at a moment
//! of the receiver's own clock, however long it was on the way.

use crate::error::Result;
use crate::gateway::budget::{Others, Spent};
use crate::gateway::core::Gateway;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::mirror::{Mirror, Statement, Update};
use crate::gateway::roster::{Daemon, Roster};
use crate::gateway::servers::{Load, LoadsByTag};
use crate::gateway::tag::Tag;
use crate::message;
use crate::peer::{Handler, Held, LinkLimits, Peers};
use crate::tls::Identity;
use futures_util::future::BoxFuture;
use log::{info, warn};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two heartbeats to a peer: loads are at most this old plus the way, which is a few
/// requests at a VM's usual rate.
const BEAT: Duration = Duration::from_millis(100);
/// Peers that hear a heartbeat within [`BEAT`]; with more of them each hears less often, so that what a
/// daemon sends does not grow with the fleet.
const FANOUT: usize = 6;
/// Time between two attempts to reach a peer that does not answer.
const GREET: Duration = Duration::from_millis(400);
/// Silence after which a peer is taken as gone for now: callers are not sent there, and its load
/// is not counted.
const SILENT: Duration = Duration::from_millis(700);
/// Silence after which a peer that the store does not list is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// Age of the last read of a daemon up to which the others rely on it to read the store.
const READ_LATELY: Duration = Duration::from_millis(700);
/// What a daemon waits longer for each one that ranks before it.
const READ_STEP: Duration = Duration::from_millis(120);
/// Longest that a daemon waits for those before it: a fleet whose first ranks are cut off from the
/// store still reads within two seconds.
const LONGEST_TURN: Duration = Duration::from_millis(1_000);
/// Longest time for a peer to give what this daemon lacks.
const FETCH_LIMIT: Duration = Duration::from_millis(400);
/// Other daemons that a heartbeat names.
const NAMED: usize = 8;
/// Links are given up soon after their peer falls silent, and made anew when it is back.
const LINKS: LinkLimits = LinkLimits { idle_ms: 2_000, streams: 32 };

/// A heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Beat {
    daemon: Daemon,
    /// Tells this start of the process from others.
    boot: u64,
    /// The sender's clock, in microseconds since its start.
    stamp: u64,
    echo: Option<Echo>,
    /// Whether callers may be sent to it.
    ready: bool,
    statement: Option<Statement>,
    /// Age of the sender's last own read of the store, in milliseconds.
    read_ms: Option<u32>,
    /// What it has running.
    loads: Vec<(Tag, Load)>,
    /// What it has spent of the budget for repeats.
    spent: Vec<(Tag, Spent)>,
    /// Some of the daemons that it knows.
    others: Vec<SocketAddr>,
}

/// The receiver's clock as the sender last had it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Echo {
    boot: u64,
    stamp: u64,
    /// How long the sender has had it, in microseconds.
    held: u64,
}

/// A request between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Request {
    /// What a copy at this position lacks.
    After(u64),
}

/// A daemon as its heartbeats tell.
#[derive(Debug)]
struct Peer {
    daemon: Daemon,
    boot: u64,
    /// Its clock in its last heartbeat.
    stamp: u64,
    heard: Instant,
    ready: bool,
    /// When it last read the store itself, at the latest.
    read: Option<Instant>,
    loads: Vec<(Tag, Load)>,
    spent: Vec<(Tag, Spent)>,
}

impl Peer {
    /// Whether it was heard within `silent`.
    fn speaks(&self, now: Instant, silent: Duration) -> bool {
        now.saturating_duration_since(self.heard) <= silent
    }
}

/// See the module.
pub struct Cluster {
    gateway: Arc<Gateway>,
    mirror: Arc<Mirror>,
    roster: Arc<Roster>,
    links: Arc<Peers>,
    boot: u64,
    started: Instant,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    /// Tried for first contact.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Peers that have a task.
    greeted: Mutex<HashSet<SocketAddr>>,
    ready: Box<dyn Fn() -> bool + Send + Sync>,
    read: Mutex<Option<Instant>>,
    fetching: AtomicBool,
}

impl Cluster {
    /// Listens for peers.
    pub fn listen(addr: SocketAddr, gateway: &Gateway) -> Result<Peers> {
        let identity = Identity::unauthenticated()?;
        Peers::bind(addr, &identity, LINKS, gateway.metrics.traffic.clone())
    }

    /// A cluster of this daemon alone, until it [`runs`](Cluster::run).
    pub fn new(
        gateway: Arc<Gateway>,
        mirror: Arc<Mirror>,
        roster: Arc<Roster>,
        links: Peers,
        ready: Box<dyn Fn() -> bool + Send + Sync>,
    ) -> Arc<Cluster> {
        Arc::new(Cluster {
            gateway,
            mirror,
            roster,
            links: Arc::new(links),
            boot: rand::rng().random(),
            started: Instant::now(),
            peers: Mutex::default(),
            seeds: Mutex::default(),
            greeted: Mutex::default(),
            ready,
            read: Mutex::default(),
            fetching: AtomicBool::new(false),
        })
    }

    /// The gateway's counters.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.gateway.metrics
    }

    /// Sets the addresses that are tried for first contact.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Talks with peers until the process ends.
    pub async fn run(self: Arc<Self>) {
        tokio::spawn(self.links.clone().serve(self.handler()));
        loop {
            let now = Instant::now();
            let listed = self.roster.peers();
            self.forget(&listed, now);
            self.count(&listed, now);
            let heard: Vec<SocketAddr> = self.peers().keys().copied().collect();
            let seeds = self.seeds.lock().expect("no holder panics").clone();
            for addr in listed.into_iter().chain(heard).chain(seeds) {
                self.greet(addr);
            }
            sleep(BEAT).await;
        }
    }

    /// The side that answers peers.
    fn handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(Answering(self.clone()))
    }

    /// How many times as long as [`BEAT`] it takes until each of `peers` has heard a heartbeat.
    fn rounds(peers: usize) -> u32 {
        u32::try_from(peers.div_ceil(FANOUT)).unwrap_or(u32::MAX).max(1)
    }

    /// Silence after which one of `peers` is taken as gone for now.
    fn silence(peers: usize) -> Duration {
        SILENT.saturating_mul(Cluster::rounds(peers))
    }

    /// Whether this daemon should read the store now: no daemon that ranks before it did lately.
    pub fn should_read(&self, now: Instant) -> bool {
        let own = Tag::of(&self.roster.own().vm);
        let peers = self.peers();
        let silence = Cluster::silence(peers.len());
        let before: Vec<&Peer> = peers
            .values()
            .filter(|p| p.speaks(now, silence) && Tag::of(&p.daemon.vm) < own)
            .collect();
        let turn = READ_STEP.saturating_mul(u32::try_from(before.len()).unwrap_or(u32::MAX));
        let told_late = BEAT * (Cluster::rounds(peers.len()) - 1);
        let lately = READ_LATELY + told_late + turn.min(LONGEST_TURN);
        let relied = before.iter().filter_map(|p| p.read);
        relied.max().is_none_or(|read| now.saturating_duration_since(read) > lately)
    }

    /// Notes that this daemon has read the store.
    pub fn has_read(&self, now: Instant) {
        *self.read.lock().expect("no holder panics") = Some(now);
    }

    /// Where callers may be sent, this daemon not among them.
    pub fn entries(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers();
        let silence = Cluster::silence(peers.len());
        let ready = peers.values().filter(|p| p.ready && p.speaks(now, silence));
        ready.map(|p| p.daemon.callers).collect()
    }

    /// One task for each peer; it ends when the peer is forgotten.
    fn greet(self: &Arc<Self>, addr: SocketAddr) {
        if addr == self.roster.own().peers {
            return;
        }
        if !self.greeted.lock().expect("no holder panics").insert(addr) {
            return;
        }
        let cluster = self.clone();
        tokio::spawn(async move {
            cluster.talk(addr, &cluster.handler()).await;
            cluster.greeted.lock().expect("no holder panics").remove(&addr);
        });
    }

    async fn talk(self: &Arc<Self>, addr: SocketAddr, handler: &Arc<dyn Handler>) {
        let mut news = self.gateway.news();
        let began = Instant::now();
        loop {
            let now = Instant::now();
            let beat = self.beat(addr, now);
            self.links.datagram(addr, &beat, handler).await;
            let (heard, count) = {
                let peers = self.peers();
                (peers.get(&addr).map(|p| p.heard), peers.len())
            };
            let silence = now.saturating_duration_since(heard.unwrap_or(began));
            if silence > FORGOTTEN && !self.roster.peers().contains(&addr) {
                return;
            }
            let silent = silence > Cluster::silence(count);
            let pause = if silent { GREET } else { BEAT } * Cluster::rounds(count);
            tokio::select! {
                () = sleep(pause.mul_f64(rand::rng().random_range(0.9..1.1))) => {}
                // News goes out at once.
                told = news.changed() => if told.is_err() { return },
            }
        }
    }

    fn beat(&self, to: SocketAddr, now: Instant) -> Beat {
        let peers = self.peers();
        let micros = |since: Instant| now.saturating_duration_since(since).as_micros() as u64;
        let echo =
            peers.get(&to).map(|p| Echo { boot: p.boot, stamp: p.stamp, held: micros(p.heard) });
        let silence = Cluster::silence(peers.len());
        let others = peers.iter().filter(|(addr, p)| **addr != to && p.speaks(now, silence));
        let others = others.map(|(addr, _)| *addr).take(NAMED).collect();
        let read = *self.read.lock().expect("no holder panics");
        Beat {
            daemon: self.roster.own().clone(),
            boot: self.boot,
            stamp: micros(self.started),
            echo,
            ready: (self.ready)(),
            statement: self.mirror.statement(now),
            read_ms: read.map(|at| millis(now.saturating_duration_since(at))),
            loads: self.gateway.servers().own_loads(),
            spent: self.gateway.spent(now),
            others,
        }
    }

    fn hear(self: &Arc<Self>, beat: Beat, now: Instant) {
        let from = beat.daemon.peers;
        let seen = beat.echo.filter(|echo| echo.boot == self.boot).and_then(|echo| {
            self.started.checked_add(Duration::from_micros(echo.stamp.checked_add(echo.held)?))
        });
        let read = beat.read_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms.into())));
        self.note(Peer {
            daemon: beat.daemon,
            boot: beat.boot,
            stamp: beat.stamp,
            heard: now,
            ready: beat.ready,
            read,
            loads: beat.loads,
            spent: beat.spent,
        });
        for addr in beat.others {
            self.greet(addr);
        }
        if self.peers().len() <= FANOUT {
            // Daemons wait for each other's moves by these. A larger fleet adds up once a beat.
            self.share_loads(now);
        }
        let Some(statement) = beat.statement else {
            return;
        };
        // What was true when the peer last had this daemon's clock, less the age it tells.
        let age = Duration::from_millis(statement.age_ms.into());
        let seen = seen.filter(|seen| *seen <= now).and_then(|seen| seen.checked_sub(age));
        let behind = match seen {
            Some(seen) => self.mirror.hear(statement, seen, now),
            None => statement.changed > self.mirror.position(),
        };
        if behind && !self.fetching.swap(true, Ordering::AcqRel) {
            tokio::spawn(self.clone().fetch(from));
        }
    }

    /// Notes a peer's heartbeat, unless a later one of the same process came before it.
    fn note(&self, peer: Peer) {
        let mut peers = self.peers();
        let known = peers.get(&peer.daemon.peers);
        if known.is_some_and(|known| known.boot == peer.boot && known.stamp > peer.stamp) {
            return;
        }
        if known.is_none_or(|known| known.boot != peer.boot) {
            info!(peer = peer.daemon.vm.as_str(), addr = peer.daemon.peers.to_string().as_str(); "peer heard");
        }
        peers.insert(peer.daemon.peers, peer);
    }

    async fn fetch(self: Arc<Self>, from: SocketAddr) {
        let handler = self.handler();
        let asked = Instant::now();
        let request = Request::After(self.mirror.position());
        let answer = self.links.ask::<Option<Update>>(from, &request, FETCH_LIMIT, &handler).await;
        match answer {
            Ok(Some(update)) => {
                let age = Duration::from_millis(update.statement.age_ms.into());
                // Before this process's clock began, nothing can have been seen.
                let seen = asked.checked_sub(age).unwrap_or(self.started);
                self.mirror.apply(update, seen, Instant::now());
            }
            Ok(None) => {}
            Err(_) => warn!(peer = from.to_string().as_str(); "peer did not give what it has"),
        }
        self.fetching.store(false, Ordering::Release);
    }

    /// Forgets peers that have been silent for long and are not listed.
    fn forget(&self, listed: &HashSet<SocketAddr>, now: Instant) {
        self.peers().retain(|addr, peer| {
            listed.contains(addr) || now.saturating_duration_since(peer.heard) <= FORGOTTEN
        });
        self.share_loads(now);
    }

    /// Adds up what the daemons that share budgets have spent: those listed and those heard of lately.
    fn count(&self, listed: &HashSet<SocketAddr>, now: Instant) {
        let peers = self.peers();
        let heard =
            peers.iter().filter(|(_, p)| now.saturating_duration_since(p.heard) <= FORGOTTEN);
        let heard = heard.map(|(addr, _)| addr);
        let known: HashSet<&SocketAddr> = listed.iter().chain(heard).collect();
        let mut spent: HashMap<Tag, Spent> = HashMap::new();
        let silence = Cluster::silence(peers.len());
        let speaking: Vec<&Peer> = peers.values().filter(|p| p.speaks(now, silence)).collect();
        self.gateway.metrics.peers.set(speaking.len() as i64);
        for (tag, part) in speaking.iter().flat_map(|p| &p.spent) {
            *spent.entry(*tag).or_default() += *part;
        }
        let others = Others { daemons: known.len(), heard: speaking.len(), spent };
        self.gateway.set_others(others);
    }

    /// Adds up what the peers have running, and what those have that rank before this daemon.
    fn share_loads(&self, now: Instant) {
        let own = Tag::of(&self.roster.own().vm);
        let (mut others, mut ahead) = (LoadsByTag::new(), LoadsByTag::new());
        let peers = self.peers();
        let silence = Cluster::silence(peers.len());
        for peer in peers.values().filter(|p| p.speaks(now, silence)) {
            let before = Tag::of(&peer.daemon.vm) < own;
            for (tag, load) in &peer.loads {
                *others.entry(*tag).or_default() += *load;
                if before {
                    *ahead.entry(*tag).or_default() += *load;
                }
            }
        }
        drop(peers);
        self.gateway.servers().set_others(&others, &ahead);
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().expect("no holder panics")
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The side of [`Cluster`] that answers peers.
struct Answering(Arc<Cluster>);

impl Handler for Answering {
    fn datagram(&self, bytes: &[u8]) {
        match message::decode::<Beat>(bytes) {
            Ok(beat) => self.0.hear(beat, Instant::now()),
            Err(e) => warn!(why = format!("{e:?}").as_str(); "heartbeat not readable"),
        }
    }

    fn stream(&self, first: Vec<u8>, mut held: Held) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let Ok(Request::After(position)) = message::decode::<Request>(&first) else {
                warn!("request of a peer not readable");
                return;
            };
            let update = self.0.mirror.update_after(position, Instant::now());
            if held.send(&update).await.is_ok() {
                held.finish().await;
            }
        })
    }
}
