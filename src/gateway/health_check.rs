//! Asks backend servers directly whether they leave while the store can't tell.
//!
//! Notices that a server leaves come through the store. While it is unavailable or slow, each daemon checks
//! the servers on which it has runs that would be lost. A failed health check shows at once that a server may
//! be leaving, but can have other causes. A report is certain, but half a second old, a third of the time
//! that a server's notice gives. So a server whose health check fails is suspected: its runs move away and it
//! gets no new work until its report says whether it leaves.

use crate::gateway::core::Gateway;
use crate::gateway::servers::HealthCheckTarget;
use crate::time;
use log::{debug, info};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Age of the data from the store above which servers are asked directly: more than it normally reaches
/// between two reads.
const MAX_STORE_AGE: Duration = Duration::from_millis(900);
/// Interval of checks, and timeout of each. A server leaves 1.5 s after its notice.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a suspicion from which a report without a notice clears the server: reports are about 500 ms
/// old, and may be a round trip late.
const REPORT_SETTLED: Duration = Duration::from_millis(800);

/// How long failed health checks of a server are ignored after one proved wrong: its runs would be moved back
/// and forth, which uses up the shared budget.
const SUSPICION_COOLDOWN: Duration = Duration::from_secs(10);

/// Checks servers until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        if !gateway.servers().may_have_targets() {
            gateway.work_started.notified().await;
        }
        sleep(CHECK_INTERVAL).await;
        let now = time::now();
        let late = gateway.in_force.age(now).is_some_and(|age| age > MAX_STORE_AGE);
        let watched = gateway.servers().health_check_targets(now);
        for server in watched.into_iter().filter(|w| late || w.suspected.is_some()) {
            tokio::spawn(check_server(gateway.clone(), server, now));
        }
    }
}

async fn check_server(gateway: Arc<Gateway>, server: HealthCheckTarget, now: Instant) {
    let declared = gateway.in_force.get();
    let service = declared.as_ref().and_then(|d| d.table.service(&server.service));
    let health = service.and_then(|service| service.health_path.clone());
    let since = |at: Instant| now.saturating_duration_since(at);
    let wrong_lately = server.cleared.is_some_and(|at| since(at) < SUSPICION_COOLDOWN);
    let sure = server.suspected.is_some_and(|at| since(at) >= REPORT_SETTLED);
    match (server.suspected, health) {
        (None, Some(path)) if !wrong_lately => check_health(&gateway, &server, &path, now).await,
        _ => check_report(&gateway, &server, sure, now).await,
    }
}

/// Requests a server's health check, and suspects the server if it fails.
async fn check_health(gateway: &Gateway, server: &HealthCheckTarget, path: &str, now: Instant) {
    match gateway.wire.health(&server.to, path, CHECK_INTERVAL).await {
        Ok(health) => {
            gateway.handle_remarks(server.key, &health.remarks, now);
            if !health.healthy {
                info!(server = &*server.to.id; "health check failed, server may be leaving");
                gateway.servers().suspect(server.key, now);
            }
        }
        Err(why) => debug!(server = &*server.to.id; "no answer to the health check: {why}"),
    }
}

/// Requests a server's report, which decides whether it leaves. `sure` says whether a report without a notice
/// clears a suspected server.
async fn check_report(gateway: &Gateway, server: &HealthCheckTarget, sure: bool, now: Instant) {
    match gateway.wire.report(server.to.addr, CHECK_INTERVAL).await {
        Ok(report) => {
            gateway.handle_remarks(server.key, &report.remarks, now);
            if sure && !report.remarks.leaving {
                info!(server = &*server.to.id; "suspected server is not leaving");
                gateway.servers().clear_suspicion(server.key, now);
            }
        }
        Err(why) => debug!(server = &*server.to.id; "no answer to the report request: {why}"),
    }
}
