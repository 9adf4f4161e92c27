//! Callers that were refused lately, as daemons remember and report them.

use std::time::{Duration, Instant};
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::refusals::{Refusals, refusal_tag};
use tidestair::gateway::tag::Tag;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn request(number: u32) -> Tag {
    refusal_tag("model", Fingerprint::new("/draft/", "florist", &number.to_be_bytes()))
}

/// Guards against first attempts being taken for returning callers, which have wider bounds.
#[test]
fn only_a_refused_caller_is_known_and_only_until_it_is_overdue() {
    let start = Instant::now();
    let mut refusals = Refusals::new(start);
    refusals.record(request(1), start + ms(2_000), start);
    assert!(refusals.contains(request(1), start + ms(2_000)));
    assert!(!refusals.contains(request(2), start + ms(2_000)));
    assert!(!refusals.contains(request(1), start + ms(3_100)));
    let other = refusal_tag("other", Fingerprint::new("/draft/", "florist", &1u32.to_be_bytes()));
    assert!(!refusals.contains(other, start), "another service has not refused it");
}

/// Guards against callers being taken for new ones by a daemon that started after they were refused.
#[test]
fn a_daemon_may_lack_refusals_of_before_its_start_only() {
    let start = Instant::now();
    let refusals = Refusals::new(start);
    assert!(refusals.may_lack(ms(600), start + ms(500)));
    assert!(!refusals.may_lack(ms(600), start + ms(700)));
}

/// Guards against heartbeats that grow with the number of refused callers.
#[test]
fn a_daemon_reports_those_that_are_due_first() {
    let start = Instant::now();
    let mut refusals = Refusals::new(start);
    for number in (0..5_000).rev() {
        refusals.record(request(number), start + ms(number.into()), start);
    }
    let reported = refusals.for_peers(start);
    assert_eq!(reported.len(), 32);
    assert!(reported.iter().all(|(_, load)| load.runs == 0), "no load of a server");
    assert!(refusals.for_peers(start + ms(10_000)).is_empty());
}
