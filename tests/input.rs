//! Bad input gets a 4xx with a remedy and leaves no trace; interfaces are shaped as stock clients expect;
//! pages say what the code does.

mod common;

use bytes::Bytes;
use common::{client, completion, fleet};
use hyper::Method;
use serde_json::{Value, json};
use tidestair::client::{Called, Client};
use tidestair::deployment::Deployment;
use tidestair::outcome::Outcome;
use tidestair::standin::engine::EngineStandin;
use tidestair::standin::orders::{Action, Order};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

async fn post(client: &Client, path: &str, body: Value) -> Called {
    client.call(Method::POST, path, Bytes::from(body.to_string()), &[]).await
}

fn body(called: &Called) -> Value {
    serde_json::from_slice(&called.body).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_with_a_remedy_and_leaves_no_trace() {
    let fleet = fleet(1, 1).await;
    let client = client(&fleet);
    let message = json!([{"role": "user", "content": "Hello"}]);
    let cases = [
        (json!({"model": "m1"}), 400, "missing_messages"),
        (json!({"model": "m1", "messages": []}), 400, "missing_messages"),
        (json!({"messages": message}), 400, "invalid_json"),
        (json!({"model": "m9", "messages": message}), 404, "model_not_found"),
        (json!({"model": "m1", "messages": message, "max_tokens": 0}), 400, "invalid_max_tokens"),
        (
            json!({"model": "m1", "messages": message, "max_tokens": 1_000_000_000u64}),
            400,
            "invalid_max_tokens",
        ),
        (
            json!({"model": "m1", "messages": message, "pad": "x".repeat(2 << 20)}),
            413,
            "body_too_large",
        ),
    ];
    for (given, status, code) in cases {
        let called = post(&client, CHAT, given).await;
        let error = &body(&called)["error"];
        assert_eq!((called.status, error["code"].as_str()), (status, Some(code)));
        assert_eq!(called.outcome, Outcome::NotRun);
        assert!(error["message"].as_str().is_some_and(|m| m.len() > 20));
        assert!(error["type"].is_string());
    }
    let broken = client.call(Method::POST, CHAT, Bytes::from_static(b"{\"model\":"), &[]).await;
    assert_eq!(broken.status, 400);
    let stranger = Client::new("no-such-key", fleet.entries());
    assert_eq!(post(&stranger, CHAT, json!({})).await.status, 401);
    let class = [("x-tidestair-class", "nowhere")];
    assert_eq!(client.call(Method::POST, CHAT, completion(3), &class).await.status, 400);
    assert_eq!(fleet.engines["m1-1"].counts().accepted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_body_is_not_read_is_told_that_its_connection_closes() {
    let fleet = fleet(1, 1).await;
    let mut connection = TcpStream::connect(fleet.entries()[0]).await.expect("it listens");
    let key = Deployment::key("w1");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        3 << 20
    );
    connection.write_all(head.as_bytes()).await.expect("it is connected");
    // More than the daemon takes; the rest never comes.
    connection.write_all(&vec![b'x'; 1 << 20]).await.expect("it is read or waits");
    connection.write_all(&vec![b'x'; 4 << 10]).await.expect("it is read or waits");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).await.expect("an answer comes");
        answer.extend_from_slice(&byte);
    }
    let answer = String::from_utf8(answer).expect("a head").to_lowercase();
    assert!(answer.starts_with("http/1.1 413"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_text_and_model_answers_have_the_usual_shape() {
    let fleet = fleet(1, 1).await;
    let client = client(&fleet);
    let message = json!([{"role": "user", "content": "Hello"}]);
    let chat =
        post(&client, CHAT, json!({"model": "m1", "messages": message, "max_tokens": 5})).await;
    let chat = body(&chat);
    assert_eq!(chat["object"], "chat.completion");
    assert_eq!(chat["usage"]["completion_tokens"], 5);
    assert_eq!(chat["choices"][0]["message"]["role"], "assistant");
    let text =
        post(&client, "/v1/completions", json!({"model": "m1", "prompt": "Hi", "max_tokens": 4}))
            .await;
    let text = body(&text);
    assert_eq!(text["object"], "text_completion");
    assert_eq!(text["choices"][0]["text"].as_str().map(|t| t.split_whitespace().count()), Some(4));
    let models = client.call(Method::GET, "/v1/models", Bytes::new(), &[]).await;
    assert_eq!(body(&models)["data"][0]["id"], "m1");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_with_usage_and_done() {
    let fleet = fleet(1, 1).await;
    let called = client(&fleet).call(Method::POST, CHAT, completion(3), &[]).await;
    let text = String::from_utf8(called.body.to_vec()).expect("text");
    let data: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    assert_eq!(data.last(), Some(&"[DONE]"));
    let last: Value = serde_json::from_str(data[data.len() - 2]).expect("JSON");
    assert_eq!(last["usage"]["completion_tokens"], 3);
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(data.len(), 6, "opening, three tokens, the end, [DONE]");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stand_in_engine_refuses_orders_of_an_older_epoch_if_it_checks() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let engine = EngineStandin::start(addr, Default::default(), 1.0).await.expect("it starts");
    let client = Client::new("", vec![engine.addr()]);
    let order = |epoch| Order { epoch, action: Action::LoadAdapter, name: "a".into() };
    let send = async |epoch| {
        let text = serde_json::to_string(&order(epoch)).expect("JSON");
        client.call(Method::POST, "/orders", text.into(), &[]).await.status
    };
    assert_eq!((send(2).await, send(1).await, send(3).await), (200, 409, 200));
    engine.fault(|f| f.checks_fence = false);
    assert_eq!(send(1).await, 200);
    assert_eq!(engine.orders(), [order(2), order(3), order(1)]);
}

#[test]
fn every_setting_is_described() {
    let page = include_str!("../docs/SETTINGS.md");
    let config = serde_json::to_value(tidestair::config::Config::local("v", "h")).expect("JSON");
    for field in config.as_object().expect("an object").keys() {
        assert!(page.contains(&format!("`{field}`")), "docs/SETTINGS.md says nothing of {field}");
    }
}

#[test]
fn every_metric_is_described() {
    let page = include_str!("../docs/operate/metrics.md");
    let metrics = tidestair::metrics::Metrics::new();
    metrics.ended("x", Outcome::Complete);
    for line in metrics.render().lines().filter_map(|l| l.strip_prefix("# HELP ")) {
        let name = line.split(' ').next().expect("a name");
        assert!(page.contains(name), "docs/operate/metrics.md says nothing of {name}");
    }
}

#[test]
fn the_capacity_page_holds_what_the_measured_slopes_give() {
    let page = include_str!("../docs/CAPACITY.md");
    let table = tidestair::capacity::table();
    assert!(!table.contains("NaN"), "docs/slopes.json lacks a slope:\n{table}");
    assert!(page.contains(&table), "paste what `tidestair capacity` prints:\n{table}");
}
