//! A stand-in platform: the key-value service behind the published JSON gateway of etcd v3.
//!
//! Only the calls that tidestair makes: range, transactions of one compare, leases and watches.

use super::kv::Kv;
use crate::error::Result;
use crate::platform::{Change, Entry, Expect, LeaseId, Platform, PlatformError, Swap};
use crate::server::{self, Serving, json, stream_body};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use salvo::affix_state;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json as value};
use std::net::SocketAddr;

const BODY_LIMIT: usize = 4 << 20;
const WATCH_DEPTH: usize = 16;
/// gRPC's code of a service that is unavailable.
const UNAVAILABLE: u32 = 14;

/// A running stand-in platform.
pub struct PlatformStandin {
    serving: Serving,
    kv: Kv,
}

impl PlatformStandin {
    /// Starts an empty platform on `addr`.
    pub async fn start(addr: SocketAddr) -> Result<PlatformStandin> {
        let kv = Kv::new();
        let serving = server::serve(addr, router(kv.clone())).await?;
        Ok(PlatformStandin { serving, kv })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }

    /// The store behind it, for faults.
    pub fn kv(&self) -> &Kv {
        &self.kv
    }
}

fn router(kv: Kv) -> Router {
    Router::with_path("v3")
        .hoop(affix_state::inject(kv))
        .push(Router::with_path("kv/range").post(range))
        .push(Router::with_path("kv/txn").post(txn))
        .push(Router::with_path("lease/grant").post(grant))
        .push(Router::with_path("lease/keepalive").post(keepalive))
        .push(Router::with_path("watch").post(watch))
}

fn kv(depot: &Depot) -> Kv {
    depot.get_typed::<Kv>().expect("injected by the router").clone()
}

async fn body(req: &mut Request) -> Value {
    let bytes = req.payload_with_max_size(BODY_LIMIT).await.cloned().unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

fn text(value: &Value) -> String {
    let bytes = STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The gateway writes 64-bit numbers as strings and takes both.
fn number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn failed(res: &mut Response, e: PlatformError) {
    match e {
        PlatformError::Unavailable { reason } => {
            json(
                res,
                StatusCode::SERVICE_UNAVAILABLE,
                &value!({"code": UNAVAILABLE, "message": reason}),
            );
        }
        PlatformError::NoAnswer { .. } => {
            // The connection breaks without an answer.
            let tx = stream_body(res, 1);
            let _ = tx.try_send(Err(std::io::Error::other("answer lost")));
        }
    }
}

fn pair(entry: &Entry) -> Value {
    let revision = entry.revision.to_string();
    value!({"key": STANDARD.encode(&entry.key), "value": STANDARD.encode(&entry.value), "mod_revision": revision})
}

#[handler]
async fn range(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = body(req).await;
    let key = text(&body["key"]);
    let kv = kv(depot);
    let found = match body["range_end"].is_string() {
        true => kv.range(&key).await.map(|r| (r.entries, r.revision)),
        false => kv.get(&key).await.map(|e| (e.into_iter().collect(), 0)),
    };
    match found {
        Ok((entries, revision)) => {
            let kvs: Vec<Value> = entries.iter().map(pair).collect();
            let header = value!({"revision": revision.to_string()});
            json(
                res,
                StatusCode::OK,
                &value!({"header": header, "kvs": kvs, "count": kvs.len().to_string()}),
            );
        }
        Err(e) => failed(res, e),
    }
}

#[handler]
async fn txn(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = body(req).await;
    let compare = &body["compare"][0];
    let expect = match number(&compare["mod_revision"]) {
        0 => Expect::Absent,
        revision => Expect::Revision(revision),
    };
    let put = &body["success"][0]["request_put"];
    let new = put
        .is_object()
        .then(|| STANDARD.decode(put["value"].as_str().unwrap_or_default()).unwrap_or_default());
    let lease = Some(number(&put["lease"])).filter(|id| *id > 0).map(LeaseId);
    match kv(depot).swap(&text(&compare["key"]), expect, new, lease).await {
        Ok(Swap::Won(revision)) => {
            json(
                res,
                StatusCode::OK,
                &value!({"header": {"revision": revision.to_string()}, "succeeded": true}),
            );
        }
        Ok(Swap::Lost) => json(res, StatusCode::OK, &value!({"header": {}})),
        Err(e) => failed(res, e),
    }
}

#[handler]
async fn grant(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = body(req).await;
    match kv(depot).grant(number(&body["TTL"]) * 1_000).await {
        Ok(LeaseId(id)) => {
            json(res, StatusCode::OK, &value!({"ID": id.to_string(), "TTL": body["TTL"]}))
        }
        Err(e) => failed(res, e),
    }
}

#[handler]
async fn keepalive(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let id = number(&body(req).await["ID"]);
    match kv(depot).renew(LeaseId(id)).await {
        Ok(lives) => json(
            res,
            StatusCode::OK,
            &value!({"result": {"ID": id.to_string(), "TTL": if lives { "1" } else { "0" }}}),
        ),
        Err(e) => failed(res, e),
    }
}

#[handler]
async fn watch(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let body = body(req).await;
    let create = &body["create_request"];
    let after = number(&create["start_revision"]).saturating_sub(1);
    match kv(depot).watch(&text(&create["key"]), after).await {
        Ok(mut changes) => {
            let tx = stream_body(res, WATCH_DEPTH);
            tokio::spawn(async move {
                let _ = tx.send(Ok(line(&value!({"result": {"created": true}})))).await;
                loop {
                    tokio::select! {
                        batch = changes.recv() => {
                            let Some(batch) = batch else { return };
                            let events: Vec<Value> = batch.iter().map(event).collect();
                            if tx.send(Ok(line(&value!({"result": {"events": events}})))).await.is_err() {
                                return;
                            }
                        }
                        () = tx.closed() => return,
                    }
                }
            });
        }
        Err(e) => failed(res, e),
    }
}

fn event(change: &Change) -> Value {
    let (kind, data) = match &change.value {
        Some(data) => ("PUT", STANDARD.encode(data)),
        None => ("DELETE", String::new()),
    };
    let revision = change.revision.to_string();
    value!({"type": kind, "kv": {"key": STANDARD.encode(&change.key), "value": data, "mod_revision": revision}})
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}
