//! Which server a request, or a run that has to move, goes to.

#[path = "common/servers.rs"]
mod servers;

use servers::{ENGINE, add_server};
use std::collections::BTreeSet;
use std::time::Instant;
use tidestair::gateway::place::{
    COPY_COST_TOLERANCE, COST_TOLERANCE, Candidate, Headroom, PlacementPolicy, PlacementRequest,
    REMOTE_HALL_COPY_COST, REMOTE_HALL_COST, STALE_REMOTE_HALL_COST,
};
use tidestair::gateway::policies::{NAMES, by_name};
use tidestair::gateway::servers::{Load, Servers};

/// Draws of a choice: enough that each of ten alike servers comes up.
const DRAWS: usize = 500;

/// A run that is to be copied, and a request.
const RUN: Load = Load {
    runs: 1,
    tokens: 4_000,
    unread_prompt: 0,
    non_repeatable: 4_000,
    incoming_copies: 4_000,
};
const REQUEST: Load = Load {
    runs: 1,
    tokens: 3_700,
    unread_prompt: 3_000,
    non_repeatable: 3_700,
    incoming_copies: 0,
};

fn runs(count: u32) -> Load {
    Load { runs: count, tokens: 4_000 * count, non_repeatable: 4_000 * count, ..Load::default() }
}

/// Which servers are chosen for `load`, by their numbers; each with its hall and what it has.
fn chosen(servers: &[(&str, Load)], load: Load, far: f64, alike: f64) -> BTreeSet<usize> {
    chosen_by(&Headroom, servers, load, far, alike)
}

fn chosen_by(
    placing: &dyn PlacementPolicy,
    servers: &[(&str, Load)],
    load: Load,
    far: f64,
    alike: f64,
) -> BTreeSet<usize> {
    let (now, mut known) = (Instant::now(), Servers::default());
    for (i, (hall, load)) in servers.iter().enumerate() {
        add_server(&mut known, i, hall, *load);
    }
    let need = PlacementRequest {
        hall: "here",
        remote_cost: far,
        cost_tolerance: alike,
        unreported_requests: 0.0,
        load,
        engine: Some(&ENGINE),
    };
    let candidates: Vec<Candidate<'_>> = known
        .open("model")
        .map(|(key, server)| Candidate { key, server, load: server.load() })
        .collect();
    let choose = || placing.choose(&candidates, &need, now, &mut rand::rng());
    let ids = (0..DRAWS).filter_map(|_| choose()).map(|key| known.get(key).unwrap());
    ids.map(|server| server.record.id[2..].parse().unwrap()).collect()
}

fn copied_to(servers: &[(&str, Load)]) -> BTreeSet<usize> {
    chosen(servers, RUN, REMOTE_HALL_COPY_COST, COPY_COST_TOLERANCE)
}

#[test]
fn copies_are_spread_though_one_server_is_empty() {
    let servers = [("here", runs(0)), ("here", runs(3)), ("here", runs(4))];
    assert_eq!(copied_to(&servers), BTreeSet::from([0, 1, 2]));
}

#[test]
fn a_copy_avoids_a_link_that_another_one_uses() {
    let busy = Load { incoming_copies: 4_000, ..runs(1) };
    let servers = [("here", busy), ("here", runs(3)), ("here", busy)];
    assert_eq!(copied_to(&servers), BTreeSet::from([1]));
}

#[test]
fn a_copy_stays_in_its_hall_until_the_links_there_are_busy() {
    let servers = [("there", runs(0)), ("here", runs(4))];
    assert_eq!(copied_to(&servers), BTreeSet::from([1]));
    let busy = Load { incoming_copies: 12_000, ..runs(4) };
    assert_eq!(copied_to(&[("there", runs(0)), ("here", busy)]), BTreeSet::from([0]));
}

#[test]
fn a_copy_does_not_go_to_a_full_server() {
    let servers = [("here", runs(8)), ("here", runs(4))];
    assert_eq!(copied_to(&servers), BTreeSet::from([1]));
}

#[test]
fn a_request_goes_to_the_server_with_the_most_room() {
    let servers = [("here", runs(2)), ("there", runs(0)), ("here", runs(3))];
    assert_eq!(chosen(&servers, REQUEST, REMOTE_HALL_COST, COST_TOLERANCE), BTreeSet::from([1]));
}

#[test]
fn a_request_leaves_its_hall_only_for_much_where_loads_there_are_told_late() {
    let far = |here: u32| {
        let servers = [("here", runs(here)), ("there", runs(0))];
        chosen(&servers, REQUEST, STALE_REMOTE_HALL_COST, COST_TOLERANCE) == BTreeSet::from([1])
    };
    assert!(!far(3));
    assert!(far(6));
}

#[test]
fn prompts_that_are_still_to_be_read_weigh() {
    let reading = Load { unread_prompt: 6_000, ..runs(1) };
    let servers = [("here", reading), ("here", runs(3))];
    assert_eq!(chosen(&servers, REQUEST, REMOTE_HALL_COST, COST_TOLERANCE), BTreeSet::from([1]));
}

#[test]
fn each_policy_is_found_by_its_name_and_chooses_by_its_rule() {
    let servers = [("here", runs(0)), ("there", runs(2)), ("here", runs(0)), ("here", runs(9))];
    let by = |name: &str| {
        let placing = by_name(name).expect("a policy of that name");
        assert_eq!(placing.name(), name);
        chosen_by(&*placing, &servers, REQUEST, REMOTE_HALL_COST, COST_TOLERANCE)
    };
    assert_eq!(by("least-load"), BTreeSet::from([0, 2]));
    assert_eq!(by("headroom"), BTreeSet::from([0, 2]));
    assert_eq!(by("round-robin"), BTreeSet::from([0, 1, 2, 3]));
    // Drawn twice, even the fullest one comes up.
    assert_eq!(by("two-choices"), BTreeSet::from([0, 1, 2, 3]));
    assert!(by_name("first").is_none());
    for name in NAMES {
        let placing = by_name(name).expect("a policy of that name");
        assert!(chosen_by(&*placing, &[], REQUEST, REMOTE_HALL_COST, COST_TOLERANCE).is_empty());
    }
}
