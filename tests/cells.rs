//! Dividing a fleet into cells, and what a daemon knows of the others through them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::Spent;
use tidestair::gateway::cell::{CellId, Layout, MAX_CELL_SIZE, MAX_UNDIVIDED};
use tidestair::gateway::clock::{Clock, Echo};
use tidestair::gateway::heartbeat::{DaemonStats, Heartbeat, Origin, Sum};
use tidestair::gateway::outcomes::Outcomes;
use tidestair::gateway::roster::{Daemon, Listing};
use tidestair::gateway::servers::{Load, Observations};
use tidestair::gateway::start;
use tidestair::gateway::tag::Tag;
use tidestair::gateway::view::View;

fn daemon(hall: usize, n: usize) -> Daemon {
    let addr = |port| SocketAddr::from(([10, hall as u8, (n / 250) as u8, (n % 250) as u8], port));
    let (callers, peers) = (addr(80), addr(70));
    let (vm, hall) = (format!("vm-{hall}-{n}"), format!("hall-{hall}"));
    Daemon { vm, hall, callers, peers, strength: 120 }
}

fn fleet(halls: usize, in_hall: usize) -> Vec<Daemon> {
    (0..halls).flat_map(|hall| (0..in_hall).map(move |n| daemon(hall, n))).collect()
}

fn without(fleet: &[Daemon], own: &Daemon) -> Vec<Daemon> {
    fleet.iter().filter(|d| *d != own).cloned().collect()
}

fn layout(fleet: &[Daemon], own: &Daemon) -> Layout {
    Layout::of(own, &without(fleet, own), |_| false)
}

fn addrs<'a>(daemons: impl IntoIterator<Item = &'a Daemon>) -> HashSet<SocketAddr> {
    daemons.into_iter().map(|d| d.peers).collect()
}

#[test]
fn a_small_fleet_is_one_cell_over_all_halls() {
    let fleet = fleet(2, MAX_UNDIVIDED / 2);
    let layout = layout(&fleet, &fleet[0]);
    assert!(!layout.divided);
    assert_eq!(layout.cell_peers, addrs(&fleet[1..]));
    assert!(!layout.is_relay());
    assert_eq!(layout.partners().count(), layout.cell_peers.len());
}

#[test]
fn a_larger_fleet_is_divided_by_hall_with_one_relay_that_reaches_each_other_hall() {
    let fleet = fleet(4, 15);
    let mut relays = Vec::new();
    for own in &fleet {
        let layout = layout(&fleet, own);
        assert!(layout.divided);
        let same = fleet.iter().filter(|d| d.hall == own.hall && *d != own);
        assert_eq!(layout.cell_peers, addrs(same));
        assert!(layout.sibling_relays.is_empty());
        match layout.is_relay() {
            true => relays.push((own.peers, layout)),
            false => assert!(layout.hall_relays.is_empty()),
        }
    }
    let all: HashSet<SocketAddr> = relays.iter().map(|(addr, _)| *addr).collect();
    assert_eq!(all.len(), 4);
    for (addr, layout) in relays {
        let others: HashSet<SocketAddr> = all.iter().copied().filter(|a| *a != addr).collect();
        assert_eq!(layout.hall_relays, others);
    }
}

#[test]
fn cells_of_one_hall_are_of_even_size() {
    for in_hall in [15, 21, 39, 49, 50, 75, 100] {
        let fleet = fleet(1, in_hall);
        let sizes: HashSet<usize> =
            fleet.iter().map(|own| layout(&fleet, own).cell_peers.len() + 1).collect();
        let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        assert!(most - least <= 1 && *most <= MAX_CELL_SIZE, "{in_hall}: {sizes:?}");
    }
}

#[test]
fn one_that_leaves_moves_at_most_one_daemon_between_two_cells() {
    let fleet = fleet(1, 50);
    let cell = |fleet: &[Daemon], own: &Daemon| layout(fleet, own).own_cell;
    for gone in &fleet {
        let rest = without(&fleet, gone);
        let moved = rest.iter().filter(|own| cell(&fleet, own) != cell(&rest, own)).count();
        assert!(moved <= 2, "{moved} moved, of three cells");
    }
}

#[test]
fn the_strongest_daemon_of_a_cell_is_its_relay() {
    let mut fleet = fleet(2, 15);
    fleet[7].strength = 500;
    assert!(layout(&fleet, &fleet[7]).is_relay());
    assert_eq!(fleet[..15].iter().filter(|own| layout(&fleet, own).is_relay()).count(), 1);
}

#[test]
fn all_daemons_see_the_same_cells() {
    let fleet = fleet(3, 2 * MAX_CELL_SIZE + 5);
    let layouts: Vec<Layout> = fleet.iter().map(|own| layout(&fleet, own)).collect();
    for (own, of_own) in fleet.iter().zip(&layouts) {
        for (other, of_other) in fleet.iter().zip(&layouts).filter(|(other, _)| *other != own) {
            assert_eq!(
                of_own.cell_peers.contains(&other.peers),
                of_own.own_cell == of_other.own_cell
            );
        }
    }
}

/// Daemons by whether they are relays, with how many partners each has.
fn partners(fleet: &[Daemon]) -> (Vec<usize>, Vec<usize>) {
    let layouts = fleet.iter().map(|own| layout(fleet, own));
    let (relays, plain): (Vec<Layout>, Vec<Layout>) = layouts.partition(|layout| layout.is_relay());
    let count = |layouts: Vec<Layout>| layouts.iter().map(|l| l.partners().count()).collect();
    (count(relays), count(plain))
}

#[test]
fn what_a_daemon_sends_to_does_not_grow_with_the_fleet() {
    for (halls, in_hall) in [(6, 49), (20, 50)] {
        let (relays, plain) = partners(&fleet(halls, in_hall));
        assert!(plain.iter().all(|count| *count < MAX_CELL_SIZE));
        // Two sibling cells, and a relay's part of the pairs of halls, which all cells share.
        assert!(relays.iter().all(|count| *count < MAX_CELL_SIZE + 2 + halls), "{relays:?}");
        assert_eq!(relays.len(), halls * 3);
    }
}

#[test]
fn each_pair_of_halls_is_crossed_by_one_pair_of_daemons() {
    let fleet = fleet(6, 49);
    let mut crossing = HashSet::new();
    for own in &fleet {
        for addr in layout(&fleet, own).hall_relays {
            assert!(crossing.insert((own.peers, addr)));
        }
    }
    assert_eq!(crossing.len(), 6 * 5);
    assert!(crossing.iter().all(|(one, other)| crossing.contains(&(*other, *one))));
}

#[test]
fn cells_and_their_relays_reach_every_daemon() {
    let fleet = fleet(20, 50);
    let mut reached = addrs([&fleet[0]]);
    let mut fresh: Vec<SocketAddr> = reached.iter().copied().collect();
    while let Some(addr) = fresh.pop() {
        let own = fleet.iter().find(|d| d.peers == addr).unwrap();
        let layout = layout(&fleet, own);
        fresh.extend(layout.partners().filter(|addr| reached.insert(*addr)));
    }
    assert_eq!(reached.len(), fleet.len());
}

#[test]
fn a_silent_relay_is_passed_over_while_another_daemon_answers() {
    let fleet = fleet(4, 15);
    let own = fleet.iter().find(|own| layout(&fleet, own).is_relay()).expect("a cell has a relay");
    let others = without(&fleet, own);
    let first = Layout::of(own, &others, |_| false).hall_relays;
    let second = Layout::of(own, &others, |addr| first.contains(&addr)).hall_relays;
    assert_eq!(second.len(), 3);
    assert!(first.is_disjoint(&second));
    let all_silent = Layout::of(own, &others, |_| true).hall_relays;
    assert_eq!(all_silent, first, "someone is tried even so");
    let mates = others.iter().filter(|d| d.hall == own.hall);
    let successors =
        mates.filter(|d| Layout::of(d, &without(&fleet, d), |addr| addr == own.peers).is_relay());
    assert_eq!(successors.count(), 1);
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The start of the watching daemon's process.
const BOOT: u64 = 42;

fn told(runs: u32) -> DaemonStats {
    let load = Load { runs, tokens: 1_000 * runs, non_repeatable: 1_000 * runs, ..Load::default() };
    DaemonStats {
        loads: vec![(Tag::of("server"), load)],
        spent: vec![(Tag::of("service"), Spent { requests: 10 * runs, retries: 2 * runs })],
        outcomes: vec![(Tag::of("server"), Outcomes { tried: 2.0, failed: 1.0 })],
        ..DaemonStats::default()
    }
}

/// A daemon's view of a fleet, with what it has of each other one a heartbeat.
struct Watcher {
    view: View,
    fleet: Vec<Daemon>,
    start: Instant,
}

impl Watcher {
    fn of(fleet: Vec<Daemon>) -> Watcher {
        let start = Instant::now();
        let mut view = View::new(fleet[0].clone(), Clock::new(BOOT, start));
        view.update_layout(&Listing::new(without(&fleet, &fleet[0])), |_| None, start);
        Watcher { view, fleet, start }
    }

    /// A heartbeat sent just now by one that has just heard this daemon.
    fn heartbeat(&self, from: &Daemon, stamp: u64, at: Duration) -> Heartbeat {
        Heartbeat {
            daemon: from.clone(),
            boot: 1,
            stamp,
            echo: Some(Echo { boot: BOOT, stamp: at.as_micros() as u64, held_us: 0 }),
            ready: true,
            interval_ms: 250,
            expects_reply: false,
            copy_status: None,
            store_read_age_ms: None,
            store_failure_age_ms: None,
            cell: layout(&self.fleet, from).own_cell,
            stats: told(1),
            sums: Vec::new(),
            observations: Observations::default(),
            peer_addrs: Vec::new(),
        }
    }

    /// A heartbeat of a daemon that carries a sum.
    fn sum(&self, from: usize, sum: Sum, at: Duration) -> Heartbeat {
        let stamp = at.as_micros() as u64;
        Heartbeat { sums: vec![sum], ..self.heartbeat(&self.fleet[from], stamp, at) }
    }

    fn hear(&mut self, from: usize, stamp: u64, at: Duration) {
        let heartbeat = self.heartbeat(&self.fleet[from].clone(), stamp, at);
        self.view.on_heartbeat(&heartbeat, self.start + at);
    }

    fn runs(&self, at: Duration) -> u32 {
        let heard = self.view.peer_stats(self.start + at);
        heard.loads.get(&Tag::of("server")).map_or(0, |load| load.runs)
    }
}

fn sum(origin: Origin, maker: u64, made: u64, members: &[&Daemon], daemons: u32) -> Sum {
    Sum {
        origin,
        boot: maker,
        stamp: made,
        age_ms: 0,
        members: members.iter().map(|d| Tag::of(&d.vm)).collect(),
        daemons,
        entries: members.iter().map(|d| d.callers).collect(),
        stats: told(daemons),
    }
}

fn hall(fleet: &[Daemon], hall: usize) -> Origin {
    Origin::Hall(Tag::of(&fleet.iter().find(|d| d.hall == format!("hall-{hall}")).unwrap().hall))
}

/// A daemon of each cell of the watcher's hall but its own, with its cell.
fn siblings(fleet: &[Daemon]) -> Vec<(usize, CellId)> {
    let own = layout(fleet, &fleet[0]).own_cell;
    let mut seen = HashSet::from([own]);
    let hall = fleet.iter().enumerate().filter(|(_, d)| d.hall == fleet[0].hall);
    let cells = hall.map(|(i, d)| (i, layout(fleet, d).own_cell));
    cells.filter(|(_, cell)| seen.insert(*cell)).collect()
}

#[test]
fn loads_of_the_own_cell_count_by_daemon_and_of_other_halls_once() {
    let mut watcher = Watcher::of(fleet(4, 15));
    watcher.hear(1, 1, ms(0));
    watcher.hear(2, 1, ms(0));
    assert_eq!(watcher.runs(ms(0)), 2);
    // Two daemons pass on the same sum of another hall, and one tells a later one.
    let origin = hall(&watcher.fleet, 1);
    for (from, made, at) in [(3, 1, 1), (4, 1, 2), (3, 2, 3)] {
        let heartbeat = watcher.sum(from, sum(origin, 9, made, &[], 5), ms(at));
        watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(at));
    }
    assert_eq!(watcher.runs(ms(3)), 2 + 2 + 5);
    let origin = hall(&watcher.fleet, 2);
    let heartbeat = watcher.sum(3, sum(origin, 8, 1, &[], 5), ms(4));
    watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(4));
    assert_eq!(watcher.runs(ms(4)), 2 + 2 + 5 + 5);
    let spent = watcher.view.spent(59, watcher.start + ms(4));
    assert_eq!((spent.daemons, spent.reachable), (59, 4 + 5 + 5));
    assert_eq!(spent.spent[&Tag::of("service")], Spent { requests: 140, retries: 28 });
}

#[test]
fn a_daemon_that_two_cells_claim_counts_once() {
    let mut watcher = Watcher::of(fleet(1, 50));
    let cells = siblings(&watcher.fleet);
    assert_eq!(cells.len(), 2);
    let fleet = watcher.fleet.clone();
    let moved = &fleet[cells[0].0];
    // The first cell's sum still holds the daemon, which the second cell's later one has as well.
    for (at, (from, cell)) in cells.iter().enumerate() {
        let origin = Origin::Cell(*cell);
        let heartbeat =
            watcher.sum(*from, sum(origin, 9 + at as u64, 1, &[moved], 1), ms(at as u64));
        let mut heartbeat = heartbeat;
        heartbeat.daemon = fleet[cells[1].0].clone();
        heartbeat.cell = cells[1].1;
        heartbeat.stamp = at as u64 + 1;
        watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(at as u64));
    }
    assert_eq!(watcher.runs(ms(1)), 1);
    // Once it is heard itself in the own cell, neither sum with it counts.
    let mut heartbeat = watcher.heartbeat(moved, 1, ms(2));
    heartbeat.cell = watcher.view.layout().own_cell;
    watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(2));
    assert_eq!(watcher.runs(ms(2)), 1);
}

#[test]
fn a_second_relay_does_not_take_turns_with_the_first() {
    let mut watcher = Watcher::of(fleet(4, 15));
    let origin = hall(&watcher.fleet, 1);
    for (at, maker, daemons) in [(0, 8, 5), (100, 9, 7), (200, 8, 5), (300, 9, 7)] {
        let heartbeat = watcher.sum(1, sum(origin, maker, at + 1, &[], daemons), ms(at));
        watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(at));
        assert_eq!(watcher.runs(ms(at)), 1 + 5);
    }
    // The first relay is gone: the second one takes its place before its sum lapses.
    let heartbeat = watcher.sum(1, sum(origin, 9, 901, &[], 7), ms(900));
    watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(900));
    assert_eq!(watcher.runs(ms(900)), 1 + 7);
}

#[test]
fn what_is_not_heard_any_more_does_not_count() {
    let mut watcher = Watcher::of(fleet(4, 15));
    watcher.hear(1, 1, ms(0));
    let origin = hall(&watcher.fleet, 1);
    let heartbeat = watcher.sum(2, sum(origin, 9, 1, &[], 1), ms(0));
    watcher.view.on_heartbeat(&heartbeat, watcher.start);
    assert_eq!(watcher.runs(ms(500)), 3);
    assert_eq!(watcher.runs(ms(1_000)), 1, "daemons of the own cell are missed soon");
    assert_eq!(watcher.runs(ms(3_000)), 0);
    assert!(watcher.view.entries(watcher.start + ms(3_000)).is_empty());
}

#[test]
fn a_sum_does_not_grow_younger_as_it_is_passed_on() {
    let mut watcher = Watcher::of(fleet(4, 15));
    let origin = hall(&watcher.fleet, 1);
    let mut old = sum(origin, 9, 1, &[], 5);
    old.age_ms = 2_400;
    let heartbeat = watcher.sum(1, old.clone(), ms(3_000));
    watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(3_000));
    assert_eq!(watcher.runs(ms(3_050)), 1 + 5);
    assert_eq!(watcher.runs(ms(3_150)), 1, "it lapses by its age, not by when it came");
    // One that can't be dated does not count, however young it says it is.
    old.age_ms = 0;
    let mut undated = watcher.sum(1, old, ms(3_200));
    undated.echo = None;
    watcher.view.on_heartbeat(&undated, watcher.start + ms(3_200));
    assert_eq!(watcher.runs(ms(3_200)), 1);
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let mut watcher = Watcher::of(fleet(1, 3));
    watcher.hear(1, 5, ms(0));
    let mut late = watcher.heartbeat(&watcher.fleet[1].clone(), 4, ms(1));
    late.ready = false;
    late.stats.loads.clear();
    assert!(!watcher.view.on_heartbeat(&late, watcher.start + ms(1)));
    assert_eq!(watcher.runs(ms(1)), 1);
    assert_eq!(watcher.view.entries(watcher.start).len(), 1);
}

#[test]
fn a_restarted_daemon_is_heard_though_its_clock_began_anew() {
    let mut watcher = Watcher::of(fleet(1, 3));
    watcher.hear(1, 5_000_000, ms(0));
    let mut again = watcher.heartbeat(&watcher.fleet[1].clone(), 1, ms(1));
    again.boot = 2;
    again.ready = false;
    assert!(watcher.view.on_heartbeat(&again, watcher.start + ms(1)));
    assert!(watcher.view.entries(watcher.start + ms(1)).is_empty());
}

#[test]
fn callers_are_sent_to_their_cell_and_further_only_where_it_has_few() {
    let mut watcher = Watcher::of(fleet(4, 15));
    let far = watcher.fleet[15].clone();
    let heartbeat = watcher.sum(1, sum(hall(&watcher.fleet, 1), 9, 1, &[&far], 1), ms(0));
    watcher.view.on_heartbeat(&heartbeat, watcher.start);
    let callers = |i: usize| watcher.fleet[i].callers;
    let entries: HashSet<_> = watcher.view.entries(watcher.start).into_iter().collect();
    assert_eq!(entries, HashSet::from([callers(1), callers(15)]));
    for i in 2..5 {
        watcher.hear(i, 1, ms(0));
    }
    let entries = watcher.view.entries(watcher.start);
    assert_eq!(entries.len(), 4);
    assert!(!entries.contains(&watcher.fleet[15].callers));
}

#[test]
fn a_read_of_the_store_that_any_daemon_tells_of_counts() {
    let mut watcher = Watcher::of(fleet(4, 15));
    assert_eq!(watcher.view.last_store_read(), None);
    for (from, read_ms) in [(1, 600), (15, 200), (2, 400)] {
        let mut heartbeat = watcher.heartbeat(&watcher.fleet[from].clone(), 1, ms(1_000));
        heartbeat.store_read_age_ms = Some(read_ms);
        watcher.view.on_heartbeat(&heartbeat, watcher.start + ms(1_000));
    }
    assert_eq!(watcher.view.last_store_read(), Some(watcher.start + ms(800)));
}

#[test]
fn word_of_a_read_does_not_grow_younger_as_it_goes_round() {
    // Time that a heartbeat is on its way, as on a busy link.
    let way = ms(20);
    let fleet = fleet(1, 3);
    let start = Instant::now();
    let mut watchers = [0, 1].map(|own| {
        let mut view = View::new(fleet[own].clone(), Clock::new(own as u64, start));
        view.update_layout(&Listing::new(without(&fleet, &fleet[own])), |_| None, start);
        Watcher { view, fleet: fleet.clone(), start }
    });
    watchers[0].view.note_store_read(Some(start));
    let mut now = start;
    for round in 0..50 {
        let (from, to) = (round % 2, (round + 1) % 2);
        let mut heartbeat = watchers[from].heartbeat(&fleet[from], round as u64 + 1, ms(0));
        let read = watchers[from].view.last_store_read();
        heartbeat.store_read_age_ms = read.map(|read| (now - read).as_millis() as u32);
        heartbeat.boot = from as u64;
        heartbeat.stamp = watchers[from].view.clock().stamp(now);
        heartbeat.echo = watchers[from].view.echo(fleet[to].peers, now);
        now += way;
        watchers[to].view.on_heartbeat(&heartbeat, now);
    }
    for watcher in &watchers {
        assert!(watcher.view.last_store_read() <= Some(start), "nobody has read since");
        let heard = watcher.view.last_store_read().expect("it was told");
        assert!(start - heard <= 2 * way + ms(1), "it is dated within a round trip");
    }
}

#[test]
fn one_daemon_of_a_divided_fleet_reads_first() {
    let fleet = fleet(4, 15);
    let mut firsts = 0;
    for own in &fleet {
        let mut all = without(&fleet, own);
        all.insert(0, own.clone());
        let mut watcher = Watcher::of(all);
        let same: Vec<usize> =
            (1..fleet.len()).filter(|i| watcher.fleet[*i].hall == own.hall).collect();
        for from in same {
            watcher.hear(from, 1, ms(0));
        }
        for other in 0..4 {
            let (origin, at) = (hall(&fleet, other), ms(other as u64 + 1));
            let heartbeat = watcher.sum(1, sum(origin, 9, 1, &[], 15), at);
            watcher.view.on_heartbeat(&heartbeat, watcher.start + at);
        }
        firsts += usize::from(watcher.view.readers_before(watcher.start + ms(5)) == 0);
    }
    assert_eq!(firsts, 1);
}

#[test]
fn the_strongest_daemon_of_a_cell_reads_the_store_for_it() {
    let mut fleet = fleet(1, 12);
    fleet[5].strength = 500;
    let first = |own: &Daemon| {
        let mut all = without(&fleet, own);
        all.insert(0, own.clone());
        let mut watcher = Watcher::of(all);
        (1..fleet.len()).for_each(|from| watcher.hear(from, 1, ms(0)));
        watcher.view.readers_before(watcher.start + ms(5)) == 0
    };
    let firsts: Vec<&str> = fleet.iter().filter(|own| first(own)).map(|d| &*d.vm).collect();
    assert_eq!(firsts, [&*fleet[5].vm]);
}

#[test]
fn daemons_join_one_by_one_those_that_ask_a_store_in_vain() {
    let fleet = fleet(6, 49);
    let turn = |own: &Daemon| View::new(own.clone(), Clock::new(1, Instant::now()));
    let mut turns: Vec<u32> = fleet.iter().map(|own| turn(own).store_retry_turn(293)).collect();
    turns.sort_unstable();
    assert!(turns.iter().all(|turn| *turn < 294));
    // As names are drawn, a tenth of the fleet has its turn within a tenth of the turns.
    let tenth = turns.iter().filter(|turn| **turn < 30).count();
    assert!((15..=45).contains(&tenth), "{tenth}");
    assert!(turns[0] < 10, "one of the fleet asks soon");
}

/// A fleet that starts before a store of many pages: each daemon that reads all of them costs as many calls.
#[test]
fn one_daemon_of_each_hall_reads_the_store_as_a_fleet_starts() {
    const LONGEST: Duration = Duration::from_millis(7_000);
    for (halls, in_hall) in [(3, 2), (4, 15), (6, 164), (12, 164)] {
        let fleet = fleet(halls, in_hall);
        let mut waits: Vec<Duration> = fleet.iter().map(|own| start::wait(own, &fleet)).collect();
        waits.sort_unstable();
        assert_eq!(waits.iter().filter(|wait| wait.is_zero()).count(), halls);
        assert!(waits.last() <= Some(&LONGEST), "{waits:?}");
        // Where the first one of a hall doesn't read, the next one does before the others.
        let mut hall: Vec<Duration> = fleet
            .iter()
            .filter(|d| d.hall == fleet[0].hall)
            .map(|d| start::wait(d, &fleet))
            .collect();
        hall.sort_unstable();
        assert!(in_hall < 3 || hall[1] < hall[2], "{hall:?}");
    }
    let alone = &fleet(1, 1)[0];
    assert_eq!(start::wait(alone, &[]), Duration::ZERO);
}
