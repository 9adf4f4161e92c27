//! This daemon's own key in the store, kept under a lease while it serves.

use crate::gateway::listen::Phase;
use crate::gateway::port::{Schema, Store};
use crate::gateway::roster::Daemon;
use crate::platform::{LeaseId, PlatformResult};
use log::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time after which the key of a daemon that died is gone. Others notice its silence much sooner;
/// the key is for first contact.
const LEASE: Duration = Duration::from_millis(8_000);
/// Time between two renewals: two may fail and the next still comes in time.
const RENEWAL: Duration = Duration::from_millis(2_600);
/// Pause after a call that failed; it doubles with each further one, since every call is priced.
const AFTER_FAILURE: Duration = Duration::from_millis(400);
/// Longest such pause: the key is back so long after the store, while those that have heard the
/// daemon go on without.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000);

/// Keeps the key while the daemon serves, then takes it away.
pub async fn run(
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    own: Daemon,
    mut phase: watch::Receiver<Phase>,
) {
    let key = format!("{}{}", schema.daemons(), own.vm);
    let value = serde_json::to_vec(&own).expect("a daemon's record is JSON");
    let mut lease = None;
    let mut after_failure = AFTER_FAILURE;
    loop {
        let step = keep(&*store, &key, &value, lease);
        let kept = tokio::select! {
            kept = step => kept,
            _ = phase.wait_for(|phase| *phase >= Phase::Leaving) => break,
        };
        let pause = match kept {
            Ok(id) => {
                lease = Some(id);
                after_failure = AFTER_FAILURE;
                RENEWAL
            }
            Err(e) => {
                warn!(why = e.to_string().as_str(); "own key not kept in the store");
                let pause = after_failure;
                after_failure = (after_failure * 2).min(LONGEST_PAUSE);
                pause
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            _ = phase.wait_for(|phase| *phase >= Phase::Leaving) => break,
        }
    }
    if let Some(lease) = lease {
        match store.revoke(lease).await {
            Ok(()) => info!("own key taken out of the store"),
            Err(e) => warn!(why = e.to_string().as_str(); "own key stays until its lease lapses"),
        }
    }
}

/// Renews the lease, or opens one and writes the key under it.
async fn keep(
    store: &dyn Store,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> PlatformResult<LeaseId> {
    if let Some(lease) = lease
        && store.renew(lease).await?
    {
        return Ok(lease);
    }
    let lease = store.grant(LEASE).await?;
    store.put(key, value.to_vec(), lease).await?;
    Ok(lease)
}
