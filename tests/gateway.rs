//! The gateway's parts by themselves: freshness, the mirror of the store, budgets, events, placing.

use bytes::Bytes;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::{BudgetBounds, Others, RetryKind, SharedRetryBudget, Spent};
use tidestair::gateway::events::Splitter;
use tidestair::gateway::in_force::{DeclaredConfig, InForce};
use tidestair::gateway::servers::{Load, Observations, PeerStats, ServerRecord, Servers};
use tidestair::gateway::table::{
    Limits, RegionList, Route, RouteKind, Service, Table, Target, Workspace,
};
use tidestair::gateway::tag::Tag;
use tidestair::platform::Position;

const LIMITS: Limits = Limits {
    header_bytes: 1_000,
    body_bytes: 1_000,
    header_timeout: Duration::from_secs(1),
    idle_timeout: Duration::from_secs(1),
};

/// A position of a store that never went back.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn declared(revision: u64) -> DeclaredConfig {
    version_at(revision, at(revision))
}

fn version_at(version: u64, position: Position) -> DeclaredConfig {
    let table = Table::new(version, LIMITS, Vec::new(), Vec::new(), Vec::new());
    DeclaredConfig { position, table: Arc::new(table) }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_configuration_is_never_replaced_by_an_older_one() {
    let (in_force, now) = (InForce::default(), Instant::now());
    assert!(in_force.set_if_newer(declared(5), now));
    assert!(!in_force.set_if_newer(declared(5), now));
    assert!(!in_force.set_if_newer(declared(4), now + ms(1)));
    assert_eq!(in_force.position(), at(5));
    assert!(in_force.set_if_newer(declared(6), now));
}

/// Guards against a version that comes back with a store that lost the ones after it.
#[test]
fn a_store_that_goes_back_does_not_bring_an_older_version_back() {
    let (in_force, now) = (InForce::default(), Instant::now());
    assert!(in_force.set_if_newer(version_at(25, Position::new(0, 40)), now));
    assert!(
        !in_force.set_if_newer(version_at(22, Position::new(1, 30)), now),
        "older, from the copy"
    );
    assert!(
        !in_force.set_if_newer(version_at(24, Position::new(1, 41)), now),
        "written again in order"
    );
    assert!(in_force.set_if_newer(version_at(25, Position::new(1, 42)), now), "written again");
    assert!(!in_force.set_if_newer(version_at(25, Position::new(0, 90)), now), "of an earlier era");
    assert!(in_force.set_if_newer(version_at(27, Position::new(1, 43)), now));
    assert!(in_force.set_if_newer(version_at(30, Position::new(0, 90)), now), "kept by a peer");
    assert!(!in_force.set_if_newer(version_at(29, Position::new(1, 44)), now));
    assert_eq!(in_force.position(), Position::new(0, 90));
}

#[test]
fn only_the_version_in_force_is_confirmed() {
    let (in_force, start) = (InForce::default(), Instant::now());
    assert_eq!(in_force.age(start), None);
    in_force.confirm(at(0), start);
    assert_eq!(in_force.age(start), None, "nothing is in force");
    in_force.set_if_newer(declared(5), start);
    in_force.confirm(at(4), start + ms(500));
    assert_eq!(in_force.age(start + ms(700)), Some(ms(700)));
    in_force.confirm(at(5), start + ms(500));
    assert_eq!(in_force.age(start + ms(700)), Some(ms(200)));
    in_force.confirm(at(5), start + ms(100));
    assert_eq!(in_force.age(start + ms(700)), Some(ms(200)), "a later confirmation counts");
}

fn route(name: &str, host: &str, prefix: &str, weights: &[u32]) -> Route {
    let target =
        |(i, weight): (usize, &u32)| Target { service: format!("s{i}").into(), weight: *weight };
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        resumable: false,
        timeout: ms(1_000),
        latency_slo: ms(100),
        gap_slo: None,
        priority: 1,
        max_attempts: 2,
        anonymous: true,
        targets: weights.iter().enumerate().map(target).collect(),
        allowed_regions: RegionList::default(),
    }
}

#[test]
fn routes_are_found_by_host_and_longest_prefix() {
    let routes = vec![
        route("short", "a.example", "/x/", &[1]),
        route("long", "a.example", "/x/y/", &[1]),
        route("other", "b.example", "/x/y/", &[1]),
    ];
    let (priority, keys, homes) = (None, vec!["k".into()], RegionList::default());
    let workspace = Workspace { name: "w".into(), priority, keys, allowed_regions: homes };
    let table = Table::new(1, LIMITS, routes, Vec::<Service>::new(), vec![workspace]);
    let found = |host, path| table.route(host, path).map(|r| r.name.clone());
    assert_eq!(found("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(found("A.Example:8080", "/x/z").as_deref(), Some("short"));
    assert_eq!(found("b.example", "/x/y/").as_deref(), Some("other"));
    assert_eq!(found("b.example", "/x/"), None);
    assert_eq!(found("c.example", "/x/y/"), None);
    assert_eq!(table.workspace("k").map(|w| &*w.name), Some("w"));
    assert!(table.workspace("").is_none());
}

#[test]
fn a_split_follows_its_weights() {
    let mut rng = rand::rng();
    let only_second = route("r", "h", "/", &[0, 3]);
    for _ in 0..50 {
        assert_eq!(only_second.draw(&mut rng).map(|s| &**s), Some("s1"));
    }
    let both = route("r", "h", "/", &[1, 1]);
    let drawn: Vec<bool> = (0..200).map(|_| &**both.draw(&mut rng).unwrap() == "s0").collect();
    assert!(drawn.contains(&true) && drawn.contains(&false));
}

const BOUNDS: BudgetBounds =
    BudgetBounds { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) };

fn spend(budget: &mut SharedRetryBudget, service: &Arc<str>, kind: RetryKind, now: Instant) -> u32 {
    (0..1_000).take_while(|_| budget.spend(service, kind, now)).count() as u32
}

#[test]
fn repeats_are_bounded_by_requests_and_slack_and_come_back_with_the_window() {
    let (now, service) = (Instant::now(), Arc::<str>::from("app"));
    let mut budget = SharedRetryBudget::new(BOUNDS, now);
    for _ in 0..100 {
        budget.record_request(&service, now);
    }
    let first = spend(&mut budget, &service, RetryKind::Retry, now);
    assert!(first > 0 && f64::from(first) < 0.2 * 100.0 + 50.0);
    assert!(
        spend(&mut budget, &service, RetryKind::Continuation, now) > 0,
        "kept for running requests"
    );
    assert_eq!(spend(&mut budget, &service, RetryKind::Retry, now + ms(9_000)), 0);
    assert!(spend(&mut budget, &service, RetryKind::Retry, now + ms(11_000)) > 0);
    assert!(
        spend(&mut budget, &Arc::from("other"), RetryKind::Retry, now) > 0,
        "each service by itself"
    );
}

/// Daemons that spend what they may without hearing of each other's last spending.
fn spent_by_all(daemons: usize, heard: usize) -> u32 {
    let (now, service) = (Instant::now(), Arc::<str>::from("app"));
    let mut total = 0;
    for _ in 0..daemons {
        let mut budget = SharedRetryBudget::new(BOUNDS, now);
        let others = Others { daemons: daemons - 1, reachable: heard, ..Others::default() };
        budget.set_others(others);
        total += spend(&mut budget, &service, RetryKind::Continuation, now);
    }
    total
}

#[test]
fn daemons_that_lose_each_other_can_not_spend_the_slack_twice() {
    for daemons in [2, 6, 7, 50] {
        assert!(f64::from(spent_by_all(daemons, 0)) <= BOUNDS.slack, "{daemons} daemons");
    }
}

#[test]
fn what_others_have_spent_counts() {
    let (now, service) = (Instant::now(), Arc::<str>::from("app"));
    let mut budget = SharedRetryBudget::new(BOUNDS, now);
    let spent = [(Tag::of("app"), Spent { requests: 0, retries: 34 })];
    let spent = spent.into();
    budget.set_others(Others { daemons: 1, reachable: 1, spent, ..Others::default() });
    let own = spend(&mut budget, &service, RetryKind::Continuation, now);
    assert!(own + 34 <= 50 && own <= 1, "{own}");
}

fn record(id: &str, leaving: bool) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        started_ms: None,
        service: "app".into(),
        version: "v1".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        hall: "hall".into(),
        slots: 6,
        leaving,
        cold: Duration::ZERO,
    }
}

#[test]
fn leaving_is_never_taken_back_and_is_told_at_once() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    servers.upsert(record("i-1", false), now);
    let key = servers.find("i-1").unwrap();
    let notice = servers.get(key).unwrap().notice();
    assert_eq!(servers.open("app").count(), 1);
    servers.upsert(record("i-1", true), now);
    assert!(*notice.borrow());
    servers.upsert(record("i-1", false), now);
    assert_eq!(servers.open("app").count(), 0);
}

#[test]
fn a_server_that_has_gone_is_kept_while_something_runs_there() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    servers.upsert(record("i-1", false), now);
    let key = servers.find("i-1").unwrap();
    let load =
        Load { runs: 1, tokens: 10, unread_prompt: 5, non_repeatable: 10, incoming_copies: 0 };
    servers.add_load(key, load);
    servers.remove("i-1", now);
    assert_eq!(servers.open("app").count(), 0);
    assert!(servers.get(key).is_some());
    assert_eq!(servers.own_loads(), [(Tag::of("i-1"), load)]);
    servers.remove_load(key, load);
    assert!(servers.get(key).is_none());
}

#[test]
fn failures_fade() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    servers.upsert(record("i-1", false), now);
    let key = servers.find("i-1").unwrap();
    for _ in 0..20 {
        servers.record_outcome(key, true, now);
    }
    let rate = |at| servers.get(key).unwrap().failure_rate(at);
    assert!(rate(now) > 0.9);
    assert!(rate(now + ms(30_000)) < 0.01);
}

/// A table with one server, `i-1`.
fn one_server(now: Instant) -> Servers {
    let mut servers = Servers::default();
    servers.upsert(record("i-1", false), now);
    servers
}

#[test]
fn a_server_that_is_not_reached_is_passed_over_ever_longer_until_it_answers() {
    let now = Instant::now();
    let mut servers = one_server(now);
    let key = servers.find("i-1").unwrap();
    let passed_over = |servers: &Servers, at| servers.get(key).unwrap().is_skipped(at);
    servers.note_unreachable(key, false, now);
    assert!(passed_over(&servers, now + ms(400)));
    assert!(!passed_over(&servers, now + ms(500)));
    servers.note_unreachable(key, false, now + ms(500));
    assert!(passed_over(&servers, now + ms(1_400)), "twice as long");
    for _ in 0..40 {
        servers.note_unreachable(key, false, now);
    }
    assert!(!passed_over(&servers, now + ms(4_000)), "but never for ever");
    servers.record_outcome(key, false, now);
    assert!(!passed_over(&servers, now));
}

#[test]
fn daemons_pass_over_a_server_that_refused_another_one_no_longer_than_that_one_does() {
    let now = Instant::now();
    let (mut told, mut hears) = (one_server(now), one_server(now));
    let key = told.find("i-1").unwrap();
    told.note_unreachable(key, false, now);
    assert_eq!(
        told.observations(now),
        Observations::default(),
        "a silent server may be cut off from one daemon only"
    );
    told.note_unreachable(key, true, now);
    let signs = told.observations(now + ms(300));
    hears.merge_observations(&signs, None, now + ms(300));
    let key = hears.find("i-1").unwrap();
    assert!(!hears.get(key).unwrap().is_skipped(now + ms(300)), "it can't be dated");
    // On its way for a while: what passes is counted from its sending.
    hears.merge_observations(&signs, Some(now + ms(300)), now + ms(350));
    assert!(hears.get(key).unwrap().is_skipped(now + ms(900)));
    assert!(!hears.get(key).unwrap().is_skipped(now + ms(1_000)));
}

#[test]
fn that_a_server_refuses_goes_round_through_relays_and_no_longer_than_it_was_first_told() {
    let now = Instant::now();
    let mut fleet: Vec<Servers> = (0..5).map(|_| one_server(now)).collect();
    let key = |servers: &Servers| servers.find("i-1").unwrap();
    let first = key(&fleet[0]);
    fleet[0].note_unreachable(first, true, now);
    let told = fleet[0].observations(now).refusing[0].1;
    // Each heartbeat is on its way for 20 ms, which its receiver may not know.
    for round in 0..40u32 {
        let (from, to) = (round as usize % 5, (round as usize + 1) % 5);
        let sent = now + ms(20) * round;
        let signs = fleet[from].observations(sent);
        fleet[to].merge_observations(&signs, Some(sent), sent + ms(20));
    }
    let until = now + ms(u64::from(told));
    for servers in &fleet {
        let server = servers.get(key(servers)).unwrap();
        assert!(server.is_skipped(until - ms(5)));
        assert!(!server.is_skipped(until));
    }
}

/// What a daemon hears of the outcomes of one other daemon.
fn heard(from: &Servers, now: Instant) -> PeerStats {
    PeerStats { outcomes: from.own_outcomes(now).into_iter().collect(), ..PeerStats::default() }
}

#[test]
fn a_server_that_failed_another_daemon_is_not_trusted_here_either() {
    let now = Instant::now();
    let (mut told, mut hears) = (one_server(now), one_server(now));
    let key = |servers: &Servers| servers.find("i-1").unwrap();
    told.record_outcome(key(&told), true, now);
    hears.set_peer_stats(&heard(&told, now));
    let rate = |servers: &Servers| servers.get(key(servers)).unwrap().failure_rate(now);
    assert!(rate(&hears) >= 0.5, "{}", rate(&hears));
    assert!(
        hears.own_outcomes(now).iter().any(|(tag, own)| *tag == Tag::of("i-1") && own.tried == 0.0)
    );
    hears.set_peer_stats(&PeerStats::default());
    assert_eq!(rate(&hears), 0.0, "the daemon is no longer heard");
}

#[test]
fn one_daemons_failure_weighs_little_against_what_the_others_see() {
    let now = Instant::now();
    let (mut cut_off, mut sees) = (one_server(now), one_server(now));
    let key = sees.find("i-1").unwrap();
    (0..19).for_each(|_| sees.record_outcome(key, false, now));
    assert_eq!(sees.own_outcomes(now), [], "where nothing fails, nothing is told");
    cut_off.record_outcome(cut_off.find("i-1").unwrap(), true, now);
    sees.set_peer_stats(&heard(&cut_off, now));
    let rate = sees.get(key).unwrap().failure_rate(now);
    assert!(rate < 0.06, "{rate}");
    cut_off.set_peer_stats(&heard(&sees, now));
    let rate = cut_off.get(cut_off.find("i-1").unwrap()).unwrap().failure_rate(now);
    assert!(rate < 0.06, "the sound exchanges are told once a failure was: {rate}");
}

#[test]
fn a_leaving_that_the_store_does_not_tell_is_told_to_peers() {
    let now = Instant::now();
    let (mut told, mut hears) = (one_server(now), one_server(now));
    told.mark_leaving(told.find("i-1").unwrap(), now);
    assert_eq!(told.observations(now).leaving, [Tag::of("i-1")]);
    hears.merge_observations(&told.observations(now), Some(now), now);
    assert_eq!(hears.open("app").count(), 0);
    assert_eq!(
        hears.observations(now).leaving,
        [Tag::of("i-1")],
        "it reaches other cells through their relays"
    );
    told.upsert(record("i-1", true), now);
    assert_eq!(told.observations(now), Observations::default(), "the store tells it by now");
}

proptest! {
    #[test]
    fn events_come_out_whole_however_the_stream_is_cut(
        texts in prop::collection::vec("[a-z:\\n ]{0,12}", 0..8),
        cuts in prop::collection::vec(1usize..9, 1..40),
        ends in prop::sample::select(vec!["\n\n", "\r\n\r\n"]),
    ) {
        let lines = |t: &String| t.split('\n').filter(|l| !l.is_empty()).collect::<Vec<_>>().join("\n");
        let texts: Vec<String> = texts.iter().map(lines).collect();
        let events: Vec<String> =
            texts.iter().enumerate().map(|(i, t)| format!("id: {i}\ndata: {t}{ends}")).collect();
        let whole = events.concat();
        let (mut splitter, mut got, mut at) = (Splitter::default(), Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            if at >= whole.len() {
                break;
            }
            let end = (at + cut).min(whole.len());
            splitter.push(&whole.as_bytes()[at..end]).unwrap();
            at = end;
            while let Some(event) = splitter.take() {
                got.push((event.id, event.bytes));
            }
        }
        prop_assert!(!splitter.has_partial_event());
        // A later line of the text may be an id itself, and one without a number.
        let names_itself = |t: &String| t.split('\n').skip(1).any(|line| line.starts_with("id:"));
        let id = |i: usize| (!names_itself(&texts[i])).then_some(i as u64);
        let expected: Vec<_> =
            events.iter().enumerate().map(|(i, e)| (id(i), Bytes::from(e.clone()))).collect();
        prop_assert_eq!(got, expected);
    }

    #[test]
    fn any_bytes_split_without_a_panic_and_nothing_is_lost(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = Splitter::default();
        splitter.push(&bytes).unwrap();
        let mut taken = 0;
        while let Some(event) = splitter.take() {
            taken += event.bytes.len();
        }
        prop_assert!(taken <= bytes.len());
        prop_assert_eq!(splitter.has_partial_event(), taken < bytes.len());
    }
}

#[test]
fn an_event_without_end_is_not_kept_for_ever() {
    let mut splitter = Splitter::default();
    let part = vec![b'x'; 100_000];
    let pushed = (0..20).take_while(|_| splitter.push(&part).is_ok()).count();
    assert!(pushed < 20);
}
