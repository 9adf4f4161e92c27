//! Fair shares of a pool between workspaces: the shares themselves, their reports over daemons, and a pool
//! under load in simulated time.

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/servers.rs"]
mod servers;
#[path = "mirror/stand_ins.rs"]
mod stand_ins;

use fleet::{Fleet, ms};
use hyper::{HeaderMap, Method};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use servers::ENGINE;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tidestair::gateway::admission::{AdmissionClass, Bound, retry_after};
use tidestair::gateway::cold::WarmUp;
use tidestair::gateway::heartbeat::DaemonStats;
use tidestair::gateway::request::{Call, Size};
use tidestair::gateway::servers::Load;
use tidestair::gateway::shares::{Excess, PoolUse, Shares, max_min_level, share_tag};
use tidestair::gateway::table::{RegionList, Route, RouteKind, Service};
use tidestair::gateway::tag::Tag;

const SERVERS: usize = 12;
const MEMORY: u64 = SERVERS as u64 * ENGINE.memory as u64;
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
    let bytes = tidestair::message::encode(&reported).len();
    assert!(bytes <= 2 * 17 * 20, "{bytes} bytes");
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

const WORKSPACES: usize = 24;
const SLO: Duration = Duration::from_millis(1_500);
/// Prompt tokens that a busy engine processes in a millisecond.
const READ_PER_MS: f64 = 6.0;

/// By what it is decided whether a workspace is over its share.
#[derive(Debug, Clone, Copy)]
enum Way {
    Unbounded,
    /// Max-min fair by tokens, as the gateway decides.
    MaxMin,
    /// The same, where the pool's whole memory is divided even if less is held.
    WholeMemory,
    /// What is held is divided evenly.
    EqualSplit,
    /// Max-min fair by the number of requests.
    Requests,
}

/// Demand on a pool: the first workspace's and the others' in parts of an equal share of what engines can
/// process, with the mean sizes of their prompts.
struct Demand {
    large: (f64, u32),
    others: (f64, u32),
}

/// One workspace at ten times its share, so that a quarter too much arrives.
const TEN_TIMES: Demand = Demand { large: (10.0, 2_800), others: (0.85, 2_000) };
/// One workspace at twenty times its share, with large prompts among small ones.
const LARGE_PROMPTS: Demand = Demand { large: (20.0, 8_000), others: (0.5, 1_000) };

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives(AdmissionClass),
    Read(usize),
    Ends(usize),
}

#[derive(Debug, Default)]
struct Outcome {
    /// Requests of the other workspaces, those admitted at once, and those first refused for their share.
    others: u32,
    at_once: u32,
    refused: u32,
    /// Requests of the large workspace that were first refused for its share.
    large_refused: u32,
    /// Tokens of all requests that were admitted.
    tokens: u64,
}

/// Plays half a minute each with three seeds. The pool is in shortage once half of the engines refuse
/// newcomers, until fewer than a quarter have done so for a second.
fn play(way: Way, demand: &Demand) -> Outcome {
    let mut outcome = Outcome::default();
    (1..4).for_each(|seed| play_once(way, demand, seed, &mut outcome));
    outcome
}

fn play_once(way: Way, demand: &Demand, seed: u64, outcome: &mut Outcome) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = BTreeMap::new();
    for workspace in 0..WORKSPACES {
        let (part, mean) = if workspace == 0 { demand.large } else { demand.others };
        let rate = part * READ_PER_MS * SERVERS as f64 / WORKSPACES as f64 / f64::from(mean);
        for now in 0..30_000u64 {
            if rng.random_bool(rate) {
                let prompt = rng.random_range(mean / 2..mean * 3 / 2);
                let arrives = Event::Arrives(AdmissionClass::Newcomer);
                events.insert((now, events.len()), (workspace, prompt, arrives));
            }
        }
    }
    let (mut loads, mut read) = ([Load::default(); SERVERS], [0; SERVERS]);
    let (mut held, mut runs) = ([0u64; WORKSPACES], [0u64; WORKSPACES]);
    let (mut shares, mut in_shortage, mut short) = (Shares::default(), false, 0);
    let mut count = events.len();
    while let Some(((now, _), (workspace, prompt, event))) = events.pop_first() {
        let load = Load { unread_prompt: prompt, ..load(prompt + 40) };
        count += 1;
        match event {
            Event::Arrives(class) => {
                let bound = Bound::of(SLO, &ENGINE, AdmissionClass::Newcomer);
                let full = loads.iter().filter(|load| !bound.admits(**load)).count();
                in_shortage |= full * 2 >= SERVERS;
                short = if full * 4 >= SERVERS { now } else { short };
                in_shortage &= now < short + 1_000;
                let newcomer = class == AdmissionClass::Newcomer;
                let over = newcomer
                    && in_shortage
                    && match way {
                        Way::Unbounded => false,
                        Way::MaxMin => shares.excess(tag(workspace), load, MEMORY).is_some(),
                        Way::WholeMemory => held[workspace] > max_min_level(&held, MEMORY),
                        Way::EqualSplit => held[workspace] > held.iter().sum::<u64>() / 24,
                        Way::Requests => {
                            let all: u64 = runs.iter().sum();
                            let level = max_min_level(&runs, all * 9 / 10);
                            runs[workspace] > level.max(all.div_ceil(WORKSPACES as u64))
                        }
                    };
                let cost = |at: &usize| loads[*at].unread_prompt + loads[*at].tokens / 3;
                let at = (0..SERVERS).min_by_key(cost).unwrap();
                let admitted = !over && Bound::of(SLO, &ENGINE, class).admits(loads[at]);
                match workspace {
                    0 => outcome.large_refused += u32::from(over),
                    _ => {
                        outcome.others += u32::from(newcomer);
                        outcome.at_once += u32::from(newcomer && admitted);
                        outcome.refused += u32::from(over);
                    }
                }
                if admitted {
                    loads[at] += load;
                    shares.add(tag(workspace), load);
                    held[workspace] += u64::from(load.tokens + load.unread_prompt);
                    runs[workspace] += 1;
                    outcome.tokens += u64::from(load.tokens);
                    read[at] = now.max(read[at]) + (f64::from(prompt) / READ_PER_MS) as u64;
                    events.insert((read[at], count), (workspace, prompt, Event::Read(at)));
                } else if newcomer {
                    let wait = retry_after(loads[at].unread_prompt, &mut rng).as_millis() as u64;
                    let again = Event::Arrives(AdmissionClass::Returned);
                    events.insert((now + wait, count), (workspace, prompt, again));
                }
            }
            Event::Read(at) => {
                loads[at].unread_prompt -= prompt;
                shares.note_prompt_read(tag(workspace), prompt);
                held[workspace] -= u64::from(prompt);
                events.insert((now + 300, count), (workspace, prompt, Event::Ends(at)));
            }
            Event::Ends(at) => {
                let load = Load { unread_prompt: 0, ..load };
                loads[at] -= load;
                shares.remove(tag(workspace), load);
                held[workspace] -= u64::from(load.tokens);
                runs[workspace] -= 1;
            }
        }
    }
}

/// Guards against one workspace at ten times its share that keeps the others out, and against a pool that
/// processes less for it.
#[test]
fn others_find_room_beside_a_workspace_at_ten_times_its_share() {
    for demand in [TEN_TIMES, LARGE_PROMPTS] {
        let (without, with) = (play(Way::Unbounded, &demand), play(Way::MaxMin, &demand));
        assert!(f64::from(with.at_once) > 1.1 * f64::from(without.at_once), "{without:?} {with:?}");
        assert!(with.tokens as f64 > 0.98 * without.tokens as f64, "{without:?} {with:?}");
        assert!(with.large_refused > 50 * with.refused, "{with:?}");
    }
}

/// Guards against measures of a share that refuse workspaces below it or never apply: an equal split refuses
/// many others, a number of requests takes those with small prompts for large, and whole memory is never
/// filled where prompt processing is short.
#[test]
fn other_measures_refuse_the_wrong_workspaces_or_none() {
    let (split, fair) = (play(Way::EqualSplit, &TEN_TIMES), play(Way::MaxMin, &TEN_TIMES));
    assert!(split.refused > 10 * fair.refused.max(1), "{split:?} {fair:?}");
    let (runs, fair) = (play(Way::Requests, &LARGE_PROMPTS), play(Way::MaxMin, &LARGE_PROMPTS));
    assert!(runs.refused > 4 * fair.refused.max(1), "{runs:?} {fair:?}");
    assert_eq!(play(Way::WholeMemory, &TEN_TIMES).large_refused, 0);
}

/// Guards against use that is not counted, or that outlasts its request.
#[test]
fn a_request_counts_for_its_workspace_from_its_admission_to_its_end() {
    let (now, gateway) = (Instant::now(), stand_ins::node(Instant::now()).gateway);
    servers::add_server(&mut gateway.servers(), 1, "hall", Load::default());
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: RouteKind::Streaming,
        resumable: false,
        timeout: SLO,
        latency_slo: SLO,
        gap_slo: None,
        priority: 0,
        max_attempts: 1,
        anonymous: true,
        targets: Vec::new(),
        allowed_regions: RegionList::default(),
    };
    let call = Call {
        id: "call".into(),
        method: Method::POST,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Default::default(),
        body_permit: None,
        route: Arc::new(route),
        credential: None,
        arrived: now,
        deadline: now + SLO,
        caller_time: Duration::from_secs(60),
        size: Size { prompt_tokens: 100, max_tokens: 20, expected_tokens: None },
        after: None,
        forwarded: false,
        parts: Vec::new(),
        resumes: None,
        begun_by: OnceLock::new(),
        cached_fingerprint: OnceLock::new(),
    };
    let engines = Service {
        name: "model".into(),
        connections: 1,
        health_path: None,
        warm_up: WarmUp::default(),
        engine: Some(ENGINE),
    };
    let loads = || gateway.shares().own_loads();
    let slot = |service| gateway.slot(service, &call, AdmissionClass::Newcomer, &[], now);
    let mut begun = slot(&engines).expect("the server is idle");
    let used = |tokens, unread_prompt| {
        vec![(share_tag("model", None), Load { tokens, unread_prompt, ..Load::default() })]
    };
    assert_eq!(loads(), used(120, 100));
    begun.record_prompt_read();
    assert_eq!(loads(), used(120, 0));
    drop(begun);
    let plain = slot(&Service { engine: None, ..engines.clone() }).expect("the server is idle");
    assert_eq!(loads(), [], "a service without engines reports no use");
    drop(plain);
}
