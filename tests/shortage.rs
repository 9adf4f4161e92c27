//! Requests at a small pool that is short of capacity, from their arrival to the answer: what a refused
//! caller is told, what is counted, and what becomes of a caller that returns when told.

#[path = "common/servers.rs"]
mod servers;
#[path = "common/wire.rs"]
mod wire;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::admission::AdmissionClass;
use tidestair::gateway::core::Gateway;
use tidestair::gateway::request::{Answer, Call};
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::{Route, RouteKind};
use tidestair::outcome::Failure;
use tidestair::time;
use wire::{Wire, call, gateway, route, service};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A gateway before two engines that hold this many tokens each.
struct Site {
    gateway: Arc<Gateway>,
    route: Arc<Route>,
}

fn held(tokens: u32) -> Load {
    Load { runs: 6, tokens, ..Load::default() }
}

impl Site {
    fn new(tokens: [u32; 2]) -> Site {
        let wire = Wire::new(|_| {
            let events = [Ok(Frame::data(Bytes::from("id: 1\ndata: x\n\n")))];
            StreamBody::new(futures_util::stream::iter(events)).boxed_unsync()
        });
        let latency_slo = Duration::from_millis(1_500);
        let route = Arc::new(Route {
            latency_slo,
            timeout: TIMEOUT,
            ..Route::clone(&route(RouteKind::Streaming))
        });
        Site { gateway: gateway(wire, &route, &tokens.map(held)), route }
    }

    fn call(&self, path: &str, prompt: u32, arrived: Instant) -> Call {
        call(&self.route, path, prompt, TIMEOUT, arrived)
    }

    /// The reason of a refusal and the time after which the caller should come back.
    async fn refusal(&self, call: Call) -> (&'static str, Duration) {
        match self.gateway.answer(call).await {
            Err(Failure::NotRun { reason, .. }) => {
                assert_eq!(reason.status, 503);
                (reason.code, Duration::from_millis(reason.retry_ms.expect("a time")))
            }
            Err(other) => panic!("{other:?}"),
            Ok(answer) => panic!("admitted: {}", answer.status),
        }
    }

    async fn admitted(&self, call: Call) -> Answer {
        self.gateway.answer(call).await.expect("it is admitted")
    }

    /// The counters of decisions and reservations, without their common prefix.
    fn counters(&self) -> Vec<String> {
        let text = self.gateway.metrics.render();
        let lines = text.lines().filter_map(|line| line.strip_prefix("tidestair_gateway_"));
        let is_one = |l: &&str| {
            ["admitted", "refused", "returned", "reservations"].iter().any(|p| l.starts_with(p))
        };
        lines.filter(is_one).map(str::to_string).collect()
    }

    /// Has the engines complete runs, so that capacity is known to be freed.
    fn complete_runs(&self, count: usize) {
        let (now, service) = (time::now(), service(Some(servers::ENGINE)));
        for n in 0..count {
            let call = self.call(&format!("/done{n}"), 3_000, now);
            let slot = self.gateway.slot(&service, &call, AdmissionClass::Begun, &[], now);
            slot.expect("begun runs have no bound").record_prompt_read();
        }
    }
}

fn refused(reason: &str) -> String {
    format!("refused_total{{priority=\"1\",reason=\"{reason}\",service=\"model\"}} 1")
}

const ADMITTED: &str = "admitted_total{priority=\"1\",service=\"model\"} 1";
const RETURNED: &str = "returned_admitted_total{priority=\"1\",service=\"model\"} 1";

fn reservations(state: &str) -> String {
    format!("reservations_total{{service=\"model\",state=\"{state}\"}} 1")
}

/// Guards against a caller that is refused again although it returns when told, and against decisions that
/// are counted twice.
#[tokio::test]
async fn a_caller_that_returns_when_told_is_admitted() {
    // Memory for newcomers ends at 28,900 tokens, for callers that return at 34,000.
    let site = Site::new([29_500; 2]);
    let arrived = time::now();
    let (reason, after) = site.refusal(site.call("/a", 1_000, arrived)).await;
    assert_eq!((reason, after), ("crowded", Duration::from_millis(300)));
    assert_eq!(site.counters(), [refused("crowded"), reservations("made")]);
    tokio::time::sleep(after).await;
    // The same request with the same deadline.
    let returned = Call { arrived: time::now(), ..site.call("/a", 1_000, arrived) };
    site.admitted(returned).await;
    assert_eq!(
        site.counters(),
        [
            ADMITTED.to_string(),
            refused("crowded"),
            reservations("claimed"),
            reservations("made"),
            RETURNED.to_string(),
        ]
    );
}

/// Guards against a refusal that is counted under the reason for which the chosen server refused, though the
/// caller is told another one.
#[tokio::test]
async fn a_refusal_without_room_in_time_is_counted_once_with_that_reason() {
    // Above the bound of callers that return as well.
    let site = Site::new([34_500; 2]);
    let (reason, after) = site.refusal(site.call("/a", 1_000, time::now())).await;
    assert_eq!(reason, "no_room_in_time");
    let longest = TIMEOUT / 3;
    assert!(after > longest.mul_f64(0.79) && after <= longest, "{after:?}");
    assert_eq!(site.counters(), [refused("no_room_in_time")]);
    // It used up a part of its time, so any daemon recognizes that it returns.
    let returned = call(&site.route, "/a", 1_000, TIMEOUT - after, time::now());
    let (reason, _) = site.refusal(returned).await;
    assert_eq!(reason, "no_room_in_time");
    let again = refused("no_room_in_time");
    let twice = format!("{} 2", again.strip_suffix(" 1").unwrap());
    assert_eq!(site.counters(), [twice, format!("returned_{again}")]);
}

/// Guards against newcomers that take capacity reserved for others, and against a hidden reason.
#[tokio::test]
async fn newcomers_leave_reserved_capacity_free() {
    let site = Site::new([29_500, 29_500]);
    let (reason, _) = site.refusal(site.call("/a", 4_000, time::now())).await;
    assert_eq!(reason, "crowded");
    // The second engine admits newcomers again, but most of its capacity is reserved.
    let second = site.gateway.servers().find("i-1").expect("it is known");
    site.gateway.servers().remove_load(second, Load { runs: 2, ..held(4_000) });
    site.complete_runs(20);
    let (reason, after) = site.refusal(site.call("/b", 10_000, time::now())).await;
    assert_eq!(reason, "promised");
    assert!(after >= Duration::from_millis(300) && after <= TIMEOUT / 3, "{after:?}");
    let counters = site.counters();
    assert!(counters.contains(&refused("promised")), "{counters:?}");
    assert!(counters.contains(&refused("crowded")), "{counters:?}");
}

/// Guards against a hopeless request that isn't counted, or that reserves capacity.
#[tokio::test]
async fn hopeless_requests_are_counted_once() {
    let site = Site::new([29_500; 2]);
    let hopeless = call(&site.route, "/a", 20_000, Duration::from_secs(1), time::now());
    let (reason, after) = site.refusal(hopeless).await;
    assert_eq!((reason, after), ("hopeless", Duration::from_millis(300)));
    let counters = site.counters();
    // It used up most of its route's time before it came here, so it counts as returned as well.
    assert_eq!(counters, [refused("hopeless"), format!("returned_{}", refused("hopeless"))]);
}
