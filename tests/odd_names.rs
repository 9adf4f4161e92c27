//! Names and paths with characters that mean something in a URL: they arrive as they were given.

mod common;

use bytes::Bytes;
use common::{admin, client, eventually, fleet};
use hyper::Method;
use std::collections::BTreeSet;
use std::time::Duration;
use tidestair::admin::Admin;
use tidestair::error::Error;
use tidestair::resource::{Kind, Resource, Spec, TrafficClassSpec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

const NAMES: [&str; 9] = ["a b", "a&b", "a+b", "a#b", "a%41", "%zz", "a/b", "a?b", "é"];
/// More than one page of a list holds.
const MANY: usize = 600;
const PATIENCE: Duration = Duration::from_secs(20);

fn class(name: &str) -> Resource {
    let spec: TrafficClassSpec = serde_json::from_str(r#"{"priority": 5}"#).expect("a class");
    Resource::new(name, Spec::TrafficClass(spec))
}

/// Guards against a list that begins again, or passes over resources, behind a name in the store that is sent as it is.
#[tokio::test(flavor = "multi_thread")]
async fn pages_of_resources_with_odd_names_name_each_once() {
    for name in NAMES {
        let fleet = fleet(1, 1).await;
        let names: BTreeSet<String> = (0..MANY).map(|n| format!("{name}{n:03}")).collect();
        for name in &names {
            // As another writer would: the API takes no such name.
            fleet.declare(&class(name)).await.expect("written");
        }
        let admin = admin(&fleet);
        let last = names.last().expect("there are some").clone();
        eventually("all are in force", async || admin.get(Kind::TrafficClass, &last).await.is_ok())
            .await;
        let listed = timeout(PATIENCE, admin.list(Kind::TrafficClass)).await;
        let listed = listed.unwrap_or_else(|_| panic!("{name}: no end")).expect("a list");
        let listed: Vec<String> = listed.into_iter().map(|r| r.metadata.name).collect();
        let odd: Vec<&String> = listed.iter().filter(|listed| listed.starts_with(name)).collect();
        assert_eq!(odd.len(), MANY, "{name}");
        assert!(odd.into_iter().eq(&names), "{name}");
    }
}

/// Guards against a program that ends because of a name on its command line.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_name_that_is_not_declared_is_told() {
    let fleet = fleet(1, 1).await;
    for name in NAMES {
        let refused = admin(&fleet).get(Kind::TrafficClass, name).await;
        let Err(Error::Refused { status: 404, message, .. }) = refused else {
            panic!("{name}: {refused:?}");
        };
        assert!(message.contains(&format!("`{name}`")), "{message}");
    }
}

/// Guards against a list that is read without end from a daemon whose pages don't advance.
#[tokio::test]
async fn a_list_whose_pages_do_not_advance_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let page = r#"{"items":[],"metadata":{"continue":"a"}}"#;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{page}", page.len());
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                while stream.read(&mut [0; 4_096]).await.is_ok_and(|bytes| bytes > 0) {
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    let admin = Admin::new(&addr, "key").expect("an address");
    let listed = timeout(PATIENCE, admin.list(Kind::TrafficClass)).await.expect("it ends");
    assert!(matches!(listed, Err(Error::Unreachable { .. })), "{listed:?}");
}

/// Guards against a service that gets another path than the caller's.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_gets_the_path_that_the_caller_sent() {
    let fleet = fleet(1, 1).await;
    for path in ["/status/a%20b", "/status/a%2Fb", "/status/a%3Fb", "/status/%2e%2e", "/status/%zz"]
    {
        let sent = format!("/v1/services/filing{path}?c=%20d");
        let called = client(&fleet).call(Method::GET, &sent, Bytes::new(), &[]).await;
        let body: serde_json::Value = serde_json::from_slice(&called.body).expect("its answer");
        assert_eq!((called.status, body["path"].as_str()), (200, Some(path)));
    }
}
