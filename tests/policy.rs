//! The parts that placing is made of: forecasts, the fair queue, ejection, retry budgets, membership.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tidestair::forecast::{Forecasts, LengthKey};
use tidestair::health::{Health, RetryBudget};
use tidestair::member::{Liveness, Members, Record};
use tidestair::queue::{Pushed, Queue, Rank};

fn key(workspace: &str) -> LengthKey {
    LengthKey { workspace: workspace.into(), class: "draft".into() }
}

#[test]
fn a_forecast_learns_and_is_conditional_on_tokens_made() {
    let mut forecasts = Forecasts::default();
    let before = forecasts.survival(&key("w1")).lives(0, 400.0);
    for i in 0..400 {
        forecasts.record(&key("w1"), if i % 10 == 0 { 2_000 } else { 50 });
    }
    let learned = forecasts.survival(&key("w1"));
    assert!(learned.lives(0, 400.0) < before);
    assert!(learned.lives(200, 400.0) > 0.8, "one that outlived the short ones goes on long");
    let newcomer = forecasts.survival(&key("w2")).lives(0, 400.0);
    assert!(newcomer < before, "a new workspace is like its class");
}

fn push(
    queue: &mut Queue<&'static str>,
    workspace: &'static str,
    priority: u8,
    most: usize,
) -> Pushed<&'static str> {
    let rank = Rank { priority, workspace, share: 1, cost: 100 };
    queue.push(workspace, rank, most, Instant::now())
}

fn drain(queue: &mut Queue<&'static str>) -> Vec<&'static str> {
    let mut order = Vec::new();
    loop {
        let first = queue.first(1).map(|(ticket, _)| ticket).next();
        let Some(ticket) = first else { return order };
        order.push(queue.serve(ticket).expect("it waits").item);
    }
}

#[test]
fn a_large_workspace_does_not_starve_small_ones() {
    let mut queue = Queue::default();
    for _ in 0..50 {
        push(&mut queue, "large", 5, 100);
    }
    for small in ["a", "b", "c"] {
        push(&mut queue, small, 5, 100);
    }
    let order = drain(&mut queue);
    let last_small = order.iter().rposition(|w| *w != "large").expect("they were served");
    assert!(last_small <= 4, "{order:?}");
}

#[test]
fn higher_classes_go_first_and_the_lowest_is_shed() {
    let mut queue = Queue::default();
    push(&mut queue, "summary", 2, 2);
    push(&mut queue, "draft", 5, 2);
    assert!(matches!(push(&mut queue, "urgent", 9, 2), Pushed::Instead(_, "summary")));
    assert!(matches!(push(&mut queue, "late", 2, 2), Pushed::Shed("late")));
    assert_eq!(drain(&mut queue), ["urgent", "draft"]);
}

#[test]
fn a_server_that_fails_in_a_row_is_ejected_and_probed_back() {
    let now = Instant::now();
    let mut health = Health::default();
    health.failed(now);
    health.failed(now);
    assert!(health.usable(now));
    health.failed(now);
    assert!(!health.usable(now));
    let later = now + Duration::from_millis(1_001);
    assert!(health.usable(later), "one probe");
    health.failed(later);
    assert!(!health.usable(later + Duration::from_millis(1_500)), "for longer than before");
    health.succeeded();
    assert!(health.usable(later));
}

#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::default();
    let saved = (0..1_000).filter(|_| budget.take()).count();
    assert_eq!(saved, 20);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.succeeded();
        retries += usize::from(budget.take());
    }
    assert!((90..=110).contains(&retries), "{retries}");
}

fn record(vm: &str, hall: &str, gateway: bool) -> Record {
    let addr: SocketAddr = ([127, 0, 0, 1], 1).into();
    Record {
        vm: vm.into(),
        hall: hall.into(),
        caller_addr: addr,
        peer_addr: addr,
        incarnation: 1,
        beat: 1,
        leaving: false,
        gateway,
        revision: 5,
        lowest: 5,
        open: 0,
    }
}

const BEAT: Duration = Duration::from_millis(100);

#[test]
fn a_silent_daemon_is_suspected_then_dead_and_an_old_rumor_does_not_revive_it() {
    let now = Instant::now();
    let mut members = Members::new(record("me", "h", true), BEAT, now);
    members.merge(record("other", "h", true), now);
    assert_eq!(members.liveness("other", now + BEAT * 5), Some(Liveness::Alive));
    assert_eq!(members.liveness("other", now + BEAT * 10), Some(Liveness::Suspected));
    let late = now + BEAT * 30;
    assert!(!members.merge(record("other", "h", true), late), "the same beat again");
    assert_eq!(members.liveness("other", late), Some(Liveness::Dead));
    assert!(members.merge(Record { incarnation: 2, beat: 0, ..record("other", "h", true) }, late));
    assert_eq!(
        members.liveness("other", late),
        Some(Liveness::Alive),
        "a restart is not the old process"
    );
}

#[test]
fn a_leaving_mark_wins_at_once_and_a_frozen_daemon_suspects_nobody() {
    let now = Instant::now();
    let mut members = Members::new(record("me", "h", true), BEAT, now);
    members.merge(Record { beat: 9, ..record("other", "h", true) }, now);
    members.merge(Record { beat: 3, leaving: true, ..record("other", "h", true) }, now);
    assert_eq!(members.entries(now).len(), 1, "only this one");
    let woken = now + Duration::from_secs(60);
    members.tick(woken);
    assert_eq!(members.liveness("other", woken), Some(Liveness::Alive));
}

#[test]
fn state_and_messages_stay_bounded_as_the_fleet_grows() {
    let now = Instant::now();
    let mut members = Members::new(record("h0-vm0", "h0", true), BEAT, now);
    for hall in 0..20 {
        for vm in 0..50 {
            members.merge(record(&format!("h{hall}-vm{vm}"), &format!("h{hall}"), vm < 2), now);
        }
    }
    members.tick(now);
    assert!(members.known() <= 49 + 2 * 19, "{}", members.known());
    let mut rng = StdRng::seed_from_u64(1);
    let heartbeat = tidestair::message::Heartbeat { records: members.rumors(&mut rng, now) };
    let bytes = tidestair::message::encode(&heartbeat).len();
    assert!(bytes <= 1_000, "{bytes} bytes do not fit a datagram");
    assert!(members.targets(&mut rng, now).len() <= 4);
}
