//! Promises 3 and 4: `not_run` only where it is true, and at most one run for a key.

mod common;

use bytes::Bytes;
use common::{client, eventually, fleet};
use hyper::Method;
use std::sync::Arc;
use std::time::Duration;
use tidestair::client::{Called, Client};
use tidestair::fleet::Fleet;
use tidestair::outcome::Outcome;
use tokio::task::JoinSet;

const SUBMIT: &str = "/v1/services/filing/submit";

async fn submit(client: &Client, key: &str, body: &'static str) -> Called {
    let headers = [("x-call", key), ("idempotency-key", key)];
    client.call(Method::POST, SUBMIT, Bytes::from_static(body.as_bytes()), &headers).await
}

async fn submit_first(client: &Client, key: &str) -> Called {
    let headers = [("x-call", key), ("idempotency-key", key), ("x-tidestair-attempt", "1")];
    client.call(Method::POST, SUBMIT, Bytes::from_static(b"{}"), &headers).await
}

fn runs(fleet: &Fleet, key: &str) -> u64 {
    fleet.services.values().map(|s| s.runs().get(key).copied().unwrap_or(0)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_however_often_and_wherever_it_is_sent() {
    let fleet = fleet(4, 1).await;
    let mut calls = JoinSet::new();
    for i in 0..60 {
        let fleet = fleet.clone();
        calls.spawn(async move {
            let key = format!("key-{}", i % 6);
            (key.clone(), submit(&client(&fleet), &key, "{}").await)
        });
    }
    let mut complete = 0;
    while let Some(called) = calls.join_next().await {
        let (_, called) = called.expect("no caller panics");
        assert_ne!(called.outcome, Outcome::NotRun);
        complete += u32::from(called.outcome == Outcome::Complete);
    }
    assert!(complete >= 6, "each key has an answer");
    for i in 0..6 {
        assert_eq!(runs(&fleet, &format!("key-{i}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_settled_key_gives_its_kept_answer_and_a_changed_body_is_refused() {
    let fleet = fleet(3, 1).await;
    let first = submit(&client(&fleet), "k", "{\"n\":1}").await;
    assert_eq!((first.status, first.outcome), (200, Outcome::Complete));
    let again = submit(&client(&fleet), "k", "{\"n\":1}").await;
    assert_eq!((again.status, again.body), (200, first.body));
    let changed = submit(&client(&fleet), "k", "{\"n\":2}").await;
    assert_eq!((changed.status, changed.outcome), (422, Outcome::NotRun));
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_the_run_is_unknown_and_never_runs_again() {
    let fleet = fleet(2, 1).await;
    for service in fleet.services.values() {
        service.fault(|f| f.lose_answers = 1);
    }
    let first = submit(&client(&fleet), "k", "{}").await;
    assert_eq!(first.outcome, Outcome::Unknown);
    for _ in 0..4 {
        assert_eq!(submit(&client(&fleet), "k", "{}").await.outcome, Outcome::Unknown);
    }
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_down_a_keyed_call_is_not_run() {
    let fleet = fleet(2, 1).await;
    fleet.kv.fault(|f| f.down = true);
    let refused = submit_first(&client(&fleet), "k").await;
    assert_eq!((refused.status, refused.outcome), (503, Outcome::NotRun));
    assert_eq!(runs(&fleet, "k"), 0);
    fleet.kv.fault(|f| f.down = false);
    eventually("it runs once the platform is back", async || {
        submit(&client(&fleet), "k", "{}").await.outcome == Outcome::Complete
    })
    .await;
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_may_have_run_is_never_told_not_run() {
    let fleet = fleet(2, 1).await;
    for service in fleet.services.values() {
        service.fault(|f| f.lose_answers = 1);
    }
    assert_eq!(submit_first(&client(&fleet), "k").await.outcome, Outcome::Unknown);
    fleet.kv.fault(|f| f.down = true);
    let again = submit(&client(&fleet), "k", "{}").await;
    assert_eq!((again.status, again.outcome), (503, Outcome::Unknown));
    let elsewhere = "/v1/services/nowhere/submit";
    let headers = [("idempotency-key", "k")];
    let refused = client(&fleet).call(Method::POST, elsewhere, Bytes::new(), &headers).await;
    assert_eq!((refused.status, refused.outcome), (404, Outcome::Unknown));
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_the_platform_loses_make_no_second_run() {
    let fleet = fleet(3, 1).await;
    for round in 0..8 {
        fleet.kv.fault(|f| f.lose_answers = 2);
        let key = format!("k{round}");
        let mut calls = JoinSet::new();
        for _ in 0..4 {
            let (fleet, key) = (fleet.clone(), key.clone());
            calls.spawn(async move { submit(&client(&fleet), &key, "{}").await.outcome });
        }
        let outcomes = calls.join_all().await;
        let ran = runs(&fleet, &key);
        assert!(ran <= 1, "{key} ran {ran} times");
        if ran == 1 {
            assert!(outcomes.contains(&Outcome::Complete), "{outcomes:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_freezes_or_dies_in_the_middle_makes_no_second_run() {
    let fleet = fleet(4, 1).await;
    for service in fleet.services.values() {
        service.fault(|f| f.delay = Duration::from_millis(20));
    }
    let mut calls = JoinSet::new();
    for i in 0..80 {
        let fleet = fleet.clone();
        calls.spawn(async move {
            let client = client(&fleet);
            let key = format!("key-{}", i % 20);
            let mut last = submit(&client, &key, "{}").await;
            for _ in 0..3 {
                if last.outcome != Outcome::Unknown {
                    break;
                }
                last = submit(&client, &key, "{}").await;
            }
            (key, last.outcome)
        });
    }
    fleet.vms()["vm-1"].freeze(Duration::from_millis(400));
    fleet.vms()["vm-3"].freeze(Duration::from_millis(150));
    fleet.remove_vm("vm-2").expect("it runs").kill();
    while let Some(called) = calls.join_next().await {
        let (key, outcome) = called.expect("no caller panics");
        let ran = runs(&fleet, &key);
        assert!(ran <= 1, "{key} ran {ran} times");
        if outcome == Outcome::Complete {
            assert_eq!(ran, 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_is_sent_once_unless_its_route_may_be_repeated() {
    let fleet = fleet(1, 1).await;
    let client = client(&fleet);
    let lose = |fleet: &Arc<Fleet>| {
        for service in fleet.services.values() {
            service.fault(|f| f.lose_answers = 1);
        }
    };
    lose(&fleet);
    let once = client.call(Method::POST, SUBMIT, Bytes::new(), &[("x-call", "a")]).await;
    assert_eq!((once.outcome, runs(&fleet, "a")), (Outcome::Unknown, 1));
    lose(&fleet);
    let path = "/v1/services/filing/status";
    let repeated = client.call(Method::GET, path, Bytes::new(), &[("x-call", "b")]).await;
    assert_eq!(repeated.outcome, Outcome::Unknown, "both replicas lost their answer");
    assert_eq!(runs(&fleet, "b"), 2);
    let again = client.call(Method::GET, path, Bytes::new(), &[("x-call", "c")]).await;
    assert_eq!(again.outcome, Outcome::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_is_gone_or_leaving_is_not_run() {
    let fleet = fleet(1, 1).await;
    let client = client(&fleet);
    for service in fleet.services.values() {
        service.fault(|f| f.leaving = true);
    }
    let leaving = submit(&client, "k1", "{}").await;
    assert_eq!((leaving.outcome, runs(&fleet, "k1")), (Outcome::NotRun, 0));
    for service in fleet.services.values() {
        service.crash().await;
    }
    let gone = submit(&client, "k2", "{}").await;
    assert_eq!(gone.outcome, Outcome::NotRun);
}
