//! The state of the fleet as one daemon sees it.

use crate::answer::refuse;
use crate::app::App;
use crate::caller::app;
use crate::config::Role;
use crate::operator::allowed;
use crate::outcome::Outcome;
use crate::server::json;
use crate::snapshot::Snapshot;
use crate::time;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The fleet as one daemon sees it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FleetStatus {
    /// Name of the daemon asked.
    pub vm: String,
    /// Revision that it has in force.
    pub revision: u64,
    /// Lowest revision in force over the daemons alive, other halls by their gateways' word.
    pub in_force: u64,
    /// Whether the platform's service is behind.
    pub platform_behind: bool,
    /// Calls made to the platform's service, by kind.
    pub platform_calls: BTreeMap<String, u64>,
    /// The daemons that it knows.
    pub daemons: Vec<DaemonStatus>,
}

/// One daemon.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DaemonStatus {
    /// Its VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Revision in force.
    pub revision: u64,
    /// Whether it drains.
    pub leaving: bool,
    /// Whether it speaks for its hall.
    pub gateway: bool,
    /// Streams open.
    pub open: u32,
}

#[handler]
pub(crate) async fn get_status(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app(depot);
    match allowed(req, &app, Role::View) {
        Ok(()) => json(res, StatusCode::OK, &fleet_status(&app)),
        Err(reason) => refuse(res, &reason, Outcome::NotRun),
    }
}

/// What `tidestair status` shows.
pub fn fleet_status(app: &App) -> FleetStatus {
    let now = time::now();
    let snapshot: Arc<Snapshot> = app.in_force.get();
    let members = app.gossip.members();
    let daemon = |r: &crate::member::Record| DaemonStatus {
        vm: r.vm.clone(),
        hall: r.hall.clone(),
        address: r.caller_addr,
        revision: r.revision,
        leaving: r.leaving,
        gateway: r.gateway,
        open: r.open,
    };
    let mut daemons: Vec<DaemonStatus> = members.alive(now).into_iter().map(daemon).collect();
    daemons.sort_by(|a, b| a.vm.cmp(&b.vm));
    let calls = app.platform.calls().by_kind();
    FleetStatus {
        vm: app.config.vm.clone(),
        revision: snapshot.revision,
        in_force: members.lowest_revision(now).min(snapshot.revision),
        platform_behind: app.metrics.platform_behind.get() == 1,
        platform_calls: calls.into_iter().map(|(k, v)| (k.to_string(), v)).collect(),
        daemons,
    }
}
