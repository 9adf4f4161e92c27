//! Many daemons that choose a server at the same moment, by the same loads.
//!
//! The pattern: the 49 daemons of a hall hear of most of each other's loads 0.07 s late. Some 26 prompts a
//! second come to a hall of 15 servers, each read in 0.4 s; some are sent before the first of them is heard
//! of, and more when many callers come at once. Whoever goes where it seemed least meets all others there.

#[path = "common/servers.rs"]
mod servers;

use rand::SeedableRng;
use rand::rngs::StdRng;
use servers::{ENGINE, add_server};
use std::time::Instant;
use tidestair::gateway::place::{
    COST_TOLERANCE, Candidate, Headroom, PlacementPolicy, PlacementRequest, STALE_REMOTE_HALL_COST,
};
use tidestair::gateway::servers::{Load, Servers};
use tidestair::gateway::table::Engine;

/// An engine with the memory of the users' largest deployment.
const LARGE: Engine = Engine { memory: 33_640, ..ENGINE };
/// Servers of a hall.
const SERVERS: usize = 15;
/// A draft's prompt with its answer.
const REQUEST: Load = Load {
    runs: 1,
    tokens: 3_540,
    unread_prompt: 3_079,
    non_repeatable: 3_540,
    incoming_copies: 0,
};
/// Plays, over which the figures are means.
const PLAYS: usize = 200;
const SEED: u64 = 7;

/// The servers of a hall with two to five runs each, one of them just come and empty.
fn hall() -> Servers {
    let mut servers = Servers::default();
    for i in 0..SERVERS {
        let count = if i == 0 { 0 } else { 2 + (i as u32 % 4) };
        let load = Load { runs: count, tokens: 3_500 * count, ..Load::default() };
        add_server(&mut servers, i, "here", load);
    }
    servers
}

/// The most that come to one server where so many choose blindly, each with the same need.
fn most_at_one(
    servers: &Servers,
    need: &PlacementRequest<'_>,
    choosers: usize,
    now: Instant,
) -> f64 {
    let open = servers.open("model");
    let candidates: Vec<Candidate<'_>> =
        open.map(|(key, server)| Candidate { key, server, load: server.load() }).collect();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut sum = 0;
    for _ in 0..PLAYS {
        let mut came = std::collections::HashMap::new();
        for _ in 0..choosers {
            let key = Headroom.choose(&candidates, need, now, &mut rng).unwrap();
            *came.entry(key).or_insert(0) += 1;
        }
        sum += came.values().copied().max().unwrap_or(0);
    }
    f64::from(sum) / PLAYS as f64
}

fn request(unseen: f64) -> PlacementRequest<'static> {
    let engine = Some(&LARGE);
    PlacementRequest {
        hall: "here",
        remote_cost: STALE_REMOTE_HALL_COST,
        cost_tolerance: COST_TOLERANCE,
        unreported_requests: unseen,
        load: REQUEST,
        engine,
    }
}

#[test]
fn prompts_that_are_sent_before_they_are_heard_of_do_not_meet_at_one_server() {
    let now = Instant::now();
    let servers = hall();
    let blind = 4;
    assert_eq!(most_at_one(&servers, &request(0.0), blind, now), blind as f64);
    let levelled = most_at_one(&servers, &request(blind as f64), blind, now);
    assert!(levelled < 2.2, "{levelled} of {blind}");
}

#[test]
fn a_single_daemon_goes_to_the_least_loaded_server() {
    let now = Instant::now();
    let servers = hall();
    let few = most_at_one(&servers, &request(0.01), 10, now);
    assert_eq!(few, 10.0, "what is unseen is less than what makes no difference");
}

#[test]
fn the_emptiest_server_stays_the_likeliest() {
    let now = Instant::now();
    let servers = hall();
    let need = request(4.0);
    let open = servers.open("model");
    let candidates: Vec<Candidate<'_>> =
        open.map(|(key, server)| Candidate { key, server, load: server.load() }).collect();
    let first = servers.find("i-0").unwrap();
    let draws = 4_000;
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut choose = || Headroom.choose(&candidates, &need, now, &mut rng).unwrap();
    let came = (0..draws).filter(|_| choose() == first).count();
    let share = came as f64 / f64::from(draws);
    assert!(share > 2.0 / SERVERS as f64, "{share}");
}
