//! Counters and latency histograms of the gateway, in the Prometheus text format. The fields are named
//! after their metrics.

use crate::metrics::{counter, counters, gauge, gauges, register, text};
use crate::peer::Traffic;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Registry,
};

/// Bucket bounds for latencies, in seconds: from the fast answer of a plain service to a long generation.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 40.0];

/// Bucket bounds for the age of the copy of the store, in seconds: from a report that a peer has just sent
/// to beyond every bound that users set.
const AGE_BUCKETS: [f64; 10] = [0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0];

/// All metrics of one daemon's gateway.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by route kind and outcome.
    pub requests: IntCounterVec,
    /// Time from receiving a request's head to sending the answer's, by route kind.
    pub answer_seconds: HistogramVec,
    /// Time between two events of a stream, by route kind.
    pub pause_seconds: HistogramVec,
    /// Requests sent to backend servers that gave no answer for the caller, by reason.
    pub failed_sendings: IntCounterVec,
    /// Connections to backend servers for requests, by outcome.
    pub connections: IntCounterVec,
    /// 1 while this VM is cut off from all backend servers.
    pub cut_off: IntGauge,
    /// Requests that were passed on to other daemons meanwhile, by outcome.
    pub forwarded: IntCounterVec,
    /// Age of this daemon's copy of the store whenever a request is sent to a backend server.
    pub knowledge_seconds: Histogram,
    /// Moves of runs, by outcome.
    pub moves: IntCounterVec,
    /// Streams that were cut after they had begun.
    pub cut_streams: IntCounter,
    /// Streams that did not go on because of their software version, by reason.
    pub not_continued: IntCounterVec,
    /// Services whose versions before this process started were learned from other daemons.
    pub confirmed_services: IntCounter,
    /// Servers that crashed while one of this daemon's runs had just begun there.
    pub ended_servers: IntCounter,
    /// Number of quarantined requests.
    pub quarantined: IntGauge,
    /// Number of servers that limit their requests.
    pub limited_servers: IntGauge,
    /// Requests sent to servers that limit them.
    pub limited_sendings: IntCounter,
    /// Reservations for refused callers, by service and what became of them.
    pub reservations: IntCounterVec,
    /// Number of servers that are backing off.
    pub resting_servers: IntGauge,
    /// Requests that were admitted at engines, by service and priority.
    pub admitted: IntCounterVec,
    /// Requests that were refused, by service, priority and reason.
    pub refused: IntCounterVec,
    /// Those admitted that came back after a refusal.
    pub returned_admitted: IntCounterVec,
    /// Those refused that came back after a refusal.
    pub returned_refused: IntCounterVec,
    /// Whether the engines of a service are short of capacity.
    pub shortage: IntGaugeVec,
    /// Number of servers that are slower than the median of their service, by service.
    pub slow_servers: IntGaugeVec,
    /// Requests sent to servers that had announced that they leave or back off, by announcement.
    pub unheeded_sendings: IntCounterVec,
    /// Retries within the window by service: those of this daemon and of its peers, and the number allowed.
    pub retry_budget: IntGaugeVec,
    /// Rollout states that came into force, by state.
    pub rollouts: IntCounterVec,
    /// Reads of the store, by outcome.
    pub store_reads: IntCounterVec,
    /// Entries of the store that can't be parsed, by kind. Each counts once until its content changes.
    pub unreadable_entries: IntCounterVec,
    /// Store revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Time for which this daemon's copy of the store has been behind its peers' copies, in milliseconds.
    pub behind_ms: IntGauge,
    /// Number of reported changes that it does not have yet.
    pub behind_changes: IntGauge,
    /// Number of times that the store has been restored from an older copy of itself.
    pub store_era: IntGauge,
    /// Number of such restores that this daemon has seen.
    pub store_returns: IntCounter,
    /// Peers from which a heartbeat arrived lately.
    pub peers: IntGauge,
    /// Bytes buffered for callers and servers, by kind.
    pub buffered_bytes: IntGaugeVec,
    /// Times that memory for buffers was used up, by kind and by what was done then.
    pub buffer_shortages: IntCounterVec,
    /// Messages and bytes sent between daemons.
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
            connections: counters(
                &r,
                "tidestair_gateway_connections_total",
                "Connections to backend servers for requests, by outcome",
                &["outcome"],
            ),
            cut_off: gauge(
                &r,
                "tidestair_gateway_cut_off",
                "1 while this VM is cut off from all backend servers",
            ),
            forwarded: counters(
                &r,
                "tidestair_gateway_forwarded_total",
                "Requests passed on to other daemons while this VM was cut off, by outcome",
                &["outcome"],
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
            not_continued: counters(
                &r,
                "tidestair_gateway_streams_not_continued_total",
                "Streams that did not go on because of the software version that began them, by reason",
                &["reason"],
            ),
            confirmed_services: counter(
                &r,
                "tidestair_gateway_confirmed_services_total",
                "Services whose versions before the start were learned from other daemons",
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
            reservations: counters(
                &r,
                "tidestair_gateway_reservations_total",
                "Reservations of capacity for refused callers, by service and state",
                &["service", "state"],
            ),
            resting_servers: gauge(
                &r,
                "tidestair_gateway_resting_servers",
                "Backend servers that have asked this daemon for rest",
            ),
            admitted: counters(
                &r,
                "tidestair_gateway_admitted_total",
                "Requests admitted at engines, by service and priority",
                &["service", "priority"],
            ),
            refused: counters(
                &r,
                "tidestair_gateway_refused_total",
                "Requests to engines that were refused, by service, priority and reason",
                &["service", "priority", "reason"],
            ),
            returned_admitted: counters(
                &r,
                "tidestair_gateway_returned_admitted_total",
                "Requests admitted at engines that came back after a refusal",
                &["service", "priority"],
            ),
            returned_refused: counters(
                &r,
                "tidestair_gateway_returned_refused_total",
                "Requests to engines that came back after a refusal and were refused again",
                &["service", "priority", "reason"],
            ),
            shortage: gauges(
                &r,
                "tidestair_gateway_shortage",
                "1 while the engines of a service are short of capacity",
                &["service"],
            ),
            slow_servers: gauges(
                &r,
                "tidestair_gateway_slow_servers",
                "Backend servers that are slower than the median of their service, by service",
                &["service"],
            ),
            unheeded_sendings: counters(
                &r,
                "tidestair_gateway_unheeded_sendings_total",
                "Requests sent to backend servers that had said that they leave or rest",
                &["said"],
            ),
            retry_budget: gauges(
                &r,
                "tidestair_gateway_retry_budget",
                "Retries within the budget's window by whom they are known of, and how many are allowed",
                &["service", "part"],
            ),
            rollouts: counters(
                &r,
                "tidestair_gateway_rollouts_total",
                "States that roll-outs came to, by state",
                &["state"],
            ),
            unreadable_entries: counters(
                &r,
                "tidestair_gateway_unreadable_entries_total",
                "Entries of the store that can't be parsed and are not used, by kind",
                &["kind"],
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
            behind_ms: gauge(
                &r,
                "tidestair_gateway_copy_behind_milliseconds",
                "Time for which this copy of the store has lacked a change that a peer reported",
            ),
            behind_changes: gauge(
                &r,
                "tidestair_gateway_copy_behind_changes",
                "Changes that peers reported and this copy of the store lacks",
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
            buffered_bytes: gauges(
                &r,
                "tidestair_gateway_buffered_bytes",
                "Bytes buffered for callers and servers, by kind",
                &["kind"],
            ),
            buffer_shortages: counters(
                &r,
                "tidestair_gateway_buffer_shortages_total",
                "Waits and refusals because buffers were full, by kind",
                &["kind", "outcome"],
            ),
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
    /// Renders all metrics for a scrape.
    pub fn render(&self) -> String {
        text(&self.registry)
    }
}

fn histogram(r: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    register(r, HistogramVec::new(opts, labels).expect("a valid name"))
}
