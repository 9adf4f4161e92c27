//! What the tests share: small deployments, requests and patience without wall-clock verdicts.

#![allow(dead_code)]

use bytes::Bytes;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tidestair::admin::Admin;
use tidestair::client::{Client, Ended, Piece};
use tidestair::deployment::Deployment;
use tidestair::fleet::{Fleet, OPERATOR_KEY};
use tidestair::measure::{Seen, SeenToken};
use tidestair::trace::{Fault, FaultKind};
use tokio::time::sleep;

/// How many times as fast as declared the fleets of the tests run.
pub const SPEED: f64 = 4.0;
const PATIENCE: u32 = 3_000;
const STEP: Duration = Duration::from_millis(10);

/// A deployment of `vms` daemons and `engines` replicas in two halls.
pub fn deployment(vms: usize, engines: usize) -> Deployment {
    let text = include_str!("../../examples/nikuthi.deployment.json");
    let mut deployment = Deployment::parse(text).expect("the example holds");
    deployment.vms.truncate(vms);
    deployment.engines.replicas.truncate(engines);
    deployment.services[0].replicas.truncate(2);
    deployment
}

/// A running fleet under `headroom`.
pub async fn fleet(vms: usize, engines: usize) -> Arc<Fleet> {
    let started = Fleet::start(&deployment(vms, engines), "headroom", SPEED).await;
    Arc::new(started.expect("the fleet starts"))
}

/// A caller of workspace `w1`.
pub fn client(fleet: &Fleet) -> Client {
    Client::new(&Deployment::key("w1"), fleet.entries())
}

/// An operator at the first daemon.
pub fn admin(fleet: &Fleet) -> Admin {
    let entry = fleet.entries()[0].to_string();
    Admin::new(&entry, OPERATOR_KEY).expect("an address")
}

/// A streamed completion of `output` tokens.
pub fn completion(output: u32) -> Bytes {
    let metadata = json!({"standin_output_tokens": output.to_string()});
    let message = json!({"role": "user", "content": "Explain the difference between the regimes."});
    let body = json!({"model": "m1", "stream": true, "messages": [message], "metadata": metadata});
    Bytes::from(body.to_string())
}

/// A stream as its reader saw it, told by its texts.
pub struct Read {
    pub ended: Ended,
    pub seen: Seen,
}

/// Reads a stream of `output` tokens to its end; `each` is told the count after each token.
pub async fn read(client: &Client, class: &str, output: u32, mut each: impl FnMut(usize)) -> Read {
    let mut tokens = Vec::new();
    let on_piece = |piece: Piece| {
        tokens.extend(SeenToken::parse_all(&piece.text));
        each(tokens.len());
    };
    let ended = client.stream("/v1/chat/completions", class, completion(output), on_piece).await;
    let seen = Seen {
        outcome: ended.outcome,
        first: None,
        whole: Duration::ZERO,
        gaps: Vec::new(),
        gap_limit: Duration::ZERO,
        tokens,
        expected: output,
    };
    Read { ended, seen }
}

/// Waits until `holds`, however long the machine takes; the patience only ends a hung test.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..PATIENCE {
        if holds().await {
            return;
        }
        sleep(STEP).await;
    }
    panic!("never came: {what}");
}

/// A fault line.
pub fn fault(kind: FaultKind, target: &str, for_ms: u64, amount: f64) -> Fault {
    Fault { at_ms: 0, fault: kind, target: target.into(), for_ms, amount }
}
