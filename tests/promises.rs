//! Room at servers in need that is kept for callers who were told to come back.

use std::time::{Duration, Instant};
use tidestair::gateway::promises::{Promises, Quota};

/// Four requests a second by way of this daemon, of 24 by way of all.
const PACE: f64 = 4.0;
const ALL: f64 = 24.0;
const DEMAND: f64 = 48.0;
const LEFT: Duration = Duration::from_secs(4);

fn room(now: f64) -> Quota {
    Quota { now, refill_rate: PACE, total_rate: ALL }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One caller is told to come back.
fn told(promises: &mut Promises, now: Instant) -> Duration {
    let back = promises.retry_advice(room(0.0), DEMAND, LEFT, now);
    promises.reserve(back.due.expect("it would wait"));
    back.after
}

#[test]
fn callers_are_told_to_come_back_one_after_the_other_while_they_would_wait() {
    let (mut promises, now) = (Promises::default(), Instant::now());
    let mut come_back = || {
        let back = promises.retry_advice(room(0.0), DEMAND, LEFT, now);
        back.due.into_iter().for_each(|due| promises.reserve(due));
        (back.after, back.due.is_some())
    };
    // Half of what comes free is promised: two a second.
    assert_eq!(come_back(), (ms(500), true));
    assert_eq!(come_back(), (ms(1_000), true));
    // The next one would have to wait for longer than a third of its time: no room is kept for it.
    assert_eq!(come_back(), (ms(1_500), false));
    assert_eq!(come_back(), (ms(1_500), false));
    // Where little comes, it does not ask again at once.
    let little = promises.retry_advice(Quota { refill_rate: 0.1, ..room(0.0) }, 0.1, LEFT, now);
    assert_eq!((little.after, little.due), (ms(300), None));
    // With less by way of this daemon, it is told when all of them have taken what comes in a second.
    let small = Quota { refill_rate: 0.1, ..room(0.0) };
    let back = promises.retry_advice(small, DEMAND, LEFT, now);
    assert_eq!((back.after, back.due), (ms(2_000), None));
}

#[test]
fn a_caller_that_comes_back_finds_the_room_that_newcomers_leave() {
    let (mut promises, start) = (Promises::default(), Instant::now());
    let due = told(&mut promises, start);
    // A newcomer may use what comes free before, not what is needed when the caller returns.
    assert!(!promises.newcomer_may_use(room(1.0), start + due - ms(200)));
    assert!(promises.newcomer_may_use(room(2.0), start + due - ms(200)));
    assert!(!promises.newcomer_may_use(room(1.0), start + due));
    promises.fulfill_promise(start + due);
    assert!(promises.newcomer_may_use(room(1.0), start + due));
}

#[test]
fn room_is_not_kept_for_a_caller_that_does_not_come() {
    let (mut promises, start) = (Promises::default(), Instant::now());
    let due = told(&mut promises, start);
    assert!(!promises.newcomer_may_use(room(1.0), start + due + ms(299)));
    assert!(promises.newcomer_may_use(room(1.0), start + due + ms(301)));
}

#[test]
fn without_promises_newcomers_use_what_there_is() {
    let (mut promises, now) = (Promises::default(), Instant::now());
    assert!(promises.newcomer_may_use(room(1.0), now));
    assert!(!promises.newcomer_may_use(room(0.9), now));
    // Nothing ever comes free at this daemon: an hour at most is told.
    let none = Quota { now: 0.0, refill_rate: 0.0, total_rate: 0.0 };
    assert!(!promises.newcomer_may_use(none, now));
    let back = promises.retry_advice(none, DEMAND, LEFT, now);
    assert_eq!((back.after, back.due), (Duration::from_secs(3_600), None));
}
