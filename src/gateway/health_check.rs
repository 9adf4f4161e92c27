//! Asking backend servers themselves whether they leave, while the store can't tell.
//!
//! Notices come through the store. When it is away or slow, each daemon checks the servers on which it
//! has runs that would be lost. A health check tells of a leaving at once, but not only of that; a report
//! is sure, but half a second old, a third of the time that a server's notice gives. So a server that is
//! not well is suspected: its runs move away and no new work goes there until its report says whether it
//! leaves.

use crate::gateway::core::Gateway;
use crate::gateway::servers::HealthCheckTarget;
use crate::time;
use log::{debug, info};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Age of what is known from the store past which servers are asked: longer than it gets between two
/// reads on an ordinary day.
const MAX_STORE_AGE: Duration = Duration::from_millis(900);
/// Time between two rounds of questions, and the longest time for an answer. A server leaves 1.5 s
/// after its notice.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a report that does not tell of a leaving clears a suspected server: reports are
/// about 500 ms old, and may be a round trip late.
const REPORT_SETTLED: Duration = Duration::from_millis(800);

/// Time for which a health check that was wrong is not believed again: its runs would be moved back and
/// forth at the expense of the shared budget.
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

/// Suspects a server that is not well.
async fn check_health(gateway: &Gateway, server: &HealthCheckTarget, path: &str, now: Instant) {
    match gateway.wire.health(&server.to, path, CHECK_INTERVAL).await {
        Ok(health) => {
            gateway.handle_remarks(server.key, &health.remarks, now);
            if !health.well {
                info!(server = &*server.to.id; "server is not well, it may leave");
                gateway.servers().suspect(server.key, now);
            }
        }
        Err(why) => debug!(server = &*server.to.id; "no health: {why}"),
    }
}

/// Asks a server for its report, which decides whether it leaves. `sure` says whether a report that does
/// not tell of a leaving clears a suspected server.
async fn check_report(gateway: &Gateway, server: &HealthCheckTarget, sure: bool, now: Instant) {
    match gateway.wire.report(server.to.addr, CHECK_INTERVAL).await {
        Ok(report) => {
            gateway.handle_remarks(server.key, &report.remarks, now);
            if sure && !report.remarks.leaving {
                info!(server = &*server.to.id; "server does not leave");
                gateway.servers().clear_suspicion(server.key, now);
            }
        }
        Err(why) => debug!(server = &*server.to.id; "no report: {why}"),
    }
}
