//! Servers in need before fleets of many sizes, in simulated time: real views, heartbeats, counts of requests
//! and limits of every daemon.
//!
//! The pattern: a server names some requests a second in its answers, far fewer than come by way of all daemons
//! together. None of them knows at a moment what the others send, a large fleet has more daemons than the
//! server takes requests in a minute, and words are late.

#[path = "common/fleet.rs"]
mod fleet;
#[path = "limits/play.rs"]
mod play;
#[path = "common/servers.rs"]
mod servers;

use fleet::ms;
use play::{Play, SIZES, Way, allowed, budget};
use rand::RngExt;
use servers::add_server;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::{Others, Spent};
use tidestair::gateway::limit::{LimitRemark, LimitReport};
use tidestair::gateway::servers::{Load, Observations, ServerRecord, Servers};
use tidestair::gateway::tag::Tag;

/// Time in which a daemon knows what it needs of the others.
const SETTLED: Duration = Duration::from_secs(4);
/// Part of the limit that has to be used where many times as much comes. What a daemon of a large fleet leaves
/// unused is lost, so that an idle fleet does not come with one request from each at once.
const USED: f64 = 0.6;

#[test]
fn a_limit_holds_over_all_daemons_and_its_room_is_used() {
    for (seed, size) in SIZES[..3].iter().enumerate() {
        for (rate, tilted) in [(0.5, false), (2.2, true), (10.0, false), (10.0, true)] {
            let mut play = Play::new(*size, Way::ByDemand, seed as u64);
            if tilted {
                play.tilt();
            }
            play.run(SETTLED);
            let from = play.name(rate);
            play.run(ms(12_000));
            play.assert_holds(from, rate);
            let used = play.used(from, rate);
            assert!(
                rate < 1.0 || used > USED,
                "{size:?}, {rate} a second, tilted {tilted}: {used:.2}"
            );
        }
    }
}

#[test]
fn a_limit_holds_before_hundreds_of_daemons() {
    let mut play = Play::new(SIZES[3], Way::ByDemand, 5);
    play.run(SETTLED);
    let from = play.name(2.2);
    play.run(ms(6_000));
    play.assert_holds(from, 2.2);
    assert!(play.limiting() == play.known.len(), "{} know of it", play.limiting());
}

/// The two ways that were weighed: one wastes what daemons with few requests may send, the other breaks the
/// bound.
#[test]
fn equal_parts_use_less_and_counts_break_the_bound() {
    let play = |way| {
        let mut play = Play::new(SIZES[2], way, 3);
        play.tilt();
        play.run(SETTLED);
        let from = play.name(10.0);
        play.run(ms(12_000));
        (play.most(from), play.used(from, 10.0))
    };
    let [(_, by_demand), (_, equal)] = [Way::ByDemand, Way::Equal].map(play);
    assert!(equal < by_demand, "{equal:.2} against {by_demand:.2}");
    assert!(play(Way::Counted).0 > allowed(10.0));
}

#[test]
fn a_limit_holds_while_daemons_restart_and_halls_are_cut_off() {
    for seed in 0..4 {
        let mut play = Play::new(SIZES[1], Way::ByDemand, 10 + seed);
        play.fleet.loss = 0.05;
        play.run(SETTLED);
        let from = play.name(6.0);
        let cut: Vec<(String, String)> = (1..4)
            .map(|hall| ("hall-0".to_string(), format!("hall-{hall}")))
            .flat_map(|(one, other)| [(one.clone(), other.clone()), (other, one)])
            .collect();
        for second in 0..16 {
            let i = play.fleet.rng.random_range(0..play.known.len());
            play.restart(i);
            if second % 8 == 2 {
                play.fleet.cut.extend(cut.iter().cloned());
            }
            if second % 8 == 6 {
                play.fleet.cut.clear();
            }
            play.run(ms(1_000));
        }
        play.assert_holds(from, 6.0);
    }
}

/// It stands still for longer than it takes for its part to be missed, and goes on as if no time had passed.
#[test]
fn a_daemon_that_stood_still_does_not_make_up_for_it() {
    let mut play = Play::new(SIZES[0], Way::ByDemand, 20);
    play.run(SETTLED);
    let from = play.name(4.0);
    for i in [0, 3] {
        play.fleet.nodes[i].alive = false;
        play.run(ms(5_000));
        play.fleet.nodes[i].alive = true;
        play.run(ms(4_000));
    }
    play.assert_holds(from, 4.0);
}

#[test]
fn words_that_are_late_do_not_break_a_limit() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 30);
    play.fleet.late = ms(1_000);
    play.fleet.loss = 0.1;
    play.run(SETTLED);
    let from = play.name(3.0);
    play.run(ms(12_000));
    play.assert_holds(from, 3.0);
}

/// Daemons that have kept what they may, and of which none has heard yet how many requests come to the others.
#[test]
fn an_idle_fleet_does_not_come_at_once() {
    let small = [(3, 2), (3, 3), (4, 4)].map(|size| [2.2, 5.0, 20.0].map(|rate| (size, rate)));
    let cases = small.concat().into_iter().chain([((4, 15), 5.0)]);
    for (seed, ((halls, in_hall), rate)) in cases.enumerate() {
        // Many times what the server takes.
        let busy = 10.0 * rate;
        let mut play = Play::new((halls, in_hall, busy), Way::ByDemand, 40 + seed as u64);
        play.run(SETTLED);
        play.name(rate);
        let demand = std::mem::take(&mut play.demand);
        play.demand = vec![0.0; demand.len()];
        play.run(ms(20_000));
        play.demand = demand;
        let from = play.fleet.now;
        play.run(ms(6_000));
        println!("{halls}x{in_hall} at {rate}: {} of {}", play.most(from), allowed(rate));
        play.assert_holds(from, rate);
    }
}

#[test]
fn a_limit_that_is_lowered_holds() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 50);
    play.run(SETTLED);
    play.name(20.0);
    let from = play.name(2.0);
    play.run(ms(10_000));
    play.assert_holds(from, 2.0);
}

#[test]
fn all_daemons_notice_the_end_of_a_limit() {
    /// A request of some daemon meets the server in this time, and heartbeats take a second or two.
    const NOTICED: Duration = Duration::from_secs(4);
    for (size, rate) in [(SIZES[0], 0.5), (SIZES[1], 2.2), (SIZES[2], 2.2)] {
        let mut play = Play::new(size, Way::ByDemand, 60);
        play.run(SETTLED);
        play.name(rate);
        assert_eq!(play.limiting(), play.known.len());
        play.names = None;
        // The next request after that is the first that can tell.
        play.run(Duration::from_secs_f64(2.0 / rate) + NOTICED);
        assert_eq!(play.limiting(), 0, "{size:?}");
    }
}

/// A server that takes nothing is still asked now and then: only an answer tells that it is well again.
#[test]
fn a_server_that_names_nothing_gets_next_to_nothing_until_it_is_well_again() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 70);
    play.run(SETTLED);
    let from = play.name(0.0);
    play.run(ms(30_000));
    play.assert_holds(from, 0.0);
    play.names = None;
    play.run(ms(30_000));
    assert_eq!(play.limiting(), 0);
}

#[test]
fn what_was_said_later_counts_however_late_an_answer_comes() {
    let (mut servers, start) = (Servers::default(), Instant::now());
    let key = add_server(&mut servers, 1, "here", Load::default());
    let rate = |servers: &Servers| servers.get(key).unwrap().limit().rate();
    let at = |n| start + ms(n);
    assert!(servers.update_limit(key, LimitRemark::Rate(2.0), at(0), at(100)));
    // Asked before the limit was heard, and answered long after.
    assert!(!servers.update_limit(key, LimitRemark::Unlimited, at(50), at(3_000)));
    assert_eq!(rate(&servers), Some(2.0));
    // A value that is no number changes nothing, neither way.
    assert!(!servers.update_limit(key, LimitRemark::Unknown, at(3_000), at(3_010)));
    assert_eq!(rate(&servers), Some(2.0));
    assert!(servers.update_limit(key, LimitRemark::Unlimited, at(3_100), at(3_200)));
    assert!(!servers.update_limit(key, LimitRemark::Unknown, at(3_300), at(3_310)));
    assert_eq!(rate(&servers), None);
    // A peer's word of the limit, from before that.
    let tag = servers.get(key).unwrap().tag();
    let told = |rate, age_ms| Observations {
        limits: vec![(tag, LimitReport { rate, age_ms })],
        ..Observations::default()
    };
    servers.merge_observations(&told(Some(2.0), 400), Some(at(3_400)), at(3_420));
    assert_eq!(rate(&servers), None);
    // What can't be dated is left for the next heartbeat.
    servers.merge_observations(&told(Some(2.0), 0), None, at(3_430));
    assert_eq!(rate(&servers), None);
    servers.merge_observations(&told(Some(2.0), 10), Some(at(3_440)), at(3_450));
    assert_eq!(rate(&servers), Some(2.0));
}

/// One that starts again under its id knows nothing of its need before.
#[test]
fn a_limit_ends_with_the_start_of_the_server_that_named_it() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = add_server(&mut servers, 1, "here", Load::default());
    servers.update_limit(key, LimitRemark::Rate(2.0), now, now);
    servers.remove_load(key, Load::default());
    let record = servers.get(key).unwrap().record.clone();
    servers.upsert(ServerRecord { started_ms: Some(7), ..record }, now);
    let again = servers.find("i-1").unwrap();
    assert_eq!(servers.get(again).unwrap().limit().rate(), None);
}

#[test]
fn the_parts_of_all_daemons_add_up_to_one() {
    let (now, service) = (Instant::now(), Play::service());
    let requests = [0u32, 3, 40, 400, 90, 7];
    let part = |i: usize, heard: &[usize]| {
        let mut own = budget(now);
        (0..requests[i]).for_each(|_| own.record_request(&service, now));
        let told = heard.iter().map(|j| requests[*j]).sum();
        let spent = [(Tag::of(&service), Spent { requests: told, retries: 0 })].into();
        own.set_others(Others {
            daemons: requests.len() - 1,
            reachable: heard.len(),
            spent,
            ..Others::default()
        });
        // Once what others have told is as old as what is counted here.
        own.request_fraction(&service, now + ms(1_000))
    };
    let others = |i: usize, among: &[usize]| -> Vec<usize> {
        among.iter().copied().filter(|j| *j != i).collect()
    };
    let all: Vec<usize> = (0..requests.len()).collect();
    let whole: f64 = all.iter().map(|i| part(*i, &others(*i, &all))).sum();
    assert!((whole - 1.0).abs() < 1e-9, "{whole}");
    assert!(part(3, &others(3, &all)) > part(5, &others(5, &all)));
    // Two halves that lost each other, and daemons that each hear nobody.
    let halves: f64 = [&all[..3], &all[3..]]
        .iter()
        .flat_map(|half| half.iter().map(|i| part(*i, &others(*i, half))))
        .sum();
    assert!((halves - 1.0).abs() < 1e-9, "{halves}");
    let alone: f64 = all.iter().map(|i| part(*i, &[])).sum();
    assert!((alone - 1.0).abs() < 1e-9, "{alone}");
}

/// Part of the requests that is refused where half of what the server takes comes.
fn refused(size: (usize, usize), rate: f64, seed: u64) -> f64 {
    let mut play = Play::new((size.0, size.1, rate / 2.0), Way::ByDemand, seed);
    play.run(SETTLED);
    let from = play.name(rate);
    (play.asked, play.refused) = (0, 0);
    // Some hundred requests or more.
    play.run(Duration::from_secs_f64(400.0 / rate).min(Duration::from_secs(180)));
    play.assert_holds(from, rate);
    play.refused as f64 / play.asked as f64
}

/// Part that may be refused so: what comes by chance within a moment is more than the mean.
const REFUSED: f64 = 0.1;

/// Each of a few daemons keeps room for one request, and those that have used theirs ask the others.
#[test]
fn few_are_refused_by_a_small_fleet_where_less_comes_than_a_server_takes() {
    let sizes = [((3, 2), 2.2), ((3, 3), 5.0)];
    let parts = sizes.map(|(size, rate)| refused(size, rate, 80));
    println!("refused of {sizes:?}: {parts:.2?}");
    assert!(parts.iter().all(|part| *part < REFUSED), "refused of {sizes:?}: {parts:.2?}");
}

#[test]
fn few_are_refused_by_a_larger_fleet_where_less_comes_than_a_server_takes() {
    let sizes = [((4, 4), 10.0), ((4, 4), 2.2), ((4, 15), 10.0)];
    let parts = sizes.map(|(size, rate)| refused(size, rate, 80));
    println!("refused of {sizes:?}: {parts:.2?}");
    assert!(parts.iter().all(|part| *part < REFUSED), "refused of {sizes:?}: {parts:.2?}");
}
