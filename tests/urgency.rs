//! Which requests are admitted while engines are short of capacity.

use std::time::{Duration, Instant};
use tidestair::gateway::admission::Bound;
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::Engine;
use tidestair::gateway::urgency::{PoolSample, ShortageMonitor, Transition};

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
