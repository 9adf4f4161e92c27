//! Which daemons are alive: a table of heartbeats that daemons pass on to each other.
//!
//! Within a hall every daemon knows every other. Of other halls only the
//! gateways are kept, so that a daemon's table and messages do not grow with the fleet.

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Gateways of each hall.
const GATEWAYS: usize = 2;
/// Records that ride on one heartbeat.
const RUMORS: usize = 8;
/// Beats of silence after which a daemon is suspected.
const SUSPECT_BEATS: u32 = 8;
/// Beats of silence after which it is taken as dead.
const DEAD_BEATS: u32 = 24;
/// How long a dead daemon's record is kept, so that an old rumor does not revive it.
const TOMBSTONE: Duration = Duration::from_secs(600);

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of its VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Where callers reach it.
    pub caller_addr: SocketAddr,
    /// Where daemons reach it.
    pub peer_addr: SocketAddr,
    /// Unix time of its start in milliseconds; tells a restart from the old process.
    pub incarnation: u64,
    /// Counts its heartbeats.
    pub beat: u64,
    /// Whether it drains.
    pub leaving: bool,
    /// Whether it speaks for its hall with other halls.
    pub gateway: bool,
    /// Configuration revision it has in force.
    pub revision: u64,
    /// Lowest revision in force over the daemons of its hall that it knows.
    pub lowest: u64,
    /// Streams open at it.
    pub open: u32,
}

/// How a daemon seems.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeats come.
    Alive,
    /// They have not come for a while.
    Suspected,
    /// They have not come for long.
    Dead,
}

#[derive(Debug)]
struct Member {
    record: Record,
    last_seen: Instant,
}

/// The table of one daemon.
#[derive(Debug)]
pub struct Members {
    own: Record,
    others: HashMap<String, Member>,
    beat: Duration,
    ticked: Instant,
}

impl Members {
    /// A table that knows only this daemon.
    pub fn new(own: Record, beat: Duration, now: Instant) -> Members {
        Members { own, others: HashMap::new(), beat, ticked: now }
    }

    /// This daemon's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Changes what this daemon says of itself.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Record)) {
        change(&mut self.own);
    }

    /// Takes in a record; says whether it was news.
    pub fn merge(&mut self, record: Record, now: Instant) -> bool {
        if record.vm == self.own.vm {
            // An older process of this VM, or a rumor of this one.
            return false;
        }
        if record.hall != self.own.hall && !record.gateway {
            return false;
        }
        match self.others.get_mut(&record.vm) {
            None => {
                self.others.insert(record.vm.clone(), Member { record, last_seen: now });
                true
            }
            Some(known) => {
                let (old, new) = (age(&known.record), age(&record));
                let leaves = known.record.leaving && known.record.incarnation == record.incarnation;
                if new <= old {
                    // A leaving mark wins at once, whatever its beat.
                    known.record.leaving |=
                        record.leaving && known.record.incarnation == record.incarnation;
                    return false;
                }
                known.record = record;
                known.record.leaving |= leaves;
                known.last_seen = now;
                true
            }
        }
    }

    /// One heartbeat: counts it, forgets the long dead, and chooses whether this daemon is a gateway.
    pub fn tick(&mut self, now: Instant) {
        let slept = now.duration_since(self.ticked);
        if slept > self.beat * 3 {
            // This process was paused: silence meanwhile says nothing of the others.
            for member in self.others.values_mut() {
                member.last_seen += slept;
            }
        }
        self.ticked = now;
        self.own.beat += 1;
        let dead = self.beat * DEAD_BEATS + TOMBSTONE;
        self.others.retain(|_, m| now.saturating_duration_since(m.last_seen) < dead);
        let hall = self.own.hall.clone();
        let first = self.rank(&hall, "gateway", now).into_iter().take(GATEWAYS);
        self.own.gateway = first.into_iter().any(|vm| vm == self.own.vm);
        self.own.lowest = self.lowest_in_hall(now);
    }

    /// How a daemon seems.
    pub fn liveness(&self, vm: &str, now: Instant) -> Option<Liveness> {
        if vm == self.own.vm {
            return Some(Liveness::Alive);
        }
        self.others.get(vm).map(|m| self.seems(m, now))
    }

    fn seems(&self, member: &Member, now: Instant) -> Liveness {
        let silent = now.saturating_duration_since(member.last_seen);
        if silent > self.beat * DEAD_BEATS {
            Liveness::Dead
        } else if silent > self.beat * SUSPECT_BEATS {
            Liveness::Suspected
        } else {
            Liveness::Alive
        }
    }

    /// All daemons known to be alive, this one first.
    pub fn alive(&self, now: Instant) -> Vec<&Record> {
        let others = self.others.values().filter(|m| self.seems(m, now) == Liveness::Alive);
        std::iter::once(&self.own).chain(others.map(|m| &m.record)).collect()
    }

    /// Daemons that callers may be sent to: alive and not leaving.
    pub fn entries(&self, now: Instant) -> Vec<&Record> {
        self.alive(now).into_iter().filter(|r| !r.leaving).collect()
    }

    /// Whether this daemon is among the first `count` of its hall for a duty.
    pub fn has_duty(&self, duty: &str, count: usize, now: Instant) -> bool {
        let hall = self.own.hall.clone();
        self.rank(&hall, duty, now).iter().take(count).any(|vm| *vm == self.own.vm)
    }

    /// The gateway that a duty falls to. All daemons know the same gateways, so they choose alike.
    pub fn gateway_for(&self, duty: &str, now: Instant) -> &Record {
        let gateways = self.entries(now).into_iter().filter(|r| r.gateway);
        gateways.max_by_key(|r| weight(duty, &r.vm)).unwrap_or(&self.own)
    }

    fn rank(&self, hall: &str, duty: &str, now: Instant) -> Vec<String> {
        let staying = self.entries(now).into_iter().filter(|r| r.hall == hall);
        let mut ranked: Vec<(u64, String)> =
            staying.map(|r| (weight(duty, &r.vm), r.vm.clone())).collect();
        ranked.sort_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    /// Whom to send this beat to: two of the hall, and from a gateway one of another hall.
    pub fn targets(&self, rng: &mut impl rand::Rng, now: Instant) -> Vec<SocketAddr> {
        let reachable = self.others.values().filter(|m| self.seems(m, now) != Liveness::Dead);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            reachable.partition(|m| m.record.hall == self.own.hall);
        let mut targets: Vec<SocketAddr> =
            near.sample(rng, 2).map(|m| m.record.peer_addr).collect();
        if self.own.gateway
            && let Some(member) = far.choose(rng)
        {
            targets.push(member.record.peer_addr);
        }
        // Now and then one that seems dead, so that halls cut off from each other meet again.
        if rng.random_ratio(1, 16)
            && let Some(member) = self
                .others
                .values()
                .filter(|m| self.seems(m, now) == Liveness::Dead)
                .collect::<Vec<_>>()
                .choose(rng)
        {
            targets.push(member.record.peer_addr);
        }
        targets
    }

    /// The records that ride on one heartbeat: this daemon's own, then some at random.
    pub fn rumors(&self, rng: &mut impl rand::Rng, now: Instant) -> Vec<Record> {
        let fresh = self.others.values().filter(|m| self.seems(m, now) == Liveness::Alive);
        let mut others: Vec<&Record> = fresh.map(|m| &m.record).collect();
        others.shuffle(rng);
        std::iter::once(&self.own).chain(others.into_iter().take(RUMORS)).cloned().collect()
    }

    /// How many others are in the table.
    pub fn known(&self) -> usize {
        self.others.len()
    }

    /// The lowest revision in force over all daemons alive, other halls by their gateways' word.
    pub fn lowest_revision(&self, now: Instant) -> u64 {
        let own_hall = |r: &Record| r.hall == self.own.hall;
        let alive = self.alive(now).into_iter();
        alive.map(|r| if own_hall(r) { r.revision } else { r.lowest }).min().unwrap_or(0)
    }

    fn lowest_in_hall(&self, now: Instant) -> u64 {
        let hall = self.alive(now).into_iter().filter(|r| r.hall == self.own.hall);
        hall.map(|r| r.revision).min().unwrap_or(0)
    }
}

fn age(record: &Record) -> (u64, u64) {
    (record.incarnation, record.beat)
}

/// Rendezvous weight of a VM for a duty.
fn weight(duty: &str, vm: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (duty, vm).hash(&mut hasher);
    hasher.finish()
}
