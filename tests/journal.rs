//! Promise 4 at its root: over random faults of the platform and many daemons, a key is won once.

use proptest::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tidestair::claim::{ClaimAsk, ClaimKey, Claimed, Nonce, StoredAnswer};
use tidestair::journal::{CLOCK_MARGIN_MS, Journal};
use tidestair::metrics::Metrics;
use tidestair::platform::Platform;
use tidestair::standin::kv::Kv;

const RETENTION_MS: u64 = 3_600_000;

fn journal(kv: &Kv) -> Journal {
    Journal::start(Arc::new(kv.clone()), Duration::ZERO, Arc::new(Metrics::new()))
}

fn ask(key: u128) -> ClaimAsk {
    ClaimAsk { key: ClaimKey(key), nonce: Nonce::random(), body: 7, retention_ms: RETENTION_MS }
}

/// One thing that happens.
#[derive(Debug, Clone)]
enum Act {
    Claim {
        daemon: usize,
        key: u128,
    },
    /// The claimant dies before it hears.
    ClaimAndDie {
        daemon: usize,
        key: u128,
    },
    /// A daemon is replaced and reads the journal anew.
    Replace {
        daemon: usize,
    },
    LoseAnswers(u32),
    Down(bool),
    Slow(u64),
}

const DAEMONS: usize = 3;

fn act() -> impl Strategy<Value = Act> {
    let daemon = 0..DAEMONS;
    let key = 0u128..6;
    prop_oneof![
        8 => (daemon.clone(), key.clone()).prop_map(|(daemon, key)| Act::Claim { daemon, key }),
        2 => (daemon.clone(), key).prop_map(|(daemon, key)| Act::ClaimAndDie { daemon, key }),
        1 => daemon.prop_map(|daemon| Act::Replace { daemon }),
        2 => (1u32..4).prop_map(Act::LoseAnswers),
        1 => any::<bool>().prop_map(Act::Down),
        1 => (0u64..3_000).prop_map(Act::Slow),
    ]
}

/// Carries out the acts; each key's winners are counted from outside.
async fn carry_out(acts: Vec<Act>) -> HashMap<u128, u32> {
    let kv = Kv::new();
    let mut journals: Vec<Journal> = (0..DAEMONS).map(|_| journal(&kv)).collect();
    let mut claims = tokio::task::JoinSet::new();
    for act in acts {
        match act {
            Act::Claim { daemon, key } => {
                let journal = journals[daemon].clone();
                claims.spawn(async move { (key, journal.claim(ask(key)).await) });
            }
            Act::ClaimAndDie { daemon, key } => {
                let journal = journals[daemon].clone();
                let claim = tokio::spawn(async move { journal.claim(ask(key)).await });
                tokio::time::sleep(Duration::from_millis(1)).await;
                claim.abort();
            }
            Act::Replace { daemon } => journals[daemon] = journal(&kv),
            Act::LoseAnswers(n) => kv.fault(|f| f.lose_answers += n),
            Act::Down(down) => kv.fault(|f| f.down = down),
            Act::Slow(ms) => kv.fault(|f| f.slow = Duration::from_millis(ms)),
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let mut winners = HashMap::new();
    while let Some(claimed) = claims.join_next().await {
        let (key, answer) = claimed.expect("no claimant panics");
        if answer == Claimed::Yours {
            *winners.entry(key).or_default() += 1;
        }
    }
    winners
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn a_key_is_won_at_most_once(acts in proptest::collection::vec(act(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let winners = runtime.block_on(carry_out(acts));
        for (key, count) in winners {
            prop_assert!(count <= 1, "key {key} was won {count} times");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_by_reading() {
    let kv = Kv::new();
    let journal = journal(&kv);
    kv.fault(|f| f.lose_answers = 1);
    assert_eq!(journal.claim(ask(1)).await, Claimed::Yours);
    assert_eq!(journal.claim(ask(1)).await, Claimed::Taken);
}

#[tokio::test(start_paused = true)]
async fn asking_again_with_the_same_nonce_gives_the_same_claim() {
    let kv = Kv::new();
    let (a, b) = (journal(&kv), journal(&kv));
    let claim = ask(1);
    assert_eq!(a.claim(claim).await, Claimed::Yours);
    assert_eq!(b.claim(claim).await, Claimed::Yours);
    assert_eq!(b.claim(ask(1)).await, Claimed::Taken);
}

#[tokio::test(start_paused = true)]
async fn an_outcome_and_a_release_are_seen_by_other_daemons() {
    let kv = Kv::new();
    let (a, b) = (journal(&kv), journal(&kv));
    let (settled, released) = (ask(4), ask(8));
    assert_eq!(a.claim(settled).await, Claimed::Yours);
    assert_eq!(a.claim(released).await, Claimed::Yours);
    let kept = StoredAnswer { status: 200, body: b"done".to_vec(), omitted: false };
    a.settle(settled.key, settled.nonce, Some(kept.clone())).await;
    a.settle(released.key, released.nonce, None).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(b.claim(ask(4)).await, Claimed::Settled(kept));
    assert_eq!(b.claim(ask(8)).await, Claimed::Yours);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_slept_reads_before_it_writes() {
    let kv = Kv::new();
    let (sleeper, worker) = (journal(&kv), journal(&kv));
    assert_eq!(sleeper.claim(ask(4)).await, Claimed::Yours);
    assert_eq!(worker.claim(ask(8)).await, Claimed::Yours);
    assert_eq!(sleeper.claim(ask(8)).await, Claimed::Taken);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_slept_through_a_compaction_cannot_claim_at_a_forgotten_number() {
    let kv = Kv::new();
    let (sleeper, worker) = (journal(&kv), journal(&kv));
    let brief = |key| ClaimAsk { retention_ms: 0, ..ask(key) };
    assert_eq!(sleeper.claim(brief(0)).await, Claimed::Yours);
    assert_eq!(worker.claim(brief(4)).await, Claimed::Yours);
    assert_eq!(worker.claim(brief(8)).await, Claimed::Yours);
    worker.compact(CLOCK_MARGIN_MS + 1_000).await;
    assert_eq!(worker.claim(ask(12)).await, Claimed::Yours);
    // The number that the sleeper would write next is free again.
    let next = "/tidestair/claims/0/0000000000000001";
    assert_eq!(kv.get(next).await.expect("up"), None);
    assert_eq!(sleeper.claim(ask(12)).await, Claimed::Taken);
}

#[tokio::test(start_paused = true)]
async fn outcomes_that_piled_up_are_written_in_segments_that_fit() {
    let kv = Kv::new();
    let journal = journal(&kv);
    let mut claims = Vec::new();
    for key in 0..400u128 {
        let claim = ask(key * 4);
        assert_eq!(journal.claim(claim).await, Claimed::Yours);
        claims.push(claim);
    }
    kv.fault(|f| f.down = true);
    let kept = StoredAnswer { status: 200, body: vec![7; 4_096], omitted: false };
    for claim in &claims {
        journal.settle(claim.key, claim.nonce, Some(kept.clone())).await;
    }
    kv.fault(|f| f.down = false);
    assert_eq!(journal.claim(ask(4_000_000)).await, Claimed::Yours);
    let reader = self::journal(&kv);
    for claim in &claims {
        let again = ClaimAsk { nonce: Nonce::random(), ..*claim };
        assert_eq!(reader.claim(again).await, Claimed::Settled(kept.clone()));
    }
    for entry in kv.range("/tidestair/claims/").await.expect("up").entries {
        assert!(entry.value.len() < 1 << 20, "{} bytes", entry.value.len());
    }
}

#[tokio::test]
async fn the_journal_stays_bounded_over_100000_keys() {
    let kv = Kv::new();
    let journal = journal(&kv);
    // A retention that ended long ago, so that everything but the last segments may go.
    for batch in 0..200u128 {
        let mut claims = tokio::task::JoinSet::new();
        for i in 0..500u128 {
            let journal = journal.clone();
            let claim = ClaimAsk { retention_ms: 0, ..ask(batch * 500 + i) };
            claims.spawn(async move { journal.claim(claim).await });
        }
        for answer in claims.join_all().await {
            assert_eq!(answer, Claimed::Yours);
        }
        let shift = CLOCK_MARGIN_MS + 1;
        journal.compact(shift).await;
    }
    let segments = kv.range("/tidestair/claims/").await.expect("up").entries;
    let bytes: usize = segments.iter().map(|e| e.value.len()).sum();
    assert!(segments.len() <= 40, "{} segments", segments.len());
    assert!(bytes < 1 << 20, "{bytes} bytes");
}
