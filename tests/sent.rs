//! What daemons sent to servers in need, from lines as they write them.

use tidestair::limits::{Limits, limits};

const WINDOW: u64 = 4_000;

/// A line of a daemon whose clock began at `start` by the time of day, and which has been up for so long.
fn sent(vm: &str, start: u64, up: u64, rate: f64) -> String {
    let unix = start + up;
    format!(
        "{vm} {{\"unix_ms\":{unix},\"up_ms\":{up},\"vm\":\"{vm}\",\"what\":\"sent to a server in need\",\"server\":\"i-1\",\"per_second\":{rate}}}"
    )
}

fn read(lines: &[String]) -> Limits {
    limits(lines.iter().map(String::as_str), WINDOW)
}

#[test]
fn the_most_within_a_window_is_counted_over_all_daemons() {
    let lines = [
        sent("vm-1", 1_000, 0, 0.5),
        sent("vm-1", 1_000, 3_900, 0.5),
        sent("vm-1", 1_000, 4_000, 0.5),
        sent("vm-2", 500, 600, 0.5),
        sent("vm-2", 500, 9_500, 0.5),
        "no record".into(),
    ];
    let limits = read(&lines);
    assert_eq!(limits.skipped, 1);
    let row = &limits.rows[0];
    assert_eq!((row.server.as_str(), row.daemons, row.sent, row.most), ("i-1", 2, 5, 3));
    assert_eq!((row.lasted, row.least, row.part), (9_000, 0.5, 1.5));
}

#[test]
fn each_window_is_held_against_the_limit_at_its_beginning() {
    let fast = (0..10).map(|n| sent("vm-1", 0, 100 * n, 10.0));
    let slow = (0..4).map(|n| sent("vm-1", 0, 60_000 + 100 * n, 0.25));
    let row = &read(&fast.chain(slow).collect::<Vec<_>>()).rows[0];
    assert_eq!((row.most, row.least, row.part), (10, 0.25, 4.0));
}

/// The time of day jumps on a daemon and comes back; its own clock goes on.
#[test]
fn a_jump_of_the_time_of_day_moves_nothing() {
    let mut lines: Vec<String> = (0..5).map(|n| sent("vm-1", 0, 5_000 * n, 1.0)).collect();
    lines.insert(2, sent("vm-1", 7_000, 5_000, 1.0));
    let row = &read(&lines).rows[0];
    assert_eq!((row.sent, row.most), (6, 2));
}
