//! Sums of what distant daemons told, as they are passed on from relay to relay.
//!
//! For each origin the latest sum counts and takes the place of the one before, so that nothing counts
//! twice however it came here. Sums of one hall's cells name their members: where two of them hold the
//! same daemon, which has just changed its cell, the later one counts and the other waits for its next.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::clock::{Clock, millis_between, minus_millis};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::heartbeat::{DaemonStats, Origin, Sum};
use crate::gateway::outcomes::Outcomes;
use crate::gateway::quarantine::{Evidence, most_ended};
use crate::gateway::rollout;
use crate::gateway::servers::Load;
use crate::gateway::tag::Tag;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Age at which a cell's sum no longer counts: a new relay takes over 0.7 s after the last heartbeat
/// of the one before it, and its first sums need a few heartbeats.
const CELL_SUM_LIFETIME: Duration = Duration::from_millis(1_500);
/// The same for sums of halls, which come less often and over more daemons.
const HALL_SUM_LIFETIME: Duration = Duration::from_millis(2_500);
/// Places that callers are told of at least, so that one loss does not leave them without.
pub(crate) const MIN_ENTRIES: usize = 3;
/// How much younger another maker's sum must be to take the place of one: as long as a relay is heard,
/// a second daemon that takes itself for it changes nothing.
const MAKER_CHANGE_AGE: Duration = Duration::from_millis(450);

/// From where a sum came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SumSource {
    /// From a daemon of this cell.
    OwnCell,
    /// From another cell of this hall.
    OwnHall,
    /// From another hall.
    OtherHall,
}

#[derive(Debug)]
struct StoredSum {
    sum: Sum,
    /// The earliest moment at which it can have been made.
    made: Instant,
    /// When and how it came here.
    received: Instant,
    source: SumSource,
}

impl StoredSum {
    fn is_current(&self, now: Instant) -> bool {
        let lifetime = match self.sum.origin {
            Origin::Cell(_) => CELL_SUM_LIFETIME,
            Origin::Hall(_) | Origin::OtherHalls => HALL_SUM_LIFETIME,
        };
        now.saturating_duration_since(self.made) <= lifetime
    }
}

/// The latest sum of each origin.
#[derive(Debug, Default)]
pub(crate) struct Sums {
    by_origin: HashMap<Origin, StoredSum>,
}

impl Sums {
    /// Takes in a sum that was told by a message sent at `sent` at the earliest.
    pub(crate) fn insert_if_newer(
        &mut self,
        sum: &Sum,
        sent: Instant,
        source: SumSource,
        now: Instant,
    ) {
        let Some(made) = minus_millis(sent, sum.age_ms) else {
            return;
        };
        let stored = StoredSum { sum: sum.clone(), made, received: now, source };
        let newer =
            self.by_origin.get(&sum.origin).is_none_or(|known| match known.sum.boot == sum.boot {
                true => known.sum.stamp < sum.stamp,
                false => made.saturating_duration_since(known.made) > MAKER_CHANGE_AGE,
            });
        if newer && stored.is_current(now) {
            self.by_origin.insert(sum.origin, stored);
        }
    }

    /// Forgets what no longer counts.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.by_origin.retain(|_, stored| stored.is_current(now));
    }

    /// Sums of cells of `hall` but `own`, of which no two hold the same daemon and none one of `near`.
    pub(crate) fn cells(&self, own: CellId, near: HashSet<Tag>, now: Instant) -> Vec<&Sum> {
        let wanted = |stored: &&StoredSum| match stored.sum.origin {
            Origin::Cell(id) => id != own && id.hall == own.hall,
            Origin::Hall(_) | Origin::OtherHalls => false,
        };
        let mut cells: Vec<&StoredSum> = self
            .by_origin
            .values()
            .filter(wanted)
            .filter(|stored| stored.is_current(now))
            .collect();
        cells.sort_by_key(|stored| (std::cmp::Reverse(stored.made), stored.sum.boot));
        let mut counted = near;
        let mut disjoint = Vec::new();
        for stored in cells {
            if stored.sum.members.iter().all(|member| !counted.contains(member)) {
                counted.extend(&stored.sum.members);
                disjoint.push(&stored.sum);
            }
        }
        disjoint
    }

    /// Sums of other halls: for a relay each hall's own, for its cell what the relay made of them. A
    /// daemon that has just become a relay, or has just lost its own, has the other ones for a while.
    pub(crate) fn halls(&self, relay: bool, now: Instant) -> Vec<&Sum> {
        let current = self
            .by_origin
            .values()
            .filter(|stored| stored.is_current(now))
            .map(|stored| &stored.sum);
        let (halls, others): (Vec<&Sum>, Vec<&Sum>) = current
            .filter(|sum| !matches!(sum.origin, Origin::Cell(_)))
            .partition(|sum| matches!(sum.origin, Origin::Hall(_)));
        let (first, second) = if relay { (halls, others) } else { (others, halls) };
        if first.is_empty() { second } else { first }
    }

    /// Sums that came after `last` and are to be passed on by their origin and way, with their ages.
    pub(crate) fn to_forward(
        &self,
        wanted: impl Fn(Origin, SumSource) -> bool,
        last: Option<Instant>,
        now: Instant,
    ) -> impl Iterator<Item = Sum> {
        let selected =
            self.by_origin.values().filter(move |stored| wanted(stored.sum.origin, stored.source));
        let fresh =
            selected.filter(move |stored| stored.is_current(now) && Some(stored.received) > last);
        fresh.map(move |stored| Sum {
            age_ms: millis_between(stored.made, now),
            ..stored.sum.clone()
        })
    }
}

/// Adds up what was told, and whose words it was.
#[derive(Debug, Default)]
pub(crate) struct SumBuilder {
    members: Vec<Tag>,
    daemons: u32,
    entries: Vec<SocketAddr>,
    /// What runs at each server.
    pub(crate) loads: HashMap<Tag, Load>,
    spent: HashMap<Tag, Spent>,
    /// How exchanges with each server went.
    pub(crate) outcomes: HashMap<Tag, Outcomes>,
    /// What became of the servers that ran suspected requests.
    pub(crate) evidence: HashMap<Fingerprint, Evidence>,
    /// How requests went in roll-outs.
    pub(crate) rollouts: rollout::Reports,
}

impl SumBuilder {
    /// Adds what was told.
    pub(crate) fn add(&mut self, stats: &DaemonStats) {
        add(&mut self.loads, &stats.loads);
        add(&mut self.spent, &stats.spent);
        add(&mut self.outcomes, &stats.outcomes);
        for (request, evidence) in &stats.evidence {
            self.evidence.entry(*request).or_default().merge(evidence);
        }
        add(&mut self.rollouts.tallies, &stats.tallies);
        for (order, age) in &stats.rollout_ages {
            let known = self.rollouts.ages.entry(*order).or_default();
            *known = (*known).max(*age);
        }
    }

    /// Adds one daemon's word; `entry` is where callers may be sent to it.
    pub(crate) fn add_daemon(&mut self, tag: Tag, stats: &DaemonStats, entry: Option<SocketAddr>) {
        self.add(stats);
        self.members.push(tag);
        self.daemons += 1;
        self.entries.extend(entry);
    }

    /// Adds a part of the fleet, with one of its entries. Members are kept of whole halls only.
    pub(crate) fn add_sum(&mut self, sum: &Sum) {
        self.add(&sum.stats);
        self.members.extend(halls_of(sum));
        self.daemons += sum.daemons;
        self.entries.extend(sum.entries.first());
    }

    /// Leaves out servers with fewer requests than so many.
    pub(crate) fn drop_light_loads(&mut self, min_runs: u32) {
        self.loads.retain(|_, load| load.runs >= min_runs);
    }

    /// The sum, made now by the process of that clock.
    pub(crate) fn sum(mut self, origin: Origin, clock: &Clock, now: Instant) -> Sum {
        self.entries.truncate(MIN_ENTRIES);
        Sum {
            origin,
            boot: clock.boot(),
            stamp: clock.stamp(now),
            age_ms: 0,
            members: self.members,
            daemons: self.daemons,
            entries: self.entries,
            stats: DaemonStats {
                loads: self.loads.into_iter().collect(),
                spent: self.spent.into_iter().collect(),
                outcomes: self.outcomes.into_iter().collect(),
                evidence: most_ended(self.evidence.into_iter().collect()),
                tallies: self.rollouts.tallies.into_iter().collect(),
                rollout_ages: self.rollouts.ages.into_iter().collect(),
            },
        }
    }
}

/// The halls that a sum of other halls holds.
pub(crate) fn halls_of(sum: &Sum) -> Vec<Tag> {
    match sum.origin {
        Origin::Hall(hall) => vec![hall],
        Origin::OtherHalls => sum.members.clone(),
        Origin::Cell(_) => Vec::new(),
    }
}

/// Adds parts to sums by name.
pub(crate) fn add<K: Copy + Eq + Hash, T: Default + AddAssign + Copy>(
    sums: &mut HashMap<K, T>,
    values: &[(K, T)],
) {
    for (key, value) in values {
        *sums.entry(*key).or_default() += *value;
    }
}
