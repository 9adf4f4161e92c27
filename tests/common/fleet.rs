//! A fleet of daemons in simulated time: real views, divisions and heartbeats of every daemon, passed on by a
//! network that delays and loses some and cuts halls from each other.

#![allow(dead_code)]

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::Spent;
use tidestair::gateway::clock::Clock;
use tidestair::gateway::heartbeat::{DaemonStats, Heartbeat};
use tidestair::gateway::partner::{IntervalScale, SumSchedule};
use tidestair::gateway::roster::{Daemon, Listing};
use tidestair::gateway::servers::{Load, Observations};
use tidestair::gateway::tag::Tag;
use tidestair::gateway::view::{OwnState, View};

/// Step of the simulated clock.
pub const STEP: Duration = Duration::from_millis(5);
/// Time between two divisions of the fleet at a daemon.
const DIVIDE: Duration = Duration::from_millis(100);
/// Delays within a hall and between two, as on the users' deployments with a busy VM's turn added.
const NEAR_DELAY: Duration = Duration::from_millis(3);
const FAR_DELAY: Duration = Duration::from_millis(10);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One daemon with its process's start.
pub struct Node {
    pub daemon: Daemon,
    pub view: View,
    pub own: OwnState,
    pub alive: bool,
    /// What it knows of servers otherwise than from the store, for its next heartbeats.
    pub signs: Observations,
    /// What heartbeats brought of that, each with the earliest moment at which it can have been sent.
    pub heard: Vec<(Observations, Option<Instant>)>,
    divided: Option<Instant>,
    /// When each partner was greeted, is due its next heartbeat, and was told sums.
    partners: BTreeMap<SocketAddr, (Instant, Instant, SumSchedule)>,
    sent: u64,
}

/// The simulated fleet.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub at: HashMap<SocketAddr, usize>,
    pub listed: Vec<Daemon>,
    pub now: Instant,
    pub rng: StdRng,
    /// Part of the messages that are lost.
    pub loss: f64,
    /// How much longer than usual messages are on their way, at most.
    pub late: Duration,
    /// Pairs of halls that don't reach each other.
    pub cut: HashSet<(String, String)>,
    flying: BTreeMap<(Instant, u64), (SocketAddr, Heartbeat)>,
    count: u64,
    boots: u64,
    /// Bytes sent within halls and between them.
    pub bytes: [u64; 2],
    /// Heartbeats sent.
    pub heartbeats: u64,
    /// The list of daemons as each of them last read it.
    listing: (Vec<Daemon>, Listing),
}

impl Fleet {
    pub fn new(halls: usize, in_hall: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let daemon = |hall: usize, n: usize| {
            let addr = |port| SocketAddr::from(([10, hall as u8, 0, n as u8], port));
            let (vm, name) = (format!("vm-{hall}-{n}"), format!("hall-{hall}"));
            Daemon { vm, hall: name, callers: addr(80), peers: addr(70), strength: 120 }
        };
        let listed: Vec<Daemon> = (0..halls)
            .flat_map(|hall| (0..in_hall).map(move |n| (hall, n)))
            .map(|(hall, n)| daemon(hall, n))
            .collect();
        let at = listed.iter().enumerate().map(|(i, d)| (d.peers, i)).collect();
        let mut fleet = Fleet {
            nodes: Vec::new(),
            at,
            listed: listed.clone(),
            now,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            late: Duration::ZERO,
            cut: HashSet::new(),
            flying: BTreeMap::new(),
            count: 0,
            boots: 0,
            bytes: [0; 2],
            heartbeats: 0,
            listing: (listed.clone(), Listing::new(listed.clone())),
        };
        for daemon in listed {
            let node = fleet.start(daemon);
            fleet.nodes.push(node);
        }
        fleet
    }

    pub fn start(&mut self, daemon: Daemon) -> Node {
        self.boots += 1;
        let view = View::new(daemon.clone(), Clock::new(self.boots, self.now));
        let own = OwnState { stats: told(&daemon.vm, 1), ready: true };
        let partners = BTreeMap::new();
        let (signs, heard) = (Observations::default(), Vec::new());
        Node { daemon, view, own, alive: true, signs, heard, divided: None, partners, sent: 0 }
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].alive = false;
    }

    pub fn restart(&mut self, i: usize) {
        let daemon = self.nodes[i].daemon.clone();
        self.nodes[i] = self.start(daemon);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.nodes.len() {
                if self.nodes[i].alive {
                    self.act(i);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.flying.split_off(&(self.now, u64::MAX));
        for (_, (to, heartbeat)) in std::mem::replace(&mut self.flying, later) {
            let node = &mut self.nodes[self.at[&to]];
            if node.alive {
                node.view.on_heartbeat(&heartbeat, self.now);
                let sent = node.view.clock().earliest_send_time(heartbeat.echo, self.now);
                node.heard.push((heartbeat.observations, sent));
            }
        }
    }

    fn act(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let due = node.divided.is_none_or(|at| now - at >= DIVIDE);
        if due {
            node.divided = Some(now);
            if self.listing.0 != self.listed {
                self.listing = (self.listed.clone(), Listing::new(self.listed.clone()));
            }
            let partners = &node.partners;
            let tried = |addr| partners.get(&addr).map(|(at, ..): &(Instant, _, _)| *at);
            node.view.update_layout(&self.listing.1, tried, now);
            let wanted = node.view.partners(now);
            node.partners.retain(|addr, _| wanted.contains(addr));
            for addr in wanted {
                node.partners.entry(addr).or_insert((now, now, SumSchedule::default()));
            }
        }
        let due: Vec<SocketAddr> =
            node.partners.iter().filter(|(_, (_, at, _))| *at <= now).map(|(a, _)| *a).collect();
        for to in due {
            self.send(i, to);
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let Some(relation) = node.view.relation(to, now) else {
            node.partners.remove(&to);
            return;
        };
        let pace = &mut node.partners.get_mut(&to).expect("it is due").2;
        let signs = node.signs.clone();
        let heartbeat = Heartbeat {
            observations: signs,
            ..node.view.heartbeat(to, relation, node.own.clone(), pace, now)
        };
        let wait = node.view.heartbeat_interval(to, relation, now);
        let wait = wait.mul_f64(self.rng.random_range(0.9..1.1));
        node.partners.get_mut(&to).expect("it is due").1 = now + wait;
        node.sent += 1;
        self.heartbeats += 1;
        let pair = (heartbeat.daemon.hall.clone(), self.nodes[self.at[&to]].daemon.hall.clone());
        let far = pair.0 != pair.1;
        self.bytes[usize::from(far)] += tidestair::message::encode(&heartbeat).len() as u64;
        if self.cut.contains(&pair) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = if far { FAR_DELAY } else { NEAR_DELAY };
        let delay = (delay + self.late).mul_f64(self.rng.random_range(0.3..1.0));
        self.count += 1;
        self.flying.insert((now + delay, self.count), (to, heartbeat));
    }

    /// Sets what each living daemon has running at a server of its own name, and at one that all use.
    pub fn set_loads(&mut self, runs: u32) {
        for node in &mut self.nodes {
            node.own.stats = told(&node.daemon.vm, runs);
        }
    }

    /// Of each pair of a hearing and a heard daemon with the same hall, or with other ones: how many,
    /// and how many of them the one has at another number than `runs` of the other.
    pub fn unheard(&self, same_hall: bool, runs: u32) -> (usize, usize) {
        let (mut pairs, mut wrong) = (0, 0);
        for node in self.nodes.iter().filter(|n| n.alive) {
            let heard = node.view.peer_stats(self.now);
            for other in self.nodes.iter().filter(|o| o.alive && o.daemon.vm != node.daemon.vm) {
                if (other.daemon.hall == node.daemon.hall) != same_hall {
                    continue;
                }
                pairs += 1;
                let load = heard.loads.get(&Tag::of(&other.daemon.vm));
                wrong += usize::from(load.is_none_or(|load| load.runs != runs));
            }
        }
        (pairs, wrong)
    }

    /// The most that any daemon counts at the server which all use, beside its own.
    pub fn most_counted(&self) -> u32 {
        let counted = self.nodes.iter().filter(|n| n.alive).map(|node| {
            let heard = node.view.peer_stats(self.now);
            heard.loads.get(&Tag::of("all")).map_or(0, |load| load.runs)
        });
        counted.max().unwrap_or(0)
    }

    /// Sets the time between two requests at one server, in seconds, that all daemons know.
    pub fn set_gap(&mut self, seconds: f64) {
        self.nodes
            .iter_mut()
            .for_each(|node| node.view.set_interval_scale(IntervalScale::of(seconds)));
    }

    pub fn relays(&self) -> Vec<usize> {
        let relay = |i: &usize| self.nodes[*i].alive && self.nodes[*i].view.layout().is_relay();
        (0..self.nodes.len()).filter(relay).collect()
    }
}

pub fn told(vm: &str, runs: u32) -> DaemonStats {
    let load = Load { runs, tokens: 1_000 * runs, ..Load::default() };
    DaemonStats {
        loads: vec![(Tag::of(vm), load), (Tag::of("all"), load)],
        spent: vec![(Tag::of("service"), Spent { requests: 10, retries: 1 })],
        ..DaemonStats::default()
    }
}
