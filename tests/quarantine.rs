//! What counts as proof that a request ends servers, in simulated time.
//!
//! The pattern: one request comes again and again, by way of any daemon, and ends each server that begins to
//! run it. Beside it servers end for other reasons, and requests that merely were there must not be kept back.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::quarantine::{Evidence, QUARANTINE_TTL, Quarantine, RunProgress};
use tidestair::gateway::tag::Tag;

fn request(n: u64) -> Fingerprint {
    Fingerprint::new("/path", "caller", &n.to_be_bytes())
}

fn server(n: u64) -> Tag {
    Tag::of_number(n)
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Ends of servers under a request without parts.
trait RecordEnded {
    /// Returns whether this proves that the request ends servers.
    fn record_ended(
        &mut self,
        request: Fingerprint,
        server: Tag,
        run: RunProgress,
        now: Instant,
    ) -> bool;
}

impl RecordEnded for Quarantine {
    fn record_ended(
        &mut self,
        request: Fingerprint,
        server: Tag,
        run: RunProgress,
        now: Instant,
    ) -> bool {
        !self.record_crash(&[request], server, run, now).is_empty()
    }
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
        let told: Vec<_> = self.daemons.iter_mut().map(|d| d.for_peers(self.now)).collect();
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            let mut sums: HashMap<Fingerprint, Evidence> = HashMap::new();
            let others = told.iter().enumerate().filter(|(j, _)| *j != i);
            for (request, evidence) in others.flat_map(|(_, told)| told) {
                sums.entry(*request).or_default().merge(evidence);
            }
            daemon.set_peer_reports(&sums, self.now);
        }
    }

    fn kept_back(&self, request: Fingerprint) -> usize {
        self.daemons.iter().filter(|d| d.quarantined_for(request, self.now).is_some()).count()
    }
}

#[test]
fn three_servers_seen_by_three_daemons_are_proof_for_all() {
    let mut fleet = Fleet::new(5);
    for n in 0..3 {
        assert_eq!(fleet.kept_back(request(1)), 0, "{n} servers are no proof");
        let now = fleet.now;
        fleet.daemons[n].record_ended(request(1), server(n as u64), RunProgress::NoEvents, now);
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
    fleet.daemons[0].record_ended(request(1), server(1), RunProgress::NoEvents, now);
    fleet.daemons[0].record_ended(request(1), server(2), RunProgress::NoEvents, now);
    fleet.daemons[1].record_ended(request(1), server(3), RunProgress::NoEvents, now);
    fleet.tell();
    fleet.daemons.remove(0);
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 2);
}

/// Each of them shows an event first: no more than three end beyond the third.
#[test]
fn servers_that_end_under_runs_that_have_begun_are_proof_as_well() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    let mut proved =
        (1..=6).map(|n| quarantine.record_ended(request(1), server(n), RunProgress::Begun, now));
    assert_eq!(proved.position(|proved| proved), Some(5));
}

#[test]
fn one_server_that_ends_counts_once_however_many_daemons_had_the_request_there() {
    let mut fleet = Fleet::new(5);
    let now = fleet.now;
    for n in 0..15 {
        assert!(!fleet.daemons[n % 5].record_ended(
            request(1),
            server(n as u64 % 2),
            RunProgress::NoEvents,
            now
        ));
        fleet.tell();
    }
    assert_eq!(fleet.kept_back(request(1)), 0);
}

#[test]
fn a_request_is_kept_back_for_a_stated_time_after_its_last_server() {
    let mut fleet = Fleet::new(2);
    for n in 0..3 {
        let now = fleet.now;
        fleet.daemons[n as usize % 2].record_ended(
            request(1),
            server(n),
            RunProgress::NoEvents,
            now,
        );
        fleet.tell();
        fleet.now += s(5);
    }
    let left = fleet.daemons[0].quarantined_for(request(1), fleet.now);
    assert_eq!(left, Some(QUARANTINE_TTL - s(5)));
    // Told all the while, as heartbeats are.
    for _ in 0..QUARANTINE_TTL.as_secs() {
        fleet.now += s(1);
        fleet.tell();
    }
    assert_eq!(fleet.kept_back(request(1)), 0);
    // What was before is forgotten: two more by chance are no proof.
    let now = fleet.now;
    assert!(!fleet.daemons[0].record_ended(request(1), server(7), RunProgress::NoEvents, now));
    assert!(!fleet.daemons[0].record_ended(request(1), server(8), RunProgress::NoEvents, now));
}

/// The loss of a hall: a frequent request is under way at many servers that end at once, and is served
/// elsewhere before and after.
#[test]
fn a_frequent_request_that_many_servers_survive_is_not_kept_back() {
    let mut fleet = Fleet::new(6);
    for second in 0..60 {
        fleet.now += s(1);
        let now = fleet.now;
        // It is sent by way of two of the daemons, and no more in the last half minute.
        if second < 30 {
            fleet.daemons[0].record_survived(request(1), now);
            fleet.daemons[second % 6].record_survived(request(1), now);
        }
        if second % 10 == 5 && second < 30 {
            for n in 0..18 {
                fleet.daemons[n % 6].record_ended(
                    request(1),
                    server((100 * second + n) as u64),
                    RunProgress::NoEvents,
                    now,
                );
            }
        }
        fleet.tell();
        assert_eq!(fleet.kept_back(request(1)), 0, "second {second}");
    }
}

/// What is proved too soon is taken back while its record is not yet written.
#[test]
fn a_run_that_ends_well_after_the_proof_releases_the_request() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    for n in 0..3 {
        fleet.daemons[n].record_ended(request(1), server(n as u64), RunProgress::NoEvents, now);
    }
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 3);
    fleet.daemons[2].record_survived(request(1), now);
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 0);
    let unsaved = |d: &mut Quarantine| d.take_unsaved().iter().any(|r| d.is_unsaved(*r, now));
    assert!(!fleet.daemons.iter_mut().any(unsaved), "nothing is recorded");
}

/// Survivors speak for a request for a few seconds only.
#[test]
fn a_request_that_turns_deadly_is_caught() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    fleet.daemons[2].record_survived(request(1), now);
    for n in 0..20 {
        let now = fleet.now;
        fleet.daemons[n % 2].record_ended(request(1), server(n as u64), RunProgress::NoEvents, now);
        fleet.tell();
        if fleet.kept_back(request(1)) == 3 {
            assert!(n <= 5, "{n} servers ended");
            return;
        }
        fleet.now += s(1);
    }
    panic!("it was never kept back");
}

/// A soak's first 0.33 s: one request ends five servers, two with an attempt. Six callers send another one,
/// which had shown an event at four of them and none at the fifth, and nobody has been served yet.
#[test]
fn a_sound_request_beside_one_that_ends_servers_is_not_kept_back() {
    let (deadly, sound) = (request(1), request(2));
    let mut fleet = Fleet::new(3);
    let seen = [
        (0, sound, 2, RunProgress::Begun),
        (1, sound, 2, RunProgress::Begun),
        (2, sound, 2, RunProgress::Begun),
        (2, deadly, 2, RunProgress::NoEvents),
        (1, sound, 4, RunProgress::Begun),
        (2, deadly, 4, RunProgress::NoEvents),
        (2, sound, 4, RunProgress::NoEvents),
        (0, sound, 6, RunProgress::Begun),
        (0, deadly, 6, RunProgress::NoEvents),
        (1, sound, 6, RunProgress::Begun),
        (2, sound, 6, RunProgress::Begun),
        (1, deadly, 7, RunProgress::NoEvents),
        (1, sound, 7, RunProgress::Begun),
        (2, sound, 7, RunProgress::Begun),
        (2, sound, 8, RunProgress::Begun),
        (1, deadly, 8, RunProgress::NoEvents),
        (1, sound, 8, RunProgress::Begun),
    ];
    for (daemon, request, of, run) in seen {
        let now = fleet.now;
        fleet.daemons[daemon].record_ended(request, server(of), run, now);
        fleet.tell();
        assert_eq!(fleet.kept_back(sound), 0, "after server {of}");
    }
    assert_eq!(fleet.kept_back(deadly), 3);
}

/// A daemon that has heard of two servers that ended under the deadly request, and of five under the sound one.
#[test]
fn what_has_begun_does_not_count_beside_a_suspected_request_that_had_not() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    let (deadly, sound) = (request(1), request(2));
    quarantine.record_ended(deadly, server(4), RunProgress::NoEvents, now);
    for (of, run) in [
        (2, RunProgress::Begun),
        (6, RunProgress::NoEvents),
        (4, RunProgress::Begun),
        (8, RunProgress::Begun),
    ] {
        assert!(!quarantine.record_ended(sound, server(of), run, now));
    }
    quarantine.record_ended(deadly, server(8), RunProgress::NoEvents, now);
    assert!(!quarantine.record_ended(sound, server(7), RunProgress::Begun, now));
}

/// Daemons that hear of all of it at once must not depend on which request they look at first.
#[test]
fn what_another_request_explains_does_not_count_in_whichever_order_it_is_told() {
    let deadly = request(0);
    let ended = |servers: &[(u64, u32)]| Evidence {
        ended: servers.iter().map(|(n, blame)| (server(*n), *blame)).collect(),
        survived: false,
    };
    let mut told = HashMap::from([(deadly, ended(&[(1, 2), (2, 2), (3, 2), (4, 2)]))]);
    for n in 1..20 {
        told.insert(request(n), ended(&[(1, 2), (2, 2), (3, 1), (4, 1)]));
    }
    // With the word of a daemon missing, both have as much against them.
    told.insert(request(20), ended(&[(1, 2), (2, 1), (3, 1), (4, 1), (5, 1)]));
    let mut late = told.clone();
    late.insert(deadly, ended(&[(2, 2), (3, 2), (4, 2)]));
    for told in [told, late] {
        for _ in 0..20 {
            let (mut quarantine, now) = (Quarantine::default(), Instant::now());
            // Each map has an order of its own.
            let told: HashMap<Fingerprint, Evidence> = told.clone().into_iter().collect();
            quarantine.set_peer_reports(&told, now);
            assert!(quarantine.quarantined_for(deadly, now).is_some());
            assert!((1..=20).all(|n| quarantine.quarantined_for(request(n), now).is_none()));
        }
    }
}

/// All servers of a service end together, and for longer than a survivor speaks there is none to serve it.
#[test]
fn what_ended_beside_a_survivor_does_not_count_once_nobody_speaks_any_more() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    fleet.daemons[0].record_survived(request(1), now);
    fleet.now += Duration::from_millis(100);
    for n in 0..3 {
        let now = fleet.now;
        fleet.daemons[0].record_ended(request(1), server(n), RunProgress::NoEvents, now);
    }
    for _ in 0..40 {
        fleet.now += Duration::from_millis(250);
        fleet.tell();
        assert_eq!(fleet.kept_back(request(1)), 0);
    }
    // One more by chance is no proof either.
    let now = fleet.now;
    assert!(!fleet.daemons[0].record_ended(request(1), server(3), RunProgress::NoEvents, now));
}

#[test]
fn a_record_of_the_store_keeps_a_request_back_until_it_is_gone() {
    let mut fleet = Fleet::new(2);
    let now = fleet.now;
    fleet.daemons.iter_mut().for_each(|d| d.mark_stored(request(1), now));
    assert_eq!(fleet.kept_back(request(1)), 2);
    fleet.daemons.iter_mut().for_each(|d| d.release(request(1), now));
    assert_eq!(fleet.kept_back(request(1)), 0);
}

/// An operator takes the record away. Daemons learn of it one after the other, and those that don't know yet
/// tell what they saw.
#[test]
fn a_release_is_not_taken_back_by_daemons_that_learn_of_it_later() {
    let mut fleet = Fleet::new(3);
    let now = fleet.now;
    for n in 0..3 {
        fleet.daemons[0].record_ended(request(1), server(n), RunProgress::NoEvents, now);
    }
    fleet.tell();
    for n in [1, 0, 2] {
        let now = fleet.now;
        fleet.daemons[n].release(request(1), now);
        fleet.tell();
        fleet.now += s(1);
    }
    fleet.now += s(30);
    fleet.tell();
    assert_eq!(fleet.kept_back(request(1)), 0);
    assert!(fleet.daemons[1].take_unsaved().is_empty(), "it is not recorded again");
    // Three servers more prove it anew.
    let now = fleet.now;
    assert!((10..13).any(|n| fleet.daemons[0].record_ended(
        request(1),
        server(n),
        RunProgress::NoEvents,
        now
    )));
}

#[test]
fn what_a_daemon_remembers_and_tells_is_bounded() {
    let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
    for n in 0..5_000 {
        now += Duration::from_millis(1);
        quarantine.record_survived(request(1_000_000 + n), now);
        quarantine.record_ended(request(n), server(n), RunProgress::NoEvents, now);
    }
    // The oldest of those that are remembered is not forgotten by what is added to it.
    quarantine.record_ended(request(4_744), server(9_000), RunProgress::NoEvents, now);
    let told = quarantine.for_peers(now);
    assert_eq!(told.len(), 32);
    assert_eq!(told[0].1.ended.len(), 2, "those under which most servers ended go first");
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
    /// fewer than three servers ended since it was last survived there, and each daemon that saw three end and
    /// hears of no survivor does.
    #[test]
    fn only_what_is_proved_is_kept_back(
        steps in prop::collection::vec((0..4usize, 0..3u64, 0..3u8, any::<bool>()), 1..80)
    ) {
        let mut fleet = Fleet::new(4);
        let mut ended = [[0; 4]; 3];
        let mut survived = [false; 3];
        for (n, (daemon, of, what, tells)) in steps.into_iter().enumerate() {
            fleet.now += Duration::from_millis(100);
            let now = fleet.now;
            if what == 0 {
                fleet.daemons[daemon].record_survived(request(of), now);
                prop_assert_eq!(fleet.daemons[daemon].quarantined_for(request(of), now), None);
                ended[of as usize][daemon] = 0;
                survived[of as usize] = true;
            } else {
                fleet.daemons[daemon].record_ended(request(of), server(n as u64), RunProgress::NoEvents, now);
                ended[of as usize][daemon] += 1;
            }
            if tells {
                fleet.tell();
            }
            for (of, (ended, survived)) in ended.iter().zip(survived).enumerate() {
                let kept = fleet.kept_back(request(of as u64));
                prop_assert!(kept == 0 || survived || ended.iter().sum::<u32>() >= 3);
                let sure = ended.iter().filter(|ended| **ended >= 3).count();
                prop_assert!(survived || kept >= sure);
            }
        }
    }
}

fn part(n: u64) -> Fingerprint {
    Fingerprint::of_part(&n.to_string())
}

/// A request of its own with these parts.
fn suspects(n: u64, parts: &[Fingerprint]) -> Vec<Fingerprint> {
    [request(n)].into_iter().chain(parts.iter().copied()).collect()
}

fn crash(daemon: &mut Quarantine, n: u64, parts: &[Fingerprint], now: Instant) {
    daemon.record_crash(&suspects(n, parts), server(n), RunProgress::NoEvents, now);
}

fn refused(daemon: &Quarantine, n: u64, parts: &[Fingerprint], now: Instant) -> bool {
    daemon.reason_to_refuse(&suspects(n, parts), now).is_some()
}

/// Guards against a part that all prompts share and that is accused because no sound request has come yet.
#[test]
fn parts_that_met_the_same_servers_are_accused_together_until_one_of_them_is_cleared() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    let (shared, deadly) = (part(1), part(2));
    for n in 0..3 {
        assert!(!refused(&daemon, 9, &[shared, deadly], now), "{n} servers are no proof");
        crash(&mut daemon, n, &[shared, deadly], now);
    }
    assert!(refused(&daemon, 9, &[shared, deadly], now));
    assert!(!refused(&daemon, 9, &[shared], now), "a sound request has the shared part only");
    assert!(
        daemon.take_unsaved().is_empty(),
        "the store would not tell that they are accused together"
    );
    daemon.record_survived(shared, now);
    assert!(refused(&daemon, 9, &[deadly], now));
    assert!(!refused(&daemon, 9, &[shared], now));
    assert_eq!(daemon.take_unsaved(), [deadly]);
}

/// Guards against a deadly part that goes on crashing servers in other company.
#[test]
fn a_part_that_meets_a_server_of_its_own_is_accused_alone() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    let (shared, deadly) = (part(1), part(2));
    for n in 0..3 {
        crash(&mut daemon, n, &[shared, deadly], now);
    }
    assert!(!refused(&daemon, 9, &[deadly], now));
    crash(&mut daemon, 3, &[deadly], now);
    assert!(refused(&daemon, 9, &[deadly], now));
    assert!(!refused(&daemon, 9, &[shared], now));
}

/// Guards against a sound part that loses its company where a peer reports more about the others.
#[test]
fn a_part_whose_company_meets_more_servers_is_not_accused_alone() {
    let mut fleet = Fleet::new(2);
    let (now, shared, deadly) = (fleet.now, part(1), part(2));
    for n in 0..3 {
        crash(&mut fleet.daemons[0], n, &[shared, deadly], now);
    }
    fleet.tell();
    crash(&mut fleet.daemons[1], 3, &[deadly], now);
    for _ in 0..2 {
        fleet.tell();
        for daemon in &fleet.daemons {
            assert!(refused(daemon, 9, &[deadly], now));
            assert!(!refused(daemon, 9, &[shared], now));
        }
    }
}

/// Guards against servers that are no longer counted against the deadly part, and so against others only.
#[test]
fn crashes_beyond_proof_are_explained_by_the_part_that_is_proved() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    let (deadly, first, second) = (part(1), part(2), part(3));
    // Runs that are under way when the proof is complete.
    for n in 0..8 {
        crash(&mut daemon, n, &[deadly, first], now);
    }
    for n in 8..12 {
        crash(&mut daemon, n, &[deadly, second], now);
    }
    assert!(refused(&daemon, 99, &[deadly], now));
    assert!(!refused(&daemon, 99, &[first], now));
    assert!(!refused(&daemon, 99, &[second], now));
}

/// Guards against a sound part that was under way at a server which a deadly request of another kind crashed.
#[test]
fn what_a_proved_request_explains_does_not_count_against_parts() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    let (shared, deadly) = (part(1), part(2));
    daemon.record_crash(&[request(50), shared], server(0), RunProgress::Begun, now);
    for n in 0..3 {
        daemon.record_crash(&[request(60)], server(n), RunProgress::NoEvents, now);
    }
    for n in 3..6 {
        crash(&mut daemon, n, &[shared, deadly], now);
    }
    assert!(refused(&daemon, 99, &[shared, deadly], now));
    assert!(!refused(&daemon, 99, &[shared], now));
    daemon.record_survived(shared, now);
    assert!(refused(&daemon, 99, &[deadly], now));
}

/// Guards against a daemon that stops, and with it half of what proved the request.
#[test]
fn a_proved_request_goes_on_to_explain_servers_once_a_witness_is_silent() {
    let mut fleet = Fleet::new(2);
    let (now, shared, deadly) = (fleet.now, part(1), part(2));
    fleet.daemons[0].record_crash(&[request(50), shared], server(0), RunProgress::Begun, now);
    for n in 0..4 {
        let witness = &mut fleet.daemons[n as usize / 2];
        witness.record_crash(&[request(60)], server(n), RunProgress::NoEvents, now);
    }
    fleet.tell();
    for n in 4..7 {
        crash(&mut fleet.daemons[0], n, &[shared, deadly], now);
    }
    fleet.daemons[0].set_peer_reports(&HashMap::new(), now);
    assert!(refused(&fleet.daemons[0], 99, &[shared, deadly], now));
    assert!(!refused(&fleet.daemons[0], 99, &[shared], now));
}

/// Guards against a daemon that starts again and hears only what is left of a proved request.
#[test]
fn what_a_proved_request_explained_is_discounted_for_good() {
    let mut fleet = Fleet::new(3);
    let (now, shared, deadly) = (fleet.now, part(1), part(2));
    for n in 0..4 {
        let witness = &mut fleet.daemons[n as usize / 2];
        witness.record_crash(&[request(60)], server(n), RunProgress::NoEvents, now);
    }
    for n in 0..2 {
        crash(&mut fleet.daemons[0], n, &[shared], now);
    }
    fleet.tell();
    crash(&mut fleet.daemons[0], 5, &[shared, deadly], now);
    // The others start again.
    fleet.daemons[1..].fill_with(Quarantine::default);
    fleet.tell();
    crash(&mut fleet.daemons[2], 6, &[shared, deadly], now);
    for _ in 0..2 {
        fleet.tell();
        assert!(fleet.daemons.iter().all(|daemon| !refused(daemon, 99, &[shared], now)));
    }
    crash(&mut fleet.daemons[2], 7, &[shared, deadly], now);
    fleet.tell();
    for daemon in &fleet.daemons {
        assert!(refused(daemon, 99, &[shared, deadly], now));
        assert!(!refused(daemon, 99, &[shared], now));
    }
}

/// Guards against a sound part that is accused in the moment before a request is proved that explains it.
#[test]
fn a_part_is_released_once_a_proved_request_explains_it() {
    let mut fleet = Fleet::new(3);
    let (now, shared, deadly) = (fleet.now, part(1), part(2));
    let deadly_request = [request(60)];
    crash(&mut fleet.daemons[0], 0, &[shared, deadly], now);
    crash(&mut fleet.daemons[1], 2, &[shared], now);
    fleet.tell();
    crash(&mut fleet.daemons[0], 3, &[shared], now);
    assert!(refused(&fleet.daemons[0], 99, &[shared], now));
    fleet.daemons[2].record_crash(&deadly_request, server(2), RunProgress::NoEvents, now);
    for n in 3..7 {
        fleet.daemons[1].record_crash(&deadly_request, server(n), RunProgress::NoEvents, now);
    }
    for _ in 0..2 {
        fleet.tell();
    }
    for daemon in &mut fleet.daemons {
        assert!(refused(daemon, 99, &deadly_request, now));
        assert!(!refused(daemon, 99, &[shared], now));
        let unsaved = daemon.take_unsaved();
        assert!(
            !unsaved.iter().any(|suspect| daemon.is_unsaved(*suspect, now) && suspect.is_part())
        );
    }
    // What is left of the evidence counts.
    for n in 7..9 {
        crash(&mut fleet.daemons[2], n, &[shared, deadly], now);
    }
    fleet.tell();
    assert!(fleet.daemons.iter().all(|daemon| refused(daemon, 99, &[shared, deadly], now)));
}

/// Guards against a daemon that learnt of a part in company, and that goes on to want all of it.
#[test]
fn a_part_that_the_store_records_is_accused_alone() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    let (shared, deadly) = (part(1), part(2));
    for n in 0..3 {
        crash(&mut daemon, n, &[shared, deadly], now);
    }
    assert!(!refused(&daemon, 9, &[deadly], now));
    daemon.mark_stored(deadly, now);
    assert!(refused(&daemon, 9, &[deadly], now));
    assert!(!refused(&daemon, 9, &[shared], now));
}

/// Guards against the parts of one deadly request, which is kept back by itself.
#[test]
fn the_parts_of_one_request_are_not_accused() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    for n in 0..4 {
        let suspects = [request(1), part(1), part(2)];
        daemon.record_crash(&suspects, server(n), RunProgress::NoEvents, now);
    }
    assert!(refused(&daemon, 1, &[], now));
    assert!(!refused(&daemon, 2, &[part(1), part(2)], now));
}

/// Guards against sound parts that are accused because servers crash while they wait there, and when a hall is
/// lost.
#[test]
fn sound_parts_beside_a_deadly_one_and_in_a_lost_hall_are_not_accused() {
    let (mut daemon, now) = (Quarantine::default(), Instant::now());
    for n in 0..5 {
        crash(&mut daemon, n, &[part(1), part(2)], now);
        // Another route's request that waited there.
        let suspects = [request(100 + n), part(3)];
        daemon.record_crash(&suspects, server(n), RunProgress::NoEvents, now);
        daemon.record_survived(part(1), now);
        daemon.record_survived(part(3), now);
    }
    assert!(refused(&daemon, 9, &[part(2)], now));
    assert!(!refused(&daemon, 9, &[part(1), part(3)], now));
    for n in 200..230 {
        crash(&mut daemon, n, &[part(1), part(3)], now);
    }
    assert!(!refused(&daemon, 9, &[part(1), part(3)], now));
}
