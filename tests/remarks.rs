//! What servers say of themselves is kept for as long as that start of them may serve.

#[path = "common/servers.rs"]
mod servers;

use servers::add_server;
use std::time::{Duration, Instant};
use tidestair::gateway::condition::Remarks;
use tidestair::gateway::limit::LimitWord;
use tidestair::gateway::servers::{Load, ServerKey, ServerRecord, Servers};

const LEAVES: Remarks =
    Remarks { leaving: true, rest: None, limit: LimitWord::Unclear, cold: None };

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
    servers.hear(key, &LEAVES, now, now);
    servers.remove(&record.id);
    servers.upsert(record, now + Duration::from_secs(20));
    assert_eq!(servers.open("model").count(), 0, "it leaves as it did before");
    assert_eq!(servers.signs(now).leaving.len(), 1, "and others may have to be told again");
}

/// What an answer said while the entry had lapsed, and what was said of a limit, holds as well.
#[test]
fn what_is_said_while_an_entry_has_lapsed_outlasts_that_too() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let running = Load { runs: 1, ..Load::default() };
    let key = add_server(&mut servers, 1, "here", running);
    let record = servers.get(key).unwrap().record.clone();
    servers.remove(&record.id);
    // A request that was under way there.
    servers.hear(key, &LEAVES, now, now);
    let limited = Remarks { limit: LimitWord::Rate(2.0), ..Remarks::default() };
    servers.hear(key, &limited, now, now);
    servers.end(key, running);
    servers.upsert(record, now);
    assert_eq!(servers.open("model").count(), 0);
    assert_eq!(servers.count_in_need(), 1);
}

/// Requests that were under way when it was said, and answers that say nothing of it, change nothing.
#[test]
fn that_a_server_leaves_is_never_taken_back() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    assert!(servers.hear(key, &LEAVES, now, now).leaves);
    assert!(!servers.hear(key, &LEAVES, now, now).leaves, "it is known");
    let free = Remarks { limit: LimitWord::Free, ..Remarks::default() };
    servers.hear(key, &free, now, now + Duration::from_secs(3));
    servers.suspect(key, now);
    servers.trust(key, now);
    servers.upsert(record, now + Duration::from_secs(4));
    assert_eq!(servers.open("model").count(), 0);
}

#[test]
fn a_later_start_under_the_same_id_has_said_nothing() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = idle_server(&mut servers);
    let record = servers.get(key).unwrap().record.clone();
    servers.hear(key, &LEAVES, now, now);
    servers.upsert(ServerRecord { born: Some(7), ..record }, now);
    assert_eq!(servers.open("model").count(), 1);
    // An answer of the start before, long on its way.
    servers.hear(key, &LEAVES, now, now + Duration::from_secs(5));
    assert_eq!(servers.open("model").count(), 1);
}
