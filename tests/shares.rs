//! Fair shares of a pool between workspaces: the shares themselves, and their reports over daemons.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, ms};
use proptest::prelude::*;
use std::collections::HashMap;
use tidestair::gateway::heartbeat::DaemonStats;
use tidestair::gateway::servers::Load;
use tidestair::gateway::shares::{Excess, PoolUse, Shares, max_min_level, share_tag};
use tidestair::gateway::tag::Tag;

const MEMORY: u64 = 12 * 26_964;
const NEW: Load = load(10);

const fn load(tokens: u32) -> Load {
    Load { runs: 1, tokens, unread_prompt: 0, non_repeatable: 0, incoming_copies: 0 }
}

fn tag(workspace: usize) -> Tag {
    share_tag("engines", Some(&format!("workspace-{workspace}")))
}

fn total(uses: &[u64], level: u64) -> u64 {
    uses.iter().map(|held| (*held).min(level)).sum()
}

proptest! {
    /// Guards against refusing a workspace below its share, and against capacity that nobody may use: the
    /// uses, capped at the level, fill the capacity, and a level lower by one does not.
    #[test]
    fn the_level_is_the_lowest_at_which_uses_fill_the_capacity(
        uses in prop::collection::vec(0u64..200_000, 1..40),
        capacity in 0u64..1_000_000,
    ) {
        let level = max_min_level(&uses, capacity);
        match uses.iter().sum::<u64>() <= capacity {
            true => prop_assert_eq!(level, u64::MAX),
            false => {
                prop_assert!(total(&uses, level) >= capacity);
                prop_assert!(level == 0 || total(&uses, level - 1) < capacity);
            }
        }
    }

    /// Guards against a share below the equal split, against shares that leave more than a tenth of what is
    /// held to nobody, and against an order of workspaces that matters.
    #[test]
    fn a_share_is_never_below_the_equal_split_and_does_not_depend_on_order(
        named in prop::collection::vec(1u64..200_000, 2..40),
        others in 0u64..500_000,
        memory in 1u64..1_000_000,
    ) {
        let share = PoolUse { named: named.clone(), others }.share(memory).unwrap();
        let held = named.iter().sum::<u64>() + others;
        prop_assert!(share >= held.min(memory) / (named.len() + 1) as u64);
        prop_assert!(total(&named, share) + others >= held.min(memory) / 10 * 9);
        let reversed = PoolUse { named: named.iter().rev().copied().collect(), others };
        prop_assert_eq!(Some(share), reversed.share(memory));
    }
}

/// Guards against a share for a workspace that competes with nobody, whatever it holds.
#[test]
fn a_workspace_that_is_alone_gets_the_whole_pool() {
    let mut shares = Shares::default();
    shares.add(tag(0), load(u32::MAX));
    assert_eq!(shares.excess(tag(0), NEW, MEMORY), None);
    shares.add(tag(1), load(100));
    assert!(shares.excess(tag(0), NEW, MEMORY).is_some());
    shares.remove(tag(1), load(100));
    assert_eq!(shares.excess(tag(0), NEW, MEMORY), None, "what has ended no longer counts");
}

/// Guards against refusing workspaces that hold equal amounts, or one whose single request is larger than
/// what the others hold.
#[test]
fn neither_equal_workspaces_nor_one_with_a_large_request_are_refused() {
    let mut shares = Shares::default();
    (0..24).for_each(|workspace| shares.add(tag(workspace), load(1_000)));
    assert!((0..24).all(|workspace| shares.excess(tag(workspace), NEW, MEMORY).is_none()));
    shares.add(tag(0), load(2_000));
    assert_eq!(shares.excess(tag(0), load(3_000), MEMORY), None);
    assert!(shares.excess(tag(0), NEW, MEMORY).is_some());
}

/// Guards against reports that grow with the number of workspaces, and against use that they lose.
#[test]
fn a_daemon_reports_sixteen_workspaces_of_each_service_by_name() {
    let mut shares = Shares::default();
    for workspace in 0..5_000u32 {
        let name = format!("workspace-{workspace}");
        for service in ["engines", "others"] {
            shares.add(share_tag(service, Some(&name)), load(10 + workspace));
        }
    }
    let reported = shares.own_loads();
    assert_eq!(reported.len(), 2 * 17);
    let tokens = |(_, load): &(Tag, Load)| u64::from(load.tokens);
    assert_eq!(reported.iter().map(tokens).sum::<u64>(), 2 * (10..5_010).sum::<u64>());
    let named: HashMap<Tag, Load> = reported.into_iter().collect();
    assert!((4_984..5_000).all(|workspace| named.contains_key(&tag(workspace))));
    assert!(!named.contains_key(&tag(4_983)));
}

/// The use that the workspaces of one daemon report.
fn report(uses: &[(usize, u32)]) -> DaemonStats {
    let mut shares = Shares::default();
    uses.iter().for_each(|(workspace, tokens)| shares.add(tag(*workspace), load(*tokens)));
    DaemonStats { loads: shares.own_loads(), ..DaemonStats::default() }
}

/// What a daemon knows of a workspace's use and share by the reports of the others.
fn excess(fleet: &Fleet, node: usize, workspace: usize) -> Option<Excess> {
    let mut shares = Shares::default();
    shares.set_peer_loads(&fleet.nodes[node].view.peer_stats(fleet.now).loads);
    shares.excess(tag(workspace), NEW, MEMORY)
}

/// A fleet in four halls in which each daemon reports 1,000 tokens of a large workspace and 10 of a small one.
/// No server has more than a few requests, so that sums leave servers out.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(4, 15, 1);
    fleet.set_gap(30.0);
    fleet.nodes.iter_mut().for_each(|node| node.own.stats = report(&[(0, 1_000), (1, 10)]));
    fleet.run(ms(6_000));
    fleet
}

/// Guards against use that is lost or counted twice on its way through sums, which leave out servers with few
/// requests.
#[test]
fn each_daemon_hears_the_use_of_all_others() {
    let fleet = fleet();
    for node in 0..60 {
        assert_eq!(excess(&fleet, node, 0).map(|excess| excess.held), Some(59_000));
        assert_eq!(excess(&fleet, node, 1), None);
    }
}

/// Guards against use that outlasts the daemon that reported it.
#[test]
fn the_use_of_a_killed_daemon_expires() {
    let mut fleet = fleet();
    fleet.kill(16);
    fleet.run(ms(6_000));
    for node in [0, 17, 59] {
        assert_eq!(excess(&fleet, node, 0).map(|excess| excess.held), Some(58_000));
    }
}

/// Guards against decisions by reports of daemons that are no longer heard: each half decides by its own.
#[test]
fn halves_that_do_not_hear_each_other_decide_by_their_own_reports() {
    let mut fleet = fleet();
    let hall = |n| format!("hall-{n}");
    for (near, far) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.cut.extend([(hall(near), hall(far)), (hall(far), hall(near))]);
    }
    fleet.run(ms(6_000));
    for node in [0, 20, 40, 59] {
        assert_eq!(excess(&fleet, node, 0).map(|excess| excess.held), Some(29_000));
    }
}

/// Guards against sums of halls that grow with the number of workspaces, and against an overflow of absurd
/// figures.
#[test]
fn sums_are_bounded_in_size_and_saturate() {
    let mut fleet = Fleet::new(4, 15, 1);
    for (i, node) in fleet.nodes.iter_mut().enumerate() {
        let many: Vec<_> = (0..16).map(|n| (100 * i + n + 1, 50)).collect();
        node.own.stats = report(&[&many[..], &[(0, u32::MAX)]].concat());
        let absurd = Load { runs: u32::MAX, ..load(u32::MAX) };
        node.own.stats.loads.push((Tag::of("server"), absurd));
    }
    fleet.run(ms(6_000));
    let heard = fleet.nodes[0].view.peer_stats(fleet.now).loads;
    // The daemons of the own cell and hall report one by one, the three other halls as sums.
    assert!(heard.len() <= 1 + 14 * 17 + 3 * 17, "{}", heard.len());
    assert_eq!(heard[&tag(0)].tokens, u32::MAX);
    let known = excess(&fleet, 0, 0).unwrap();
    assert!(known.share <= MEMORY, "{known:?}");
    assert_eq!(excess(&fleet, 0, 101), None);
}
