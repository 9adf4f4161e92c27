//! The platform's service through the published JSON gateway of etcd v3.

use crate::adapter::request;
use crate::outcome::NotSent;
use crate::platform::{
    Change, Entry, Expect, LeaseId, Platform, PlatformError, PlatformResult, Range, Swap,
};
use crate::wire::{Answer, Fault, Wire};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

const CALL_LIMIT: Duration = Duration::from_millis(3_000);
const BODY_LIMIT: usize = 256 << 20;
const WATCH_DEPTH: usize = 64;

/// A client of the gateway.
pub struct EtcdGateway {
    endpoints: Vec<SocketAddr>,
    wire: Wire,
}

#[derive(Deserialize)]
struct RangeAnswer {
    header: Option<Header>,
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Deserialize, Default)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize)]
struct Pair {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct TxnAnswer {
    header: Option<Header>,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct LeaseAnswer {
    #[serde(rename = "ID", default)]
    id: String,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct Streamed<T> {
    result: T,
}

#[derive(Deserialize)]
struct WatchAnswer {
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(rename = "type", default)]
    kind: String,
    kv: Pair,
}

fn no_answer(reason: impl Into<String>) -> PlatformError {
    PlatformError::NoAnswer { reason: reason.into() }
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// The end of the range of keys that start with `prefix`.
fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    STANDARD.encode(end)
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

impl Pair {
    fn entry(self) -> Option<Entry> {
        let key = String::from_utf8(STANDARD.decode(self.key).ok()?).ok()?;
        let value = STANDARD.decode(self.value).ok()?;
        Some(Entry { key, value, revision: number(&self.mod_revision) })
    }
}

impl EtcdGateway {
    /// A client that tries `endpoints` in order.
    pub fn new(endpoints: Vec<SocketAddr>) -> EtcdGateway {
        EtcdGateway { endpoints, wire: Wire::default() }
    }

    async fn send(&self, path: &str, body: &Value) -> PlatformResult<Answer> {
        let bytes = Bytes::from(body.to_string());
        for addr in &self.endpoints {
            let req = request(Method::POST, *addr, path, bytes.clone());
            match self.wire.send(*addr, req, NotSent::begin(), CALL_LIMIT).await {
                Ok(answer) if answer.status.is_success() => return Ok(answer),
                Ok(answer) if answer.status.as_u16() == 503 => continue,
                Ok(answer) => return Err(no_answer(format!("status {}", answer.status))),
                // The next endpoint may be tried only where nothing was sent.
                Err(Fault::NotSent(_)) => continue,
                Err(Fault::Unknown) => return Err(no_answer("connection broke")),
            }
        }
        Err(PlatformError::Unavailable { reason: "no endpoint takes calls".into() })
    }

    async fn post<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        body: Value,
    ) -> PlatformResult<T> {
        let answer = self.send(path, &body).await?;
        let bytes = answer
            .read_to_end(BODY_LIMIT, CALL_LIMIT)
            .await
            .map_err(|_| no_answer("answer broke off"))?;
        serde_json::from_slice(&bytes).map_err(|e| no_answer(e.to_string()))
    }
}

impl Platform for EtcdGateway {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, PlatformResult<Option<Entry>>> {
        Box::pin(async move {
            let answer: RangeAnswer =
                self.post("/v3/kv/range", json!({"key": encode(key)})).await?;
            Ok(answer.kvs.into_iter().next().and_then(Pair::entry))
        })
    }

    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, PlatformResult<Range>> {
        Box::pin(async move {
            let body = json!({"key": encode(prefix), "range_end": range_end(prefix)});
            let answer: RangeAnswer = self.post("/v3/kv/range", body).await?;
            let revision = number(&answer.header.unwrap_or_default().revision);
            Ok(Range {
                entries: answer.kvs.into_iter().filter_map(Pair::entry).collect(),
                revision,
            })
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, PlatformResult<Swap>> {
        Box::pin(async move {
            let revision = match expect {
                Expect::Absent => 0,
                Expect::Revision(revision) => revision,
            };
            let compare = json!({"key": encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string()});
            let write = match value {
                Some(value) => {
                    let lease = lease.map_or(0, |l| l.0).to_string();
                    json!({"request_put": {"key": encode(key), "value": STANDARD.encode(value), "lease": lease}})
                }
                None => json!({"request_delete_range": {"key": encode(key)}}),
            };
            let answer: TxnAnswer =
                self.post("/v3/kv/txn", json!({"compare": [compare], "success": [write]})).await?;
            match answer.succeeded {
                true => Ok(Swap::Won(number(&answer.header.unwrap_or_default().revision))),
                false => Ok(Swap::Lost),
            }
        })
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, PlatformResult<LeaseId>> {
        Box::pin(async move {
            let seconds = ttl_ms.div_ceil(1_000).to_string();
            let answer: LeaseAnswer = self.post("/v3/lease/grant", json!({"TTL": seconds})).await?;
            Ok(LeaseId(number(&answer.id)))
        })
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, PlatformResult<bool>> {
        Box::pin(async move {
            let body = json!({"ID": lease.0.to_string()});
            let answer: Streamed<LeaseAnswer> = self.post("/v3/lease/keepalive", body).await?;
            Ok(number(&answer.result.ttl) > 0)
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> BoxFuture<'a, PlatformResult<mpsc::Receiver<Vec<Change>>>> {
        Box::pin(async move {
            let create = json!({"key": encode(prefix), "range_end": range_end(prefix), "start_revision": (after + 1).to_string()});
            let answer = self.send("/v3/watch", &json!({"create_request": create})).await?;
            let (tx, rx) = mpsc::channel(WATCH_DEPTH);
            tokio::spawn(read_watch(answer, tx));
            Ok(rx)
        })
    }
}

/// Hands on the changes of a watch until it breaks or nobody listens.
async fn read_watch(mut answer: Answer, tx: mpsc::Sender<Vec<Change>>) {
    let mut buffer = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = answer.chunk() => chunk,
            () = tx.closed() => return,
        };
        let Ok(Some(data)) = chunk else { return };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(read) = serde_json::from_slice::<Streamed<WatchAnswer>>(&line) else {
                return;
            };
            let changes: Vec<Change> = read.result.events.into_iter().filter_map(change).collect();
            if !changes.is_empty() && tx.send(changes).await.is_err() {
                return;
            }
        }
    }
}

fn change(event: Event) -> Option<Change> {
    let deleted = event.kind == "DELETE";
    let entry = event.kv.entry()?;
    let value = (!deleted).then_some(entry.value);
    Some(Change { key: entry.key, value, revision: entry.revision })
}
