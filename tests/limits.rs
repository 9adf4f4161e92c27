//! Servers in need before fleets of many sizes, in simulated time: real views, heartbeats, counts of requests
//! and limits of every daemon.
//!
//! The pattern: a server names some requests a second in its answers, far fewer than come by way of all daemons
//! together. None of them knows at a moment what the others send, a large fleet has more daemons than the
//! server takes requests in a minute, and words are late.

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/servers.rs"]
mod servers;

use fleet::{Fleet, ms};
use rand::RngExt;
use rand::seq::SliceRandom;
use servers::add_server;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::beat::Told;
use tidestair::gateway::budget::{BudgetBounds, Others, RepeatBudget, Spent};
use tidestair::gateway::cold::Rank;
use tidestair::gateway::limit::{Limit, LimitWord, Said, Share};
use tidestair::gateway::servers::{Load, ServerKey, ServerRecord, Servers, Signs};
use tidestair::gateway::tag::Tag;

/// What the platform allows within its window: so many times what the limit says, and so many requests besides.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first naming from which that holds, by the shortest bounds of the users' deployments.
const GRACE: Duration = Duration::from_secs(3);
/// Time that a request takes to the server, and the server for its answer.
const WAY: Duration = Duration::from_millis(2);
const ANSWER: Duration = Duration::from_millis(40);
/// The users' deployments by halls and daemons in each, and requests a second that come to all of them together.
const SIZES: [(usize, usize, f64); 4] =
    [(3, 2, 36.0), (4, 4, 100.0), (4, 15, 150.0), (6, 49, 190.0)];
const SERVICE: &str = "model";

fn budget(now: Instant) -> RepeatBudget {
    let window = Duration::from_secs(10);
    RepeatBudget::new(BudgetBounds { ratio: 0.2, slack: 50.0, window }, now)
}

/// How a daemon's part is found: as it is, and two others that were weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// As large as its part of the requests.
    ByDemand,
    /// The same for each daemon.
    Equal,
    /// What the others have not used within the window, as far as told; a count in place of a part.
    Counted,
}

/// What one daemon knows of the server in need.
struct Knowing {
    servers: Servers,
    key: ServerKey,
    budget: RepeatBudget,
    /// When it sent requests there lately, for [`Way::Counted`].
    sent: VecDeque<Instant>,
}

impl Knowing {
    fn new(now: Instant) -> Knowing {
        let mut servers = Servers::default();
        let key = add_server(&mut servers, 1, "hall-0", Load::default());
        Knowing { servers, key, budget: budget(now), sent: VecDeque::new() }
    }

    fn limit(&self) -> &Limit {
        self.servers.get(self.key).expect("it is listed").limit()
    }
}

/// A fleet before one server in need; all else that comes goes elsewhere.
struct Play {
    fleet: Fleet,
    known: Vec<Knowing>,
    way: Way,
    /// What the server names.
    names: Option<f64>,
    /// Requests a second by way of each daemon.
    demand: Vec<f64>,
    /// Answers that are on their way: when, to whom, when asked, what they say.
    answers: VecDeque<(Instant, usize, Instant, Option<f64>)>,
    /// Requests that came to the daemons, and those for which there was no room.
    asked: usize,
    refused: usize,
    /// Requests that arrived, but for those of daemons that the platform excuses.
    arrived: Vec<Instant>,
    /// Daemons whose faults excuse them, and until when.
    excused: HashMap<usize, Instant>,
}

impl Play {
    fn new((halls, in_hall, demand): (usize, usize, f64), way: Way, seed: u64) -> Play {
        let fleet = Fleet::new(halls, in_hall, seed);
        let count = fleet.nodes.len();
        let known = (0..count).map(|_| Knowing::new(fleet.now)).collect();
        let demand = vec![demand / count as f64; count];
        Play {
            fleet,
            known,
            way,
            names: None,
            demand,
            answers: VecDeque::new(),
            asked: 0,
            refused: 0,
            arrived: Vec::new(),
            excused: HashMap::new(),
        }
    }

    fn service() -> Arc<str> {
        SERVICE.into()
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(fleet::STEP);
            self.answer();
            for i in 0..self.known.len() {
                if self.fleet.nodes[i].alive {
                    self.hear(i);
                    self.ask(i);
                    self.tell(i);
                }
            }
        }
    }

    fn answer(&mut self) {
        let now = self.fleet.now;
        while self.answers.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, i, asked, names) = self.answers.pop_front().expect("there is one");
            let word = names.map_or(LimitWord::Free, LimitWord::Rate);
            let known = &mut self.known[i];
            known.servers.says_limit(known.key, word, asked, now);
        }
    }

    fn hear(&mut self, i: usize) {
        let now = self.fleet.now;
        let node = &mut self.fleet.nodes[i];
        for (signs, sent) in std::mem::take(&mut node.heard) {
            self.known[i].servers.take_signs(&signs, sent, now);
        }
    }

    /// Requests come to a daemon, and some go to the server.
    fn ask(&mut self, i: usize) {
        let now = self.fleet.now;
        let likely = self.demand[i] * fleet::STEP.as_secs_f64();
        if !self.fleet.rng.random_bool(likely.min(1.0)) {
            return;
        }
        let service = Play::service();
        self.known[i].budget.request(&service, now);
        self.asked += 1;
        if !self.may_send(i, now) {
            self.refused += 1;
            return;
        }
        let known = &mut self.known[i];
        known.servers.takes_room(known.key);
        known.sent.push_back(now);
        let said = self.names;
        if self.excused.get(&i).is_none_or(|until| now > *until) {
            self.arrived.push(now + WAY);
        }
        self.answers.push_back((now + ANSWER, i, now, said));
    }

    fn may_send(&mut self, i: usize, now: Instant) -> bool {
        let Some(rate) = self.known[i].limit().rate() else {
            return true;
        };
        let listed = self.fleet.listed.len();
        let node = &self.fleet.nodes[i];
        let others = node.view.spent(listed - 1, now);
        let counted = others.spent.get(&Tag::of("sent")).map_or(0, |spent| spent.requests);
        let known = &mut self.known[i];
        if self.way == Way::Counted {
            while known.sent.front().is_some_and(|at| now - *at > WINDOW) {
                known.sent.pop_front();
            }
            let all = known.sent.len() as f64 + f64::from(counted);
            return all + 1.0 <= rate * WINDOW.as_secs_f64();
        }
        self.settle(i, now);
        let has_room = self.known[i].limit().room().is_none_or(|room| room >= 1.0);
        has_room || self.borrow(i, rate, now)
    }

    /// Brings the room of a daemon up to date.
    fn settle(&mut self, i: usize, now: Instant) {
        let listed = self.fleet.listed.len();
        let others = self.fleet.nodes[i].view.spent(listed - 1, now);
        let known = &mut self.known[i];
        known.budget.set_others(others);
        let part = match self.way {
            Way::Equal => 1.0 / listed as f64,
            _ => known.budget.part(&Play::service(), now),
        };
        let rank = Rank { before: i, daemons: listed };
        let share = |server: Tag| Share { part, phase: rank.phase(server) };
        known.servers.settle_limits(SERVICE, share, now);
    }

    /// Asks some daemons of the same cell for room where less comes than the server takes.
    fn borrow(&mut self, i: usize, rate: f64, now: Instant) -> bool {
        /// As many as daemons ask.
        const ASKED: usize = 5;
        if self.known[i].budget.rate(&Play::service(), now) > rate {
            return false;
        }
        let mut near = self.fleet.nodes[i].view.ready_near(now);
        near.sort_unstable();
        near.shuffle(&mut self.fleet.rng);
        near.truncate(ASKED);
        let mut lenders: Vec<usize> = near.iter().map(|addr| self.fleet.at[addr]).collect();
        lenders.retain(|j| self.fleet.nodes[*j].alive);
        for lender in lenders {
            self.settle(lender, now);
            let known = &mut self.known[lender];
            let tag = known.servers.get(known.key).expect("it is listed").tag();
            if let Some(server) = known.servers.lend(&[tag]) {
                self.known[i].servers.borrowed(server);
                return true;
            }
        }
        false
    }

    fn tell(&mut self, i: usize) {
        let now = self.fleet.now;
        let known = &mut self.known[i];
        while known.sent.front().is_some_and(|at| now - *at > WINDOW) {
            known.sent.pop_front();
        }
        let sent = known.sent.len() as u32;
        let mut spent = known.budget.spent(now);
        let counted = Spent { requests: sent, repeats: 0 };
        spent.push((Tag::of("sent"), counted));
        let node = &mut self.fleet.nodes[i];
        node.own.told = Told { spent, ..Told::default() };
        node.signs = known.servers.signs(now);
    }

    fn restart(&mut self, i: usize) {
        self.fleet.restart(i);
        self.known[i] = Knowing::new(self.fleet.now);
        self.excuse(i);
    }

    fn excuse(&mut self, i: usize) {
        self.excused.insert(i, self.fleet.now + GRACE);
    }

    /// Four fifths of the requests come by way of a sixth of the daemons.
    fn tilt(&mut self) {
        let all: f64 = self.demand.iter().sum();
        let count = self.demand.len();
        let few = count.div_ceil(6);
        for (i, demand) in self.demand.iter_mut().enumerate() {
            let (part, among) = if i % 6 == 0 { (0.8, few) } else { (0.2, count - few) };
            *demand = all * part / among as f64;
        }
    }

    /// The server names a limit; returns once that is known and the platform's bound holds.
    fn name(&mut self, rate: f64) -> Instant {
        self.names = Some(rate);
        self.run(GRACE);
        self.fleet.now
    }

    fn assert_holds(&self, from: Instant, rate: f64) {
        let (most, allowed) = (self.most(from), allowed(rate));
        let count = self.known.len();
        assert!(most <= allowed, "{most} of {count} daemons within 4 s, {allowed} are allowed");
    }

    /// How many daemons hold the server to a limit.
    fn limiting(&self) -> usize {
        self.known.iter().filter(|known| known.limit().rate().is_some()).count()
    }

    /// The most that arrived within a window that began at a moment or later.
    fn most(&self, from: Instant) -> usize {
        let later: Vec<Instant> = self.arrived.iter().copied().filter(|at| *at >= from).collect();
        let count = |first: Instant| {
            later.iter().filter(|at| **at >= first && **at < first + WINDOW).count()
        };
        later.iter().map(|first| count(*first)).max().unwrap_or(0)
    }

    /// Requests that arrived from a moment on, as a part of what the server takes.
    fn used(&self, from: Instant, rate: f64) -> f64 {
        let came = self.arrived.iter().filter(|at| **at >= from).count() as f64;
        came / (rate * (self.fleet.now - from).as_secs_f64())
    }
}

fn allowed(rate: f64) -> usize {
    (EXCESS * rate * WINDOW.as_secs_f64() + SLACK) as usize
}

/// Time in which a daemon knows what it needs of the others.
const SETTLED: Duration = Duration::from_secs(4);
/// Part of the limit that has to be used where many times as much comes. What a daemon of a large fleet leaves
/// unused is lost, so that an idle fleet does not come with one request from each at once.
const USED: f64 = 0.6;

#[test]
fn a_limit_holds_over_all_daemons_and_its_room_is_used() {
    for (seed, size) in SIZES[..3].iter().enumerate() {
        for (rate, tilted) in [(0.5, false), (2.2, true), (10.0, false), (10.0, true)] {
            let mut play = Play::new(*size, Way::ByDemand, seed as u64);
            if tilted {
                play.tilt();
            }
            play.run(SETTLED);
            let from = play.name(rate);
            play.run(ms(12_000));
            play.assert_holds(from, rate);
            let used = play.used(from, rate);
            assert!(
                rate < 1.0 || used > USED,
                "{size:?}, {rate} a second, tilted {tilted}: {used:.2}"
            );
        }
    }
}

#[test]
fn a_limit_holds_before_hundreds_of_daemons() {
    let mut play = Play::new(SIZES[3], Way::ByDemand, 5);
    play.run(SETTLED);
    let from = play.name(2.2);
    play.run(ms(6_000));
    play.assert_holds(from, 2.2);
    assert!(play.limiting() == play.known.len(), "{} know of it", play.limiting());
}

/// The two ways that were weighed: one wastes what daemons with few requests may send, the other breaks the
/// bound.
#[test]
fn equal_parts_use_less_and_counts_break_the_bound() {
    let play = |way| {
        let mut play = Play::new(SIZES[2], way, 3);
        play.tilt();
        play.run(SETTLED);
        let from = play.name(10.0);
        play.run(ms(12_000));
        (play.most(from), play.used(from, 10.0))
    };
    let [(_, by_demand), (_, equal)] = [Way::ByDemand, Way::Equal].map(play);
    assert!(equal < by_demand, "{equal:.2} against {by_demand:.2}");
    assert!(play(Way::Counted).0 > allowed(10.0));
}

#[test]
fn a_limit_holds_while_daemons_restart_and_halls_are_cut_off() {
    for seed in 0..4 {
        let mut play = Play::new(SIZES[1], Way::ByDemand, 10 + seed);
        play.fleet.loss = 0.05;
        play.run(SETTLED);
        let from = play.name(6.0);
        let cut: Vec<(String, String)> = (1..4)
            .map(|hall| ("hall-0".to_string(), format!("hall-{hall}")))
            .flat_map(|(one, other)| [(one.clone(), other.clone()), (other, one)])
            .collect();
        for second in 0..16 {
            let i = play.fleet.rng.random_range(0..play.known.len());
            play.restart(i);
            if second % 8 == 2 {
                play.fleet.cut.extend(cut.iter().cloned());
            }
            if second % 8 == 6 {
                play.fleet.cut.clear();
            }
            play.run(ms(1_000));
        }
        play.assert_holds(from, 6.0);
    }
}

/// It stands still for longer than it takes for its part to be missed, and goes on as if no time had passed.
#[test]
fn a_daemon_that_stood_still_does_not_make_up_for_it() {
    let mut play = Play::new(SIZES[0], Way::ByDemand, 20);
    play.run(SETTLED);
    let from = play.name(4.0);
    for i in [0, 3] {
        play.fleet.nodes[i].alive = false;
        play.run(ms(5_000));
        play.fleet.nodes[i].alive = true;
        play.run(ms(4_000));
    }
    play.assert_holds(from, 4.0);
}

#[test]
fn words_that_are_late_do_not_break_a_limit() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 30);
    play.fleet.late = ms(1_000);
    play.fleet.loss = 0.1;
    play.run(SETTLED);
    let from = play.name(3.0);
    play.run(ms(12_000));
    play.assert_holds(from, 3.0);
}

#[test]
fn an_idle_fleet_does_not_come_at_once() {
    for size in [SIZES[0], SIZES[2]] {
        let mut play = Play::new(size, Way::ByDemand, 40);
        play.run(SETTLED);
        play.name(5.0);
        let busy = std::mem::take(&mut play.demand);
        play.demand = vec![0.0; busy.len()];
        play.run(ms(20_000));
        // Three times as much as before.
        play.demand = busy.iter().map(|demand| demand * 3.0).collect();
        let from = play.fleet.now;
        play.run(ms(6_000));
        play.assert_holds(from, 5.0);
    }
}

#[test]
fn a_limit_that_is_lowered_holds() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 50);
    play.run(SETTLED);
    play.name(20.0);
    let from = play.name(2.0);
    play.run(ms(10_000));
    play.assert_holds(from, 2.0);
}

#[test]
fn all_daemons_notice_the_end_of_a_limit() {
    /// A request of some daemon meets the server in this time, and heartbeats take a second or two.
    const NOTICED: Duration = Duration::from_secs(4);
    for (size, rate) in [(SIZES[0], 0.5), (SIZES[1], 2.2), (SIZES[2], 2.2)] {
        let mut play = Play::new(size, Way::ByDemand, 60);
        play.run(SETTLED);
        play.name(rate);
        assert_eq!(play.limiting(), play.known.len());
        play.names = None;
        // The next request after that is the first that can tell.
        play.run(Duration::from_secs_f64(2.0 / rate) + NOTICED);
        assert_eq!(play.limiting(), 0, "{size:?}");
    }
}

/// A server that takes nothing is still asked now and then: only an answer tells that it is well again.
#[test]
fn a_server_that_names_nothing_gets_next_to_nothing_until_it_is_well_again() {
    let mut play = Play::new(SIZES[1], Way::ByDemand, 70);
    play.run(SETTLED);
    let from = play.name(0.0);
    play.run(ms(30_000));
    play.assert_holds(from, 0.0);
    play.names = None;
    play.run(ms(30_000));
    assert_eq!(play.limiting(), 0);
}

#[test]
fn what_was_said_later_counts_however_late_an_answer_comes() {
    let (mut servers, start) = (Servers::default(), Instant::now());
    let key = add_server(&mut servers, 1, "here", Load::default());
    let rate = |servers: &Servers| servers.get(key).unwrap().limit().rate();
    let at = |n| start + ms(n);
    assert!(servers.says_limit(key, LimitWord::Rate(2.0), at(0), at(100)));
    // Asked before the limit was heard, and answered long after.
    assert!(!servers.says_limit(key, LimitWord::Free, at(50), at(3_000)));
    assert_eq!(rate(&servers), Some(2.0));
    // A value that is no number changes nothing, neither way.
    assert!(!servers.says_limit(key, LimitWord::Unclear, at(3_000), at(3_010)));
    assert_eq!(rate(&servers), Some(2.0));
    assert!(servers.says_limit(key, LimitWord::Free, at(3_100), at(3_200)));
    assert!(!servers.says_limit(key, LimitWord::Unclear, at(3_300), at(3_310)));
    assert_eq!(rate(&servers), None);
    // A peer's word of the limit, from before that.
    let tag = servers.get(key).unwrap().tag();
    let told =
        |rate, age_ms| Signs { limits: vec![(tag, Said { rate, age_ms })], ..Signs::default() };
    servers.take_signs(&told(Some(2.0), 400), Some(at(3_400)), at(3_420));
    assert_eq!(rate(&servers), None);
    // What can't be dated is left for the next heartbeat.
    servers.take_signs(&told(Some(2.0), 0), None, at(3_430));
    assert_eq!(rate(&servers), None);
    servers.take_signs(&told(Some(2.0), 10), Some(at(3_440)), at(3_450));
    assert_eq!(rate(&servers), Some(2.0));
}

/// One that starts again under its id knows nothing of its need before.
#[test]
fn a_limit_ends_with_the_start_of_the_server_that_named_it() {
    let (mut servers, now) = (Servers::default(), Instant::now());
    let key = add_server(&mut servers, 1, "here", Load::default());
    servers.says_limit(key, LimitWord::Rate(2.0), now, now);
    servers.end(key, Load::default());
    let record = servers.get(key).unwrap().record.clone();
    servers.upsert(ServerRecord { born: Some(7), ..record }, now);
    let again = servers.find("i-1").unwrap();
    assert_eq!(servers.get(again).unwrap().limit().rate(), None);
}

#[test]
fn the_parts_of_all_daemons_add_up_to_one() {
    let (now, service) = (Instant::now(), Play::service());
    let requests = [0u32, 3, 40, 400, 90, 7];
    let part = |i: usize, heard: &[usize]| {
        let mut own = budget(now);
        (0..requests[i]).for_each(|_| own.request(&service, now));
        let told = heard.iter().map(|j| requests[*j]).sum();
        let spent = [(Tag::of(&service), Spent { requests: told, repeats: 0 })].into();
        own.set_others(Others { daemons: requests.len() - 1, heard: heard.len(), spent });
        own.part(&service, now)
    };
    let others = |i: usize, among: &[usize]| -> Vec<usize> {
        among.iter().copied().filter(|j| *j != i).collect()
    };
    let all: Vec<usize> = (0..requests.len()).collect();
    let whole: f64 = all.iter().map(|i| part(*i, &others(*i, &all))).sum();
    assert!((whole - 1.0).abs() < 1e-9, "{whole}");
    assert!(part(3, &others(3, &all)) > part(5, &others(5, &all)));
    // Two halves that lost each other, and daemons that each hear nobody.
    let halves: f64 = [&all[..3], &all[3..]]
        .iter()
        .flat_map(|half| half.iter().map(|i| part(*i, &others(*i, half))))
        .sum();
    assert!((halves - 1.0).abs() < 1e-9, "{halves}");
    let alone: f64 = all.iter().map(|i| part(*i, &[])).sum();
    assert!((alone - 1.0).abs() < 1e-9, "{alone}");
}

/// Part of the requests that is refused where half of what the server takes comes.
fn refused(size: (usize, usize), rate: f64, seed: u64) -> f64 {
    let mut play = Play::new((size.0, size.1, rate / 2.0), Way::ByDemand, seed);
    play.run(SETTLED);
    let from = play.name(rate);
    (play.asked, play.refused) = (0, 0);
    // Some hundred requests or more.
    play.run(Duration::from_secs_f64(400.0 / rate).min(Duration::from_secs(180)));
    play.assert_holds(from, rate);
    play.refused as f64 / play.asked as f64
}

/// Part that may be refused so: what comes by chance within a moment is more than the mean.
const REFUSED: f64 = 0.1;

/// Each of a few daemons keeps room for one request, and those that have used theirs ask the others.
#[test]
fn few_are_refused_by_a_small_fleet_where_less_comes_than_a_server_takes() {
    let sizes = [((3, 2), 2.2), ((3, 3), 5.0)];
    let parts = sizes.map(|(size, rate)| refused(size, rate, 80));
    println!("refused of {sizes:?}: {parts:.2?}");
    assert!(parts.iter().all(|part| *part < REFUSED), "refused of {sizes:?}: {parts:.2?}");
}

#[test]
fn few_are_refused_by_a_larger_fleet_where_less_comes_than_a_server_takes() {
    let sizes = [((4, 4), 10.0), ((4, 4), 2.2), ((4, 15), 10.0)];
    let parts = sizes.map(|(size, rate)| refused(size, rate, 80));
    println!("refused of {sizes:?}: {parts:.2?}");
    assert!(parts.iter().all(|part| *part < REFUSED), "refused of {sizes:?}: {parts:.2?}");
}
