//! What daemons of large fleets hear of each other, in simulated time.
//!
//! Real views, divisions and heartbeats of every daemon, passed on by a network that delays and loses
//! some and cuts halls from each other. The clock is simulated: a fleet of 1,000 is played in seconds.
//!
//! The pattern: each daemon sends what it likes to servers that all others see. A load that isn't heard
//! makes a server look free to hundreds of daemons at once; one that counts twice makes it look full.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, ms};
use rand::RngExt;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::quarantine::Evidence;
use tidestair::gateway::tag::Tag;

/// Time in which a load is heard in its hall, and in all others: a prompt is read in about 0.25 s, so
/// that what is heard of the own hall is as old as two prompts.
const IN_HALL: Duration = Duration::from_millis(600);
const EVERYWHERE: Duration = Duration::from_millis(1_500);
/// Time that the successor of a dead relay needs besides: the silence after which it is missed, and a
/// greeting that is answered.
const SUCCESSION: Duration = Duration::from_millis(1_300);
/// The same where it greets another dead relay first: two silences of 0.7 s, two divisions, and a greeting
/// whose first heartbeats can't be dated, at both ends.
const TWO_SUCCESSIONS: Duration = Duration::from_millis(2_400);
/// The users' deployments by halls and daemons in each, and their target.
const SIZES: [(usize, usize); 3] = [(4, 15), (6, 49), (4, 75)];
const TARGET: (usize, usize) = (20, 50);
/// Time after which a fleet that starts at once hears itself whole.
const SETTLED: Duration = Duration::from_millis(3_000);

/// Gives all daemons other loads, and checks that each is heard in time, in its hall and elsewhere.
fn assert_heard_in_time(fleet: &mut Fleet, runs: u32) {
    fleet.set_loads(runs);
    fleet.run(IN_HALL);
    assert_all_heard(fleet, true, runs);
    fleet.run(EVERYWHERE - IN_HALL);
    assert_all_heard(fleet, false, runs);
}

fn assert_all_heard(fleet: &Fleet, same_hall: bool, runs: u32) {
    let (pairs, wrong) = fleet.unheard(same_hall, runs);
    assert!(wrong == 0, "{wrong} of {pairs} pairs, same hall: {same_hall}");
}

#[test]
fn each_daemon_hears_each_load_of_its_hall_and_of_all_others_in_time() {
    for (halls, in_hall) in SIZES {
        let mut fleet = Fleet::new(halls, in_hall, 1);
        fleet.run(SETTLED);
        assert_all_heard(&fleet, true, 1);
        assert_all_heard(&fleet, false, 1);
        for runs in 2..4 {
            assert_heard_in_time(&mut fleet, runs);
        }
    }
}

#[test]
fn a_thousand_daemons_in_twenty_halls_hear_each_other_in_time() {
    let (halls, in_hall) = TARGET;
    let mut fleet = Fleet::new(halls, in_hall, 2);
    fleet.run(ms(2_000));
    assert_heard_in_time(&mut fleet, 2);
}

#[test]
fn what_all_daemons_have_spent_is_heard_by_each() {
    let (halls, in_hall) = SIZES[1];
    let mut fleet = Fleet::new(halls, in_hall, 3);
    fleet.run(SETTLED);
    let all = halls * in_hall;
    for node in &fleet.nodes {
        let spent = node.view.spent(all - 1, fleet.now);
        assert_eq!((spent.daemons, spent.reachable), (all - 1, all - 1));
        let repeats = spent.spent[&Tag::of("service")].retries;
        assert_eq!(repeats as usize, all - 1);
    }
}

/// Requests that come again and again by way of any daemon: three of a fleet see one server end each, and a
/// fourth must know before its turn comes. Of the three seconds that the users allow, half are for a server's
/// end to be noticed.
#[test]
fn what_ends_servers_is_known_to_each_daemon_in_time() {
    let request = Fingerprint::new("/path", "caller", b"body");
    for (halls, in_hall) in SIZES {
        let mut fleet = Fleet::new(halls, in_hall, 4);
        fleet.run(SETTLED);
        let witnesses = [0, in_hall + 1, halls * in_hall - 1];
        for witness in witnesses {
            let ended = [(Tag::of_number(witness as u64), 2)].into();
            let evidence = Evidence { ended, survived: false };
            fleet.nodes[witness].own.stats.evidence.push((request, evidence));
        }
        fleet.run(EVERYWHERE);
        for (i, node) in fleet.nodes.iter().enumerate() {
            let own = usize::from(witnesses.contains(&i));
            let heard = node.view.peer_stats(fleet.now).evidence;
            let ended = heard.get(&request).map_or(0, |evidence| evidence.ended.len());
            assert_eq!(ended + own, 3, "{}: {halls} halls of {in_hall}", node.daemon.vm);
        }
    }
}

#[test]
fn a_read_of_the_store_is_known_everywhere_before_the_next_reader_takes_over() {
    // What the first reader's successors wait at least, less its own time between two reads.
    let known = ms(1_250) - ms(600);
    let (halls, in_hall) = SIZES[1];
    let mut fleet = Fleet::new(halls, in_hall, 4);
    fleet.run(SETTLED);
    let read = fleet.now;
    fleet.nodes[0].view.note_store_read(Some(read));
    fleet.run(known + ms(100));
    let late = fleet.nodes.iter().filter(|n| n.view.last_store_read().is_none()).count();
    assert_eq!(late, 0, "daemons that don't know of the read");
    let oldest = fleet.nodes.iter().filter_map(|n| n.view.last_store_read()).min().unwrap();
    assert!(read - oldest < ms(150), "dated {:?} too old", read - oldest);
    assert!(fleet.nodes.iter().all(|n| n.view.last_store_read() <= Some(read)), "dated too young");
}

#[test]
fn no_load_counts_twice_while_daemons_come_and_go() {
    let (halls, in_hall) = SIZES[1];
    for seed in 0..3 {
        let mut fleet = Fleet::new(halls, in_hall, 10 + seed);
        fleet.loss = 0.02;
        fleet.run(SETTLED);
        let all = (halls * in_hall) as u32;
        let mut down: Vec<usize> = Vec::new();
        for _ in 0..40 {
            let i = fleet.rng.random_range(0..fleet.nodes.len());
            if down.len() < 20 && !down.contains(&i) {
                fleet.kill(i);
                down.push(i);
                // Those that the store lists no longer change the division.
                let gone = fleet.nodes[i].daemon.vm.clone();
                fleet.listed.retain(|d| d.vm != gone);
            } else if let Some(i) = down.pop() {
                let daemon = fleet.nodes[i].daemon.clone();
                fleet.listed.push(daemon);
                fleet.restart(i);
            }
            fleet.at = fleet.nodes.iter().enumerate().map(|(i, n)| (n.daemon.peers, i)).collect();
            fleet.run(ms(75));
            // A daemon that has just changed its cell, or died, is missing for a while.
            assert!(fleet.most_counted() < all, "{} of {all}", fleet.most_counted());
        }
    }
}

/// Ten thousand servers before a thousand daemons with a request each in five seconds: nothing that a daemon does at rest
/// may cost more than it would cost one of a small fleet.
#[test]
fn an_idle_fleet_sends_few_heartbeats_and_is_heard_all_the_same() {
    // Each way, of the mean daemon and of a relay.
    const MOST_HEARTBEATS: f64 = 32.0;
    const HEARD_LATE: Duration = Duration::from_millis(3_000);
    for (halls, in_hall) in [(6, 49), (6, 164)] {
        let mut fleet = Fleet::new(halls, in_hall, 6);
        fleet.set_gap(60.0);
        fleet.run(ms(2_000));
        (fleet.heartbeats, fleet.bytes) = (0, [0; 2]);
        fleet.run(ms(1_000));
        let daemons = fleet.nodes.len() as f64;
        let (heartbeats, bytes) = (fleet.heartbeats as f64, fleet.bytes.iter().sum::<u64>() as f64);
        println!(
            "{halls} halls of {in_hall}: {:.1} heartbeats and {:.0} B/s each",
            heartbeats / daemons,
            bytes / daemons
        );
        assert!(heartbeats / daemons <= MOST_HEARTBEATS, "{}", heartbeats / daemons);
        // Other halls are told of servers that are not as good as idle.
        for runs in [1, 8] {
            fleet.set_loads(runs);
            fleet.run(HEARD_LATE);
            assert_all_heard(&fleet, true, runs);
        }
        assert_all_heard(&fleet, false, 8);
    }
}

#[test]
fn a_dead_relay_of_an_idle_fleet_is_missing_for_a_stated_time_only() {
    // Three stretched heartbeats until it is missed, and the successor's first ones.
    const SUCCESSION: Duration = Duration::from_millis(4_500);
    let mut fleet = Fleet::new(6, 49, 7);
    fleet.set_gap(60.0);
    fleet.run(SETTLED);
    let relays = fleet.relays();
    fleet.kill(relays[3]);
    fleet.run(SUCCESSION);
    fleet.set_loads(8);
    fleet.run(ms(3_000));
    assert_all_heard(&fleet, true, 8);
    assert_all_heard(&fleet, false, 8);
}

#[test]
fn halls_are_crossed_by_few_bytes() {
    // One relay to each other hall, with sums of some 20 servers: bounds in bytes a second.
    const A_PAIR: f64 = 12_000.0;
    for (halls, in_hall) in [SIZES[0], SIZES[1]] {
        let mut fleet = Fleet::new(halls, in_hall, 5);
        fleet.run(SETTLED);
        fleet.bytes = [0; 2];
        fleet.run(ms(2_000));
        let a_second = fleet.bytes.map(|bytes| bytes as f64 / 2.0);
        let pairs = (halls * (halls - 1)) as f64;
        println!(
            "{halls} halls of {in_hall}: {:.0} B/s each within its hall, {:.0} B/s a pair of halls",
            a_second[0] / fleet.nodes.len() as f64,
            a_second[1] / pairs
        );
        assert!(a_second[1] <= pairs * A_PAIR * in_hall as f64 / 15.0);
    }
}

/// Kills relays and checks that after such a time all others hear each other again.
fn relays_die(seed: u64, dying: impl Fn(&[usize]) -> Vec<usize>, succession: Duration) {
    let (halls, in_hall) = SIZES[1];
    let mut fleet = Fleet::new(halls, in_hall, seed);
    fleet.run(SETTLED);
    let relays = fleet.relays();
    assert_eq!(relays.len(), halls * 3);
    for i in dying(&relays) {
        fleet.kill(i);
    }
    fleet.run(succession);
    assert_heard_in_time(&mut fleet, 2);
}

#[test]
fn a_dead_relay_is_missing_for_a_stated_time_only() {
    for seed in 20..24 {
        relays_die(seed, |relays| vec![relays[seed as usize % relays.len()]], SUCCESSION);
    }
}

#[test]
fn relays_of_one_hall_that_die_together_are_missing_for_a_stated_time_only() {
    for seed in 24..28 {
        relays_die(seed, |relays| relays[..3].to_vec(), TWO_SUCCESSIONS);
    }
}

#[test]
fn restarted_daemons_are_heard_with_what_they_have_now() {
    let (halls, in_hall) = SIZES[1];
    let mut fleet = Fleet::new(halls, in_hall, 30);
    fleet.run(SETTLED);
    for i in (0..fleet.nodes.len()).step_by(3) {
        fleet.restart(i);
    }
    fleet.run(SUCCESSION);
    fleet.set_loads(3);
    fleet.run(EVERYWHERE);
    assert_all_heard(&fleet, true, 3);
    assert_all_heard(&fleet, false, 3);
}

#[test]
fn a_hall_that_is_cut_off_no_longer_counts_and_is_heard_again() {
    let (halls, in_hall) = SIZES[0];
    let mut fleet = Fleet::new(halls, in_hall, 40);
    fleet.run(SETTLED);
    for other in 1..halls {
        let pair = ("hall-0".to_string(), format!("hall-{other}"));
        fleet.cut.insert((pair.1.clone(), pair.0.clone()));
        fleet.cut.insert(pair);
    }
    fleet.run(ms(6_000));
    let inside = &fleet.nodes[0];
    let listed = fleet.nodes.len() - 1;
    assert_eq!(inside.view.spent(listed, fleet.now).reachable, in_hall - 1);
    let outside = fleet.nodes.last().unwrap();
    assert_eq!(outside.view.spent(listed, fleet.now).reachable, listed - in_hall);
    fleet.cut.clear();
    fleet.run(TWO_SUCCESSIONS + EVERYWHERE);
    fleet.set_loads(2);
    fleet.run(EVERYWHERE);
    assert_all_heard(&fleet, false, 2);
}

/// Time after its death for which the platform allows that a daemon is named to callers, by the shortest
/// bounds of the users' deployments: 3 s out of touch, and 3 s besides.
const NAMED_AFTER_DEATH: Duration = Duration::from_secs(6);

#[test]
fn a_daemon_that_died_is_not_named_to_callers() {
    for (halls, in_hall, seed) in [(4, 3, 1), (4, 15, 2), (6, 49, 3)] {
        let mut fleet = Fleet::new(halls, in_hall, seed);
        fleet.run(ms(3_000));
        let relays = (0..fleet.nodes.len()).filter(|i| fleet.nodes[*i].view.layout().is_relay());
        // A relay of each kind of fleet that has one, and some others.
        let dead: Vec<usize> = relays.take(2).chain([1, in_hall, halls * in_hall - 1]).collect();
        dead.iter().for_each(|i| fleet.kill(*i));
        fleet.run(NAMED_AFTER_DEATH);
        let gone: HashSet<SocketAddr> =
            dead.iter().map(|i| fleet.nodes[*i].daemon.callers).collect();
        for node in fleet.nodes.iter().filter(|node| node.alive) {
            let view = &node.view;
            let named = view.entries(fleet.now).into_iter().chain(view.remote_entries(fleet.now));
            let named: Vec<SocketAddr> = named.filter(|addr| gone.contains(addr)).collect();
            assert!(named.is_empty(), "{} names {named:?}", node.daemon.vm);
        }
    }
}
