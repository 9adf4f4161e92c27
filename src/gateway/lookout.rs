//! Asking backend servers themselves whether they leave, while the store can't tell.
//!
//! Notices come through the store. When it is away or slow, each daemon asks the servers on which it
//! has runs that would be lost; such a report is a little old, and costs as much as a probe.

use crate::gateway::core::Gateway;
use log::{debug, info};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Age of what is known from the store past which servers are asked: longer than it gets between two
/// reads on an ordinary day.
const STORE_LATE: Duration = Duration::from_millis(900);
/// Time between two rounds of questions, and the longest time for an answer. A server leaves 1.5 s
/// after its notice.
const ROUND: Duration = Duration::from_millis(300);

/// Looks out until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    loop {
        sleep(ROUND).await;
        let now = Instant::now();
        if gateway.in_force.age(now).is_none_or(|age| age <= STORE_LATE) {
            continue;
        }
        let asked = gateway.servers().with_runs_to_keep();
        for (key, to) in asked {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                match gateway.wire.is_leaving(to.addr, ROUND).await {
                    Ok(true) => {
                        info!(server = &*to.id; "server says that it leaves");
                        gateway.servers().leaves(key);
                        gateway.tell();
                    }
                    Ok(false) => {}
                    Err(why) => debug!(server = &*to.id; "no report: {why}"),
                }
            });
        }
    }
}
