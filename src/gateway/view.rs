//! What a daemon has heard of the others: who speaks, who is ready, what runs where, what is spent.

use crate::gateway::budget::{CellPeers, Others};
use crate::gateway::cell::{CellId, Layout, rank};
use crate::gateway::clock::{Clock, Echo, micros_between, millis_between, minus_millis};
use crate::gateway::heartbeat::{DaemonStats, Heartbeat, Origin, Sum};
use crate::gateway::partner::{self, IntervalScale, Relation, SumSchedule};
use crate::gateway::roster::{Daemon, Listing};
use crate::gateway::servers::{Load, Observations, PeerStats};
use crate::gateway::sums::{MIN_ENTRIES, SumBuilder, SumSource, Sums, add, halls_of};
use crate::gateway::tag::Tag;
use log::info;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Silence after which a daemon of the same cell is taken as gone for now: callers are not sent
/// there, and its load is not counted; a relay has a successor. Almost three heartbeats. The same for
/// a daemon that was greeted and has not answered.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same for a daemon of another hall.
const OTHER_HALL_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a daemon that was greeted in vain is not chosen again, unless it is heard.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(10);
/// Silence after which a daemon that the store does not list is forgotten.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(30);
/// Time for which a relay tells its cell the same sum of other halls, in milliseconds: adding it up for
/// each daemon of the cell would cost a relay most of its time where the fleet is large.
const HALLS_SUM_CACHE_MS: u64 = 100;
/// Other daemons that a heartbeat names.
const MAX_PEER_ADDRS: usize = 3;
/// Longest time to a next heartbeat that is believed.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// A daemon as its heartbeats tell.
#[derive(Debug)]
struct Peer {
    daemon: Daemon,
    /// Its name's tag.
    tag: Tag,
    boot: u64,
    /// Its clock in its last heartbeat.
    stamp: u64,
    last_seen: Instant,
    /// Time within which its next heartbeat follows.
    interval: Duration,
    ready: bool,
    /// Whether it chose this daemon as its contact.
    expects_replies: bool,
    cell: CellId,
    /// Its own; nothing where it is of another cell.
    stats: DaemonStats,
}

/// What a daemon tells of itself.
#[derive(Debug, Clone, Default)]
pub struct OwnState {
    /// What it has running and has spent.
    pub stats: DaemonStats,
    /// Whether callers may be sent to it.
    pub ready: bool,
}

/// See the module.
#[derive(Debug)]
pub struct View {
    own: Daemon,
    /// Its name's tag.
    tag: Tag,
    clock: Clock,
    layout: Layout,
    peers: HashMap<SocketAddr, Peer>,
    /// Daemons that were greeted in vain, and when that was last seen.
    unanswered: HashMap<SocketAddr, Instant>,
    sums: Sums,
    /// The sum of other halls that this daemon, as a relay, made last for all of its cell.
    cached_halls_sum: Option<Sum>,
    /// The latest read of the store by any daemon, as far as told.
    store_read: Option<Instant>,
    /// By how much this daemon's pauses are longer than at full load.
    interval_scale: IntervalScale,
    /// Of what the fleet was last divided.
    layout_inputs: Option<LayoutInputs>,
}

/// What a division of the fleet follows from.
#[derive(Debug, PartialEq)]
struct LayoutInputs {
    /// Names the list of daemons.
    listing: u64,
    /// Daemons that are heard and not listed.
    unlisted: Vec<SocketAddr>,
    /// Daemons that don't answer.
    silent: Vec<SocketAddr>,
}

impl View {
    /// A view of one that has heard nothing.
    pub fn new(own: Daemon, clock: Clock) -> View {
        let layout = Layout::of(&own, &[], |_| false);
        View {
            tag: Tag::of(&own.vm),
            own,
            clock,
            layout,
            peers: HashMap::new(),
            unanswered: HashMap::new(),
            sums: Sums::default(),
            cached_halls_sum: None,
            store_read: None,
            interval_scale: IntervalScale::NONE,
            layout_inputs: None,
        }
    }

    /// The clock by which others' words are dated.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// How the fleet is divided.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Divides the fleet into cells: the daemons that the store lists, and those heard of lately. Those that are
    /// neither are forgotten. `tried` tells since when a daemon is being greeted. It is divided anew only where
    /// something has changed.
    pub fn update_layout(
        &mut self,
        listing: &Listing,
        tried: impl Fn(SocketAddr) -> Option<Instant>,
        now: Instant,
    ) {
        let is_listed = |addr: &SocketAddr| listing.peers.contains(addr);
        self.peers.retain(|addr, peer| {
            is_listed(addr) || elapsed(peer.last_seen, now) <= UNLISTED_LIFETIME
        });
        self.sums.remove_expired(now);
        let partners = self.layout.partners();
        let unanswered: Vec<SocketAddr> =
            partners.filter(|addr| self.is_silent(*addr, tried(*addr), now)).collect();
        self.unanswered.retain(|_, at| elapsed(*at, now) <= UNANSWERED_LIFETIME);
        self.unanswered.extend(unanswered.into_iter().map(|addr| (addr, now)));
        let mut unlisted: Vec<SocketAddr> =
            self.peers.keys().copied().filter(|addr| !is_listed(addr)).collect();
        unlisted.sort_unstable();
        // Only those that were heard or greeted can be silent.
        let is_silent_now = |addr: &SocketAddr| self.is_silent(*addr, tried(*addr), now);
        let known = self.peers.keys().chain(self.unanswered.keys()).copied();
        let known = known.chain(self.layout.partners()).collect::<HashSet<SocketAddr>>();
        let silent =
            known.into_iter().filter(|a| self.unanswered.contains_key(a) || is_silent_now(a));
        let mut silent: Vec<SocketAddr> = silent.collect();
        silent.sort_unstable();
        let division = LayoutInputs { listing: listing.number, unlisted, silent };
        if self.layout_inputs.as_ref() == Some(&division) {
            return;
        }
        let mut others = listing.daemons.clone();
        others.retain(|daemon| daemon.vm != self.own.vm);
        let reachable = division.unlisted.iter().filter_map(|addr| self.peers.get(addr));
        others.extend(reachable.map(|p| p.daemon.clone()));
        let is_silent = |addr| division.silent.binary_search(&addr).is_ok();
        self.layout = Layout::of(&self.own, &others, is_silent);
        self.layout_inputs = Some(division);
    }

    /// Sets by how much this daemon's pauses are longer than at full load.
    pub fn set_interval_scale(&mut self, scale: IntervalScale) {
        self.interval_scale = scale;
    }

    /// Time to the next heartbeat to a partner.
    pub fn heartbeat_interval(&self, to: SocketAddr, relation: Relation, now: Instant) -> Duration {
        partner::heartbeat_interval(
            relation,
            self.layout.is_relay(),
            self.can_reach(to, now),
            self.interval_scale,
        )
    }

    /// Time after a heartbeat before which changes of load are not told.
    pub fn spacing(&self, spacing: Duration) -> Duration {
        self.interval_scale.spacing(spacing)
    }

    /// Whether a daemon, which is being greeted since `tried`, does not answer.
    fn is_silent(&self, addr: SocketAddr, tried: Option<Instant>, now: Instant) -> bool {
        let peer = self.peers.get(&addr);
        let since = peer.map(|p| p.last_seen).max(tried);
        let silent = peer.map_or(SILENCE_TIMEOUT, |p| self.silence_timeout(p));
        since.is_some_and(|since| elapsed(since, now) > silent)
    }

    /// Notes a heartbeat, unless a later one of the same process came before it. Says whether it
    /// was noted.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let addr = heartbeat.daemon.peers;
        let known = self.peers.get(&addr);
        if known.is_some_and(|known| known.boot == heartbeat.boot && known.stamp > heartbeat.stamp)
        {
            return false;
        }
        if known.is_none_or(|known| known.boot != heartbeat.boot) {
            info!(peer = heartbeat.daemon.vm.as_str(), addr = addr.to_string().as_str(); "peer heard");
        }
        // What can't be dated is told again with the next heartbeat, which can.
        if let Some(sent) = self.clock.earliest_send_time(heartbeat.echo, now) {
            self.note_store_read(heartbeat.store_read_age_ms.and_then(|ms| minus_millis(sent, ms)));
            self.merge_sums(heartbeat, sent, now);
        }
        let peer = Peer {
            daemon: heartbeat.daemon.clone(),
            tag: Tag::of(&heartbeat.daemon.vm),
            boot: heartbeat.boot,
            stamp: heartbeat.stamp,
            last_seen: now,
            interval: Duration::from_millis(heartbeat.interval_ms.into()).min(MAX_INTERVAL),
            ready: heartbeat.ready,
            expects_replies: heartbeat.expects_reply,
            cell: heartbeat.cell,
            stats: heartbeat.stats.clone(),
        };
        self.peers.insert(addr, peer);
        self.unanswered.remove(&addr);
        true
    }

    /// Takes in the sums that this daemon does not make itself.
    fn merge_sums(&mut self, heartbeat: &Heartbeat, sent: Instant, now: Instant) {
        let own = self.layout.own_cell;
        let source = match heartbeat.cell {
            cell if cell == own => SumSource::OwnCell,
            cell if cell.hall == own.hall => SumSource::OwnHall,
            _ => SumSource::OtherHall,
        };
        for sum in &heartbeat.sums {
            let wanted = match sum.origin {
                Origin::Cell(cell) => cell != own && cell.hall == own.hall,
                Origin::Hall(hall) => hall != own.hall,
                Origin::OtherHalls => source == SumSource::OwnCell,
            };
            if wanted {
                self.sums.insert_if_newer(sum, sent, source, now);
            }
        }
    }

    /// Notes that some daemon has read the store.
    pub fn note_store_read(&mut self, at: Option<Instant>) {
        self.store_read = self.store_read.max(at);
    }

    /// When the store was last read by any daemon, as far as told.
    pub fn last_store_read(&self) -> Option<Instant> {
        self.store_read
    }

    /// The clock of a daemon, to be returned to it.
    pub fn echo(&self, addr: SocketAddr, now: Instant) -> Option<Echo> {
        let peer = self.peers.get(&addr)?;
        Some(Echo {
            boot: peer.boot,
            stamp: peer.stamp,
            held_us: micros_between(peer.last_seen, now),
        })
    }

    /// Whether a daemon has been heard and is not forgotten.
    pub fn has_peer(&self, addr: SocketAddr) -> bool {
        self.peers.contains_key(&addr)
    }

    /// Whether a daemon is heard.
    pub fn can_reach(&self, addr: SocketAddr, now: Instant) -> bool {
        self.peers.get(&addr).is_some_and(|p| self.is_reachable(p, now))
    }

    fn is_reachable(&self, peer: &Peer, now: Instant) -> bool {
        elapsed(peer.last_seen, now) <= self.silence_timeout(peer)
    }

    /// Silence after which a daemon is taken as gone for now.
    fn silence_timeout(&self, peer: &Peer) -> Duration {
        let is_near = peer.cell.hall == self.layout.own_cell.hall;
        partner::silence_timeout(
            peer.interval,
            if is_near { SILENCE_TIMEOUT } else { OTHER_HALL_SILENCE_TIMEOUT },
        )
    }

    /// What a daemon is to this one; `None` where no heartbeats are due to it, or it was never heard.
    pub fn relation(&self, addr: SocketAddr, now: Instant) -> Option<Relation> {
        let layout = &self.layout;
        let chosen = [
            (&layout.cell_peers, Relation::SameCell),
            (&layout.sibling_relays, Relation::SameHall),
            (&layout.hall_relays, Relation::OtherHall),
        ];
        let chosen = chosen.into_iter().find(|(addrs, _)| addrs.contains(&addr));
        if let Some((_, relation)) = chosen {
            return Some(relation);
        }
        let peer = self.peers.get(&addr).filter(|_| self.can_reach(addr, now))?;
        match peer.cell {
            cell if cell == layout.own_cell => Some(Relation::SameCell),
            _ if !peer.expects_replies => None,
            cell if cell.hall == layout.own_cell.hall => Some(Relation::SameHall),
            _ => Some(Relation::OtherHall),
        }
    }

    /// All daemons that heartbeats are due to.
    pub fn partners(&self, now: Instant) -> Vec<SocketAddr> {
        let reachable =
            self.peers.keys().copied().filter(|addr| self.relation(*addr, now).is_some());
        let all: HashSet<SocketAddr> = self.layout.partners().chain(reachable).collect();
        all.into_iter().collect()
    }

    /// How many daemons come before this one in the order in which they read the store: those of
    /// its cell that rank before it, as they would as its relay, and a daemon for each cell of its hall and each hall that does.
    pub fn readers_before(&self, now: Instant) -> usize {
        let near =
            self.reachable_in_cell(now).filter(|p| rank(&p.daemon) < rank(&self.own)).count();
        let precedes_own =
            |sum: &&Sum| matches!(sum.origin, Origin::Cell(c) if c < self.layout.own_cell);
        let cells = self.other_cells(now).into_iter().filter(precedes_own).count();
        let halls: Vec<Tag> = self.other_halls(now).into_iter().flat_map(halls_of).collect();
        near + cells + halls.into_iter().filter(|hall| *hall < self.layout.own_cell.hall).count()
    }

    /// The place of this daemon in the order in which all daemons begin to ask a store that doesn't
    /// answer, among `others` and itself. It is derived from its name alone: who is heard doesn't matter.
    pub fn store_retry_turn(&self, others: usize) -> u32 {
        let fraction = self.tag.value() as f64 / u64::MAX as f64;
        (fraction * (others + 1) as f64) as u32
    }

    /// Where callers may be sent, this daemon not among them: to its own cell, and further where the
    /// cell has few.
    pub fn entries(&self, now: Instant) -> Vec<SocketAddr> {
        let ready = |p: &&Peer| p.ready;
        let mut entries: Vec<SocketAddr> =
            self.reachable_in_cell(now).filter(ready).map(|p| p.daemon.callers).collect();
        if entries.len() < MIN_ENTRIES {
            entries.extend(self.remote_entries(now));
            entries.sort_unstable();
            entries.dedup();
        }
        entries
    }

    /// Where the other daemons of this cell that are heard and ready are reached by daemons, as far as they hold
    /// room at a server, where `count` daemons of the cell do.
    pub fn quota_holders_in_cell(
        &self,
        server: Tag,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut all: Vec<(Tag, Option<&Peer>)> =
            self.reachable_in_cell(now).map(|p| (p.tag.combined_with(server), Some(p))).collect();
        all.push((self.tag.combined_with(server), None));
        all.sort_unstable_by_key(|(place, _)| *place);
        let others = all.into_iter().take(count).filter_map(|(_, peer)| peer);
        others.filter(|p| p.ready).map(|p| p.daemon.peers).collect()
    }

    /// Where callers may be sent in other cells and halls, as far as they are heard.
    pub fn remote_entries(&self, now: Instant) -> Vec<SocketAddr> {
        let others = self.peers.values().filter(|p| p.cell != self.layout.own_cell);
        let reachable = others.filter(|p| p.ready && self.is_reachable(p, now));
        let from_sums = self.other_cells(now).into_iter().chain(self.other_halls(now));
        let from_sums = from_sums.flat_map(|sum| sum.entries.iter().copied());
        reachable.map(|p| p.daemon.callers).chain(from_sums).collect()
    }

    /// A heartbeat to such a partner, with what this daemon knows of others; nothing yet of the store and
    /// of servers.
    pub fn heartbeat(
        &mut self,
        to: SocketAddr,
        relation: Relation,
        own: OwnState,
        schedule: &mut SumSchedule,
        now: Instant,
    ) -> Heartbeat {
        let sums = self.sums_for(to, relation, &own, schedule, now);
        let near = relation == Relation::SameCell;
        let layout = &self.layout;
        let chosen = layout.sibling_relays.contains(&to) || layout.hall_relays.contains(&to);
        let peer_addrs = self.reachable_in_cell(now).map(|p| p.daemon.peers).take(MAX_PEER_ADDRS);
        Heartbeat {
            daemon: self.own.clone(),
            boot: self.clock.boot(),
            stamp: self.clock.stamp(now),
            echo: self.echo(to, now),
            ready: own.ready,
            // Pauses are drawn up to a tenth longer.
            interval_ms: self.heartbeat_interval(to, relation, now).mul_f64(1.1).as_millis() as u32,
            expects_reply: chosen || relation == Relation::Unknown,
            copy_status: None,
            store_read_age_ms: self.store_read.map(|at| millis_between(at, now)),
            store_failure_age_ms: None,
            cell: layout.own_cell,
            peer_addrs: if near { peer_addrs.collect() } else { Vec::new() },
            sums,
            stats: if near { own.stats } else { DaemonStats::default() },
            observations: Observations::default(),
        }
    }

    /// The sums that a heartbeat to such a partner carries, as far as they are due.
    fn sums_for(
        &mut self,
        to: SocketAddr,
        relation: Relation,
        own: &OwnState,
        schedule: &mut SumSchedule,
        now: Instant,
    ) -> Vec<Sum> {
        let mut sums = Vec::new();
        match relation {
            Relation::SameCell if self.layout.is_relay() => {
                let last = schedule.mark_forwarded(now);
                sums.extend(self.sums.to_forward(|origin, _| is_cell(origin), last, now));
                if schedule.is_due(relation, now) {
                    sums.extend(self.halls_sum(now));
                }
            }
            Relation::SameCell if self.layout.relay == Some(to) => {
                let last = schedule.mark_forwarded(now);
                sums.extend(self.sums.to_forward(
                    |_, source| source != SumSource::OwnCell,
                    last,
                    now,
                ));
            }
            Relation::SameHall => {
                let last = schedule.mark_forwarded(now);
                let wanted = |origin, source| is_hall(origin) && source != SumSource::OwnHall;
                sums.extend(self.sums.to_forward(wanted, last, now));
                if schedule.is_due(relation, now) {
                    sums.push(self.cell_sum(own, now));
                }
            }
            Relation::OtherHall if schedule.is_due(relation, now) => {
                sums.push(self.hall_sum(own, now))
            }
            Relation::SameCell | Relation::OtherHall | Relation::Unknown => {}
        }
        sums
    }

    /// What this daemon's cell told.
    fn cell_sum(&self, own: &OwnState, now: Instant) -> Sum {
        let mut adder = SumBuilder::default();
        adder.add_daemon(self.tag, &own.stats, own.ready.then_some(self.own.callers));
        for peer in self.reachable_in_cell(now) {
            adder.add_daemon(peer.tag, &peer.stats, peer.ready.then_some(peer.daemon.callers));
        }
        adder.sum(Origin::Cell(self.layout.own_cell), &self.clock, now)
    }

    /// What this daemon's hall told.
    fn hall_sum(&self, own: &OwnState, now: Instant) -> Sum {
        let mut adder = SumBuilder::default();
        for cell in self.other_cells(now).into_iter().chain([&self.cell_sum(own, now)]) {
            adder.add_sum(cell);
        }
        adder.drop_light_loads(self.interval_scale.min_reported_runs());
        adder.sum(Origin::Hall(self.layout.own_cell.hall), &self.clock, now)
    }

    /// What other halls told, made anew once in a while; `None` where none did.
    fn halls_sum(&mut self, now: Instant) -> Option<Sum> {
        let age = |sum: &Sum| self.clock.stamp(now).saturating_sub(sum.stamp) / 1_000;
        let recent = self.cached_halls_sum.take().filter(|sum| age(sum) < HALLS_SUM_CACHE_MS);
        let sum = recent.or_else(|| self.make_halls_sum(now))?;
        self.cached_halls_sum = Some(sum.clone());
        // Below the bound above.
        Some(Sum { age_ms: age(&sum) as u32, ..sum })
    }

    fn make_halls_sum(&self, now: Instant) -> Option<Sum> {
        let halls = self.other_halls(now);
        let mut adder = SumBuilder::default();
        halls.iter().for_each(|hall| adder.add_sum(hall));
        (!halls.is_empty()).then(|| adder.sum(Origin::OtherHalls, &self.clock, now))
    }

    /// What the other daemons told of servers, and of requests under which servers ended.
    pub fn peer_stats(&self, now: Instant) -> PeerStats {
        let mut adder = SumBuilder::default();
        self.reachable_in_cell(now).for_each(|peer| adder.add(&peer.stats));
        for sum in self.distant_sums(now) {
            adder.add(&sum.stats);
        }
        let SumBuilder { loads, outcomes, evidence, rollouts, .. } = adder;
        PeerStats { loads, outcomes, evidence, rollouts }
    }

    /// What the daemons of the same cell that rank before this one have running at a server.
    pub fn higher_ranked_load(&self, server: Tag, now: Instant) -> Load {
        let mut ahead = Load::default();
        for peer in self.reachable_in_cell(now).filter(|peer| peer.tag < self.tag) {
            let at_server = peer.stats.loads.iter().filter(|(tag, _)| *tag == server);
            at_server.for_each(|(_, load)| ahead += *load);
        }
        ahead
    }

    /// What the daemons that share budgets have spent, as far as they are heard. `listed` is how
    /// many other daemons the store lists.
    pub fn spent(&self, listed: usize, now: Instant) -> Others {
        let mut spent = HashMap::new();
        let mut near = CellPeers { own: self.tag, ..CellPeers::default() };
        for peer in self.reachable_in_cell(now) {
            near.others.push(peer.tag);
            add(&mut near.spent, &peer.stats.spent);
        }
        let mut reachable = near.others.len();
        for (service, own) in &near.spent {
            spent.insert(*service, *own);
        }
        for sum in self.distant_sums(now) {
            reachable += sum.daemons as usize;
            add(&mut spent, &sum.stats.spent);
        }
        let recent =
            self.peers.values().filter(|p| elapsed(p.last_seen, now) <= UNLISTED_LIFETIME).count();
        Others { daemons: listed.max(recent).max(reachable), reachable, spent, cell_peers: near }
    }

    /// The share of all daemons that are of this hall and are heard through sums.
    pub fn summarized_fraction(&self, now: Instant) -> f64 {
        let count = |sums: Vec<&Sum>| sums.iter().map(|sum| sum.daemons).sum::<u32>();
        let (late, far) = (count(self.other_cells(now)), count(self.other_halls(now)));
        let near = 1 + self.reachable_in_cell(now).count();
        f64::from(late) / (f64::from(late) + f64::from(far) + near as f64)
    }

    /// Daemons that are heard themselves.
    pub fn count(&self, now: Instant) -> usize {
        self.peers.keys().filter(|addr| self.can_reach(**addr, now)).count()
    }

    /// The daemons of this cell that are heard.
    fn reachable_in_cell(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let same = self.peers.values().filter(|p| p.cell == self.layout.own_cell);
        same.filter(move |p| self.is_reachable(p, now))
    }

    /// Sums of the hall's other cells.
    fn other_cells(&self, now: Instant) -> Vec<&Sum> {
        let near = self.reachable_in_cell(now).map(|p| p.tag).chain([self.tag]).collect();
        self.sums.cells(self.layout.own_cell, near, now)
    }

    /// Sums of other halls, or one of all of them.
    fn other_halls(&self, now: Instant) -> Vec<&Sum> {
        self.sums.halls(self.layout.is_relay(), now)
    }

    /// Sums of all daemons but those of this cell.
    fn distant_sums(&self, now: Instant) -> impl Iterator<Item = &Sum> {
        self.other_cells(now).into_iter().chain(self.other_halls(now))
    }
}

fn is_cell(origin: Origin) -> bool {
    matches!(origin, Origin::Cell(_))
}

fn is_hall(origin: Origin) -> bool {
    matches!(origin, Origin::Hall(_))
}

fn elapsed(then: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(then)
}
