//! What counts as proof that a request ends servers, in simulated time.
//!
//! The pattern: one request comes again and again, by way of any daemon, and ends each server that begins to
//! run it. Beside it servers end for other reasons, and requests that merely were there must not be kept back.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::quarantine::{Evidence, MEMORY, Quarantine};
use tidestair::gateway::tag::Tag;

fn request(n: u64) -> Fingerprint {
    Fingerprint::new("/path", "caller", &n.to_be_bytes())
}

fn server(n: u64) -> Tag {
    Tag::number(n)
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Daemons that tell each other everything.
struct Fleet {
    daemons: Vec<Quarantine>,
    now: Instant,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let daemons = (0..count).map(|_| Quarantine::default()).collect();
        Fleet { daemons, now: Instant::now() }
    }

    /// Each daemon hears the sum of what the others tell.
    fn tell(&mut self) {
        let told: Vec<_> = self.daemons.iter_mut().map(|d| d.told(self.now)).collect();
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            let mut sums: HashMap<Fingerprint, Evidence> = HashMap::new();
            let others = told.iter().enumerate().filter(|(j, _)| *j != i);
            for (request, evidence) in others.flat_map(|(_, told)| told) {
                *sums.entry(*request).or_default() += *evidence;
            }
            daemon.set_others(&sums, self.now);
        }
    }

    fn kept_back(&self, request: Fingerprint) -> usize {
        self.daemons.iter().filter(|d| d.kept_back(request, self.now).is_some()).count()
    }
}

#[test]
fn three_servers_seen_by_three_daemons_are_proof_for_all() {
    let mut fleet = Fleet::new(5);
    for n in 0..3 {
        assert_eq!(fleet.kept_back(request(1)), 0, "{n} servers are no proof");
        let now = fleet.now;
        fleet.daemons[n].ended(request(1), server(n as u64), now);
        fleet.tell();
    }
    assert_eq!(fleet.kept_back(request(1)), 5);
    assert_eq!(fleet.kept_back(request(2)), 0);
    // Those that saw a part of it record it.
    let unsaved: Vec<usize> = fleet.daemons.iter_mut().map(|d| d.take_unsaved().len()).collect();
    assert_eq!(unsaved, [1, 1, 1, 0, 0]);
}

#[test]
fn what_was_proved_stays_so_when_daemons_that_saw_it_fall_silent() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    fleet.daemons[0].ended(request(1), server(1), now);
    fleet.daemons[0].ended(request(1), server(2), now);
    fleet.daemons[1].ended(request(1), server(3), now);
    fleet.tell();
    fleet.daemons.remove(0);
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 2);
}

#[test]
fn one_server_that_ends_counts_once() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for _ in 0..5 {
        assert!(!quarantine.ended(request(1), server(1), now));
    }
}

#[test]
fn a_request_is_kept_back_for_a_stated_time_after_its_last_server() {
    let mut fleet = Fleet::new(2);
    for n in 0..3 {
        let now = fleet.now;
        fleet.daemons[n as usize % 2].ended(request(1), server(n), now);
        fleet.tell();
        fleet.now += s(5);
    }
    let left = fleet.daemons[0].kept_back(request(1), fleet.now);
    assert_eq!(left, Some(MEMORY - s(5)));
    // Told all the while, as heartbeats are.
    for _ in 0..MEMORY.as_secs() {
        fleet.now += s(1);
        fleet.tell();
    }
    assert_eq!(fleet.kept_back(request(1)), 0);
    // Two more by chance are no proof, since what was before is forgotten.
    let now = fleet.now;
    assert!(!fleet.daemons[0].ended(request(1), server(7), now));
    assert!(!fleet.daemons[0].ended(request(1), server(8), now));
}

/// The loss of a hall: a frequent request is under way at many servers that end at once, and is served
/// elsewhere before and after.
#[test]
fn a_frequent_request_that_many_servers_survive_is_not_kept_back() {
    let mut fleet = Fleet::new(6);
    for second in 0..30 {
        fleet.now += s(1);
        let now = fleet.now;
        for daemon in &mut fleet.daemons {
            daemon.survived(request(1), now);
        }
        if second == 20 {
            for n in 0..18 {
                fleet.daemons[n % 6].ended(request(1), server(n as u64), now);
            }
        }
        fleet.tell();
        assert_eq!(fleet.kept_back(request(1)), 0, "second {second}");
    }
}

/// A daemon that saw no server end knows all the same that the request is sound.
#[test]
fn what_survived_elsewhere_is_weighed_against_what_ended() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    fleet.daemons[0].ended(request(1), server(1), now);
    fleet.daemons[1].ended(request(1), server(2), now);
    fleet.tell();
    for _ in 0..3 {
        fleet.daemons[2].survived(request(1), now);
    }
    fleet.tell();
    assert!(!fleet.daemons[0].ended(request(1), server(3), now));
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 0);
    // One that turns deadly is caught as soon as more servers ended under it than survived.
    assert!(fleet.daemons[0].ended(request(1), server(4), now));
}

#[test]
fn a_record_of_the_store_keeps_a_request_back_until_it_is_gone() {
    let mut fleet = Fleet::new(2);
    let now = fleet.now;
    fleet.daemons.iter_mut().for_each(|d| d.is_stored(request(1), now));
    assert_eq!(fleet.kept_back(request(1)), 2);
    fleet.daemons.iter_mut().for_each(|d| d.is_released(request(1), now));
    assert_eq!(fleet.kept_back(request(1)), 0);
}

/// An operator takes the record away. Daemons learn of it one after the other, and those that don't know yet
/// tell what they saw.
#[test]
fn a_release_is_not_taken_back_by_daemons_that_learn_of_it_later() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    for n in 0..3 {
        fleet.daemons[0].ended(request(1), server(n), now);
    }
    fleet.tell();
    for n in [1, 0, 2] {
        let now = fleet.now;
        fleet.daemons[n].is_released(request(1), now);
        fleet.tell();
        fleet.now += s(1);
    }
    fleet.now += s(30);
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 0);
    assert!(fleet.daemons[1].take_unsaved().is_empty(), "it is not recorded again");
    // Three servers more prove it anew.
    let now = fleet.now;
    assert!((10..13).any(|n| fleet.daemons[0].ended(request(1), server(n), now)));
}

#[test]
fn what_a_daemon_remembers_and_tells_is_bounded() {
    let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
    for n in 0..5_000 {
        now += Duration::from_millis(1);
        quarantine.survived(request(1_000_000 + n), now);
        quarantine.ended(request(n), server(n), now);
    }
    quarantine.ended(request(4_999), server(9_000), now);
    let told = quarantine.told(now);
    assert_eq!(told.len(), 32);
    assert_eq!(told[0].1.ended, 2, "those under which most servers ended go first");
}

#[test]
fn each_part_of_a_fingerprint_counts() {
    let print = |path, caller, body: &str| Fingerprint::new(path, caller, body.as_bytes());
    let one = print("/a", "b", "c");
    assert_eq!(one, print("/a", "b", "c"));
    for other in
        [print("/a", "b", ""), print("/a", "", "bc"), print("/ab", "", "c"), print("", "/ab", "c")]
    {
        assert_ne!(one, other);
    }
    assert_eq!(Fingerprint::parse(&one.to_string()), Some(one));
    for text in ["", "+123456789abcdef", "0123456789abcdef0", "xyz"] {
        assert_eq!(Fingerprint::parse(text), None, "{text}");
    }
}

proptest! {
    /// Whatever ends and survives, seen by whom and told when: no daemon keeps a request back under which
    /// fewer than three servers ended, and each that saw three itself and no survivor does.
    #[test]
    fn only_what_is_proved_is_kept_back(
        steps in prop::collection::vec((0..4usize, 0..3u64, any::<bool>(), any::<bool>()), 1..80)
    ) {
        let mut fleet = Fleet::new(4);
        let mut seen = [[Evidence::default(); 4]; 3];
        for (n, (daemon, of, ends, tells)) in steps.into_iter().enumerate() {
            fleet.now += Duration::from_millis(100);
            let (now, seen_here) = (fleet.now, &mut seen[of as usize][daemon]);
            match ends {
                true => {
                    fleet.daemons[daemon].ended(request(of), server(n as u64), now);
                    seen_here.ended += 1;
                }
                false => {
                    fleet.daemons[daemon].survived(request(of), now);
                    seen_here.survived += 1;
                }
            }
            if tells {
                fleet.tell();
            }
            for (of, seen) in seen.iter().enumerate() {
                let kept = fleet.kept_back(request(of as u64));
                let ended: u32 = seen.iter().map(|evidence| evidence.ended).sum();
                let survived: u32 = seen.iter().map(|evidence| evidence.survived).sum();
                prop_assert!(ended >= 3 || kept == 0);
                let sure = seen.iter().filter(|evidence| evidence.ended >= 3).count();
                prop_assert!(survived > 0 || kept >= sure);
            }
        }
    }
}
