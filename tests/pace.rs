//! Relative latency of servers: how it is measured, shared and used, in simulated time.
//!
//! The load is that of customer 2 in `docs/SHORTAGE.md`: 48 engines in 4 halls at 0.6, 1.0 and 1.6 times the
//! stated time of a step, 76 daemons, long digests and short classifications. Prompts are as long as those of
//! customer 1, since those of customer 2 are not stated.

#[path = "common/engines.rs"]
mod engines;
#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/servers.rs"]
mod servers;

use engines::{Day, Fleet, SLO_MS, Setting};
use rand::SeedableRng;
use rand::rngs::StdRng;
use servers::{ENGINE, add_server};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};
use tidestair::gateway::outcomes::Outcomes;
use tidestair::gateway::pace::{EventTimer, PaceSums, Step, median, relative_latency};
use tidestair::gateway::place::{
    COST_TOLERANCE, Candidate, Headroom, PlacementPolicy, PlacementRequest, REMOTE_HALL_COST,
};
use tidestair::gateway::servers::{Load, PeerStats, ServerKey, ServerRecord, Servers};
use tidestair::gateway::tag::Tag;

const SEEDS: std::ops::Range<u64> = 1..4;
/// Times of a step in relation to the stated one; a third of the engines each.
const UNEQUAL: [f64; 3] = [0.6, 1.0, 1.6];
/// The tag under which a peer reports on a server.
const PACE: &str = "i-1's pace";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The time of a window of four gaps at an idle engine with one run, at `speed` times the stated time.
fn window(speed: f64) -> Duration {
    ms(16).mul_f64(7.12 * speed)
}

/// Records `count` windows at a server that runs at `speed` times the stated time.
fn record(servers: &mut Servers, key: ServerKey, speed: f64, count: usize, now: Instant) {
    let load = servers.load(key);
    (0..count).for_each(|_| servers.record_gaps(key, window(speed), &ENGINE, load, now));
}

/// What peers hear of this daemon's samples.
fn heard(from: &Servers, now: Instant) -> PeerStats {
    PeerStats { outcomes: from.own_paces(now).into_iter().collect(), ..PeerStats::default() }
}

/// A daemon that knows servers with one run each.
fn daemon(count: usize) -> (Servers, Vec<ServerKey>) {
    let mut servers = Servers::default();
    let load = Load { runs: 1, tokens: 4_000, ..Load::default() };
    let keys = (0..count).map(|i| add_server(&mut servers, i, "here", load)).collect();
    (servers, keys)
}

fn latency(servers: &Servers, key: ServerKey) -> f64 {
    servers.get(key).expect("it is known").relative_latency()
}

/// A day, by its setting and seed; played by the first test that needs it.
type Played = ((Setting, u64), Arc<OnceLock<Day>>);

/// Days that several tests judge are played once.
static DAYS: Mutex<Vec<Played>> = Mutex::new(Vec::new());

fn day(weighed: bool, restarts: bool, speeds: [f64; 3], seed: u64) -> Day {
    let setting = Setting { weighed, restarts, speeds };
    let played = {
        let mut days = DAYS.lock().expect("no holder panics");
        let known = days.iter().find(|(known, _)| *known == (setting, seed));
        let played = known.map(|(_, day)| day.clone()).unwrap_or_default();
        days.push(((setting, seed), played.clone()));
        played
    };
    *played.get_or_init(|| {
        let day = Fleet::new(setting, seed).run();
        println!("{setting:?}, seed {seed}: {day:?}");
        day
    })
}

/// Guards against engines of unequal speed that get equal work: the slow ones would fall behind.
#[test]
fn unequal_engines_share_the_work_by_speed() {
    for seed in SEEDS {
        let day = day(true, false, UNEQUAL, seed);
        assert!(day.gaps_in_time > 0.99, "pauses within 180 ms: {day:?}");
        assert!(day.busiest < 1.25, "busiest server by the mean: {day:?}");
        assert!(day.misjudged < 0.05, "time of servers with a wrong class: {day:?}");
    }
}

/// Guards against digests that wait behind others at a slow engine while a fast one would read them at once.
#[test]
fn digests_at_unequal_engines_begin_in_time() {
    for seed in SEEDS {
        let day = day(true, false, UNEQUAL, seed);
        assert!(day.first_in_time > 0.99, "first events within {SLO_MS} ms: {day:?}");
    }
}

/// Guards against a relative latency that makes callers wait longer than none, with engines that stay and with
/// engines that live for 20 s.
#[test]
fn relative_latency_makes_no_more_callers_late_than_none() {
    for (restarts, seed) in [(false, 1), (false, 2), (true, 1)] {
        let with = day(true, restarts, UNEQUAL, seed);
        let without = day(false, restarts, UNEQUAL, seed);
        assert!(with.first_in_time > without.first_in_time, "{with:?}, {without:?}");
        assert!(with.mean_first_ms < without.mean_first_ms, "{with:?}, {without:?}");
    }
}

/// Guards against load that is mistaken for slowness: equal engines are unequally busy at each moment.
#[test]
fn equal_engines_are_not_told_apart_by_their_load() {
    for seed in SEEDS {
        let day = day(true, true, [1.0; 3], seed);
        assert!(day.misjudged < 0.01, "{day:?}");
    }
}

/// Guards against measurements that change choices although no server differs.
#[test]
fn while_no_server_differs_each_choice_is_as_before() {
    let now = Instant::now();
    let (mut measured, keys) = daemon(12);
    let (mut unmeasured, same_keys) = daemon(12);
    assert_eq!(keys, same_keys);
    for (i, key) in keys.iter().enumerate() {
        record(&mut measured, *key, 1.0 + (i % 3) as f64 * 0.05, 20, now);
        let more =
            Load { runs: i as u32 % 4, tokens: 2_000, unread_prompt: 500, ..Load::default() };
        measured.add_load(*key, more);
        unmeasured.add_load(*key, more);
    }
    measured.refresh_paces(now);
    assert_eq!(measured.own_paces(now), [], "nothing is reported");
    for engine in [Some(&ENGINE), None] {
        for seed in 0..200 {
            let choose = |servers: &Servers| {
                let candidates: Vec<Candidate<'_>> = keys
                    .iter()
                    .map(|key| (*key, servers.get(*key).unwrap()))
                    .map(|(key, server)| Candidate { key, server, load: server.load() })
                    .collect();
                let load = Load { runs: 1, tokens: 3_700, unread_prompt: 3_000, ..Load::default() };
                let request = PlacementRequest {
                    hall: "here",
                    remote_cost: REMOTE_HALL_COST,
                    cost_tolerance: COST_TOLERANCE,
                    unreported_requests: (seed % 2) as f64,
                    load,
                    engine,
                };
                let mut rng = StdRng::seed_from_u64(seed);
                Headroom.choose(&candidates, &request, now, &mut rng)
            };
            assert_eq!(choose(&measured), choose(&unmeasured), "seed {seed}");
        }
    }
}

/// Guards against sums that only the measuring daemon uses, and against ones that outlive it.
#[test]
fn daemons_add_up_their_samples_and_drop_those_of_a_silent_one() {
    let now = Instant::now();
    let (mut best, keys) = daemon(3);
    let (mut other, _) = daemon(3);
    record(&mut best, keys[0], 1.0, 10, now);
    record(&mut best, keys[1], 1.0, 10, now);
    record(&mut best, keys[2], 1.6, 10, now);
    record(&mut other, keys[2], 1.6, 3, now);
    for servers in [&mut best, &mut other] {
        servers.refresh_paces(now);
    }
    assert_eq!(latency(&other, keys[2]), 1.0, "three samples are too few");
    other.set_peer_stats(&heard(&best, now));
    other.refresh_paces(now);
    let known = latency(&other, keys[2]);
    assert!((1.55..1.65).contains(&known), "{known}");
    assert_eq!(other.own_paces(now).len(), 1, "what it measured itself is now reported, too");
    // The daemon that measured best is killed.
    other.set_peer_stats(&PeerStats::default());
    other.refresh_paces(now);
    assert_eq!(latency(&other, keys[2]), 1.0);
    assert_eq!(other.own_paces(now), []);
}

/// Guards against figures of a silent peer that are used for longer than 2.5 s, within a hall and from another
/// one, and against ones that a restarted peer brings back.
#[test]
fn the_sums_of_a_silent_peer_are_dropped() {
    let mut fleet = fleet::Fleet::new(4, 19, 1);
    let tag = Tag::of(PACE);
    fleet.nodes[0].own.stats.outcomes = vec![(tag, Outcomes { tried: 9.0, failed: 14.0 })];
    fleet.run(ms(8_000));
    let know = |fleet: &fleet::Fleet| {
        let knows =
            |node: &&fleet::Node| node.view.peer_stats(fleet.now).outcomes.contains_key(&tag);
        fleet.nodes[1..].iter().filter(knows).count()
    };
    assert_eq!(know(&fleet), 75);
    fleet.kill(0);
    fleet.run(ms(2_500));
    let late = know(&fleet);
    fleet.run(ms(2_500));
    assert_eq!(know(&fleet), 0);
    fleet.restart(0);
    fleet.run(ms(1_000));
    assert_eq!(know(&fleet), 0, "a restarted daemon begins without samples");
    assert_eq!(late, 0, "daemons that still used the figures after 2.5 s");
}

/// Guards against a slow server that never gets work again because of old samples.
#[test]
fn samples_lose_their_weight() {
    let now = Instant::now();
    let (mut servers, keys) = daemon(3);
    keys.iter()
        .zip([1.0, 1.0, 1.6])
        .for_each(|(k, speed)| record(&mut servers, *k, speed, 20, now));
    servers.refresh_paces(now + ms(3_000));
    assert!(latency(&servers, keys[2]) > 1.5);
    servers.refresh_paces(now + ms(4_500));
    assert_eq!(
        latency(&servers, keys[2]),
        1.0,
        "20 samples are worth 7 after a half-life and a half"
    );
}

/// Guards against the speed of an earlier process that is charged to a later one of the same id.
#[test]
fn a_server_that_restarts_is_measured_anew() {
    let now = Instant::now();
    let (mut servers, keys) = daemon(3);
    let known = servers.get(keys[2]).expect("it is known").record.clone();
    let restarted = |started_ms| ServerRecord { started_ms, ..known.clone() };
    let (first, second) = (restarted(Some(1)), restarted(Some(2)));
    servers.upsert(first, now);
    let slow = servers.find("i-2").unwrap();
    for (key, speed) in [(keys[0], 1.0), (keys[1], 1.0), (slow, 1.6)] {
        record(&mut servers, key, speed, 20, now);
    }
    servers.refresh_paces(now);
    assert!(latency(&servers, slow) > 1.5);
    let told = heard(&servers, now);
    servers.upsert(second, now);
    let key = servers.find("i-2").unwrap();
    // What peers have measured of the earlier process arrives after the restart.
    servers.set_peer_stats(&told);
    servers.refresh_paces(now);
    assert_eq!(latency(&servers, key), 1.0);
    record(&mut servers, key, 0.6, 20, now);
    servers.refresh_paces(now);
    assert!((0.55..0.65).contains(&latency(&servers, key)), "{}", latency(&servers, key));
}

/// Guards against a server that looks fast because it fails quickly.
#[test]
fn failures_are_no_samples() {
    let now = Instant::now();
    let (mut servers, keys) = daemon(3);
    keys[..2].iter().for_each(|key| record(&mut servers, *key, 1.0, 20, now));
    (0..50).for_each(|_| servers.record_outcome(keys[2], true, now));
    servers.refresh_paces(now);
    assert_eq!(latency(&servers, keys[2]), 1.0);
    assert_eq!(servers.own_paces(now), []);
}

/// Guards against sums of a faulty or outdated peer that make a server look fast, slow or not a number.
#[test]
fn nonsense_sums_of_peers_are_ignored_or_bounded() {
    let now = Instant::now();
    let (mut best, keys) = daemon(3);
    keys.iter().zip([1.0, 1.0, 1.6]).for_each(|(k, speed)| record(&mut best, *k, speed, 20, now));
    best.refresh_paces(now);
    let told = heard(&best, now);
    for (tried, failed) in [
        (f32::NAN, 1.0),
        (10.0, f32::INFINITY),
        (-10.0, 10.0),
        (10.0, -10.0),
        (0.0, 10.0),
        (1e30, 1e-30),
        (1e-30, 1e30),
        (f32::MAX, f32::MAX),
    ] {
        let nonsense = Outcomes { tried, failed };
        let outcomes = told.outcomes.keys().map(|tag| (*tag, nonsense)).collect();
        let (mut servers, _) = daemon(3);
        record(&mut servers, keys[0], 1.0, 20, now);
        servers.set_peer_stats(&PeerStats { outcomes, ..PeerStats::default() });
        servers.refresh_paces(now);
        for key in &keys {
            let latency = latency(&servers, *key);
            assert!((0.4..=3.0).contains(&latency), "{nonsense:?}: {latency}");
        }
    }
    assert_eq!(relative_latency(Some(100.0), Some(1.0)), 3.0);
    assert_eq!(relative_latency(Some(0.01), Some(1.0)), 0.4);
    assert_eq!(relative_latency(Some(1.14), Some(1.0)), 1.0);
    assert_eq!(relative_latency(None, Some(1.0)), 1.0);
    assert_eq!(PaceSums { expected: 7.9, actual: 16.0 }.ratio(), None);
    assert_eq!(median(vec![]), None);
    assert_eq!(median(vec![1.6, 0.6]), Some(1.1));
}

/// Guards against a stall, or the burst of events after it, that counts towards a server's pace.
#[test]
fn stalls_and_slow_callers_give_no_samples() {
    let (mut timer, start) = (EventTimer::default(), Instant::now());
    let mut at = start;
    let mut after = |timer: &mut EventTimer, gap| {
        at += ms(gap);
        timer.event(at)
    };
    assert_eq!(after(&mut timer, 0), Step::Begun);
    assert_eq!([30, 30, 30].map(|gap| after(&mut timer, gap)), [Step::None; 3]);
    assert_eq!(after(&mut timer, 30), Step::Ended(ms(120)));
    assert_eq!([30, 600, 1, 1, 1].map(|gap| after(&mut timer, gap)), [Step::None; 5]);
    assert_eq!(after(&mut timer, 30), Step::Begun);
    assert_eq!([30, 30, 30].map(|gap| after(&mut timer, gap)), [Step::None; 3]);
    assert_eq!(after(&mut timer, 30), Step::Ended(ms(120)));
    timer.resume();
    assert_eq!([1, 1, 1, 1].map(|gap| after(&mut timer, gap)), [Step::None; 4]);
    assert_eq!(after(&mut timer, 30), Step::Begun);
    timer.stop();
    assert_eq!([30; 8].map(|gap| after(&mut timer, gap)), [Step::None; 8]);
}

/// Guards against slow application servers that get as many requests as fast ones, and against queueing that
/// is mistaken for slowness.
#[test]
fn plain_servers_are_compared_by_their_response_times() {
    let now = Instant::now();
    let (mut servers, keys) = daemon(4);
    servers.add_load(keys[0], Load { runs: ENGINE.slots * 2 - 1, ..Load::default() });
    for (key, time) in keys.iter().zip([100, 50, 50, 80]) {
        (0..40).for_each(|_| servers.record_response(*key, ms(time), ms(500), now));
    }
    servers.refresh_paces(now);
    let latencies: Vec<f64> = keys.iter().map(|key| latency(&servers, *key)).collect();
    assert_eq!(latencies[..3], [1.0; 3]);
    assert!((1.55..1.65).contains(&latencies[3]), "{latencies:?}");
    assert_eq!(servers.count_slow().get("model"), Some(&1));
}
