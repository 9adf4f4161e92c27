//! One daemon with its own stand-ins in one process, and a trace replayed through real sockets.

use crate::client::Client;
use crate::deployment::Deployment;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::measure::Figures;
use crate::replay;
use crate::trace::{self, Line};
use bytes::Bytes;
use serde_json::json;
use std::io::Write;

const DEPLOYMENT: &str = include_str!("../examples/quickstart.deployment.json");
const TRACE: &str = include_str!("../examples/quickstart.jsonl");
const POLICY: &str = "headroom";
const SPEED: f64 = 2.0;

/// The deployment and trace that are built in.
pub fn built_in() -> (Deployment, Vec<Line>) {
    let deployment = Deployment::parse(DEPLOYMENT).expect("tested");
    let trace = trace::parse(TRACE).expect("tested");
    (deployment, trace)
}

/// Replays the built-in trace.
pub async fn run(progress: replay::Progress<'_>) -> Result<Figures> {
    let (deployment, trace) = built_in();
    replay::run(&deployment, &trace, POLICY, SPEED, progress).await
}

/// Starts the built-in deployment at its own speed, to be used by hand.
pub async fn serve() -> Result<Fleet> {
    let (deployment, _) = built_in();
    Fleet::start(&deployment, POLICY, 1.0).await
}

/// Streams one request of a fleet to `out`, token by token.
pub async fn stream_one(fleet: &Fleet, out: &mut dyn Write) -> std::io::Result<()> {
    let client = Client::new(&Deployment::key("w1"), fleet.entries());
    let message =
        json!({"role": "user", "content": "Explain why a house rent allowance is partly taxable."});
    let body = json!({"model": "m1", "stream": true, "max_tokens": 24, "messages": [message]});
    let mut wrote = Ok(());
    let each = |piece: crate::client::Piece| {
        wrote = write!(out, "{}", piece.text).and_then(|()| out.flush());
    };
    client.stream("/v1/chat/completions", "draft", Bytes::from(body.to_string()), each).await;
    wrote?;
    writeln!(out)
}

/// A command line that asks a fleet for a stream.
pub fn curl_line(fleet: &Fleet) -> String {
    let entry = fleet.entries()[0];
    let key = Deployment::key("w1");
    let body = r#"{"model":"m1","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#;
    format!(
        "curl -N http://{entry}/v1/chat/completions -H 'authorization: Bearer {key}' -d '{body}'"
    )
}
