//! Which requests are admitted while engines are short of capacity.

use std::time::{Duration, Instant};
use tidestair::gateway::admission::{AdmissionClass, Bound};
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::Engine;
use tidestair::gateway::urgency::{PoolSample, ShortageMonitor, Transition, check};

const ENGINE: Engine = Engine {
    slots: 24,
    memory: 26_964,
    token_bytes: 131_072,
    link_mbps: 19_000.0,
    event_tokens: 4,
    supports_moves: true,
    supports_backups: true,
};
/// The strictest SLO of both routes.
const SLO: Duration = Duration::from_millis(1_500);

fn pool(open: usize, refusing: usize) -> PoolSample {
    let full = Load { runs: 3, unread_prompt: 9_000, ..Load::default() };
    let loads = (0..open).map(|i| if i < refusing { full } else { Load::default() });
    PoolSample::of(loads, Bound::newcomer(SLO, &ENGINE))
}

/// Fails if a shortage begins too late, or ends and begins again at each small change of the load.
#[test]
fn a_shortage_begins_at_once_and_ends_after_a_calm_second() {
    let (start, mut monitor) = (Instant::now(), ShortageMonitor::default());
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert_eq!(monitor.update(pool(28, 13), at(0)), None);
    let begun = monitor.update(pool(28, 14), at(100));
    assert!(matches!(begun, Some(Transition::Began(shortage)) if shortage.since == at(100)));
    for (refusing, ms) in [(10, 200), (6, 300), (6, 1_200), (7, 1_250), (6, 1_300), (0, 2_299)] {
        assert_eq!(monitor.update(pool(28, refusing), at(ms)), None, "{ms}");
        assert!(monitor.current().is_some());
    }
    let ended = monitor.update(pool(28, 6), at(2_300));
    assert!(matches!(ended, Some(Transition::Ended(shortage)) if shortage.since == at(100)));
    assert_eq!(monitor.current(), None);
    assert_eq!(monitor.update(pool(28, 13), at(2_400)), None);
}

/// Fails if a pool without engines, such as one whose halls are all closed, ends or begins a shortage.
#[test]
fn a_pool_without_open_engines_keeps_its_state() {
    let (start, mut monitor) = (Instant::now(), ShortageMonitor::default());
    assert_eq!(monitor.update(pool(0, 0), start), None);
    assert!(monitor.update(pool(2, 1), start).is_some());
    assert_eq!(monitor.update(pool(0, 0), start + Duration::from_secs(9)), None);
    assert!(monitor.current().is_some());
}

/// Loads of a server, from idle to beyond every bound.
fn loads() -> impl Iterator<Item = Load> {
    let unread = (0..6_000).step_by(250);
    unread.flat_map(|unread_prompt| {
        let tokens = (0..=ENGINE.memory + 2_000).step_by(1_000);
        tokens.map(move |tokens| Load { runs: 2, tokens, unread_prompt, ..Load::default() })
    })
}

/// Fails if a server that refuses a more urgent request admits a less urgent one.
#[test]
fn no_less_urgent_request_is_admitted_where_a_more_urgent_one_is_refused() {
    use AdmissionClass::{Newcomer, Returned};
    for (urgent, other) in
        [(Newcomer, Newcomer), (Newcomer, Returned), (Returned, Newcomer), (Returned, Returned)]
    {
        let ordinary = |class| Bound::of(SLO, &ENGINE, class);
        for load in loads() {
            let less_urgent = Bound::deferred(SLO, &ENGINE, other);
            let admitted = check(load, ordinary(other), Some(less_urgent)).is_ok();
            let urgent_admitted = check(load, ordinary(urgent), None).is_ok();
            assert!(urgent_admitted || !admitted, "{urgent:?} {other:?} {load:?}");
        }
    }
}

/// Fails if less urgent requests leave no headroom, or if a refusal states the wrong reason.
#[test]
fn less_urgent_newcomers_leave_headroom_in_memory_and_in_unread_prompts() {
    let bound = Bound::newcomer(SLO, &ENGINE);
    let less_urgent = Bound::deferred(SLO, &ENGINE, AdmissionClass::Newcomer);
    let decide = |tokens, unread_prompt| {
        let load = Load { runs: 2, tokens, unread_prompt, ..Load::default() };
        (check(load, bound, None), check(load, bound, Some(less_urgent)))
    };
    assert_eq!(decide(9_000, 1_000), (Ok(()), Ok(())));
    assert_eq!(decide(9_000, 2_700), (Ok(()), Err("yields")));
    assert_eq!(decide(21_000, 1_000), (Ok(()), Err("yields")));
    assert_eq!(decide(9_000, 3_100), (Err("crowded"), Err("crowded")));
    let idle = Load::default();
    assert!(check(idle, bound, Some(less_urgent)).is_ok(), "an idle engine takes every request");
}

/// Fails if a run that has begun cannot continue at a crowded server.
#[test]
fn a_run_that_has_begun_yields_to_none() {
    let bound = Bound::deferred(SLO, &ENGINE, AdmissionClass::Begun);
    assert!(loads().all(|load| check(load, Bound::NONE, Some(bound)).is_ok()));
}
