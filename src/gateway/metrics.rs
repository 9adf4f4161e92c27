//! Counters and latency histograms of the gateway, in the text format of `prometheus`.

use crate::metrics::{counter, counters, gauge, register, text};
use crate::peer::Traffic;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry,
};

/// Bounds of the buckets, in seconds: from a plain service's fast answer to a long generation.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0];

/// Bounds of the buckets of ages of knowledge, in seconds: from a peer's word of just now to past every
/// bound that the users set.
const AGE_BUCKETS: [f64; 10] = [0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0];

/// All metrics of one daemon's gateway.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by route kind and outcome.
    pub requests: IntCounterVec,
    /// Time from a request's head to its answer's, by route kind.
    pub answer_seconds: HistogramVec,
    /// Time between two events of a stream.
    pub pause_seconds: HistogramVec,
    /// Sendings to backend servers that did not end in an answer for the caller, by reason.
    pub failed_sendings: IntCounterVec,
    /// Age of this daemon's knowledge of the store at each sending to a backend server.
    pub knowledge_seconds: Histogram,
    /// Moves of runs, by outcome.
    pub moves: IntCounterVec,
    /// Streams that were cut after they had begun.
    pub cut_streams: IntCounter,
    /// Servers that ended under a run of this daemon that had just begun.
    pub ended_servers: IntCounter,
    /// Requests that are kept from servers.
    pub quarantined: IntGauge,
    /// Servers that name a limit.
    pub limited_servers: IntGauge,
    /// Requests sent to such servers.
    pub limited_sendings: IntCounter,
    /// Servers that rest.
    pub resting_servers: IntGauge,
    /// Requests sent to servers that had said that they leave or rest, by what they had said.
    pub unheeded_sendings: IntCounterVec,
    /// States of roll-outs that came into force, by state.
    pub rollouts: IntCounterVec,
    /// Reads of the store, by outcome.
    pub store_reads: IntCounterVec,
    /// The store's revision of the configuration in force.
    pub config_revision: IntGauge,
    /// How often the store has come back from an older copy of itself.
    pub store_era: IntGauge,
    /// How often this daemon has seen that.
    pub store_returns: IntCounter,
    /// Peers heard lately.
    pub peers: IntGauge,
    /// Messages and bytes between daemons.
    pub traffic: Traffic,
}

impl Default for GatewayMetrics {
    fn default() -> GatewayMetrics {
        let r = Registry::new();
        GatewayMetrics {
            requests: counters(
                &r,
                "tidestair_gateway_requests_total",
                "Requests by route kind and outcome",
                &["kind", "outcome"],
            ),
            answer_seconds: histogram(
                &r,
                "tidestair_gateway_answer_seconds",
                "Time to the head of the answer, of a stream to its first event",
                &["kind"],
            ),
            pause_seconds: histogram(
                &r,
                "tidestair_gateway_event_pause_seconds",
                "Time between two events of a stream",
                &["kind"],
            ),
            failed_sendings: counters(
                &r,
                "tidestair_gateway_failed_sendings_total",
                "Sendings to backend servers without an answer for the caller, by reason",
                &["reason"],
            ),
            knowledge_seconds: register(
                &r,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "tidestair_gateway_knowledge_age_seconds",
                        "Time since the copy of the store was confirmed, at each sending",
                    )
                    .buckets(AGE_BUCKETS.to_vec()),
                )
                .expect("a valid name"),
            ),
            moves: counters(
                &r,
                "tidestair_gateway_moves_total",
                "Running requests moved to another backend server, by outcome",
                &["outcome"],
            ),
            cut_streams: counter(
                &r,
                "tidestair_gateway_cut_streams_total",
                "Streams cut after they had begun",
            ),
            ended_servers: counter(
                &r,
                "tidestair_gateway_ended_servers_total",
                "Backend servers that ended under a run that had just begun",
            ),
            quarantined: gauge(
                &r,
                "tidestair_gateway_quarantined_requests",
                "Requests that end backend servers and are kept from them",
            ),
            limited_servers: gauge(
                &r,
                "tidestair_gateway_limited_servers",
                "Backend servers that name how many requests they take",
            ),
            limited_sendings: counter(
                &r,
                "tidestair_gateway_limited_sendings_total",
                "Requests sent to backend servers that name how many they take",
            ),
            resting_servers: gauge(
                &r,
                "tidestair_gateway_resting_servers",
                "Backend servers that have asked this daemon for rest",
            ),
            unheeded_sendings: counters(
                &r,
                "tidestair_gateway_unheeded_sendings_total",
                "Requests sent to backend servers that had said that they leave or rest",
                &["said"],
            ),
            rollouts: counters(
                &r,
                "tidestair_gateway_rollouts_total",
                "States that roll-outs came to, by state",
                &["state"],
            ),
            store_reads: counters(
                &r,
                "tidestair_gateway_store_reads_total",
                "Reads of the platform's store, by outcome",
                &["outcome"],
            ),
            config_revision: gauge(
                &r,
                "tidestair_gateway_config_revision",
                "Store revision of the configuration in force",
            ),
            store_era: gauge(
                &r,
                "tidestair_gateway_store_era",
                "Era of the platform's store: how often it has come back from an older copy",
            ),
            store_returns: counter(
                &r,
                "tidestair_gateway_store_returns_total",
                "Returns of the platform's store from an older copy that this daemon has seen",
            ),
            peers: gauge(&r, "tidestair_gateway_peers", "Other daemons heard lately"),
            traffic: Traffic {
                messages: counters(
                    &r,
                    "tidestair_gateway_peer_messages_total",
                    "Messages between daemons",
                    &["direction"],
                ),
                bytes: counters(
                    &r,
                    "tidestair_gateway_peer_bytes_total",
                    "Bytes between daemons",
                    &["direction"],
                ),
            },
            registry: r,
        }
    }
}

impl GatewayMetrics {
    /// The text for a scrape.
    pub fn render(&self) -> String {
        text(&self.registry)
    }
}

fn histogram(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    register(r, HistogramVec::new(opts, labels).expect("a valid name"))
}
