//! Promises 1 and 2: every token once, in order, from one generation; each caller its own answer.

mod common;

use common::{client, eventually, fleet, read};
use hyper::Method;
use std::sync::Arc;
use std::time::Duration;
use tidestair::adapter::NOT_STARTED;
use tidestair::client::Client;
use tidestair::deployment::Deployment;
use tidestair::measure::Wrong;
use tidestair::outcome::Outcome;
use tokio::sync::Notify;

const OUTPUT: u32 = 80;

#[tokio::test(flavor = "multi_thread")]
async fn doubled_and_skipped_tokens_are_mended() {
    let fleet = fleet(1, 1).await;
    let engine = fleet.engines["m1-1"].clone();
    let client = client(&fleet);
    let read = read(&client, "draft", OUTPUT, |count| match count {
        5 => engine.fault(|f| f.double_tokens = 7),
        30 => engine.fault(|f| f.skip_tokens = 3),
        _ => {}
    });
    let read = read.await;
    assert_eq!(read.ended.outcome, Outcome::Complete);
    assert_eq!(read.seen.judge(), Wrong::default());
    let metrics = fleet.vms()["vm-1"].metrics().await.expect("alive");
    assert!(metrics.contains("tidestair_tokens_duplicate_total 7"), "{metrics}");
    assert!(!metrics.contains("tidestair_stream_gaps_total 0"), "no gap was seen");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_link_is_resumed() {
    let fleet = fleet(1, 1).await;
    let engine = fleet.engines["m1-1"].clone();
    let client = client(&fleet);
    let stalled = Arc::new(Notify::new());
    let waiter = stalled.clone();
    let heal = tokio::spawn(async move {
        waiter.notified().await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        engine.fault(|f| f.stalled = false);
    });
    let engine = fleet.engines["m1-1"].clone();
    let read = read(&client, "draft", OUTPUT, |count| {
        if count == 20 {
            engine.fault(|f| f.stalled = true);
            stalled.notify_one();
        }
    });
    let read = read.await;
    heal.await.expect("healed");
    assert_eq!(read.ended.outcome, Outcome::Complete);
    assert_eq!(read.seen.judge(), Wrong::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_goes_on_at_another_entry_when_its_entry_dies() {
    let fleet = fleet(3, 3).await;
    let mut readers = tokio::task::JoinSet::new();
    let reading = Arc::new(Notify::new());
    for _ in 0..30 {
        let (fleet, reading) = (fleet.clone(), reading.clone());
        readers.spawn(async move {
            let client = client(&fleet);
            read(&client, "draft", 120, |count| {
                if count == 10 {
                    reading.notify_one();
                }
            })
            .await
        });
    }
    for _ in 0..10 {
        reading.notified().await;
    }
    fleet.remove_vm("vm-2").expect("it runs").kill();
    let mut resumes = 0;
    while let Some(read) = readers.join_next().await {
        let read = read.expect("no reader panics");
        assert_eq!(read.ended.outcome, Outcome::Complete, "{}", read.ended.message);
        assert_eq!(read.seen.judge(), Wrong::default());
        resumes += read.ended.resumes;
    }
    assert!(resumes > 0, "nobody was on the entry that died");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_dies_cuts_streams_plainly_and_never_splices() {
    let fleet = fleet(1, 2).await;
    let client = client(&fleet);
    let reached = Arc::new(Notify::new());
    let waiter = reached.clone();
    let crash = {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            waiter.notified().await;
            for engine in fleet.engines.values() {
                engine.crash().await;
                engine.restart().await.expect("it comes back");
            }
        })
    };
    let read = read(&client, "draft", 400, |count| {
        if count == 10 {
            reached.notify_one();
        }
    });
    let read = read.await;
    crash.await.expect("crashed");
    assert_eq!(read.ended.outcome, Outcome::Cut);
    let wrong = read.seen.judge();
    assert_eq!((wrong.spliced, wrong.doubled, wrong.lost), (0, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_delivered_whole_survives_its_engine() {
    let fleet = fleet(1, 2).await;
    let client = client(&fleet);
    let crash = async {
        let mut victim = None;
        eventually("an engine works on it", async || {
            let busy = fleet.engines.iter().find(|(_, e)| e.counts().made > 10);
            victim = busy.map(|(name, _)| name.clone());
            victim.is_some()
        })
        .await;
        fleet.engines[&victim.expect("found")].crash().await;
    };
    let (read, ()) = tokio::join!(read(&client, "summary", 200, |_| {}), crash);
    assert_eq!(read.ended.outcome, Outcome::Complete, "{}", read.ended.message);
    assert_eq!(read.seen.judge(), Wrong::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_resumes_with_a_forged_or_foreign_id() {
    let fleet = fleet(1, 1).await;
    let own = client(&fleet);
    let id = first_event_id(&own).await;
    let foreign = Client::new(&Deployment::key("w2"), fleet.entries());
    // Only the signature differs: everything it signs is as it was.
    let mut forged = id.clone();
    let at = id.len() - 6;
    forged.replace_range(at..=at, if &id[at..=at] == "A" { "B" } else { "A" });
    for (caller, given) in [(&foreign, id.as_str()), (&own, forged.as_str()), (&own, "")] {
        let headers = [("last-event-id", given)];
        let answer = caller.call(Method::GET, "/v1/streams/x", Default::default(), &headers).await;
        assert_eq!(answer.status, 404);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(body.contains("no_such_stream"), "{body}");
    }
    let headers = [("last-event-id", id.as_str())];
    let answer = own.call(Method::GET, "/v1/streams/x", Default::default(), &headers).await;
    assert_eq!(answer.status, 200, "the rightful reader goes on");
}

async fn first_event_id(client: &Client) -> String {
    let body = common::completion(40);
    let answer = client.call(Method::POST, "/v1/chat/completions", body, &[]).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    text.lines().find_map(|l| l.strip_prefix("id: ")).expect("an event id").to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_without_a_reader_is_cancelled_at_its_engine() {
    let fleet = fleet(1, 1).await;
    let reader = {
        let fleet = fleet.clone();
        tokio::spawn(async move { read(&client(&fleet), "draft", 100_000, |_| {}).await.ended })
    };
    let engine = fleet.engines["m1-1"].clone();
    eventually("the generation runs", async || engine.counts().made > 5).await;
    reader.abort();
    eventually("the engine cancels it", async || engine.counts().cancelled == 1).await;
    assert_eq!(engine.counts().open, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_loses_nothing() {
    let fleet = fleet(1, 1).await;
    let client = client(&fleet);
    let read = read(&client, "draft", 600, |count| {
        if count % 100 == 0 {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let read = read.await;
    assert_eq!(read.ended.outcome, Outcome::Complete);
    assert_eq!(read.seen.judge(), Wrong::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_engine_took_is_not_run() {
    let fleet = fleet(1, 1).await;
    let engine = fleet.engines["m1-1"].clone();
    engine.fault(|f| f.leaving = true);
    let body = common::completion(10);
    let answer = client(&fleet).call(Method::POST, "/v1/chat/completions", body, &[]).await;
    assert_eq!(answer.outcome, Outcome::NotRun, "{NOT_STARTED} is a proof");
    assert_eq!(engine.counts().accepted, 0);
}
