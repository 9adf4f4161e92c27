//! Cold servers: together, daemons send each of them no more than it may get.

#[path = "common/servers.rs"]
mod servers;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use servers::add_server;
use std::time::{Duration, Instant};
use tidestair::gateway::cold::{ColdBounds, Rank, WarmUp};
use tidestair::gateway::condition::Remarks;
use tidestair::gateway::servers::{Load, ServerKey, Servers};
use tidestair::gateway::tag::Tag;

/// Warming up and its bounds as on the users' sheet of 64 VMs: 35 requests a second.
const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(1), rate: 20.0 };
const BOUNDS: ColdBounds = ColdBounds { excess: 1.5, slack: 5.0 };
const MOST: usize = 35;

/// Fleets from the smallest to the one that the design is for.
const FLEETS: [usize; 7] = [1, 6, 7, 35, 64, 300, 1_000];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn shares(daemons: usize, server: Tag) -> Vec<usize> {
    let rank = |before| Rank { before, daemons };
    (0..daemons).map(|before| rank(before).share(server, WARM_UP, BOUNDS)).collect()
}

#[test]
fn the_shares_of_all_daemons_are_together_what_a_cold_server_may_get() {
    for daemons in FLEETS {
        for n in 0..50 {
            let all: usize = shares(daemons, Tag::of_number(n)).iter().sum();
            assert!((MOST / 2..=MOST).contains(&all), "{daemons} daemons send {all}");
        }
    }
}

#[test]
fn each_daemon_of_a_large_fleet_may_send_to_some_cold_servers() {
    let servers = 300;
    let mut may = vec![0; 300];
    for n in 0..servers {
        for (daemon, share) in shares(300, Tag::of_number(n)).into_iter().enumerate() {
            may[daemon] += share;
        }
    }
    assert!(may.iter().all(|servers| *servers > 0), "{may:?}");
}

/// One server, as one of several daemons knows it.
fn one_server() -> (Servers, ServerKey) {
    let mut servers = Servers::default();
    let key = add_server(&mut servers, 1, "hall", Load::default());
    (servers, key)
}

fn is_cold(servers: &Servers, key: ServerKey, now: Instant) -> bool {
    servers.get(key).unwrap().is_cold(WARM_UP, now)
}

/// A hall returns with nothing running there, so that every daemon prefers its servers, and none has heard
/// of the others since: all that they may send, they send.
#[test]
fn a_herd_on_a_hall_that_returns_cold_stays_within_the_bound() {
    for daemons in FLEETS {
        let (start, mut rng) = (Instant::now(), StdRng::seed_from_u64(daemons as u64));
        let mut fleet: Vec<(Servers, ServerKey)> = (0..daemons).map(|_| one_server()).collect();
        for (servers, _) in &mut fleet {
            servers.close_hall("hall", start);
            // Each hears of it at a moment of its own.
            servers.open_hall("hall", start + ms(rng.random_range(0..300)));
        }
        let mut sent: Vec<Instant> = Vec::new();
        for step in 0..300 {
            let now = start + ms(300 + step * 10);
            for (before, (servers, key)) in fleet.iter_mut().enumerate() {
                let server = servers.get(*key).unwrap();
                let share = Rank { before, daemons }.share(server.tag(), WARM_UP, BOUNDS);
                let bears = server.recent_cold_requests(now) < share;
                if server.is_cold(WARM_UP, now) && bears && rng.random_bool(0.3) {
                    servers.note_cold_request(*key, now);
                    sent.push(now);
                }
            }
        }
        let within = |from: Instant, at: Instant| at >= from && at < from + ms(1_000);
        let count = |from: Instant| sent.iter().filter(|at| within(from, **at)).count();
        let most = sent.iter().map(|from| count(*from)).max().unwrap();
        assert!(most <= MOST, "{daemons} daemons sent {most} requests in a second");
        assert!(most >= MOST / 2, "{daemons} daemons sent only {most} requests in a second");
    }
}

/// An answer whose server says that it stays cold for so long.
fn cold_for(time: Duration) -> Remarks {
    Remarks { cold: Some(time), ..Remarks::default() }
}

#[test]
fn a_server_is_cold_for_as_long_as_it_says() {
    let (mut servers, key) = one_server();
    let now = Instant::now();
    assert!(!is_cold(&servers, key, now));
    servers.handle_remarks(key, &cold_for(ms(700)), now, now);
    assert!(is_cold(&servers, key, now + ms(699)));
    assert!(!is_cold(&servers, key, now + ms(701)));
}

#[test]
fn a_server_is_not_cold_for_a_time_that_has_no_end() {
    let (mut servers, key) = one_server();
    let now = Instant::now();
    servers.handle_remarks(key, &cold_for(Duration::MAX), now, now);
    assert!(!is_cold(&servers, key, now + ms(1)));
}

#[test]
fn a_server_that_was_not_reached_may_have_started_again() {
    let (mut servers, key) = one_server();
    let now = Instant::now();
    servers.note_unreachable(key, true, now);
    assert!(is_cold(&servers, key, now + ms(60_000)), "nobody knows when it comes back");
    servers.record_outcome(key, false, now + ms(60_000));
    assert!(is_cold(&servers, key, now + ms(61_000)));
    assert!(!is_cold(&servers, key, now + ms(64_000)), "by then its entry would say so");
}

#[test]
fn servers_of_a_service_that_does_not_warm_up_are_never_cold() {
    let (mut servers, key) = one_server();
    let now = Instant::now();
    servers.note_unreachable(key, true, now);
    servers.handle_remarks(key, &cold_for(ms(700)), now, now);
    assert!(!servers.get(key).unwrap().is_cold(WarmUp::default(), now));
}
