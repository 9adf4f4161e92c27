//! A fleet of daemons in simulated time before one server in need.

use crate::fleet::{self, Fleet};
use crate::servers::add_server;
use rand::RngExt;
use rand::seq::SliceRandom;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::{BudgetBounds, SharedRetryBudget, Spent};
use tidestair::gateway::cell::first_in_each_hall;
use tidestair::gateway::cold::Rank;
use tidestair::gateway::heartbeat::DaemonStats;
use tidestair::gateway::limit::{CellShare, Limit, LimitRemark, Share};
use tidestair::gateway::servers::{Load, ServerKey, Servers};
use tidestair::gateway::tag::Tag;

/// What the platform allows within its window: so many times what the limit says, and so many requests besides.
pub const EXCESS: f64 = 1.5;
pub const SLACK: f64 = 5.0;
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first naming from which that holds, by the shortest bounds of the users' deployments.
pub const GRACE: Duration = Duration::from_secs(3);
/// Time that a request takes to the server, and the server for its answer.
pub const WAY: Duration = Duration::from_millis(2);
pub const ANSWER: Duration = Duration::from_millis(40);
/// The users' deployments by halls and daemons in each, and requests a second that come to all of them together.
pub const SIZES: [(usize, usize, f64); 4] =
    [(3, 2, 36.0), (4, 4, 100.0), (4, 15, 150.0), (6, 49, 190.0)];
pub const SERVICE: &str = "model";

pub fn budget(now: Instant) -> SharedRetryBudget {
    let window = Duration::from_secs(10);
    SharedRetryBudget::new(BudgetBounds { ratio: 0.2, slack: 50.0, window }, now)
}

/// How a daemon's part is found: as it is, and two others that were weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// As large as its part of the requests.
    ByDemand,
    /// The same for each daemon.
    Equal,
    /// What the others have not used within the window, as far as told; a count in place of a part.
    Counted,
}

/// What one daemon knows of the server in need.
pub struct Knowing {
    pub servers: Servers,
    pub key: ServerKey,
    pub budget: SharedRetryBudget,
    /// When it sent requests there lately, for [`Way::Counted`].
    pub sent: VecDeque<Instant>,
}

impl Knowing {
    pub fn new(now: Instant) -> Knowing {
        let mut servers = Servers::default();
        let key = add_server(&mut servers, 1, "hall-0", Load::default());
        Knowing { servers, key, budget: budget(now), sent: VecDeque::new() }
    }

    pub fn limit(&self) -> &Limit {
        self.servers.get(self.key).expect("it is listed").limit()
    }
}

/// A fleet before one server in need; all else that comes goes elsewhere.
pub struct Play {
    pub fleet: Fleet,
    pub known: Vec<Knowing>,
    pub way: Way,
    /// What the server names.
    pub names: Option<f64>,
    /// Requests a second by way of each daemon.
    pub demand: Vec<f64>,
    /// Answers that are on their way: when, to whom, when asked, what they say.
    pub answers: VecDeque<(Instant, usize, Instant, Option<f64>)>,
    /// Requests that came to the daemons, and those for which there was no room.
    pub asked: usize,
    pub refused: usize,
    /// Requests that arrived, but for those of daemons that the platform excuses.
    pub arrived: Vec<Instant>,
    /// Daemons whose faults excuse them, and until when.
    pub excused: HashMap<usize, Instant>,
}

impl Play {
    pub fn new((halls, in_hall, demand): (usize, usize, f64), way: Way, seed: u64) -> Play {
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

    pub fn service() -> Arc<str> {
        SERVICE.into()
    }

    pub fn run(&mut self, time: Duration) {
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

    pub fn answer(&mut self) {
        let now = self.fleet.now;
        while self.answers.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, i, asked, names) = self.answers.pop_front().expect("there is one");
            let word = names.map_or(LimitRemark::Unlimited, LimitRemark::Rate);
            let known = &mut self.known[i];
            known.servers.update_limit(known.key, word, asked, now);
        }
    }

    pub fn hear(&mut self, i: usize) {
        let now = self.fleet.now;
        let node = &mut self.fleet.nodes[i];
        for (signs, sent) in std::mem::take(&mut node.heard) {
            self.known[i].servers.merge_observations(&signs, sent, now);
        }
    }

    /// Requests come to a daemon, and some go to the server.
    pub fn ask(&mut self, i: usize) {
        let now = self.fleet.now;
        let likely = self.demand[i] * fleet::STEP.as_secs_f64();
        if !self.fleet.rng.random_bool(likely.min(1.0)) {
            return;
        }
        let service = Play::service();
        self.known[i].budget.record_request(&service, now);
        self.asked += 1;
        if !self.may_send(i, now) {
            self.refused += 1;
            return;
        }
        let known = &mut self.known[i];
        known.servers.use_quota(known.key);
        known.sent.push_back(now);
        let said = self.names;
        if self.excused.get(&i).is_none_or(|until| now > *until) {
            self.arrived.push(now + WAY);
        }
        self.answers.push_back((now + ANSWER, i, now, said));
    }

    pub fn may_send(&mut self, i: usize, now: Instant) -> bool {
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
        let has_room = self.known[i].limit().quota().is_none_or(|room| room >= 1.0);
        has_room || self.borrow(i, rate, now)
    }

    /// Brings the room of a daemon up to date.
    pub fn settle(&mut self, i: usize, now: Instant) {
        let listed = self.fleet.listed.len();
        let others = self.fleet.nodes[i].view.spent(listed - 1, now);
        let known = &mut self.known[i];
        known.budget.set_others(others);
        let budget = &mut known.budget;
        let (part, cell_part) = match self.way {
            Way::Equal => (1.0 / listed as f64, budget.cell_peers().count() as f64 / listed as f64),
            _ => {
                let service = Play::service();
                (budget.request_fraction(&service, now), budget.cell_fraction(&service, now))
            }
        };
        let rank = Rank { before: i, daemons: listed };
        let near = budget.cell_peers();
        let share = |server: Tag| {
            let (daemons, place) = (near.count(), near.rank(server));
            let cell = CellShare { fraction: cell_part, daemons, position: place };
            Share { fraction: part, phase: rank.phase(server), cell }
        };
        known.servers.update_quotas(SERVICE, share, now);
    }

    /// Asks daemons that hold room for some of it, those of the same cell first.
    pub fn borrow(&mut self, i: usize, rate: f64, now: Instant) -> bool {
        /// As many as daemons ask, in their cell and in other halls, and fleets up to which they do that.
        const ASKED: usize = 5;
        const ASKED_FAR: usize = 3;
        const SHARING: usize = 64;
        let known = &mut self.known[i];
        let holders = known.limit().holders();
        let all_hold = holders == known.budget.cell_peers().count();
        let used_up = known.budget.rate(&Play::service(), now) > rate;
        if self.way == Way::Equal || (all_hold && used_up) {
            return false;
        }
        let tag = known.servers.get(known.key).expect("it is listed").tag();
        let node = &self.fleet.nodes[i];
        let mut near = node.view.quota_holders_in_cell(tag, holders, now);
        near.sort_unstable();
        near.shuffle(&mut self.fleet.rng);
        near.truncate(ASKED);
        if node.view.layout().divided && self.fleet.listed.len() <= SHARING {
            let mut far = first_in_each_hall(&node.daemon, &self.fleet.listed, tag);
            far.shuffle(&mut self.fleet.rng);
            near.extend(far.into_iter().take(ASKED_FAR));
        }
        let mut lenders: Vec<usize> = near.iter().map(|addr| self.fleet.at[addr]).collect();
        lenders.retain(|j| self.fleet.nodes[*j].alive);
        for lender in lenders {
            self.settle(lender, now);
            let known = &mut self.known[lender];
            let tag = known.servers.get(known.key).expect("it is listed").tag();
            if let Some(server) = known.servers.lend(&[tag]) {
                self.known[i].servers.add_borrowed_quota(server);
                return true;
            }
        }
        false
    }

    pub fn tell(&mut self, i: usize) {
        let now = self.fleet.now;
        let known = &mut self.known[i];
        while known.sent.front().is_some_and(|at| now - *at > WINDOW) {
            known.sent.pop_front();
        }
        let sent = known.sent.len() as u32;
        let mut spent = known.budget.spent(now);
        let counted = Spent { requests: sent, retries: 0 };
        spent.push((Tag::of("sent"), counted));
        let node = &mut self.fleet.nodes[i];
        node.own.stats = DaemonStats { spent, ..DaemonStats::default() };
        node.signs = known.servers.observations(now);
    }

    pub fn restart(&mut self, i: usize) {
        self.fleet.restart(i);
        self.known[i] = Knowing::new(self.fleet.now);
        self.excuse(i);
    }

    pub fn excuse(&mut self, i: usize) {
        self.excused.insert(i, self.fleet.now + GRACE);
    }

    /// Four fifths of the requests come by way of a sixth of the daemons.
    pub fn tilt(&mut self) {
        let all: f64 = self.demand.iter().sum();
        let count = self.demand.len();
        let few = count.div_ceil(6);
        for (i, demand) in self.demand.iter_mut().enumerate() {
            let (part, among) = if i % 6 == 0 { (0.8, few) } else { (0.2, count - few) };
            *demand = all * part / among as f64;
        }
    }

    /// The server names a limit; returns once that is known and the platform's bound holds.
    pub fn name(&mut self, rate: f64) -> Instant {
        self.names = Some(rate);
        self.run(GRACE);
        self.fleet.now
    }

    pub fn assert_holds(&self, from: Instant, rate: f64) {
        let (most, allowed) = (self.most(from), allowed(rate));
        let count = self.known.len();
        assert!(most <= allowed, "{most} of {count} daemons within 4 s, {allowed} are allowed");
    }

    /// How many daemons hold the server to a limit.
    pub fn limiting(&self) -> usize {
        self.known.iter().filter(|known| known.limit().rate().is_some()).count()
    }

    /// The most that arrived within a window that began at a moment or later.
    pub fn most(&self, from: Instant) -> usize {
        let later: Vec<Instant> = self.arrived.iter().copied().filter(|at| *at >= from).collect();
        let count = |first: Instant| {
            later.iter().filter(|at| **at >= first && **at < first + WINDOW).count()
        };
        later.iter().map(|first| count(*first)).max().unwrap_or(0)
    }

    /// Requests that arrived from a moment on, as a part of what the server takes.
    pub fn used(&self, from: Instant, rate: f64) -> f64 {
        let came = self.arrived.iter().filter(|at| **at >= from).count() as f64;
        came / (rate * (self.fleet.now - from).as_secs_f64())
    }
}

pub fn allowed(rate: f64) -> usize {
    (EXCESS * rate * WINDOW.as_secs_f64() + SLACK) as usize
}
