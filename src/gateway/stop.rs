//! The planned stop of a daemon: callers go elsewhere first, then requests end, then the process.

use crate::gateway::core::Gateway;
use crate::gateway::listen::{Open, Phase};
use crate::time;
use log::info;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time before the end of the grace period from which no request is read any more.
const LAST_REQUESTS: Duration = Duration::from_millis(1_500);
/// Time before the end of the grace period at which the process ends, whatever still runs.
const LAST_MOMENT: Duration = Duration::from_millis(200);
/// Time between two looks at what is still open.
const LOOK: Duration = Duration::from_millis(20);

/// Stops within `grace`. Callers come for up to `kept` after they could last be told of this daemon.
pub async fn run(
    gateway: &Gateway,
    phase: &watch::Sender<Phase>,
    open: &Open,
    grace: Duration,
    kept: Duration,
) {
    let began = time::now();
    let end = began + grace.saturating_sub(LAST_MOMENT);
    gateway.set_shutdown_deadline(end);
    phase.send_replace(Phase::Leaving);
    info!(connections = open.count(); "leaving");
    let last_requests = grace.saturating_sub(LAST_REQUESTS);
    time::sleep_until(began + kept.min(last_requests)).await;
    phase.send_replace(Phase::Closing);
    while open.count() > 0 && time::now() < end {
        sleep(LOOK).await;
    }
    info!(connections = open.count(); "stopped");
}
