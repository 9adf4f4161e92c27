//! Graceful shutdown of a daemon: callers are first redirected to other daemons, then open requests finish,
//! then the process exits.

use crate::gateway::core::Gateway;
use crate::gateway::finish::{Estimate, MARGIN, Shutdown};
use crate::gateway::listen::{OpenConnections, Phase};
use crate::gateway::request::Call;
use crate::gateway::table::{RouteKind, Service};
use crate::time;
use log::info;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// How long before the end of the grace period the daemon stops reading requests.
const REQUEST_CUTOFF: Duration = Duration::from_millis(1_500);
/// How long before the end of the grace period the process exits, even with requests still running.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Part of the addresses' lifetime at its end in which only callers that are late still know no other daemon: the last
/// answer's time on the way, and some for the signal and the request.
const LATE_CALLERS: Duration = Duration::from_millis(600);
/// How long after the end connections are waited for whose streams were cut then.
const CLOSE_TIME: Duration = Duration::from_millis(30);
/// How long before the end requests without an answer are given up, so that their callers get a failure: with 30 ms a
/// busy machine ended the process before some of 100 failures were written. Less than [`MARGIN`], so that it
/// cuts short no answer that was accepted with it.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Interval between checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts down within `grace`. Callers may use this daemon's address for up to `address_lifetime` after they
/// could last learn of it, so connections are accepted for that long.
pub async fn run(
    gateway: &Gateway,
    phase: &watch::Sender<Phase>,
    open: &OpenConnections,
    grace: Duration,
    address_lifetime: Duration,
) {
    let began = time::now();
    let end = began + grace.saturating_sub(EXIT_MARGIN);
    let strict = began + address_lifetime.saturating_sub(LATE_CALLERS);
    gateway.shutdown.send_replace(Some(Shutdown { end, strict }));
    gateway.signal_urgent_change();
    phase.send_replace(Phase::Leaving);
    info!(connections = open.count(); "leaving");
    let last_requests = grace.saturating_sub(REQUEST_CUTOFF);
    time::sleep_until(began + address_lifetime.min(last_requests)).await;
    phase.send_replace(Phase::Closing);
    while open.count() > 0 && time::now() < end + CLOSE_TIME {
        sleep(POLL_INTERVAL).await;
    }
    info!(connections = open.count(); "stopped");
}

impl Gateway {
    /// Returns when the process is about to end.
    pub(super) async fn wait_for_end(&self) {
        self.wait_before_end(Duration::ZERO).await;
    }

    /// Returns when requests without an answer have to be answered with a failure, as the process is about to end.
    pub async fn wait_for_last_answers(&self) {
        self.wait_before_end(LAST_ANSWERS).await;
    }

    async fn wait_before_end(&self, margin: Duration) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as this gateway.
        let planned = shutdown.wait_for(Option::is_some).await.ok().and_then(|planned| *planned);
        match planned {
            Some(planned) => {
                time::sleep_until(planned.end.checked_sub(margin).unwrap_or(planned.end)).await
            }
            None => std::future::pending().await,
        }
    }

    /// Records how long a plain request has taken, answered or given up at its deadline.
    pub(super) fn record_response_time(&self, call: &Call, actual: Duration) {
        if call.route.kind != RouteKind::Streaming {
            self.durations().responses.record(&call.route.name, actual);
        }
    }

    /// Whether a request can be answered before the process ends.
    pub fn can_finish(&self, service: &Service, call: &Call, now: Instant) -> bool {
        let Some(shutdown) = *self.shutdown.borrow() else { return true };
        let (repeatable, left) = (call.route.repeatable(), call.time_left(now));
        if repeatable && call.deadline + MARGIN <= shutdown.end {
            return true;
        }
        let soon = call.route.latency_slo.min(left);
        let estimate = match (call.route.kind, call.size.max_tokens) {
            (RouteKind::Streaming, 1..) => {
                let event_tokens = service.engine.as_ref().map_or(1, |engine| engine.event_tokens);
                let token_time = self.durations().tokens.mean(&service.name);
                Estimate::of_generation(call.size, event_tokens, token_time)
            }
            // Nothing limits its length but its deadline.
            (RouteKind::Streaming, 0) => Estimate { expected: soon, slow: left },
            // A service may take longer than the objective of its route, up to the deadline.
            _ => {
                let longest = self.durations().responses.longest(&call.route.name);
                let slow = longest.map_or(soon, |longest| longest.min(left).max(soon));
                Estimate { expected: soon, slow }
            }
        };
        shutdown.can_finish(estimate, repeatable, now)
    }
}
