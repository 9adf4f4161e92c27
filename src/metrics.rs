//! Counters of one daemon, in the text format of `prometheus`.

use crate::outcome::Outcome;
use crate::peer::Traffic;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// All metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Tokens delivered to readers.
    pub tokens: IntCounter,
    /// Tokens that came twice and were dropped.
    pub duplicates: IntCounter,
    /// Gaps in a stream that were fetched again.
    pub gaps: IntCounter,
    /// Tokens of a foreign generation that were refused.
    pub foreign: IntCounter,
    /// Streams resumed at an engine.
    pub resumes: IntCounter,
    /// Generations placed anew.
    pub retries: IntCounter,
    /// Pauses that this daemon chose.
    pub pauses: IntCounter,
    /// Requests shed from a queue.
    pub shed: IntCounter,
    /// Places by who granted them.
    pub places: IntCounterVec,
    /// Time in the queue.
    pub queue_seconds: Histogram,
    /// Time to the first token.
    pub first_token_seconds: Histogram,
    /// Time between tokens.
    pub token_gap_seconds: Histogram,
    /// Stall time in milliseconds.
    pub stall_ms: IntCounter,
    /// Requests waiting, by pool.
    pub queued: IntGaugeVec,
    /// Revision in force.
    pub revision: IntGauge,
    /// Whether the platform's service is behind the revision in force.
    pub platform_behind: IntGauge,
    /// Claims asked of the journal, by answer.
    pub claims: IntCounterVec,
    /// Segments written to the journal.
    pub segments: IntCounter,
    /// Messages to and from peers, by direction.
    pub peer_messages: IntCounterVec,
    /// Bytes to and from peers, by direction.
    pub peer_bytes: IntCounterVec,
    /// Peers alive.
    pub peers: IntGauge,
}

const LATENCY_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0, 2.0, 4.0, 16.0];

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Metrics that start at nothing.
    pub fn new() -> Metrics {
        let r = Registry::new();
        Metrics {
            requests: counters(
                &r,
                "tidestair_requests_total",
                "Requests by kind and outcome",
                &["kind", "outcome"],
            ),
            tokens: counter(&r, "tidestair_tokens_total", "Tokens delivered to readers"),
            duplicates: counter(
                &r,
                "tidestair_tokens_duplicate_total",
                "Tokens that came twice and were dropped",
            ),
            gaps: counter(
                &r,
                "tidestair_stream_gaps_total",
                "Gaps in streams that were fetched again",
            ),
            foreign: counter(
                &r,
                "tidestair_tokens_foreign_total",
                "Tokens of a foreign generation that were refused",
            ),
            resumes: counter(&r, "tidestair_stream_resumes_total", "Streams resumed at an engine"),
            retries: counter(&r, "tidestair_retries_total", "Requests sent to another replica"),
            pauses: counter(
                &r,
                "tidestair_pauses_total",
                "Streams paused before their engine preempted one",
            ),
            shed: counter(&r, "tidestair_shed_total", "Requests shed from a full queue"),
            places: counters(&r, "tidestair_places_total", "Places by who granted them", &["by"]),
            queue_seconds: histogram(&r, "tidestair_queue_seconds", "Time waiting for a place"),
            first_token_seconds: histogram(
                &r,
                "tidestair_first_token_seconds",
                "Time to the first token",
            ),
            token_gap_seconds: histogram(
                &r,
                "tidestair_token_gap_seconds",
                "Time between two tokens",
            ),
            stall_ms: counter(
                &r,
                "tidestair_stall_milliseconds_total",
                "Time past the class's gap without a token",
            ),
            queued: gauges(&r, "tidestair_queued", "Requests waiting, by pool", &["pool"]),
            revision: gauge(&r, "tidestair_config_revision", "Revision in force"),
            platform_behind: gauge(
                &r,
                "tidestair_platform_behind",
                "1 where the platform's service is behind the revision in force",
            ),
            claims: counters(
                &r,
                "tidestair_claims_total",
                "Claims asked of the journal, by answer",
                &["answer"],
            ),
            segments: counter(
                &r,
                "tidestair_journal_segments_total",
                "Segments written to the journal",
            ),
            peer_messages: counters(
                &r,
                "tidestair_peer_messages_total",
                "Messages between daemons",
                &["direction"],
            ),
            peer_bytes: counters(
                &r,
                "tidestair_peer_bytes_total",
                "Bytes of messages between daemons",
                &["direction"],
            ),
            peers: gauge(&r, "tidestair_peers", "Peers alive"),
            registry: r,
        }
    }

    /// Counts the end of a request.
    pub fn ended(&self, kind: &str, outcome: Outcome) {
        self.requests.with_label_values(&[kind, outcome.name()]).inc();
    }

    /// The counters of what goes between daemons.
    pub fn peer_traffic(&self) -> Traffic {
        Traffic { messages: self.peer_messages.clone(), bytes: self.peer_bytes.clone() }
    }

    /// The text for `/metrics`.
    pub fn render(&self) -> String {
        text(&self.registry)
    }
}

/// All metrics of a registry as text.
pub(crate) fn text(registry: &Registry) -> String {
    let mut text = Vec::new();
    // Writing to memory does not fail.
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

pub(crate) fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> C {
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}

pub(crate) fn counter(r: &Registry, name: &str, help: &str) -> IntCounter {
    register(r, IntCounter::new(name, help).expect("a valid name"))
}

pub(crate) fn counters(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(r, IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name"))
}

pub(crate) fn gauge(r: &Registry, name: &str, help: &str) -> IntGauge {
    register(r, IntGauge::new(name, help).expect("a valid name"))
}

pub(crate) fn gauges(r: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    register(r, IntGaugeVec::new(Opts::new(name, help), labels).expect("a valid name"))
}

fn histogram(r: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    register(r, Histogram::with_opts(opts).expect("a valid name"))
}
