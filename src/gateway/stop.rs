//! The planned stop of a daemon: callers go elsewhere first, then requests end, then the process.

use crate::gateway::core::Gateway;
use crate::gateway::listen::{OpenConnections, Phase};
use crate::time;
use log::info;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time before the end of the grace period from which no request is read any more.
const REQUEST_CUTOFF: Duration = Duration::from_millis(1_500);
/// Time before the end of the grace period at which the process ends, whatever still runs.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Time between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops within `grace`. Callers come for up to `kept` after they could last be told of this daemon.
pub async fn run(
    gateway: &Gateway,
    phase: &watch::Sender<Phase>,
    open: &OpenConnections,
    grace: Duration,
    address_lifetime: Duration,
) {
    let began = time::now();
    let end = began + grace.saturating_sub(EXIT_MARGIN);
    gateway.set_shutdown_deadline(end);
    phase.send_replace(Phase::Leaving);
    info!(connections = open.count(); "leaving");
    let last_requests = grace.saturating_sub(REQUEST_CUTOFF);
    time::sleep_until(began + address_lifetime.min(last_requests)).await;
    phase.send_replace(Phase::Closing);
    while open.count() > 0 && time::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    info!(connections = open.count(); "stopped");
}
