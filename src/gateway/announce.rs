//! Writes this daemon's own key in the store and renews its lease while the daemon serves.

use crate::gateway::listen::Phase;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::{self, Lease, Schema, Store};
use crate::gateway::roster::Roster;
use crate::platform::PlatformResult;
use crate::time;
use log::{info, warn};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Lifetime of the key of a daemon that died. Peers detect its missing heartbeats much sooner; the key
/// serves only for first contact and for the division into cells, which skips unreachable daemons.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time between two renewals: the lease survives two failed ones. Shorter intervals would cost more
/// calls to the store, whose number grows with the fleet.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(9);
/// Pause after the first failed call; it doubles with each further one, since every call is billed.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause, and the pause while an earlier lease is still valid.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// Time between two checks whether the store is reachable again.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two checks whether the store was read for the first time.
const FIRST_READ_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the first read of the store, which shows whether the key still exists.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest pause before a key that the store has lost is written again. It is random, since all daemons
/// of a fleet notice the loss at the same time.
const MAX_REWRITE_PAUSE: Duration = Duration::from_secs(2);
/// Fraction of a pause that is random, so that daemons that started together don't call the store
/// together.
const JITTER_FRACTION: f64 = 0.3;

/// Keeps the key alive while the daemon serves, then removes it.
pub async fn run(
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    roster: Arc<Roster>,
    mirror: Arc<Mirror>,
    mut eras: watch::Receiver<u64>,
    mut phase: watch::Receiver<Phase>,
) {
    let own = roster.own();
    let key = format!("{}{}/{}", schema.daemons(), own.hall, own.vm);
    let value = serde_json::to_vec(own).expect("a daemon's record is JSON");
    let mut lease = None;
    let mut after_failure = INITIAL_RETRY_PAUSE;
    let mut pause = first_pause(&roster, &mirror).await;
    loop {
        let step = async {
            time::sleep(pause).await;
            while mirror.is_store_unreachable() {
                sleep(OUTAGE_POLL_INTERVAL).await;
            }
            renew_or_create(&*store, &key, &value, lease).await
        };
        let result = tokio::select! {
            result = step => result,
            Ok(()) = eras.changed() => {
                // In the new era the lease's id may belong to another daemon.
                lease = None;
                pause = if mirror.lists(&key) { with_jitter(RENEWAL_INTERVAL) } else { random_pause(MAX_REWRITE_PAUSE) };
                continue;
            }
            _ = phase.wait_for(|phase| *phase >= Phase::Leaving) => break,
        };
        pause = match result {
            Ok(id) => {
                lease = Some(id);
                after_failure = INITIAL_RETRY_PAUSE;
                with_jitter(RENEWAL_INTERVAL)
            }
            Err(e) => {
                warn!(why = e.to_string().as_str(); "cannot write or renew this daemon's key in the store");
                let pause = if lease.is_some() { MAX_RETRY_PAUSE } else { after_failure };
                after_failure = (after_failure * 2).min(MAX_RETRY_PAUSE);
                with_jitter(pause)
            }
        };
    }
    if let Some(lease) = lease {
        match store.revoke(lease).await {
            Ok(()) => info!("removed this daemon's key from the store"),
            Err(e) => {
                warn!(why = e.to_string().as_str(); "cannot remove this daemon's key from the store: it stays until its lease expires")
            }
        }
    }
}

/// Time until the key has to be written: zero, unless the key of an earlier process of this daemon still
/// exists. It is then due when that process would have renewed its lease.
async fn first_pause(roster: &Roster, mirror: &Mirror) -> Duration {
    let began = time::now();
    while mirror.position().is_start() && time::since(began) < FIRST_READ_TIMEOUT {
        sleep(FIRST_READ_POLL_INTERVAL).await;
    }
    if roster.lists_own() { with_jitter(RENEWAL_INTERVAL) } else { Duration::ZERO }
}

/// A random pause of up to `max`.
fn random_pause(max: Duration) -> Duration {
    rand::rng().random_range(Duration::ZERO..max)
}

/// A pause with jitter: it is shortened by a random amount of up to `JITTER_FRACTION`.
fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0 - JITTER_FRACTION..=1.0))
}

/// Renews the lease, or creates one and writes the key under it.
async fn renew_or_create(
    store: &dyn Store,
    key: &str,
    value: &[u8],
    lease: Option<Lease>,
) -> PlatformResult<Lease> {
    if let Some(lease) = lease
        && store.renew(lease).await?
    {
        return Ok(lease);
    }
    port::put_leased(store, key, value.to_vec(), LEASE_TTL).await
}
