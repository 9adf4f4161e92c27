//! Engines of unequal speed and the daemons that send them requests, in simulated time.
//!
//! An engine reads prompts one after another, 112 tokens in a step, beside its runs, each of which makes a
//! token in a step; it lives for 20 s, and its runs then continue at another one. Daemons learn each other's
//! figures 20 to 60 ms late (reports of changed loads are 40 ms apart), and see events up to 20 ms late.

use crate::servers::{ENGINE, add_server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};
use tidestair::gateway::outcomes::Outcomes;
use tidestair::gateway::pace::{EventTimer, Step};
use tidestair::gateway::place::{
    COST_TOLERANCE, Candidate, Headroom, PlacementPolicy, PlacementRequest, REMOTE_HALL_COST,
};
use tidestair::gateway::servers::{Load, PeerStats, ServerKey, ServerRecord, Servers};
use tidestair::gateway::table::Engine;
use tidestair::gateway::tag::Tag;

/// Longest time to the first event of a digest.
pub const SLO_MS: u64 = 1_800;
/// Longest pause between events.
const PAUSE_US: u64 = 180_000;
const MEMORY: u32 = 26_951;
const HALLS: [&str; 4] = ["a", "b", "c", "d"];
const ENGINES: usize = 48;
const DAEMONS: usize = 76;
/// Requests in a second, prompt tokens and events of digests and of classifications.
const DIGESTS: (f64, u32, u32) = (23.4, 3_079, 187);
const SHORT: (f64, u32, u32) = (26.1, 2_550, 2);
const LIFE_US: u64 = 20_000_000;
const TICK_US: u64 = 20_000;
const DAY_US: u64 = 60_000_000;
/// From here on the day is judged: by then runs have filled the engines.
const JUDGED_US: u64 = 10_000_000;
/// Time that a new process of a server has until its relative latency has to be known.
const LEARNING_US: u64 = 3_000_000;

/// What is played.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Setting {
    /// Whether daemons measure relative latencies.
    pub weighed: bool,
    /// Whether engines live for 20 s only.
    pub restarts: bool,
    /// Times of a step in relation to the stated one; each third of the engines has one.
    pub speeds: [f64; 3],
}

/// How the day went.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    /// Part of the digests whose first event came within the SLO.
    pub first_in_time: f64,
    /// Mean time to the first event of all requests.
    pub mean_first_ms: f64,
    /// Part of the pauses between events that were short enough.
    pub gaps_in_time: f64,
    /// Work of the busiest server, times its relative latency, by the mean of all.
    pub busiest: f64,
    /// Part of the time in which daemons took a server for faster or slower than it was by more than a
    /// quarter, from 3 s after its start on.
    pub misjudged: f64,
}

#[derive(Debug, Clone)]
struct Run {
    daemon: usize,
    key: ServerKey,
    load: Load,
    arrived: u64,
    unread: u32,
    made: u32,
    events: u32,
    digest: bool,
    last_event: u64,
    timer: EventTimer,
    window_load: Load,
}

#[derive(Debug, Default)]
struct Machine {
    speed: f64,
    started: u64,
    process: u64,
    stepping: bool,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    work: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(bool),
    StepEnds(usize, u64),
    Tick(u64),
    Restart(usize),
}

/// What a daemon reports: its loads, and the sums of its samples.
type Report = (Vec<(Tag, Load)>, Vec<(Tag, Outcomes)>);

/// The engines and daemons.
pub struct Fleet {
    setting: Setting,
    base: Instant,
    now: u64,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    machines: Vec<Machine>,
    daemons: Vec<Servers>,
    told: Vec<Report>,
    firsts: Vec<(bool, u64)>,
    gaps: [f64; 2],
    judged: [f64; 2],
}

fn engine() -> Engine {
    Engine { memory: MEMORY, ..ENGINE }
}

impl Fleet {
    pub fn new(setting: Setting, seed: u64) -> Fleet {
        let machines = (0..ENGINES)
            .map(|i| Machine { speed: setting.speeds[i / HALLS.len() % 3], ..Machine::default() });
        let mut fleet = Fleet {
            setting,
            base: Instant::now(),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            count: 0,
            machines: machines.collect(),
            daemons: (0..DAEMONS).map(|_| Servers::default()).collect(),
            told: Vec::new(),
            firsts: Vec::new(),
            gaps: [0.0; 2],
            judged: [0.0; 2],
        };
        for servers in &mut fleet.daemons {
            for i in 0..ENGINES {
                add_server(servers, i, HALLS[i % HALLS.len()], Load::default());
            }
        }
        (0..ENGINES)
            .filter(|_| setting.restarts)
            .for_each(|i| fleet.add((i as u64 + 1) * LIFE_US / ENGINES as u64, Event::Restart(i)));
        [true, false].into_iter().for_each(|digest| fleet.add(0, Event::Request(digest)));
        fleet.add(0, Event::Tick(0));
        fleet
    }

    fn add(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn at(&self, us: u64) -> Instant {
        self.base + Duration::from_micros(us)
    }

    /// Plays the day.
    pub fn run(mut self) -> Day {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > DAY_US {
                break;
            }
            self.now = at;
            match event {
                Event::Request(digest) => self.request(digest),
                Event::StepEnds(i, process) if self.machines[i].process == process => self.step(i),
                Event::StepEnds(..) => {}
                Event::Tick(n) => self.tick(n),
                Event::Restart(i) => self.restart(i),
            }
        }
        self.judge()
    }

    fn request(&mut self, digest: bool) {
        let (rate, prompt, events) = if digest { DIGESTS } else { SHORT };
        let pause = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        self.add(self.now + (pause * 1e6) as u64, Event::Request(digest));
        let prompt = (f64::from(prompt) * self.rng.random_range(0.5..1.5)) as u32;
        let tokens = prompt + events * ENGINE.event_tokens;
        let load = Load { runs: 1, tokens, unread_prompt: prompt, ..Load::default() };
        let daemon = self.rng.random_range(0..DAEMONS);
        let run = Run {
            daemon,
            key: ServerKey::default(),
            load,
            arrived: self.now,
            unread: prompt,
            made: 0,
            events,
            digest,
            last_event: 0,
            timer: EventTimer::default(),
            window_load: Load::default(),
        };
        let i = self.place(run);
        if self.now >= JUDGED_US {
            let work = f64::from(prompt) / 14.0 + f64::from(tokens - prompt) * 1.5;
            self.machines[i].work += work;
        }
    }

    /// Sends a run to the server that its daemon chooses.
    fn place(&mut self, mut run: Run) -> usize {
        let (now, engine) = (self.at(self.now), engine());
        let request = PlacementRequest {
            hall: HALLS[run.daemon % HALLS.len()],
            remote_cost: REMOTE_HALL_COST,
            cost_tolerance: COST_TOLERANCE,
            unreported_requests: 0.0,
            load: run.load,
            engine: Some(&engine),
        };
        let servers = &mut self.daemons[run.daemon];
        let candidates: Vec<Candidate<'_>> = servers
            .open("model")
            .map(|(key, server)| Candidate { key, server, load: server.load() })
            .collect();
        run.key = Headroom.choose(&candidates, &request, now, &mut self.rng).expect("a server");
        let id = servers.get(run.key).expect("it is known").record.id.clone();
        servers.add_load(run.key, run.load);
        let i: usize = id[2..].parse().expect("a number");
        let machine = &mut self.machines[i];
        if run.unread > 0 {
            machine.waiting.push_back(run)
        } else {
            machine.running.push(run)
        };
        if !self.machines[i].stepping {
            self.begin_step(i);
        }
        i
    }

    /// Reads prompt for the next step and schedules its end.
    fn begin_step(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let used: u32 = machine.running.iter().map(|run| run.load.tokens).sum();
        let mut left = 112;
        if let Some(first) = machine.waiting.front_mut()
            && (used + first.load.tokens <= MEMORY || machine.running.is_empty())
        {
            let read = first.unread.min(left);
            first.unread -= read;
            left -= read;
        }
        machine.stepping = !machine.running.is_empty() || left < 112;
        if machine.stepping {
            let step = 7.0 + 0.12 * machine.running.len() as f64 + f64::from(112 - left) / 14.0;
            let (ends, process) = ((step * machine.speed * 1_000.0) as u64, machine.process);
            self.add(self.now + ends, Event::StepEnds(i, process));
        }
    }

    fn step(&mut self, i: usize) {
        let mut runs = std::mem::take(&mut self.machines[i].running);
        for run in &mut runs {
            run.made += 1;
            if run.made % ENGINE.event_tokens == 0 {
                self.event(run);
            }
        }
        let (done, mut running): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.made >= run.events * ENGINE.event_tokens);
        done.iter().for_each(|run| self.daemons[run.daemon].remove_load(run.key, run.load));
        let machine = &mut self.machines[i];
        if machine.waiting.front().is_some_and(|run| run.unread == 0) {
            running.extend(machine.waiting.pop_front());
        }
        machine.running = running;
        self.begin_step(i);
    }

    /// A run's event reaches its daemon.
    fn event(&mut self, run: &mut Run) {
        let seen = (self.now + self.rng.random_range(0..20_000)).max(run.last_event);
        let first = run.last_event == 0;
        if self.now >= JUDGED_US && first {
            self.firsts.push((run.digest, seen - run.arrived));
        } else if self.now >= JUDGED_US {
            let late = seen - run.last_event > PAUSE_US;
            self.gaps[usize::from(late)] += 1.0;
        }
        run.last_event = seen;
        let (now, servers) = (self.at(seen), &mut self.daemons[run.daemon]);
        if first {
            servers.note_prompt_read(run.key, std::mem::take(&mut run.load.unread_prompt));
        }
        if !self.setting.weighed {
            return;
        }
        match run.timer.event(now) {
            Step::None => {}
            Step::Begun => run.window_load = servers.load(run.key),
            Step::Ended(actual) => {
                servers.record_gaps(run.key, actual, &engine(), run.window_load, now);
                run.window_load = servers.load(run.key);
            }
        }
    }

    /// Every other tick each daemon reports, and at the next one it hears what the others reported.
    fn tick(&mut self, n: u64) {
        self.add(self.now + TICK_US, Event::Tick(n + 1));
        let now = self.at(self.now);
        if n.is_multiple_of(2) {
            self.told = self.daemons.iter().map(|s| (s.own_loads(), s.own_paces(now))).collect();
            return;
        }
        let (mut loads, mut outcomes) = (HashMap::new(), HashMap::new());
        for (own_loads, own_outcomes) in &self.told {
            own_loads
                .iter()
                .for_each(|(tag, l)| *loads.entry(*tag).or_insert(Load::default()) += *l);
            own_outcomes
                .iter()
                .for_each(|(tag, o)| *outcomes.entry(*tag).or_insert(Outcomes::default()) += *o);
        }
        for (servers, (own_loads, own_outcomes)) in self.daemons.iter_mut().zip(&self.told) {
            let mut stats = PeerStats {
                loads: loads.clone(),
                outcomes: outcomes.clone(),
                ..PeerStats::default()
            };
            for (tag, load) in own_loads {
                *stats.loads.get_mut(tag).expect("it is in the sum") -= *load;
            }
            for (tag, own) in own_outcomes {
                let all = stats.outcomes.get_mut(tag).expect("it is in the sum");
                (all.tried, all.failed) =
                    ((all.tried - own.tried).max(0.0), (all.failed - own.failed).max(0.0));
            }
            servers.set_peer_stats(&stats);
            servers.refresh_paces(now);
            servers.prune(now);
        }
        self.judge_latencies();
    }

    fn judge_latencies(&mut self) {
        if !self.setting.weighed || self.now < JUDGED_US {
            return;
        }
        for (i, machine) in self.machines.iter().enumerate() {
            if self.now < machine.started + LEARNING_US {
                continue;
            }
            for servers in self.daemons.iter().step_by(15) {
                let key = servers.find(&format!("i-{i}")).expect("it is listed");
                let known = servers.get(key).expect("it is known").relative_latency();
                let wrong = !(0.75..1.25).contains(&(known / machine.speed));
                self.judged[usize::from(wrong)] += 1.0;
            }
        }
    }

    /// A new process takes the place of an engine; its runs continue at other engines.
    fn restart(&mut self, i: usize) {
        self.add(self.now + LIFE_US, Event::Restart(i));
        let now = self.at(self.now);
        let machine = &mut self.machines[i];
        machine.process += 1;
        (machine.stepping, machine.started) = (false, self.now);
        let process = machine.process;
        let mut runs: Vec<Run> = machine.waiting.drain(..).collect();
        runs.append(&mut machine.running);
        for servers in &mut self.daemons {
            let key = servers.find(&format!("i-{i}")).expect("it is listed");
            let known = servers.get(key).expect("it is known").record.clone();
            servers.upsert(ServerRecord { started_ms: Some(process), ..known }, now);
        }
        for mut run in runs {
            self.daemons[run.daemon].remove_load(run.key, run.load);
            run.timer.resume();
            self.place(run);
        }
    }

    fn judge(&self) -> Day {
        let share = |[good, bad]: [f64; 2]| good / (good + bad);
        let digests: Vec<u64> = self.firsts.iter().filter(|(d, _)| *d).map(|(_, us)| *us).collect();
        let in_time = digests.iter().filter(|us| **us <= SLO_MS * 1_000).count();
        let sum: u64 = self.firsts.iter().map(|(_, us)| us).sum();
        let most = |of: &dyn Fn(&Machine) -> f64| {
            let all: Vec<f64> = self.machines.iter().map(of).collect();
            all.iter().copied().fold(0.0, f64::max) * ENGINES as f64 / all.iter().sum::<f64>()
        };
        Day {
            first_in_time: in_time as f64 / digests.len() as f64,
            mean_first_ms: sum as f64 / self.firsts.len() as f64 / 1_000.0,
            gaps_in_time: share(self.gaps),
            busiest: most(&|machine| machine.work * machine.speed),
            misjudged: 1.0 - share(self.judged),
        }
    }
}
