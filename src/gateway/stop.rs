//! Graceful shutdown of a daemon: callers are first redirected to other daemons, then open requests finish,
//! then the process exits.

use crate::gateway::core::Gateway;
use crate::gateway::listen::{OpenConnections, Phase};
use crate::time;
use log::info;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// How long before the end of the grace period the daemon stops reading requests.
const REQUEST_CUTOFF: Duration = Duration::from_millis(1_500);
/// How long before the end of the grace period the process exits, even with requests still running.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
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
