//! Who is let in where more prompts come than engines can read, in simulated time.
//!
//! The pattern: long prompts come at a rate at which engines read six tokens a millisecond and hold five or
//! six runs, and daemons send each where least waits. Figures of engines and requests are those of the users'
//! sheet of 64 VMs; twelve servers stand for its 51.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tidestair::gateway::admission::{AdmissionClass, Bound, first_event_timeout, retry_after};
use tidestair::gateway::servers::Load;
use tidestair::gateway::table::Engine;

const ENGINE: Engine = Engine {
    slots: 24,
    memory: 21_864,
    token_bytes: 131_072,
    link_mbps: 19_000.0,
    event_tokens: 4,
    supports_moves: true,
    supports_backups: true,
};
const AIM_MS: u64 = 1_500;
const AIM: Duration = Duration::from_millis(AIM_MS);
const SERVERS: usize = 12;
/// Tokens that an engine reads in a millisecond beside its runs.
const READ_PER_MS: f64 = 6.0;
/// Of three requests one is a draft, whose run holds its memory for some seconds.
const DRAFT_MS: u64 = 5_000;
const SUMMARY_MS: u64 = 100;
const DAY_MS: u64 = 60_000;

/// A request.
#[derive(Debug, Clone, Copy)]
struct Request {
    prompt: u32,
    draft: bool,
    standing: AdmissionClass,
}

impl Request {
    fn load(self) -> Load {
        let tokens = self.prompt + if self.draft { 750 } else { 10 };
        Load { runs: 1, tokens, unread_prompt: self.prompt, ..Load::default() }
    }
}

/// What became of the requests, those that had waited included.
#[derive(Debug, Default)]
struct Day {
    asked: f64,
    in_aim: f64,
    refused: f64,
    /// Of the largest tenth of the prompts.
    large: f64,
    large_served: f64,
}

impl Day {
    fn share(&self, part: f64) -> f64 {
        part / self.asked
    }
}

/// Something that happens at a moment.
#[derive(Debug, Clone, Copy)]
enum Event {
    Comes(Request),
    /// A server has read this prompt.
    Read(usize, Request),
    Ends(usize, Request),
}

const LARGE: u32 = 4_400;

/// Plays a day at which prompts come at `pressure` times what the engines can read.
fn day(pressure: f64, bounded: bool, seed: u64) -> Day {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let (mut count, mut day) = (0, Day::default());
    let mut add = |events: &mut BTreeMap<(u64, u64), Event>, at: u64, event: Event| {
        count += 1;
        events.insert((at, count), event);
    };
    let mean = 2_800.0;
    let a_ms = pressure * READ_PER_MS * SERVERS as f64 / mean;
    for ms in 0..DAY_MS {
        if rng.random_bool(a_ms.min(1.0)) {
            let prompt = rng.random_range(800..4_800);
            let (draft, standing) = (rng.random_bool(1.0 / 3.0), AdmissionClass::Newcomer);
            add(&mut events, ms, Event::Comes(Request { prompt, draft, standing }));
        }
    }
    let mut loads = [Load::default(); SERVERS];
    // When each server has read all that waits there.
    let mut free = [0u64; SERVERS];
    while let Some(((now, _), event)) = events.pop_first() {
        match event {
            Event::Comes(request) => {
                let first = request.standing == AdmissionClass::Newcomer;
                let large = request.prompt > LARGE;
                if first {
                    day.asked += 1.0;
                    day.large += f64::from(u8::from(large));
                }
                let at = (0..SERVERS)
                    .min_by_key(|i| loads[*i].unread_prompt + loads[*i].tokens / 3)
                    .unwrap();
                let bound = Bound::of(AIM, &ENGINE, request.standing);
                if bounded && !bound.admits(loads[at]) {
                    if first {
                        let back =
                            now + retry_after(loads[at].unread_prompt, &mut rng).as_millis() as u64;
                        let standing = AdmissionClass::Returned;
                        add(&mut events, back, Event::Comes(Request { standing, ..request }));
                    } else {
                        day.refused += 1.0;
                    }
                    continue;
                }
                day.large_served += f64::from(u8::from(large));
                loads[at] += request.load();
                let takes = (f64::from(request.prompt) / READ_PER_MS) as u64;
                free[at] = free[at].max(now) + takes;
                add(&mut events, free[at], Event::Read(at, request));
                // From its last try: one that was refused at once counts from there.
                let late = free[at] - now > AIM_MS;
                day.in_aim += f64::from(u8::from(!late));
            }
            Event::Read(at, request) => {
                loads[at].unread_prompt -= request.prompt;
                let runs = if request.draft { DRAFT_MS } else { SUMMARY_MS };
                add(&mut events, now + runs, Event::Ends(at, request));
            }
            Event::Ends(at, request) => {
                loads[at] -= Load { unread_prompt: 0, ..request.load() };
            }
        }
    }
    day
}

#[test]
fn without_a_bound_everybody_is_late_where_a_tenth_too_much_comes() {
    for seed in 1..4 {
        let day = day(1.1, false, seed);
        assert!(day.share(day.in_aim) < 0.5, "{day:?}");
    }
}

#[test]
fn with_one_almost_all_that_engines_can_read_is_in_time() {
    /// Part of what they can read that has to be read in time: a bound on memory and places that are free for
    /// a moment cost the rest.
    const USED: f64 = 0.85;
    for pressure in [1.1, 1.2, 2.0] {
        for seed in 1..4 {
            let day = day(pressure, true, seed);
            let in_aim = day.share(day.in_aim);
            assert!(in_aim > USED / pressure, "{pressure}: {day:?}");
            assert!(in_aim + day.share(day.refused) > 0.97, "{pressure}, late: {day:?}");
        }
    }
}

#[test]
fn where_engines_can_read_what_comes_nobody_is_refused_for_good() {
    for seed in 1..4 {
        let day = day(0.6, true, seed);
        assert_eq!(day.refused, 0.0, "{day:?}");
        assert!(day.share(day.in_aim) > 0.98, "{day:?}");
    }
}

#[test]
fn long_prompts_are_let_in_as_others_are() {
    for seed in 1..4 {
        let day = day(1.2, true, seed);
        let (large, all) = (day.large_served / day.large, 1.0 - day.share(day.refused));
        assert!(large > 0.85 * all, "{large} of the large ones, {all} of all");
    }
}

#[test]
fn one_that_was_refused_finds_room_that_newcomers_do_not() {
    let newcomer = Bound::of(AIM, &ENGINE, AdmissionClass::Newcomer);
    let returned = Bound::of(AIM, &ENGINE, AdmissionClass::Returned);
    let load = Load { runs: 3, tokens: 9_000, unread_prompt: 4_000, ..Load::default() };
    assert!(!newcomer.admits(load) && returned.admits(load));
    assert_eq!(
        AdmissionClass::of(Duration::from_millis(4_900), Duration::from_secs(6)),
        AdmissionClass::Returned
    );
    assert_eq!(
        AdmissionClass::of(Duration::from_millis(5_990), Duration::from_secs(6)),
        AdmissionClass::Newcomer
    );
}

#[test]
fn a_request_that_is_larger_than_the_bound_is_taken_by_a_server_without_work() {
    let bound = Bound::of(Duration::from_millis(1), &ENGINE, AdmissionClass::Newcomer);
    assert!(bound.admits(Load::default()));
}

#[test]
fn a_stream_that_waits_behind_others_is_not_given_up_at_its_aim() {
    // What lies ahead on a crowded server takes longer to read than the aim.
    let waiting = first_event_timeout(AIM, 12_000);
    assert!(waiting > Duration::from_millis(12_000 / 6) + AIM, "{waiting:?}");
    assert!(
        first_event_timeout(AIM, 3_000) < AIM * 2,
        "a server that says nothing is given up in time"
    );
}
