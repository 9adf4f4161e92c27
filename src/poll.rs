//! Takes load reports from replicas, one task for each.

use crate::app::App;
use crate::pool::Pool;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A report that takes this many polls counts as missing.
const LATE: u32 = 8;

/// Polls the replicas of every pool as they come and go.
pub async fn run(app: Arc<App>) {
    let mut tasks = JoinSet::new();
    let mut polled: HashSet<SocketAddr> = HashSet::new();
    let mut revisions = app.in_force.subscribe();
    let every = Duration::from_millis(app.config.poll_ms);
    loop {
        for pool in app.pools() {
            for addr in pool.addresses() {
                if polled.insert(addr) {
                    tasks.spawn(poll(app.clone(), Arc::downgrade(&pool), addr, every));
                }
            }
        }
        // A new revision is applied by another task first; look again soon after it.
        tokio::select! {
            changed = revisions.changed() => if changed.is_err() { return },
            () = sleep(every) => {}
        }
    }
}

async fn poll(app: Arc<App>, pool: Weak<Pool>, addr: SocketAddr, every: Duration) {
    loop {
        let report = timeout(every * LATE, app.engine.load(addr)).await.ok().flatten();
        let Some(pool) = pool.upgrade() else { return };
        pool.report(addr, report, Instant::now());
        drop(pool);
        sleep(every).await;
    }
}
