//! What a daemon knows of the others from their heartbeats: which are reachable and ready, what
//! runs on which server, and how much of the retry budgets is spent.

mod sending;
mod spending;

use crate::gateway::cell::{CellId, Layout, rank};
use crate::gateway::clock::{Clock, Echo, micros_between, minus_millis};
use crate::gateway::ended::EndedProcesses;
use crate::gateway::heartbeat::{DaemonStats, Heartbeat, Origin, Sum};
use crate::gateway::partner::{self, IntervalScale, Relation};
use crate::gateway::roster::{Daemon, Listing};
use crate::gateway::servers::{Load, PeerStats};
use crate::gateway::sums::{MIN_ENTRIES, SumBuilder, SumSource, Sums, halls_of};
use crate::gateway::tag::Tag;
use crate::platform::Position;
use log::info;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Silence after which a daemon of the same cell counts as unreachable: callers are not sent there,
/// its load is not counted, and a relay is replaced. Almost three heartbeats. It also applies to a
/// daemon that has not answered since the first heartbeat to it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same for a daemon of another hall.
const OTHER_HALL_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a daemon that didn't answer is not chosen again, unless a heartbeat arrives from it.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(10);
/// Silence after which a daemon that the store does not list is removed.
const UNLISTED_LIFETIME: Duration = Duration::from_secs(30);
/// How long a relay sends its cell the same sum of the other halls, in milliseconds. In a large
/// fleet, computing it for each daemon of the cell would take most of a relay's time.
const HALLS_SUM_CACHE_MS: u64 = 100;
/// A daemon that reported its copy of the store longer ago than this is not asked for values.
const POSITION_LIFETIME: Duration = Duration::from_millis(1_000);
/// Number of other daemons whose addresses are in a heartbeat.
const MAX_PEER_ADDRS: usize = 3;
/// Window of the retry budgets until it is set.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum heartbeat interval that is accepted from a peer.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// A daemon as described by its last heartbeat.
#[derive(Debug)]
struct Peer {
    daemon: Daemon,
    /// The tag of its name.
    tag: Tag,
    boot: u64,
    /// Its clock in its last heartbeat.
    stamp: u64,
    last_seen: Instant,
    /// The interval within which its next heartbeat follows.
    interval: Duration,
    ready: bool,
    /// Whether it expects heartbeats from this daemon in return.
    expects_replies: bool,
    cell: CellId,
    /// The position of its copy of the store, if it has one.
    position: Option<Position>,
    /// Its own figures; empty if it is in another cell.
    stats: DaemonStats,
}

/// What a daemon reports about itself.
#[derive(Debug, Clone, Default)]
pub struct OwnState {
    /// Its load on the servers, its spent retry budget, and further figures.
    pub stats: DaemonStats,
    /// Whether it accepts callers.
    pub ready: bool,
}

/// What this daemon knows of the fleet.
#[derive(Debug)]
pub struct View {
    own: Daemon,
    /// The tag of its name.
    tag: Tag,
    clock: Clock,
    layout: Layout,
    peers: HashMap<SocketAddr, Peer>,
    /// Daemons that didn't answer, and when that was last observed.
    unanswered: HashMap<SocketAddr, Instant>,
    sums: Sums,
    /// What ended processes of this cell had spent of the retry budgets.
    ended: EndedProcesses,
    /// The window of the retry budgets.
    retry_window: Duration,
    /// Whether a daemon that has run for a whole window has reported the ended processes that it knows.
    heard_elder: bool,
    /// The sum of the other halls that this daemon, as a relay, last computed for its cell.
    cached_halls_sum: Option<Sum>,
    /// The latest known read of the store by any daemon.
    store_read: Option<Instant>,
    /// The factor by which this daemon's heartbeat intervals are longer than at full load.
    interval_scale: IntervalScale,
    /// The speed of this VM's link in bytes per second; `None` if it is unknown.
    link_speed: Option<f64>,
    /// The inputs that the current layout was computed from.
    layout_inputs: Option<LayoutInputs>,
}

/// The inputs of a layout.
#[derive(Debug, PartialEq)]
struct LayoutInputs {
    /// Identifies the list of daemons.
    listing: u64,
    /// Known daemons that are not listed in the store.
    unlisted: Vec<SocketAddr>,
    /// Daemons that don't answer.
    silent: Vec<SocketAddr>,
}

impl View {
    /// A view without any heartbeats received.
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
            ended: EndedProcesses::default(),
            retry_window: DEFAULT_RETRY_WINDOW,
            heard_elder: false,
            cached_halls_sum: None,
            store_read: None,
            interval_scale: IntervalScale::NONE,
            link_speed: None,
            layout_inputs: None,
        }
    }

    /// The clock that dates the reports of other daemons.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The division of the fleet.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Updates the division of the fleet into cells. It covers the daemons that the store lists and
    /// those with a recent heartbeat; other daemons are removed. `tried` returns since when
    /// heartbeats have been sent to a daemon. The layout is computed again only if its inputs have
    /// changed.
    pub fn update_layout(
        &mut self,
        listing: &Listing,
        tried: impl Fn(SocketAddr) -> Option<Instant>,
        now: Instant,
    ) {
        let is_listed = |addr: &SocketAddr| listing.peers.contains(addr);
        self.keep_silent_spending(now);
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
        // Only daemons that have sent or been sent a heartbeat can be silent.
        let is_silent_now = |addr: &SocketAddr| self.is_silent(*addr, tried(*addr), now);
        let known = self.peers.keys().chain(self.unanswered.keys()).copied();
        let known = known.chain(self.layout.partners()).collect::<HashSet<SocketAddr>>();
        let silent =
            known.into_iter().filter(|a| self.unanswered.contains_key(a) || is_silent_now(a));
        let mut silent: Vec<SocketAddr> = silent.collect();
        silent.sort_unstable();
        let inputs = LayoutInputs { listing: listing.id, unlisted, silent };
        if self.layout_inputs.as_ref() == Some(&inputs) {
            return;
        }
        let mut others = listing.daemons.clone();
        others.retain(|daemon| daemon.vm != self.own.vm);
        let reachable = inputs.unlisted.iter().filter_map(|addr| self.peers.get(addr));
        others.extend(reachable.map(|p| p.daemon.clone()));
        let is_silent = |addr| inputs.silent.binary_search(&addr).is_ok();
        self.layout = Layout::of(&self.own, &others, is_silent);
        self.layout_inputs = Some(inputs);
    }

    /// Sets the factor by which this daemon's heartbeat intervals are longer than at full load.
    pub fn set_interval_scale(&mut self, scale: IntervalScale) {
        self.interval_scale = scale;
    }

    /// The interval of heartbeats to a partner.
    pub fn heartbeat_interval(&self, to: SocketAddr, relation: Relation, now: Instant) -> Duration {
        partner::heartbeat_interval(
            relation,
            self.layout.is_relay(),
            self.can_reach(to, now),
            self.interval_scale,
        )
    }

    /// The minimum time after a heartbeat before a change of load causes the next one.
    pub fn spacing(&self, spacing: Duration) -> Duration {
        self.interval_scale.spacing(spacing)
    }

    /// Whether a daemon that heartbeats have been sent to since `tried` does not answer.
    fn is_silent(&self, addr: SocketAddr, tried: Option<Instant>, now: Instant) -> bool {
        let peer = self.peers.get(&addr);
        let since = peer.map(|p| p.last_seen).max(tried);
        let silent = peer.map_or(SILENCE_TIMEOUT, |p| self.silence_timeout(p));
        since.is_some_and(|since| elapsed(since, now) > silent)
    }

    /// Stores a heartbeat, and returns whether it was stored. One that was overtaken by a later
    /// heartbeat of the same process is ignored.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let addr = heartbeat.daemon.peers;
        let known = self.peers.get(&addr);
        if known.is_some_and(|known| known.boot == heartbeat.boot && known.stamp > heartbeat.stamp)
        {
            return false;
        }
        if known.is_none_or(|known| known.boot != heartbeat.boot) {
            info!(peer = heartbeat.daemon.vm.as_str(), addr = addr.to_string().as_str(); "first heartbeat from peer");
            self.keep_ended_spending(addr);
        }
        // What can't be dated is skipped: the next heartbeat repeats it with an echo.
        if let Some(sent) = self.clock.earliest_send_time(heartbeat.echo, now) {
            self.note_store_read(heartbeat.store_read_age_ms.and_then(|ms| minus_millis(sent, ms)));
            self.merge_sums(heartbeat, sent, now);
            self.merge_ended(heartbeat, sent);
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
            position: heartbeat.copy_status.map(|status| status.position),
            stats: heartbeat.stats.clone(),
        };
        self.peers.insert(addr, peer);
        self.unanswered.remove(&addr);
        true
    }

    /// Merges the sums of other cells and halls; the sums that this daemon computes itself are
    /// skipped.
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

    /// Records a read of the store by any daemon.
    pub fn note_store_read(&mut self, at: Option<Instant>) {
        self.store_read = self.store_read.max(at);
    }

    /// The latest known read of the store by any daemon.
    pub fn last_store_read(&self) -> Option<Instant> {
        self.store_read
    }

    /// The last known clock of a daemon, to be echoed to it.
    pub fn echo(&self, addr: SocketAddr, now: Instant) -> Option<Echo> {
        let peer = self.peers.get(&addr)?;
        Some(Echo {
            boot: peer.boot,
            stamp: peer.stamp,
            held_us: micros_between(peer.last_seen, now),
        })
    }

    /// Whether a heartbeat of this daemon is stored.
    pub fn has_peer(&self, addr: SocketAddr) -> bool {
        self.peers.contains_key(&addr)
    }

    /// Whether a daemon has sent a heartbeat recently enough.
    pub fn can_reach(&self, addr: SocketAddr, now: Instant) -> bool {
        self.peers.get(&addr).is_some_and(|p| self.is_reachable(p, now))
    }

    fn is_reachable(&self, peer: &Peer, now: Instant) -> bool {
        elapsed(peer.last_seen, now) <= self.silence_timeout(peer)
    }

    /// Silence after which a daemon counts as unreachable.
    fn silence_timeout(&self, peer: &Peer) -> Duration {
        let is_near = peer.cell.hall == self.layout.own_cell.hall;
        partner::silence_timeout(
            peer.interval,
            if is_near { SILENCE_TIMEOUT } else { OTHER_HALL_SILENCE_TIMEOUT },
        )
    }

    /// This daemon's relation to another one; `None` if no heartbeats are due to it or none was
    /// ever received.
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

    /// How many daemons precede this one in the order of reading the store: the daemons of its cell
    /// with a better rank as relay, and one for each preceding cell of its hall and each preceding
    /// hall.
    pub fn readers_before(&self, now: Instant) -> usize {
        let near =
            self.reachable_in_cell(now).filter(|p| rank(&p.daemon) < rank(&self.own)).count();
        let precedes_own =
            |sum: &&Sum| matches!(sum.origin, Origin::Cell(c) if c < self.layout.own_cell);
        let cells = self.other_cells(now).into_iter().filter(precedes_own).count();
        let halls: Vec<Tag> = self.other_halls(now).into_iter().flat_map(halls_of).collect();
        near + cells + halls.into_iter().filter(|hall| *hall < self.layout.own_cell.hall).count()
    }

    /// The position of this daemon among itself and `others` when the store doesn't answer and all
    /// daemons start to read it in turn. It depends on the daemon's name alone, not on which
    /// daemons are reachable.
    pub fn store_retry_turn(&self, others: usize) -> u32 {
        let fraction = self.tag.value() as f64 / u64::MAX as f64;
        (fraction * (others + 1) as f64) as u32
    }

    /// Addresses of other daemons for callers: those of this cell, and those of other cells and
    /// halls if the cell has too few.
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

    /// The addresses for daemons of those reachable and ready peers in this cell that hold quota at
    /// a server, given that `count` daemons of the cell hold it.
    pub fn quota_holders_in_cell(
        &self,
        server: Tag,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let others = self.rank_cell(server, now).take(count).flatten();
        others.filter(|p| p.ready).map(|p| p.daemon.peers).collect()
    }

    /// The addresses for daemons of the reachable peers in this cell, in an order that depends on `tag` and is
    /// the same for all of them.
    pub fn ranked_in_cell(&self, tag: Tag, now: Instant) -> Vec<SocketAddr> {
        self.rank_cell(tag, now).flatten().map(|p| p.daemon.peers).collect()
    }

    /// The reachable daemons of this cell in an order that depends on `tag` and is the same for all of them;
    /// `None` stands for this one.
    fn rank_cell(&self, tag: Tag, now: Instant) -> impl Iterator<Item = Option<&Peer>> {
        let mut all: Vec<(Tag, Option<&Peer>)> =
            self.reachable_in_cell(now).map(|p| (p.tag.combined_with(tag), Some(p))).collect();
        all.push((self.tag.combined_with(tag), None));
        all.sort_unstable_by_key(|(place, _)| *place);
        all.into_iter().map(|(_, peer)| peer)
    }

    /// Addresses for callers in other cells and halls, as far as these are reachable.
    pub fn remote_entries(&self, now: Instant) -> Vec<SocketAddr> {
        let others = self.peers.values().filter(|p| p.cell != self.layout.own_cell);
        let reachable = others.filter(|p| p.ready && self.is_reachable(p, now));
        let from_sums = self.other_cells(now).into_iter().chain(self.other_halls(now));
        let from_sums = from_sums.flat_map(|sum| sum.entries.iter().copied());
        reachable.map(|p| p.daemon.callers).chain(from_sums).collect()
    }

    /// The other daemons' figures on servers, on quarantined requests and on rollouts.
    pub fn peer_stats(&self, now: Instant) -> PeerStats {
        let mut adder = SumBuilder::default();
        self.reachable_in_cell(now).for_each(|peer| adder.add(&peer.stats));
        for sum in self.distant_sums(now) {
            adder.add(&sum.stats);
        }
        let SumBuilder { loads, outcomes, evidence, rollouts, .. } = adder;
        PeerStats { loads, outcomes, evidence, rollouts }
    }

    /// The load that the daemons of the same cell with a smaller tag put on a server.
    pub fn higher_ranked_load(&self, server: Tag, now: Instant) -> Load {
        let mut ahead = Load::default();
        for peer in self.reachable_in_cell(now).filter(|peer| peer.tag < self.tag) {
            let at_server = peer.stats.loads.iter().filter(|(tag, _)| *tag == server);
            at_server.for_each(|(_, load)| ahead += *load);
        }
        ahead
    }

    /// The fraction of all daemons that are in other cells of this hall and known only through
    /// sums.
    pub fn summarized_fraction(&self, now: Instant) -> f64 {
        let count = |sums: Vec<&Sum>| sums.iter().map(|sum| sum.daemons).sum::<u32>();
        let (late, far) = (count(self.other_cells(now)), count(self.other_halls(now)));
        let near = 1 + self.reachable_in_cell(now).count();
        f64::from(late) / (f64::from(late) + f64::from(far) + near as f64)
    }

    /// Number of daemons that are reachable directly.
    pub fn count(&self, now: Instant) -> usize {
        self.peers.keys().filter(|addr| self.can_reach(**addr, now)).count()
    }

    /// Addresses of daemons of this cell that lately reported a copy of the store at `position` or later.
    pub fn holders_in_cell(
        &self,
        position: Position,
        now: Instant,
    ) -> impl Iterator<Item = SocketAddr> {
        let near = self.layout.cell_peers.iter().filter_map(|addr| self.peers.get(addr));
        let holders = near.filter(move |peer| {
            peer.position >= Some(position) && elapsed(peer.last_seen, now) <= POSITION_LIFETIME
        });
        holders.map(|peer| peer.daemon.peers)
    }

    /// The reachable daemons of this cell.
    fn reachable_in_cell(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let same = self.peers.values().filter(|p| p.cell == self.layout.own_cell);
        same.filter(move |p| self.is_reachable(p, now))
    }

    /// Sums of the hall's other cells.
    fn other_cells(&self, now: Instant) -> Vec<&Sum> {
        let near = self.reachable_in_cell(now).map(|p| p.tag).chain([self.tag]).collect();
        self.sums.cells(self.layout.own_cell, near, now)
    }

    /// Sums of other halls, or one sum of all of them.
    fn other_halls(&self, now: Instant) -> Vec<&Sum> {
        self.sums.halls(self.layout.is_relay(), now)
    }

    /// Sums that together cover all daemons outside this cell.
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
