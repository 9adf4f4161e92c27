//! The addresses that callers are to use.

use crate::caller::app;
use crate::server::json;
use crate::time;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;

#[derive(Serialize)]
struct Entries {
    keep_ms: u64,
    entries: Vec<EntryAddr>,
}

#[derive(Serialize)]
struct EntryAddr {
    address: SocketAddr,
    hall: String,
    weight: u32,
}

/// Addresses to use; open to anybody who can reach the daemon, since it names no workspace.
#[handler]
pub(crate) async fn list_entries(depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    let members = app.gossip.members();
    let now = time::now();
    let own_hall = members.own().hall.clone();
    let mut entries: Vec<EntryAddr> = members.entries(now).into_iter().map(entry_addr).collect();
    drop(members);
    entries.sort_by_key(|e| (e.hall != own_hall, e.address));
    json(res, StatusCode::OK, &Entries { keep_ms: app.config.keep_ms, entries });
}

/// Weighs an entry by the streams open at it, mildly, since answers are kept for a while.
fn entry_addr(record: &crate::member::Record) -> EntryAddr {
    const FULL_WEIGHT: u32 = 100;
    const HALF_AT: u32 = 2_000;
    let weight = (FULL_WEIGHT * HALF_AT / (HALF_AT + record.open)).max(1);
    EntryAddr { address: record.caller_addr, hall: record.hall.clone(), weight }
}
