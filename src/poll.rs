//! Takes load reports from replicas, one task for each.

use crate::app::App;
use crate::pool::Pool;
use crate::time;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a daemon that placed by its own view goes on polling for it.
const ALONE_POLLS: u32 = 40;
/// A daemon that does not place polls in every so many turns, to have some view if its keeper dies.
const IDLE_TURNS: u32 = 16;
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
    for turn in 0u32.. {
        let Some(kept) = pool.upgrade() else { return };
        let now = time::now();
        let keeper = app.gossip.keeper(kept.name(), now).is_none();
        let needed = keeper || kept.places_alone(every * ALONE_POLLS, now);
        if needed || turn.is_multiple_of(IDLE_TURNS) {
            let report = timeout(every * LATE, app.engine.load(addr)).await.ok().flatten();
            kept.report(addr, report, time::now());
        }
        drop(kept);
        sleep(every).await;
    }
}
