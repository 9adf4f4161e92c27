//! Sums of figures from distant daemons, which relays forward to each other.
//!
//! Only the latest sum of each origin counts, and it replaces the one before, so that nothing is
//! counted twice, whichever way it arrived. The sums of a hall's cells list their members. If two
//! of them contain the same daemon, because it has just changed its cell, the more recent one
//! counts, and the other one is left out until its successor arrives.

use crate::gateway::budget::Spent;
use crate::gateway::cell::CellId;
use crate::gateway::clock::{Clock, millis_between, minus_millis};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::heartbeat::{DaemonStats, Origin, Sum};
use crate::gateway::outcomes::Outcomes;
use crate::gateway::quarantine::{Evidence, top_suspects};
use crate::gateway::rollout;
use crate::gateway::servers::Load;
use crate::gateway::shares::largest_by_name;
use crate::gateway::tag::Tag;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Age at which a cell's sum expires: a new relay takes over 0.7 s after the last heartbeat of its
/// predecessor, and its first sums need a few heartbeats.
const CELL_SUM_LIFETIME: Duration = Duration::from_millis(1_500);
/// The same for sums of halls, which are sent less often and pass through more daemons.
const HALL_SUM_LIFETIME: Duration = Duration::from_millis(2_500);
/// Number of addresses that callers get if possible, so that they still have one after a daemon is
/// lost.
pub(crate) const MIN_ENTRIES: usize = 3;
/// How much younger a sum of another maker must be to replace the known one: while a relay is
/// reachable, a second daemon that considers itself the relay has no effect.
const MAKER_CHANGE_AGE: Duration = Duration::from_millis(450);

/// Where a sum was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SumSource {
    /// A daemon of this cell.
    OwnCell,
    /// Another cell of this hall.
    OwnHall,
    /// Another hall.
    OtherHall,
}

#[derive(Debug)]
struct StoredSum {
    sum: Sum,
    /// The earliest time at which it can have been made.
    made: Instant,
    /// When it was received, and from where.
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
    /// Stores a sum from a message that was sent no earlier than `sent`, if the sum is newer than
    /// the known one.
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

    /// Removes sums that have expired.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.by_origin.retain(|_, stored| stored.is_current(now));
    }

    /// Sums of the other cells of `own`'s hall. No daemon is in two of them, and none in `near`.
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

    /// Sums of other halls: a relay uses each hall's own sum, other daemons use the sum that their
    /// relay made of these. A daemon that has just become a relay, or has just lost its relay, uses
    /// the other kind for a while.
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

    /// Sums received after `last` that `wanted` selects by origin and source, with their current
    /// ages.
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

/// Adds up the figures of daemons, and records which daemons are included.
#[derive(Debug, Default)]
pub(crate) struct SumBuilder {
    members: Vec<Tag>,
    daemons: u32,
    entries: Vec<SocketAddr>,
    /// The load on each server.
    pub(crate) loads: HashMap<Tag, Load>,
    spent: HashMap<Tag, Spent>,
    /// The outcomes of exchanges with each server.
    pub(crate) outcomes: HashMap<Tag, Outcomes>,
    /// What happened to the servers that ran suspected requests.
    pub(crate) evidence: HashMap<Fingerprint, Evidence>,
    /// The results of requests in rollouts.
    pub(crate) rollouts: rollout::Reports,
}

impl SumBuilder {
    /// Adds these figures.
    pub(crate) fn add(&mut self, stats: &DaemonStats) {
        add(&mut self.loads, &stats.loads);
        add(&mut self.spent, &stats.spent);
        add(&mut self.outcomes, &stats.outcomes);
        for (request, evidence) in &stats.evidence {
            self.evidence.entry(*request).or_default().merge(evidence);
        }
        add(&mut self.rollouts.tallies, &stats.tallies);
        for (order, age) in &stats.rollout_ages {
            let known = self.rollouts.order_ages_ms.entry(*order).or_default();
            *known = (*known).max(*age);
        }
    }

    /// Adds what was spent of the retry budgets.
    pub(crate) fn add_spent(&mut self, spent: &[(Tag, Spent)]) {
        add(&mut self.spent, spent);
    }

    /// Adds one daemon; `entry` is its address for callers, if it accepts them.
    pub(crate) fn add_daemon(&mut self, tag: Tag, stats: &DaemonStats, entry: Option<SocketAddr>) {
        self.add(stats);
        self.members.push(tag);
        self.daemons += 1;
        self.entries.extend(entry);
    }

    /// Adds a sum, with one of its entries. Of its members, only complete halls are recorded.
    pub(crate) fn add_sum(&mut self, sum: &Sum) {
        self.add(&sum.stats);
        self.members.extend(halls_of(sum));
        self.daemons += sum.daemons;
        self.entries.extend(sum.entries.first());
    }

    /// Removes the loads of servers with fewer than `min_runs` requests. Loads of workspaces are kept.
    pub(crate) fn drop_light_loads(&mut self, min_runs: u32) {
        self.loads.retain(|_, load| !load.is_of_server() || load.runs >= min_runs);
    }

    /// The sum, dated by the clock of this process.
    pub(crate) fn sum(mut self, origin: Origin, clock: &Clock, now: Instant) -> Sum {
        self.entries.truncate(MIN_ENTRIES);
        let (mut loads, rest): (Vec<_>, Vec<_>) =
            self.loads.into_iter().partition(|(_, load)| load.is_of_server());
        loads.extend(largest_by_name(rest.into_iter()));
        Sum {
            origin,
            boot: clock.boot(),
            stamp: clock.stamp(now),
            age_ms: 0,
            members: self.members,
            daemons: self.daemons,
            entries: self.entries,
            stats: DaemonStats {
                loads,
                spent: self.spent.into_iter().collect(),
                outcomes: self.outcomes.into_iter().collect(),
                evidence: top_suspects(self.evidence.into_iter().collect()),
                tallies: self.rollouts.tallies.into_iter().collect(),
                rollout_ages: self.rollouts.order_ages_ms.into_iter().collect(),
            },
        }
    }
}

/// The halls that are included in a sum.
pub(crate) fn halls_of(sum: &Sum) -> Vec<Tag> {
    match sum.origin {
        Origin::Hall(hall) => vec![hall],
        Origin::OtherHalls => sum.members.clone(),
        Origin::Cell(_) => Vec::new(),
    }
}

/// Adds each value to the sum under the same key.
pub(crate) fn add<K: Copy + Eq + Hash, T: Default + AddAssign + Copy>(
    sums: &mut HashMap<K, T>,
    values: &[(K, T)],
) {
    for (key, value) in values {
        *sums.entry(*key).or_default() += *value;
    }
}
