//! Detects servers that end while they run a request, and records requests that are proved to end servers in
//! the store, for daemons that start later.

use crate::gateway::core::Gateway;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::mirror::Mirror;
use crate::gateway::port::{self, ConnectFailure, Schema, Store};
use crate::gateway::quarantine::{QUARANTINE_TTL, RunProgress};
use crate::gateway::request::Call;
use crate::gateway::slot::{NoSlot, Slot};
use crate::platform::PlatformResult;
use crate::time;
use log::{info, warn};
use rand::RngExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Timeout of the connection by which a daemon checks whether a server still listens after losing a run: a
/// few round trips. The VM of a server that has ended refuses at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval of checks for requests to record. Running daemons learn of them by heartbeats; the record is only
/// for daemons that start later.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the random delay before a record is written. Every daemon that saw the server end would
/// write it, and those with longer delays may find it written already. Short, since a power failure before
/// the write loses the record.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(300);
/// Delay before a part is recorded: until the reports of all daemons have arrived, which may explain its servers.
const PART_RECORD_DELAY: Duration = Duration::from_secs(2);
/// Upper bound of the random delay before a record that the store has lost is written again; all daemons know
/// of it.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(5);
/// Delay before a failed write is tried again, unless the store is known to be unavailable. Every call has a
/// cost.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Why a request is refused: servers crash under a part of its prompt.
pub(super) const CRASHING_PART: &str = "crashing_part";

impl Gateway {
    /// Notes that a server survived a run of this request. If it wrote an answer, it survived the parts of the
    /// prompt, too.
    pub(crate) fn note_survived(&self, call: &Call, answered: bool) {
        let (mut quarantine, now) = (self.quarantine(), time::now());
        quarantine.record_survived(call.fingerprint(), now);
        let mut cleared = false;
        for part in call.parts.iter().filter(|_| answered) {
            cleared |= quarantine.is_suspected(*part);
            quarantine.record_survived(*part, now);
        }
        drop(quarantine);
        if cleared {
            // Other daemons may be about to accuse the part, and heartbeats may be rare.
            self.signal_urgent_change();
        }
    }

    /// For how long a request is kept from servers, and whether for itself or for a part of its prompt.
    pub(super) fn quarantined(&self, call: &Call, now: Instant) -> Option<NoSlot> {
        let quarantine = self.quarantine();
        if quarantine.is_empty() {
            return None;
        }
        let (suspect, left) = quarantine.reason_to_refuse(&call.suspects(), now)?;
        if !suspect.is_part() {
            return Some(NoSlot { reason: "ends_servers", retry_after: left, due: None });
        }
        let left_ms = left.as_millis() as u64;
        info!(id = call.id.as_str(), part = suspect.to_string().as_str(), left_ms = left_ms; "request refused: servers crash under a part of its prompt");
        Some(NoSlot { reason: CRASHING_PART, retry_after: left, due: None })
    }

    /// Handles the loss of a run that had not begun or had just begun: if the server has ended, the request
    /// may be the cause. A server that was known to leave ended for that reason. It is reported to peers at
    /// once that nothing listens at the address, together with the evidence against the request.
    pub(crate) async fn handle_lost_run(
        self: &Arc<Self>,
        call: &Call,
        slot: &Slot,
        run: RunProgress,
    ) {
        if *slot.notice.borrow() {
            return;
        }
        let probe = self.wire.connect(slot.place.destination.addr, PROBE_TIMEOUT).await;
        if probe != Err(ConnectFailure::Refused) || self.note_unreachable(slot.key()) {
            return;
        }
        let (request, now) = (call.fingerprint(), time::now());
        let proved = self.quarantine().record_crash(&call.suspects(), slot.place.tag, run, now);
        self.quarantine_changed.notify_one();
        self.metrics.ended_servers.inc();
        let name = request.to_string();
        let proved: Vec<String> = proved.iter().map(Fingerprint::to_string).collect();
        warn!(id = call.id.as_str(), request = name.as_str(), server = slot.id(), parts = call.parts.len(), proved = proved.join(",").as_str(); "server ended while it ran a request");
        slot.record_connect_failure(true);
    }
}

/// Records requests that are proved to end servers, until the process ends.
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
        // Reports may release what is in quarantine, and no request may come.
        gateway.merge_peer_stats(time::now());
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
            let least = if request.is_part() { PART_RECORD_DELAY } else { Duration::ZERO };
            let pause = least + rand::rng().random_range(Duration::ZERO..spread);
            tokio::spawn(async move {
                sleep(pause).await;
                record_one(gateway, store, mirror, request, key).await;
            });
        }
    }
}

/// Writes the record of one request, unless another daemon has written it.
async fn record_one(
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    mirror: Arc<Mirror>,
    request: Fingerprint,
    key: String,
) {
    while gateway.quarantine().is_unsaved(request, time::now()) {
        if mirror.is_store_unreachable() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        match write(&*store, &key).await {
            Ok(()) => {
                info!(key = key.as_str(); "recorded a request that ends servers");
                return;
            }
            Err(e) => {
                warn!(key = key.as_str(), why = e.to_string().as_str(); "failed to record a request that ends servers");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a record under a lease, so that it expires by itself.
async fn write(store: &dyn Store, key: &str) -> PlatformResult<()> {
    port::put_leased(store, key, b"{}".to_vec(), QUARANTINE_TTL).await.map(|_| ())
}
