//! Promises 5 and 6: a leaving backend server gets no new work; a planned stop cuts off no request.

mod common;

use bytes::Bytes;
use common::{client, eventually, fleet, read};
use hyper::Method;
use std::sync::Arc;
use tidestair::admin::Admin;
use tidestair::fleet::OPERATOR_KEY;
use tidestair::measure::Wrong;
use tidestair::outcome::Outcome;
use tidestair::platform::{Expect, Platform};
use tidestair::snapshot::{VmList, vms_key};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_none_of_200_streams_and_50_calls() {
    let fleet = fleet(2, 4).await;
    let started = Arc::new(Semaphore::new(0));
    let mut streams = JoinSet::new();
    for _ in 0..200 {
        let (fleet, started) = (fleet.clone(), started.clone());
        streams.spawn(async move {
            let client = client(&fleet);
            read(&client, "draft", 60, |count| {
                if count == 1 {
                    started.add_permits(1);
                }
            })
            .await
        });
    }
    let _ = started.acquire_many(40).await.expect("open");
    let mut calls = JoinSet::new();
    for i in 0..50 {
        let fleet = fleet.clone();
        calls.spawn(async move {
            let label = format!("call-{i}");
            let headers = [("x-call", label.as_str()), ("idempotency-key", label.as_str())];
            let path = "/v1/services/filing/submit";
            client(&fleet).call(Method::POST, path, Bytes::new(), &headers).await.outcome
        });
    }
    let vm = fleet.remove_vm("vm-1").expect("it runs");
    vm.drain();
    while let Some(read) = streams.join_next().await {
        let read = read.expect("no reader panics");
        assert_eq!(read.ended.outcome, Outcome::Complete, "{}", read.ended.message);
        assert_eq!(read.ended.resumes, 0, "a connection was broken by a planned stop");
        assert_eq!(read.seen.judge(), Wrong::default());
    }
    while let Some(outcome) = calls.join_next().await {
        assert_eq!(outcome.expect("no caller panics"), Outcome::Complete);
    }
    eventually("the daemon ends by itself", async || vm.revision().await.is_none()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_daemon_leaves_the_entries_first_and_still_serves() {
    let fleet = fleet(2, 1).await;
    let vm = fleet.vms()["vm-1"].clone();
    let kept = client(&fleet);
    let other = fleet.vms()["vm-2"].caller_addr.to_string();
    let admin = Admin::new(&other, OPERATOR_KEY).expect("an address");
    let staying = async || {
        let daemons = admin.status().await.expect("reached").daemons;
        daemons.iter().any(|d| d.vm == "vm-1" && !d.leaving)
    };
    eventually("the other knows it", staying).await;
    vm.drain();
    eventually("the other names it no more", async || !staying().await).await;
    assert!(vm.revision().await.is_some(), "it left the entries only by its end");
    let read = read(&kept, "draft", 20, |_| {}).await;
    assert_eq!(read.ended.outcome, Outcome::Complete, "{}", read.ended.message);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_on_the_leaving_list_gets_no_new_work() {
    let fleet = fleet(2, 2).await;
    let leaving = fleet.engines["m1-1"].clone();
    let list = VmList { leaving: vec![leaving.addr()] };
    let value = serde_json::to_vec(&list).expect("JSON");
    fleet.kv.swap(&vms_key(), Expect::Absent, Some(value), None).await.expect("the platform is up");
    let wanted = fleet.kv.range("").await.expect("up").revision;
    for vm in fleet.vms().values() {
        eventually("the list has come", async || vm.revision().await >= Some(wanted)).await;
    }
    let before = leaving.counts().accepted;
    let mut streams = JoinSet::new();
    for _ in 0..20 {
        let fleet = fleet.clone();
        streams
            .spawn(async move { read(&client(&fleet), "draft", 10, |_| {}).await.ended.outcome });
    }
    assert!(streams.join_all().await.iter().all(|o| *o == Outcome::Complete));
    assert_eq!(leaving.counts().accepted, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_says_it_leaves_is_told_no_more() {
    let fleet = fleet(2, 2).await;
    let leaving = fleet.engines["m1-1"].clone();
    leaving.fault(|f| f.leaving = true);
    for _ in 0..20 {
        let read = read(&client(&fleet), "draft", 10, |_| {}).await;
        assert_eq!(read.ended.outcome, Outcome::Complete, "{}", read.ended.message);
    }
    assert_eq!(leaving.counts().accepted, 0);
    assert_eq!(leaving.counts().sent_late, 0);
}
