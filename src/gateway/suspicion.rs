//! Noticing that a server ended under a request, and recording requests that are proved to end servers in
//! the store, where daemons that start again find them.

use crate::gateway::core::Gateway;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::{self, Schema, Store};
use crate::gateway::quarantine::{QUARANTINE_TTL, RunProgress};
use crate::gateway::request::Call;
use crate::gateway::slot::Slot;
use crate::platform::PlatformResult;
use crate::time;
use log::{info, warn};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for the knock at a server under which a run was lost: some times a round trip. The VM of one
/// that has ended refuses at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two looks for requests that are to be recorded. Heartbeats have told of them by then; the
/// record is for daemons that start later.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause before a record is written: each daemon that saw a server end would write it, and those
/// that draw longer pauses may find it written. Short, since until then a loss of power forgets the request.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(300);
/// The same before one that the store has lost, which all daemons know of.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(5);
/// Pause after a record that was not written, unless the store is known to be away; every call is priced.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

impl Gateway {
    /// Notes that a server survived a run of a request.
    pub(crate) fn note_survived(&self, call: &Call) {
        self.quarantine().record_survived(call.fingerprint(), time::now());
    }

    /// A run that had just begun, or had not, was lost at a server: if that server has ended, the request may
    /// be why. One that was known to leave has ended for that reason. Other daemons hear at once that nothing
    /// listens there, and of what was seen.
    pub(crate) async fn handle_lost_run(&self, call: &Call, slot: &Slot, run: RunProgress) {
        if *slot.notice.borrow()
            || !self.wire.is_gone(slot.place.destination.addr, PROBE_TIMEOUT).await
        {
            return;
        }
        let (request, now) = (call.fingerprint(), time::now());
        let proved = self.quarantine().record_ended(request, slot.place.tag, run, now);
        self.quarantine_changed.notify_one();
        self.metrics.ended_servers.inc();
        let name = request.to_string();
        warn!(id = call.id.as_str(), request = name.as_str(), server = slot.id(), proved = proved; "server ended under a request");
        slot.record_connect_failure(true);
    }
}

/// Records what is proved until the process ends.
pub async fn record(
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    schema: Arc<dyn Schema>,
    mirror: Arc<Mirror>,
) {
    loop {
        if gateway.quarantine().is_empty() {
            gateway.metrics.quarantined.set(0);
            gateway.quarantine_changed.notified().await;
        }
        sleep(CHECK_INTERVAL).await;
        let (proved, lost, count) = {
            let mut quarantine = gateway.quarantine();
            let (proved, lost) = (quarantine.take_unsaved(), quarantine.take_lost());
            (proved, lost, quarantine.count(time::now()))
        };
        gateway.metrics.quarantined.set(count as i64);
        let proved = proved.into_iter().map(|request| (request, MAX_RECORD_DELAY));
        let lost = lost.into_iter().map(|request| (request, MAX_RESTORE_DELAY));
        for (request, spread) in proved.chain(lost) {
            let key = format!("{}{request}", schema.quarantine());
            let (gateway, store, mirror) = (gateway.clone(), store.clone(), mirror.clone());
            let pause = rand::rng().random_range(Duration::ZERO..spread);
            tokio::spawn(async move {
                sleep(pause).await;
                record_one(gateway, store, mirror, request, key).await;
            });
        }
    }
}

/// Writes the record of one request, unless another daemon has.
async fn record_one(
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    mirror: Arc<Mirror>,
    request: Fingerprint,
    key: String,
) {
    while gateway.quarantine().is_unsaved(request, time::now()) {
        if mirror.store_is_away() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        match write(&*store, &key).await {
            Ok(()) => {
                info!(key = key.as_str(); "request that ends servers is recorded");
                return;
            }
            Err(e) => {
                warn!(key = key.as_str(), why = e.to_string().as_str(); "request that ends servers is not recorded");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a record that lapses by itself.
async fn write(store: &dyn Store, key: &str) -> PlatformResult<()> {
    port::put_leased(store, key, b"{}".to_vec(), QUARANTINE_TTL).await.map(|_| ())
}
