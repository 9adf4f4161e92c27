//! What servers say of themselves is kept for as long as that start of them may serve.

#[path = "common/servers.rs"]
mod servers;

use servers::add_server;
use std::time::{Duration, Instant};
use tidestair::gateway::condition::{BrittleRemark, Remarks};
use tidestair::gateway::limit::LimitRemark;
use tidestair::gateway::servers::{Load, ServerKey, ServerRecord, Servers};

const LEAVES: Remarks = Remarks {
    leaving: true,
    backoff: None,
    limit: LimitRemark::Unknown,
    cold: None,
    brittle: BrittleRemark::Unknown,
};

/// A server on which this daemon has no runs.
fn idle_server(servers: &mut Servers) -> ServerKey {
    add_server(servers, 1, "here", Load::default())
}

/// While the store is away, entries of servers lapse and come back: as ready, where a server could not write since
/// it said that it leaves.
#[test]
fn what_a_server_said_outlasts_its_entry_in_the_store() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    servers.handle_remarks(key, &LEAVES, now, now);
    servers.remove(&record.id, now);
    servers.upsert(record, now + Duration::from_secs(20));
    assert_eq!(servers.open("model").count(), 0, "it leaves as it did before");
    assert_eq!(servers.observations(now).leaving.len(), 1, "and others may have to be told again");
}

/// What an answer said while the entry had lapsed, and what was said of a limit, holds as well.
#[test]
fn what_is_said_while_an_entry_has_lapsed_outlasts_that_too() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let running = Load { runs: 1, ..Load::default() };
    let key = add_server(&mut servers, 1, "here", running);
    let record = servers.get(key).unwrap().record.clone();
    servers.remove(&record.id, now);
    // A request that was under way there.
    servers.handle_remarks(key, &LEAVES, now, now);
    let limited = Remarks { limit: LimitRemark::Rate(2.0), ..Remarks::default() };
    servers.handle_remarks(key, &limited, now, now);
    servers.remove_load(key, running);
    servers.upsert(record, now);
    assert_eq!(servers.open("model").count(), 0);
    assert_eq!(servers.count_limited(), 1);
}

/// Requests that were under way when it was said, and answers that say nothing of it, change nothing.
#[test]
fn that_a_server_leaves_is_never_taken_back() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    assert!(servers.handle_remarks(key, &LEAVES, now, now).leaving);
    assert!(!servers.handle_remarks(key, &LEAVES, now, now).leaving, "it is known");
    let free = Remarks { limit: LimitRemark::Unlimited, ..Remarks::default() };
    servers.handle_remarks(key, &free, now, now + Duration::from_secs(3));
    servers.suspect(key, now);
    servers.clear_suspicion(key, now);
    servers.upsert(record, now + Duration::from_secs(4));
    assert_eq!(servers.open("model").count(), 0);
}

#[test]
fn a_later_start_under_the_same_id_has_said_nothing() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    servers.handle_remarks(key, &LEAVES, now, now);
    servers.upsert(ServerRecord { started_ms: Some(7), ..record }, now);
    assert_eq!(servers.open("model").count(), 1);
    // An answer of the start before, long on its way.
    servers.handle_remarks(key, &LEAVES, now, now + Duration::from_secs(5));
    assert_eq!(servers.open("model").count(), 1);
}

fn rests(seconds: u64) -> Remarks {
    Remarks { backoff: Some(Duration::from_secs(seconds)), ..Remarks::default() }
}

/// Answers pass each other on their way, and a rest is never shortened.
#[test]
fn a_rest_lasts_as_long_as_the_longest_that_was_asked_for() {
    let (mut servers, start) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let at = |seconds| start + Duration::from_secs(seconds);
    assert!(servers.handle_remarks(key, &rests(5), at(0), at(0)).backs_off);
    assert!(
        !servers.handle_remarks(key, &rests(1), at(0), at(1)).backs_off,
        "an older answer, or a shorter rest"
    );
    // It served a request that was under way.
    let free = Remarks { limit: LimitRemark::Unlimited, ..Remarks::default() };
    servers.handle_remarks(key, &free, at(0), at(2));
    assert!(servers.is_backing_off(key, at(4)));
    assert!(!servers.is_backing_off(key, at(5)));
    assert!(servers.handle_remarks(key, &rests(1), at(6), at(6)).backs_off);
    assert!(servers.is_backing_off(key, at(6)) && !servers.is_backing_off(key, at(7)));
}

#[test]
fn a_rest_that_has_no_end_is_none() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let endless = Remarks { backoff: Some(Duration::MAX), ..Remarks::default() };
    assert!(!servers.handle_remarks(key, &endless, now, now).backs_off);
    assert!(!servers.is_backing_off(key, now));
}

#[test]
fn a_rest_outlasts_the_entry_and_ends_with_that_start_of_the_server() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    servers.handle_remarks(key, &rests(60), now, now);
    servers.remove(&record.id, now);
    servers.upsert(record.clone(), now);
    let again = servers.find(&record.id).unwrap();
    assert!(servers.is_backing_off(again, now));
    assert_eq!(
        servers.observations(now).limits.len() + servers.observations(now).leaving.len(),
        0,
        "no peer is told"
    );
    servers.upsert(ServerRecord { started_ms: Some(7), ..record.clone() }, now);
    assert!(!servers.is_backing_off(servers.find(&record.id).unwrap(), now));
}
