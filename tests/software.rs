//! The tables of software versions and of the streams that each began.

use std::time::{Duration, Instant};
use tidestair::gateway::heartbeat::Request;
use tidestair::gateway::servers::{ServerRecord, Servers};
use tidestair::gateway::software::{
    BegunStream, BegunStreams, MAX_STREAMS, Served, Software, service_tag,
};
use tidestair::gateway::tag::Tag;
use tidestair::message;

const WINDOW: Duration = Duration::from_secs(9);

fn record(id: &str, service: &str, version: &str) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        started_ms: None,
        service: service.into(),
        version: version.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        hall: "a".into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
    }
}

fn software(version: &str) -> Software {
    Software::of(&record("i", "model", version))
}

fn stream(n: usize) -> Tag {
    Tag::of(&format!("attempt-{n}"))
}

/// Guards against a version that is forgotten while streams that it began may still be taken up.
#[test]
fn a_version_counts_until_its_streams_have_ended() {
    let (mut servers, start) = (Servers::default(), Instant::now());
    let service = service_tag("model");
    let within = |servers: &Servers, now| servers.versions().within(service, WINDOW, now);
    assert_eq!(within(&servers, start), Served::Unsure(None));
    servers.upsert(record("i-1", "model", "v1"), start);
    servers.upsert(record("i-other", "app", "v7"), start);
    assert_eq!(within(&servers, start), Served::Only(software("v1")));
    servers.upsert(record("i-2", "model", "v2"), start);
    assert_eq!(within(&servers, start), Served::Several);
    servers.remove("i-1", start);
    assert_eq!(within(&servers, start + WINDOW / 2), Served::Several);
    assert_eq!(within(&servers, start + WINDOW), Served::Only(software("v2")));
    // A server that runs other software under the same id.
    servers.upsert(record("i-2", "model", "v3"), start + WINDOW);
    assert_eq!(within(&servers, start + WINDOW), Served::Several);
}

/// Guards against a daemon that has just started and takes the version that it sees for the only one.
#[test]
fn a_process_that_started_later_is_sure_only_after_the_window() {
    let (mut servers, start) = (Servers::default(), Instant::now());
    servers.assume_earlier_versions(start);
    servers.upsert(record("i-1", "model", "v1"), start);
    let within = |now| servers.versions().within(service_tag("model"), WINDOW, now);
    assert_eq!(within(start + WINDOW / 2), Served::Unsure(Some(software("v1"))));
    assert_eq!(within(start + WINDOW), Served::Only(software("v1")));
}

/// Guards against a continuation that changes what began a stream.
#[test]
fn the_first_record_of_a_stream_names_its_software_and_later_ones_extend_its_life() {
    let (mut streams, start) = (BegunStreams::default(), Instant::now());
    let at = |s| start + Duration::from_secs(s);
    streams.record_own(stream(1), software("v1"), at(9), start);
    streams.record_own(stream(1), software("v2"), at(15), at(6));
    assert_eq!(streams.get(stream(1), at(12)), Some(software("v1")));
    let report = BegunStream { stream: stream(1), software: software("v2"), left_ms: 10_000 };
    streams.record_reported(report, at(12));
    assert_eq!(streams.get(stream(1), at(20)), Some(software("v1")));
    assert_eq!(streams.get(stream(1), at(22)), None);
}

/// Guards against streams that are reported twice, late, or though one version serves.
#[test]
fn streams_are_reported_once_and_only_for_the_services_that_need_it() {
    let (mut streams, now) = (BegunStreams::default(), Instant::now());
    let app = Software::of(&record("i", "app", "v1"));
    streams.record_own(stream(1), software("v1"), now + WINDOW, now);
    streams.record_own(stream(2), app, now + WINDOW, now);
    let report = BegunStream { stream: stream(3), software: software("v1"), left_ms: 1_000 };
    streams.record_reported(report, now);
    assert_eq!(streams.unreported_services().len(), 2);
    let reported = streams.take_unreported(&[service_tag("model")].into(), now);
    assert_eq!(reported.iter().map(|report| report.stream).collect::<Vec<_>>(), [stream(1)]);
    assert!(streams.take_unreported(&[service_tag("model")].into(), now).is_empty());
    assert_eq!(streams.unreported_services(), [service_tag("app")].into());
}

/// Guards against a table that grows with the number of streams.
#[test]
fn the_table_is_bounded_and_drops_what_expires_first() {
    let (mut streams, now) = (BegunStreams::default(), Instant::now());
    let until = |n: usize| now + Duration::from_millis(1_000 + n as u64);
    for n in 0..MAX_STREAMS + 10 {
        streams.record_own(stream(n), software("v1"), until(n), now);
    }
    assert_eq!(streams.len(), MAX_STREAMS);
    assert_eq!(streams.get(stream(9), now), None);
    assert_eq!(streams.get(stream(10), now), Some(software("v1")));
    let later = until(MAX_STREAMS + 10);
    streams.record_own(stream(0), software("v1"), later + WINDOW, later);
    assert_eq!(streams.len(), 1, "what has expired takes no room");
}

/// A daemon may send 3 KB of control a second for everything. Of 985 daemons with 19,000 requests a second, all of
/// them streams that may be taken up again, each reports its own to three others.
#[test]
fn reports_of_a_busy_daemon_take_a_small_part_of_its_control_traffic() {
    let per_second = 19_000 / 985 + 1;
    let begun: Vec<BegunStream> = (0..per_second)
        .map(|n| BegunStream { stream: stream(n), software: software("v1"), left_ms: 42_000 })
        .collect();
    let bytes = message::encode(&Request::Begun(begun)).len();
    assert!(3 * bytes <= 1_500, "{bytes} bytes for one second");
}
