//! Promise 7: an accepted configuration is in force everywhere and never reverts.

mod common;

use common::{admin, eventually, fleet};
use std::sync::Arc;
use std::time::Duration;
use tidestair::admin::{Admin, Applied};
use tidestair::error::Error;
use tidestair::fleet::{Fleet, OPERATOR_KEY};
use tidestair::platform::{Expect, Platform};
use tidestair::resource::{Kind, Resource, Spec, WorkspaceSpec};
use tokio::sync::Barrier;
use tokio::task::JoinSet;

fn workspace(name: &str, share: u32) -> Resource {
    let spec = WorkspaceSpec {
        key_hashes: Vec::new(),
        share,
        default_class: "draft".into(),
        max_streams: 5,
    };
    Resource::new(name, Spec::Workspace(spec))
}

fn revision(applied: Applied) -> u64 {
    match applied {
        Applied::Created(revision) | Applied::Changed { revision, .. } => revision,
        Applied::Unchanged => panic!("something was to change"),
    }
}

async fn in_force(fleet: &Fleet, revision: u64) {
    for vm in fleet.vms().values() {
        eventually("the change is in force", async || vm.revision().await >= Some(revision)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_on_every_daemon() {
    let fleet = fleet(5, 1).await;
    let admin = admin(&fleet);
    let applied = admin.apply(&workspace("new", 3), false).await.expect("accepted");
    assert_eq!(admin.wait(revision(applied)).await.expect("reached"), Vec::<String>::new());
    in_force(&fleet, admin.status().await.expect("reached").revision).await;
    let again = admin.apply(&workspace("new", 3), false).await.expect("accepted");
    assert!(matches!(again, Applied::Unchanged));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_the_same_moment_exactly_one_is_accepted() {
    let fleet = fleet(3, 1).await;
    let created = admin(&fleet).create(&workspace("contested", 1)).await.expect("accepted");
    in_force(&fleet, created).await;
    let entries = fleet.entries();
    // None writes before all have read: one that reads a written version rightly replaces it.
    let read = Arc::new(Barrier::new(entries.len()));
    let mut writers = JoinSet::new();
    for (i, entry) in entries.into_iter().enumerate() {
        let read = read.clone();
        writers.spawn(async move {
            let admin = Admin::new(&entry.to_string(), OPERATOR_KEY).expect("an address");
            let found = admin.get(Kind::Workspace, "contested").await.expect("declared");
            read.wait().await;
            admin.replace(&found, &workspace("contested", 10 + i as u32)).await
        });
    }
    let written = writers.join_all().await;
    assert_eq!(written.iter().filter(|w| w.is_ok()).count(), 1, "{written:?}");
    for refused in written.iter().filter_map(|w| w.as_ref().err()) {
        let Error::Refused { status, message, .. } = refused else { panic!("{refused}") };
        assert_eq!(*status, 409);
        assert!(message.contains("read it again"), "{message}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_its_effect_is_settled_by_reading() {
    let fleet = fleet(2, 1).await;
    for i in 0..5 {
        fleet.kv.fault(|f| f.lose_answers = 1);
        let name = format!("lost-{i}");
        let created = admin(&fleet).create(&workspace(&name, 1)).await.expect("settled");
        in_force(&fleet, created).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_platform_down_nothing_is_accepted_and_all_goes_on() {
    let fleet = fleet(3, 1).await;
    let before = admin(&fleet).status().await.expect("reached").revision;
    fleet.kv.fault(|f| f.down = true);
    let refused = admin(&fleet).create(&workspace("w", 1)).await.expect_err("down");
    assert!(matches!(refused, Error::Refused { status: 503, .. }), "{refused}");
    let read = common::read(&common::client(&fleet), "draft", 20, |_| {}).await;
    assert_eq!(read.ended.outcome, tidestair::outcome::Outcome::Complete);
    fleet.kv.fault(|f| f.down = false);
    eventually("it is accepted again", async || {
        admin(&fleet).create(&workspace("w", 1)).await.is_ok()
    })
    .await;
    in_force(&fleet, before + 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_while_the_platform_is_down_takes_its_peers_revision() {
    let fleet = fleet(2, 1).await;
    let wanted = fleet.vms()["vm-1"].revision().await.expect("alive");
    fleet.remove_vm("vm-2").expect("it runs").kill();
    fleet.kv.fault(|f| f.down = true);
    fleet.start_vm("vm-2").await.expect("it starts");
    let vm = fleet.vms()["vm-2"].clone();
    eventually("it is ready", async || vm.ready().await).await;
    assert_eq!(vm.revision().await, Some(wanted));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_frozen_never_puts_an_old_revision_in_force() {
    let fleet = fleet(3, 1).await;
    fleet.vms()["vm-2"].freeze(Duration::from_millis(1_500));
    let entry = fleet.vms()["vm-1"].caller_addr.to_string();
    let admin = Admin::new(&entry, OPERATOR_KEY).expect("an address");
    let mut last = 0;
    for i in 0..20 {
        last =
            revision(admin.apply(&workspace(&format!("f{i}"), 1), false).await.expect("accepted"));
    }
    let watch = {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            let mut seen = [0; 3];
            for _ in 0..300 {
                for (at, vm) in fleet.vms().values().enumerate() {
                    let now = vm.revision().await.expect("alive");
                    assert!(now >= seen[at], "went back from {} to {now}", seen[at]);
                    seen[at] = now;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    in_force(&fleet, last).await;
    watch.await.expect("nothing went back");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_restored_from_an_older_state_changes_nothing_in_force() {
    let fleet: Arc<Fleet> = fleet(2, 1).await;
    let held = admin(&fleet).create(&workspace("after-backup", 1)).await.expect("accepted");
    in_force(&fleet, held).await;
    fleet.kv.restore(&[]);
    eventually("it is noticed", async || {
        admin(&fleet).status().await.expect("reached").platform_behind
    })
    .await;
    for vm in fleet.vms().values() {
        assert!(vm.revision().await >= Some(held));
    }
    let kept = admin(&fleet).get(Kind::Workspace, "after-backup").await.expect("still in force");
    assert_eq!(kept.metadata.name, "after-backup");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_halls_heal_and_agree() {
    let fleet = fleet(4, 1).await;
    let vms = fleet.vms();
    let (left, right) = (["vm-1", "vm-2"], ["vm-3", "vm-4"]);
    let cut = |on: bool| {
        for a in left {
            for b in right {
                vms[a].cut(vms[b].peer_addr, on);
                vms[b].cut(vms[a].peer_addr, on);
            }
        }
    };
    cut(true);
    let key = tidestair::snapshot::key(Kind::Workspace, "during");
    let value = serde_json::to_vec(&workspace("during", 1)).expect("JSON");
    fleet.kv.swap(&key, Expect::Absent, Some(value), None).await.expect("up");
    let wanted = fleet.kv.range(&key).await.expect("up").entries[0].revision;
    in_force(&fleet, wanted).await;
    cut(false);
    eventually("all know each other again", async || {
        admin(&fleet).status().await.expect("reached").daemons.len() == 4
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_the_path_and_the_remedy() {
    let fleet = fleet(1, 1).await;
    let admin = admin(&fleet);
    let mut missing = workspace("x", 1);
    if let Spec::Workspace(w) = &mut missing.spec {
        w.default_class = "nowhere".into();
    }
    let refused = admin.create(&missing).await.expect_err("a dangling reference").to_string();
    assert!(refused.contains("$.spec.defaultClass"), "{refused}");
    let stranger = Admin::new(&fleet.entries()[0].to_string(), "wrong").expect("an address");
    let denied = stranger.list(Kind::Policy).await.expect_err("no such key");
    assert!(matches!(denied, Error::Refused { status: 401, .. }), "{denied}");
}
