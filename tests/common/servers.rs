//! Backend servers that the tests choose among.

use tidestair::gateway::servers::{Load, ServerKey, ServerRecord, Servers};
use tidestair::gateway::table::Engine;

/// An engine as the users' sheets describe it, but for its memory.
pub const ENGINE: Engine = Engine {
    slots: 24,
    memory: 34_000,
    token_bytes: 131_072,
    link_mbps: 19_000.0,
    event_tokens: 4,
    supports_moves: true,
    supports_backups: true,
};

/// Adds a server of the service `model`, called `i-` and a number, on which this daemon has so much.
pub fn add_server(servers: &mut Servers, number: usize, hall: &str, load: Load) -> ServerKey {
    let id = format!("i-{number}");
    let record = ServerRecord {
        id: id.as_str().into(),
        started_ms: None,
        service: "model".into(),
        version: "v1".into(),
        addr: "127.0.0.1:9".parse().expect("an address"),
        hall: hall.into(),
        slots: ENGINE.slots,
        leaving: false,
        cold: std::time::Duration::ZERO,
    };
    servers.upsert(record, std::time::Instant::now());
    let key = servers.find(&id).expect("it was just added");
    servers.add_load(key, load);
    key
}
