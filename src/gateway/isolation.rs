//! Detects that this VM is cut off from all backend servers.
//!
//! A server that can't be reached is most likely down. If several in a row can't be reached, the VM itself may
//! be cut off, and servers of all services are probed: a single connection refutes it. While the VM is cut
//! off, requests are forwarded to other daemons, and what this daemon observes of servers is not reported.

use crate::gateway::core::Gateway;
use crate::gateway::servers::ServerKey;
use crate::time;
use futures_util::future::select_ok;
use log::{info, warn};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Number of servers in a row that can't be reached from which the VM may be cut off.
const SUSPICIOUS_FAILURES: usize = 2;
/// Number of servers of each service that are probed at once.
const PROBES_PER_SERVICE: usize = 2;
/// Timeout of a probe: several round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval of probes while the VM is cut off.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the first probes to end.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether backend servers can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    /// At least some can.
    Connected,
    /// The last servers tried can't, and others are being probed.
    Suspected,
    /// None can.
    CutOff,
}

/// What is known of this VM's connections to all backend servers; see the [module](self).
#[derive(Debug)]
pub struct Isolation {
    link: watch::Sender<Link>,
    /// Servers that could not be reached since the last connection to any.
    unreachable: Mutex<HashSet<ServerKey>>,
}

impl Default for Isolation {
    fn default() -> Isolation {
        Isolation { link: watch::Sender::new(Link::Connected), unreachable: Mutex::default() }
    }
}

impl Isolation {
    /// Whether no backend server can be reached from this VM.
    pub fn is_cut_off(&self) -> bool {
        *self.link.borrow() == Link::CutOff
    }

    /// Whether failed connections may be due to this VM rather than to the servers.
    pub fn is_doubtful(&self) -> bool {
        *self.link.borrow() != Link::Connected
    }

    /// Whether no backend server can be reached, once probes that are under way have ended.
    pub(super) async fn verdict(&self) -> bool {
        let mut link = self.link.subscribe();
        let known = link.wait_for(|link| *link != Link::Suspected);
        matches!(timeout(VERDICT_TIMEOUT, known).await, Ok(Ok(link)) if *link == Link::CutOff)
    }

    /// Notes a connection to some server. Returns whether none could be reached before.
    fn note_connected(&self) -> bool {
        self.unreachable.lock().expect("no holder panics").clear();
        self.is_doubtful() && self.link.send_replace(Link::Connected) == Link::CutOff
    }

    /// Notes that a server could not be reached. Returns whether others have to be probed now.
    fn note_unreachable(&self, server: ServerKey) -> bool {
        let mut unreachable = self.unreachable.lock().expect("no holder panics");
        unreachable.insert(server);
        let suspicious = unreachable.len() >= SUSPICIOUS_FAILURES;
        suspicious && !self.is_doubtful() && {
            self.link.send_replace(Link::Suspected);
            true
        }
    }

    /// Notes that no probe was answered. Returns whether that is new.
    fn confirm(&self) -> bool {
        self.is_doubtful() && self.link.send_replace(Link::CutOff) == Link::Suspected
    }
}

impl Gateway {
    /// Notes that a connection to a server was established.
    pub(super) fn note_connected(&self) {
        if self.isolation.note_connected() {
            self.servers().reset_reachability();
            self.metrics.cut_off.set(0);
            self.signal_urgent_change();
            info!("backend servers can be reached again");
        }
    }

    /// Notes that no connection to a server could be established. Returns whether this VM may be the cause.
    pub(super) fn note_unreachable(self: &Arc<Self>, server: ServerKey) -> bool {
        if self.isolation.note_unreachable(server) {
            tokio::spawn(probe_until_connected(self.clone()));
        }
        self.isolation.is_doubtful()
    }

    /// Connects to some servers of each service. Returns whether one accepts; also if none is known.
    async fn reaches_any_server(&self) -> bool {
        let servers = self.servers().sample_of_each_service(PROBES_PER_SERVICE, &mut rand::rng());
        if servers.is_empty() {
            return true;
        }
        select_ok(servers.into_iter().map(|addr| self.wire.connect(addr, PROBE_TIMEOUT)))
            .await
            .is_ok()
    }
}

/// Probes servers until one accepts a connection.
async fn probe_until_connected(gateway: Arc<Gateway>) {
    let began = time::now();
    while gateway.isolation.is_doubtful() {
        if gateway.reaches_any_server().await {
            gateway.note_connected();
            return;
        }
        if gateway.isolation.confirm() {
            gateway.metrics.cut_off.set(1);
            gateway.signal_urgent_change();
            let peers = gateway.ready_peers(time::now()).len();
            let ms = time::since(began).as_millis() as u64;
            warn!(ms = ms, peers = peers; "cut off from all backend servers, requests go through other daemons");
        }
        sleep(PROBE_INTERVAL).await;
    }
}
