//! The ledger of losses, from lines as daemons write them.

use std::collections::BTreeMap;
use tidestair::losses::{Cause, Ledger, ledger};

/// A line at some moment, with a daemon's further fields.
fn line(at: u64, vm: &str, what: &str, fields: &str) -> String {
    format!(
        "  1.2 {vm} {{\"unix_ms\":{at},\"vm\":\"{vm}\",\"what\":\"{what}\",\"level\":\"info\"{fields}}}"
    )
}

fn begun(at: u64, vm: &str, id: &str) -> String {
    line(at, vm, "stream begun", &format!(",\"id\":\"{id}\",\"route\":\"recap\",\"tokens\":3000"))
}

fn cut(at: u64, id: &str, leaving: bool) -> String {
    line(
        at,
        "vm-1",
        "stream cut",
        &format!(",\"id\":\"{id}\",\"last\":7,\"leaving\":{leaving},\"why\":\"reset\""),
    )
}

fn of_run(at: u64, what: &str, id: &str, fields: &str) -> String {
    line(at, "vm-1", what, &format!(",\"id\":\"{id}\"{fields}"))
}

fn read(lines: &[String]) -> Ledger {
    ledger(lines.iter().map(String::as_str))
}

fn causes(ledger: &Ledger) -> Vec<(&str, &Cause)> {
    ledger.losses.iter().map(|loss| (loss.id.as_str(), &loss.cause)).collect()
}

#[test]
fn a_cut_stream_is_put_down_to_how_far_its_move_had_come() {
    let copy = |at, id, outcome: &str| {
        of_run(at, "copy of a run", id, &format!(",\"last\":false,\"outcome\":\"{outcome}\""))
    };
    let mut lines: Vec<String> =
        ["a", "b", "c", "d", "e"].iter().map(|id| begun(1, "vm-1", id)).collect();
    lines.extend([
        copy(2, "b", "made"),
        copy(2, "c", "NoRoom(None)"),
        of_run(2, "run not moved", "d", ",\"why\":\"no_repeat_left\""),
    ]);
    lines.extend(["a", "b", "c", "d"].iter().zip(3..).map(|(id, at)| cut(at, id, true)));
    lines.push(cut(9, "e", false));
    let expected = [
        ("a", &Cause::MoveNotBegun),
        ("b", &Cause::MoveUnfinished),
        ("c", &Cause::NoRoom),
        ("d", &Cause::NoRepeat),
        ("e", &Cause::NoNotice),
    ];
    assert_eq!(causes(&read(&lines)), expected);
}

#[test]
fn a_move_that_came_to_an_end_does_not_explain_a_later_cut() {
    let lines = [
        begun(1, "vm-1", "a"),
        of_run(2, "copy of a run", "a", ",\"outcome\":\"made\""),
        of_run(3, "run moved", "a", ",\"from\":\"i-1\",\"to\":\"i-2\""),
        cut(4, "a", true),
    ];
    assert_eq!(causes(&read(&lines)), [("a", &Cause::MoveNotBegun)]);
}

#[test]
fn a_daemon_that_starts_anew_has_lost_what_it_passed_on_and_nothing_else() {
    let lines = [
        begun(1, "vm-1", "lost"),
        begun(1, "vm-1", "ended"),
        begun(1, "vm-2", "elsewhere"),
        of_run(2, "stream complete", "ended", ",\"last\":9"),
        line(5, "vm-1", "starting", ""),
    ];
    let ledger = read(&lines);
    assert_eq!(causes(&ledger), [("lost", &Cause::DaemonGone)]);
    assert_eq!((ledger.begun, ledger.complete), (3, 1));
}

#[test]
fn lines_are_taken_by_their_time_and_what_is_no_record_is_counted() {
    let lines = [
        cut(8, "a", false),
        "a table of the bench".into(),
        of_run(3, "ended without success", "b", ",\"route\":\"tags\",\"why\":\"no_server\""),
        begun(1, "vm-1", "a"),
        "{\"what\":\"half a line".into(),
    ];
    let ledger = read(&lines);
    assert_eq!(
        causes(&ledger),
        [("b", &Cause::Ended("no_server".into())), ("a", &Cause::NoNotice)]
    );
    assert_eq!(ledger.skipped, 2);
}

#[test]
fn rows_share_the_lost_weight() {
    let lines = [
        begun(1_000, "vm-1", "a"),
        cut(2_000, "a", false),
        of_run(2_500, "ended without success", "b", ",\"route\":\"tags\",\"why\":\"no_server\""),
        of_run(4_000, "ended without success", "c", ",\"route\":\"tags\",\"why\":\"no_server\""),
    ];
    let rows = read(&lines).rows(&BTreeMap::from([("recap".to_string(), 8.0)]));
    let told: Vec<_> = rows.iter().map(|r| (r.route.as_str(), r.count, r.share, r.span)).collect();
    assert_eq!(told, [("recap", 1, 0.8, (0.0, 0.0)), ("tags", 2, 0.2, (0.5, 2.0))]);
    assert!(read(&[]).rows(&BTreeMap::new()).is_empty());
}

#[test]
fn a_request_whose_attempts_lose_three_servers_is_told() {
    let lost = |at, vm: &str, id: &str, request: &str, server: &str, why: &str| {
        let fields = format!(
            ",\"id\":\"{id}\",\"request\":\"{request}\",\"server\":\"{server}\",\"why\":\"{why}\""
        );
        line(at, vm, "failed at a server", &fields)
    };
    let lines = [
        lost(1, "vm-1", "a", "f1", "i-1", "no_event"),
        lost(2, "vm-1", "a", "f1", "i-2", "no_answer"),
        lost(3, "vm-2", "b", "f1", "i-3", "no_event"),
        // The same server twice, a server's own 500, and a request that met two servers' ends.
        lost(4, "vm-2", "c", "f2", "i-3", "no_answer"),
        lost(5, "vm-1", "d", "f2", "i-3", "no_answer"),
        lost(6, "vm-1", "e", "f2", "i-4", "server_error"),
        lost(7, "vm-1", "e", "f2", "i-5", "no_answer"),
    ];
    let told = read(&lines).suspects;
    let told = told.iter().map(|s| (s.request.as_str(), s.servers.len(), s.attempts.len(), s.last));
    assert_eq!(told.collect::<Vec<_>>(), [("f1", 3, 2, 3)]);
}

/// Guards against a loss under the reason for which the chosen server refused, where the request's final
/// refusal had another one, and against two losses of one attempt.
#[test]
fn refusals_during_a_shortage_are_named_by_their_final_reason() {
    let reasons = ["crowded", "yields", "over_share", "promised", "no_room_in_time", "hopeless"];
    let mut lines = Vec::new();
    for (id, at) in reasons.iter().zip(1..) {
        let first = if *id == "no_room_in_time" { "crowded" } else { id };
        let refused = |why: &str| format!(",\"route\":\"tags\",\"why\":\"{why}\"");
        if *id != "hopeless" {
            lines.push(of_run(at, "not admitted", id, &refused(first)));
        }
        lines.push(of_run(at, "ended without success", id, &refused(id)));
    }
    let expected = reasons.map(|reason| (reason, Cause::Ended(reason.into())));
    let ledger = read(&lines);
    assert_eq!(causes(&ledger), expected.each_ref().map(|(id, cause)| (*id, cause)));
    let rows = ledger.rows(&BTreeMap::new());
    let mut told: Vec<_> = rows.iter().map(|row| (row.cause.as_str(), row.count)).collect();
    let mut counted = reasons.map(|reason| (reason, 1));
    told.sort_unstable();
    counted.sort_unstable();
    assert_eq!(told, counted);
}
