//! Requests whose first event can't come before their deadline, and those that only seem so.

#[path = "common/servers.rs"]
mod servers;
#[path = "common/wire.rs"]
mod wire;

use servers::ENGINE;
use std::time::{Duration, Instant};
use tidestair::gateway::admission::AdmissionClass;
use tidestair::gateway::hopeless::Prospect;
use tidestair::gateway::request::Size;
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::{Engine, RouteKind};
use wire::{Wire, call, gateway, route, service};

/// Tokens that an idle engine reads in a second.
const SECOND: u32 = 14_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn prospect(prompt: u32, left: Duration, now: Instant) -> Prospect {
    let size = Size { prompt_tokens: prompt, max_tokens: 10, expected_tokens: None };
    Prospect { size, deadline: now + left, admission_class: AdmissionClass::Newcomer }
}

#[test]
fn an_idle_engine_sets_the_bound() {
    let now = Instant::now();
    assert!(!prospect(SECOND, ms(1_000), now).is_hopeless(0, now));
    assert!(prospect(SECOND, ms(999), now).is_hopeless(0, now));
    assert!(prospect(1, ms(0), now).is_hopeless(0, now), "the deadline has passed");
    // What waits at the least loaded engine comes before the request's own prompt.
    assert!(!prospect(SECOND, ms(3_000), now).is_hopeless(2 * SECOND, now));
    assert!(prospect(SECOND, ms(3_000), now).is_hopeless(3 * SECOND, now));
    // Sums of loads saturate.
    assert!(prospect(u32::MAX, ms(60_000), now).is_hopeless(u32::MAX, now));
}

/// Guards against refusing a request that could be served: a prompt is listed as unread until its first
/// event, though an engine may have read almost all of it.
#[test]
fn a_prompt_that_is_being_read_does_not_count() {
    let now = Instant::now();
    assert!(!prospect(1_000, ms(100), now).is_hopeless(4_000, now));
}

#[test]
fn requests_of_unknown_size_and_runs_that_have_begun_are_never_hopeless() {
    let now = Instant::now();
    assert!(!prospect(0, ms(0), now).is_hopeless(u32::MAX, now));
    let admission_class = AdmissionClass::Begun;
    let begun = Prospect { admission_class, ..prospect(SECOND, ms(1), now) };
    assert!(!begun.is_hopeless(u32::MAX, now));
}

fn unread(tokens: u32) -> Load {
    Load { runs: 1, tokens: 1, unread_prompt: tokens, ..Load::default() }
}

/// Why a request that returned gets no slot at servers with these prompt tokens to read.
fn refusal(loads: &[Load], engine: Option<Engine>, prompt: u32, left: Duration) -> Option<&str> {
    let now = tidestair::time::now();
    let route = route(RouteKind::Streaming);
    let gateway = gateway(Wire::unused(), &route, loads);
    let call = call(&route, "/r1", prompt, left, now);
    let class = AdmissionClass::Returned;
    let slot = gateway.slot(&service(engine), &call, class, &[], now);
    slot.err().map(|refusal| {
        assert_eq!(refusal.retry_after, ms(300), "a later attempt has less time");
        refusal.reason
    })
}

#[test]
fn the_least_loaded_server_decides() {
    let engine = || Some(ENGINE);
    let loads = [unread(10 * SECOND), unread(5 * SECOND)];
    assert_eq!(refusal(&loads, engine(), 2_800, ms(4_000)), Some("hopeless"));
    assert_eq!(refusal(&loads, engine(), 2_800, ms(6_000)), None);
    assert_eq!(refusal(&loads, engine(), 0, ms(1)), None, "of unknown size");
    assert_eq!(refusal(&loads, None, 2_800, ms(1)), None, "without an engine");
    assert_eq!(refusal(&[], engine(), 2_800, ms(1)), Some("no_server"));
}

/// Guards against a sample of a large service that happens to hold only loaded servers.
#[test]
fn a_sample_of_many_servers_counts_nothing_but_the_own_prompt() {
    let loads = [unread(10 * SECOND); 400];
    assert_eq!(refusal(&loads, Some(ENGINE), 2_800, ms(250)), None);
    assert_eq!(refusal(&loads, Some(ENGINE), 2_800, ms(150)), Some("hopeless"));
}
