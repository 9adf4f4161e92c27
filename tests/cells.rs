//! Dividing a fleet into cells, and what a daemon knows of the others through them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tidestair::gateway::beat::{Beat, Told};
use tidestair::gateway::budget::Spent;
use tidestair::gateway::cell::{Layout, MOST_CONTACTS, MOST_IN_CELL, ONE_CELL};
use tidestair::gateway::outcomes::Outcomes;
use tidestair::gateway::roster::Daemon;
use tidestair::gateway::servers::{Load, Signs};
use tidestair::gateway::tag::Tag;
use tidestair::gateway::view::View;

fn daemon(hall: usize, n: usize) -> Daemon {
    let addr = |port| SocketAddr::from(([10, hall as u8, (n / 250) as u8, (n % 250) as u8], port));
    let (callers, peers) = (addr(80), addr(70));
    Daemon { vm: format!("vm-{hall}-{n}"), hall: format!("hall-{hall}"), callers, peers }
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
    let fleet = fleet(2, ONE_CELL / 2);
    let layout = layout(&fleet, &fleet[0]);
    assert!(!layout.divided);
    assert_eq!(layout.near, addrs(&fleet[1..]));
    assert!(layout.contacts.is_empty());
}

#[test]
fn a_larger_fleet_is_divided_by_hall_with_one_contact_to_each() {
    let fleet = fleet(4, 15);
    for own in &fleet {
        let layout = layout(&fleet, own);
        assert!(layout.divided);
        let same = fleet.iter().filter(|d| d.hall == own.hall && *d != own);
        assert_eq!(layout.near, addrs(same));
        let halls: HashSet<&str> = fleet
            .iter()
            .filter(|d| layout.contacts.contains(&d.peers))
            .map(|d| d.hall.as_str())
            .collect();
        assert_eq!((layout.contacts.len(), halls.len()), (3, 3));
        assert!(!halls.contains(own.hall.as_str()));
    }
}

#[test]
fn all_daemons_see_the_same_cells() {
    let fleet = fleet(3, 2 * MOST_IN_CELL + 5);
    let layouts: Vec<Layout> = fleet.iter().map(|own| layout(&fleet, own)).collect();
    for (own, of_own) in fleet.iter().zip(&layouts) {
        for (other, of_other) in fleet.iter().zip(&layouts).filter(|(other, _)| *other != own) {
            assert_eq!(of_own.near.contains(&other.peers), of_own.own == of_other.own);
        }
    }
}

#[test]
fn what_a_daemon_sends_to_does_not_grow_with_the_fleet() {
    let fleet = fleet(20, 50);
    for own in fleet.iter().step_by(37) {
        let layout = layout(&fleet, own);
        assert!(layout.near.len() <= 2 * MOST_IN_CELL, "{}", layout.near.len());
        assert_eq!(layout.contacts.len(), MOST_CONTACTS);
    }
}

#[test]
fn cells_and_their_contacts_reach_every_daemon() {
    let fleet = fleet(20, 50);
    let mut reached = addrs([&fleet[0]]);
    let mut fresh: Vec<SocketAddr> = reached.iter().copied().collect();
    while let Some(addr) = fresh.pop() {
        let own = fleet.iter().find(|d| d.peers == addr).unwrap();
        let layout = layout(&fleet, own);
        let told = layout.near.into_iter().chain(layout.contacts);
        fresh.extend(told.filter(|addr| reached.insert(*addr)));
    }
    assert_eq!(reached.len(), fleet.len());
}

#[test]
fn a_silent_contact_is_passed_over_while_another_one_answers() {
    let fleet = fleet(4, 15);
    let (own, others) = (&fleet[0], without(&fleet, &fleet[0]));
    let first = Layout::of(own, &others, |_| false).contacts;
    let second = Layout::of(own, &others, |addr| first.contains(&addr)).contacts;
    assert_eq!(second.len(), 3);
    assert!(first.is_disjoint(&second));
    let all_silent = Layout::of(own, &others, |_| true).contacts;
    assert_eq!(all_silent, first, "someone is tried even so");
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
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
        let mut view = View::new(fleet[0].clone());
        view.divide(without(&fleet, &fleet[0]), |_| None, start);
        Watcher { view, fleet, start }
    }

    fn beat(&self, from: &Daemon, stamp: u64) -> Beat {
        let layout = layout(&self.fleet, from);
        let far = layout.own != self.view.layout().own;
        let load = Load { runs: 1, tokens: 1_000, once: 1_000, ..Load::default() };
        Beat {
            daemon: from.clone(),
            boot: 1,
            stamp,
            echo: None,
            ready: true,
            chosen: far,
            statement: None,
            read_ms: None,
            failed_ms: None,
            cell: layout.own,
            members: far.then_some(5),
            told: Told {
                loads: vec![(Tag::of("server"), load)],
                spent: vec![(Tag::of("service"), Spent { requests: 10, repeats: 2 })],
                outcomes: vec![(Tag::of("server"), Outcomes { tried: 2.0, failed: 1.0 })],
            },
            signs: Signs::default(),
            others: Vec::new(),
        }
    }

    fn hear(&mut self, from: usize, stamp: u64, at: Duration) {
        let beat = self.beat(&self.fleet[from].clone(), stamp);
        self.view.note(&beat, self.start + at);
    }

    fn runs(&self, at: Duration) -> u32 {
        let heard = self.view.heard(self.start + at);
        heard.loads.get(&Tag::of("server")).map_or(0, |load| load.runs)
    }
}

#[test]
fn loads_of_the_own_cell_count_by_daemon_and_of_other_cells_once() {
    let mut watcher = Watcher::of(fleet(4, 15));
    watcher.hear(1, 1, ms(0));
    watcher.hear(2, 1, ms(0));
    assert_eq!(watcher.runs(ms(0)), 2);
    // Two daemons of one other cell tell the same sum.
    watcher.hear(15, 1, ms(0));
    watcher.hear(16, 1, ms(0));
    assert_eq!(watcher.runs(ms(0)), 3);
    watcher.hear(30, 1, ms(0));
    assert_eq!(watcher.runs(ms(0)), 4);
    let spent = watcher.view.spent(59, watcher.start);
    assert_eq!((spent.daemons, spent.heard), (59, 2 + 5 + 5));
    assert_eq!(spent.spent[&Tag::of("service")], Spent { requests: 40, repeats: 8 });
}

#[test]
fn what_is_not_heard_any_more_does_not_count() {
    let mut watcher = Watcher::of(fleet(4, 15));
    watcher.hear(1, 1, ms(0));
    watcher.hear(15, 1, ms(0));
    assert_eq!(watcher.runs(ms(500)), 2);
    assert_eq!(watcher.runs(ms(1_000)), 1, "a daemon of the own cell is missed soon");
    assert_eq!(watcher.runs(ms(3_000)), 0);
    assert!(watcher.view.entries(watcher.start + ms(3_000)).is_empty());
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let mut watcher = Watcher::of(fleet(1, 3));
    watcher.hear(1, 5, ms(0));
    let mut late = watcher.beat(&watcher.fleet[1].clone(), 4);
    late.ready = false;
    late.told.loads.clear();
    assert!(!watcher.view.note(&late, watcher.start + ms(1)));
    assert_eq!(watcher.runs(ms(1)), 1);
    assert_eq!(watcher.view.entries(watcher.start).len(), 1);
}

#[test]
fn a_restarted_daemon_is_heard_though_its_clock_began_anew() {
    let mut watcher = Watcher::of(fleet(1, 3));
    watcher.hear(1, 5_000_000, ms(0));
    let mut again = watcher.beat(&watcher.fleet[1].clone(), 1);
    again.boot = 2;
    again.ready = false;
    assert!(watcher.view.note(&again, watcher.start + ms(1)));
    assert!(watcher.view.entries(watcher.start + ms(1)).is_empty());
}

#[test]
fn callers_are_sent_to_their_cell_and_further_only_where_it_has_few() {
    let mut watcher = Watcher::of(fleet(4, 15));
    watcher.hear(15, 1, ms(0));
    watcher.hear(1, 1, ms(0));
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
    assert_eq!(watcher.view.read(), None);
    for (from, read_ms) in [(1, 600), (15, 200), (2, 400)] {
        let mut beat = watcher.beat(&watcher.fleet[from].clone(), 1);
        beat.read_ms = Some(read_ms);
        watcher.view.note(&beat, watcher.start + ms(1_000));
    }
    assert_eq!(watcher.view.read(), Some(watcher.start + ms(800)));
}

#[test]
fn word_of_a_read_does_not_grow_younger_as_it_goes_round() {
    // Time that a heartbeat is on its way, as on a busy link.
    let way = ms(20);
    let fleet = fleet(1, 3);
    let mut watchers = [0, 1].map(|own| {
        let mut view = View::new(fleet[own].clone());
        let start = Instant::now();
        view.divide(without(&fleet, &fleet[own]), |_| None, start);
        Watcher { view, fleet: fleet.clone(), start }
    });
    let start = watchers[0].start;
    watchers[1].start = start;
    watchers[0].view.has_read(Some(start));
    let mut now = start;
    for round in 0..50 {
        let (from, to) = (round % 2, (round + 1) % 2);
        let read = watchers[from].view.read().expect("it was told");
        let mut beat = watchers[from].beat(&fleet[from], round as u64 + 1);
        beat.read_ms = Some((now - read).as_millis() as u32);
        now += way;
        watchers[to].view.note(&beat, now);
    }
    for watcher in &watchers {
        assert!(watcher.view.read() <= Some(start), "nobody has read since");
    }
}

#[test]
fn one_daemon_of_a_divided_fleet_reads_first() {
    let fleet = fleet(4, 15);
    let mut firsts = 0;
    for own in &fleet {
        let mut view = View::new(own.clone());
        let (now, others) = (Instant::now(), without(&fleet, own));
        view.divide(others.clone(), |_| None, now);
        let watcher = Watcher { view, fleet: fleet.clone(), start: now };
        let mut view = View::new(own.clone());
        view.divide(others, |_| None, now);
        for other in fleet.iter().filter(|d| *d != own) {
            view.note(&watcher.beat(other, 1), now);
        }
        firsts += usize::from(view.readers_before(now) == 0);
    }
    assert_eq!(firsts, 1);
}
