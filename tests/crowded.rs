//! Admission of single requests by a daemon during a shortage.

#[path = "common/servers.rs"]
mod servers;
#[path = "common/wire.rs"]
mod wire;

use servers::{ENGINE, add_server};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::admission::AdmissionClass;
use tidestair::gateway::core::Gateway;
use tidestair::gateway::in_force::DeclaredConfig;
use tidestair::gateway::request::Call;
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::{Limits, Route, RouteKind, Table};
use tidestair::platform::Position;
use wire::{Wire, call, route, service};

const IDLE: Load = load(0, 0, 0);

const fn load(runs: u32, tokens: u32, unread_prompt: u32) -> Load {
    Load { runs, tokens, unread_prompt, non_repeatable: 0, incoming_copies: 0 }
}

/// An urgent route with an SLO of 1.5 s, and a deferrable one.
fn routes() -> [Arc<Route>; 2] {
    let any = Route::clone(&route(RouteKind::Streaming));
    let slo = Duration::from_millis(1_500);
    let urgent = Route { name: "urgent".into(), priority: 0, latency_slo: slo, ..any.clone() };
    let prefix = "/later".into();
    [Arc::new(urgent), Arc::new(Route { name: "later".into(), prefix, priority: 2, ..any })]
}

/// A gateway with both routes before servers with these loads.
fn gateway(loads: &[Load]) -> Arc<Gateway> {
    let (routes, now) = (routes(), tidestair::time::now());
    let gateway = wire::gateway(Wire::unused(), &routes[0], &[]);
    let second = Duration::from_secs(1);
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: second,
        idle_timeout: second,
    };
    let declared = routes.iter().map(|route| Route::clone(route)).collect();
    let engines = (*service(Some(ENGINE))).clone();
    let table = Arc::new(Table::new(2, limits, declared, vec![engines], Vec::new()));
    gateway.in_force.set_if_newer(DeclaredConfig { position: Position::new(0, 2), table }, now);
    for (number, load) in loads.iter().enumerate() {
        add_server(&mut gateway.servers(), number, "here", *load);
    }
    gateway
}

fn request(route: &Arc<Route>) -> Call {
    call(route, "/r1", 500, Duration::from_secs(60), tidestair::time::now())
}

/// Fails if a deferrable caller that returns is sent to a server that has room for more urgent ones only,
/// although another server would admit it.
#[test]
fn a_deferrable_caller_that_returns_gets_a_server_that_admits_it() {
    // By cost, the first server is the better one, but deferrable requests leave headroom in its memory.
    let gateway = gateway(&[load(1, 30_000, 0), load(1, 25_000, 2_900)]);
    let (now, engines) = (tidestair::time::now(), service(Some(ENGINE)));
    assert!(gateway.shortage(&gateway.servers(), &engines, now).is_some());
    let slot = |route| gateway.slot(&engines, &request(route), AdmissionClass::Returned, &[], now);
    let [urgent, later] = routes();
    assert_eq!(slot(&urgent).map(|slot| slot.id().to_string()), Ok("i-0".into()));
    assert_eq!(slot(&later).map(|slot| slot.id().to_string()), Ok("i-1".into()));
}

/// Shortest time of some batches of decisions about newcomers during a shortage. Of many servers a random
/// sample is examined: so many are full that each sample shows the shortage.
fn decision_time(servers: usize) -> Duration {
    let full = load(9, ENGINE.memory, 0);
    let loads: Vec<Load> = (0..servers).map(|i| if i % 5 < 4 { full } else { IDLE }).collect();
    let (gateway, engines) = (gateway(&loads), service(Some(ENGINE)));
    let now = tidestair::time::now();
    assert!(gateway.shortage(&gateway.servers(), &engines, now).is_some());
    let [urgent, _] = routes();
    let call = request(&urgent);
    let batch = || {
        let begun = Instant::now();
        for _ in 0..5 {
            let slot = gateway.slot(&engines, &call, AdmissionClass::Newcomer, &[], now);
            assert!(slot.is_ok());
        }
        begun.elapsed()
    };
    (0..20).map(|_| batch()).min().expect("some batches")
}

/// Fails if each decision in a shortage examines all servers of a service.
#[test]
fn a_decision_takes_no_longer_with_ten_thousand_servers() {
    let (few, many) = (decision_time(250), decision_time(10_000));
    assert!(many < few * 4, "{few:?} {many:?}");
}

/// Fails if sums that have saturated underflow when their parts end, or refuse everything from then on.
#[test]
fn loads_beyond_the_range_of_their_sum_can_be_removed() {
    let gateway = gateway(&[]);
    let largest = load(1, u32::MAX, u32::MAX);
    let mut servers = gateway.servers();
    let key = add_server(&mut servers, 0, "here", largest);
    servers.add_load(key, largest);
    servers.note_prompt_read(key, u32::MAX);
    servers.remove_load(key, load(1, u32::MAX, 0));
    servers.remove_load(key, largest);
    assert_eq!(servers.load(key), IDLE);
}
