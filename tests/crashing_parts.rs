//! Which parts of prompts are accused of crashing servers, in simulated time with generated traffic.
//!
//! All prompts have the first part, and there are more variants of the others the further back they are. One part
//! crashes each server that begins to write an answer on it. Sound requests have all others.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tidestair::gateway::fingerprint::Fingerprint;
use tidestair::gateway::quarantine::{Evidence, Quarantine, RunProgress};
use tidestair::gateway::tag::Tag;

const SERVERS: usize = 24;
const TICK: Duration = Duration::from_millis(10);
/// Length of a play, in ticks.
const PLAY: u32 = 4_000;
/// Ticks between two heartbeats.
const HEARTBEAT: u32 = 25;
/// Ticks until a server that crashed is back.
const RESTART: u32 = 300;
/// Ticks after the first event from which a server has survived a run.
const SURVIVAL: u32 = 50;
/// Ticks after the fifth crash from which all daemons must refuse what crashes servers.
const CONTACT: u32 = 300;
/// Highest number of requests that crash servers and may be sent after [`CONTACT`].
const MAX_LATE: u32 = 3;
/// Plays of each kind of traffic.
const SEEDS: u64 = 4;

/// What differs between plays.
#[derive(Debug, Clone, Copy)]
struct Traffic {
    /// Parts of a prompt, without the last, which is never shared.
    parts: usize,
    /// Which of them is the deadly one.
    deadly: usize,
    /// Sound requests a second.
    sound_rate: f64,
    /// Requests a second that have the deadly part.
    deadly_rate: f64,
    /// Whether a third of the servers is lost at once, twice.
    loses_halls: bool,
    daemons: usize,
}

#[derive(Debug, Clone)]
struct Run {
    suspects: Vec<Fingerprint>,
    is_deadly: bool,
    daemon: usize,
    server: usize,
    begins: u32,
    ends: u32,
    /// Whether it is reported already that the server survived it.
    survived: bool,
    /// Whether it may be sent to another server.
    may_retry: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    sound: u32,
    sound_refused: u32,
    /// Servers that crashed under the deadly part.
    crashes: u32,
    /// Requests with the deadly part that were sent to servers later than [`CONTACT`] after the fifth crash.
    late: u32,
}

#[derive(Debug)]
struct Play {
    traffic: Traffic,
    rng: StdRng,
    begun: Instant,
    tick: u32,
    daemons: Vec<Quarantine>,
    /// The tag of each server's process, and the tick from which it serves.
    servers: Vec<(u64, u32)>,
    processes: u64,
    requests: u64,
    runs: Vec<Run>,
    fifth_crash: Option<u32>,
    outcome: Outcome,
}

impl Play {
    fn new(traffic: Traffic, seed: u64) -> Play {
        Play {
            traffic,
            rng: StdRng::seed_from_u64(seed),
            begun: Instant::now(),
            tick: 0,
            daemons: (0..traffic.daemons).map(|_| Quarantine::default()).collect(),
            servers: (0..SERVERS as u64).map(|process| (process, 0)).collect(),
            processes: SERVERS as u64,
            requests: 0,
            runs: Vec::new(),
            fifth_crash: None,
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Instant {
        self.begun + TICK * self.tick
    }

    fn play(mut self) -> Outcome {
        for tick in 0..PLAY {
            self.tick = tick;
            for (rate, is_deadly) in
                [(self.traffic.sound_rate, false), (self.traffic.deadly_rate, true)]
            {
                // The deadly part comes when the service has run for a while.
                let rate = if is_deadly && tick < 500 { 0.0 } else { rate };
                if self.rng.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    self.arrive(is_deadly);
                }
            }
            if self.traffic.loses_halls && (tick == 800 || tick == 2_000) {
                (0..SERVERS / 3).for_each(|server| self.crash(server));
            }
            self.advance();
            if tick % HEARTBEAT == 0 {
                self.exchange();
            }
        }
        self.outcome
    }

    /// The request's fingerprint and those of its shared parts.
    fn suspects(&mut self, is_deadly: bool) -> Vec<Fingerprint> {
        self.requests += 1;
        let mut suspects = vec![Fingerprint::new("/path", "caller", &self.requests.to_be_bytes())];
        for level in 0..self.traffic.parts {
            let variant = match level == self.traffic.deadly {
                true if is_deadly => "deadly".to_owned(),
                true => "sound".to_owned(),
                false => self.rng.random_range(0..=level.min(3)).to_string(),
            };
            suspects.push(Fingerprint::of_part(&format!("{level}-{variant}")));
        }
        suspects
    }

    fn arrive(&mut self, is_deadly: bool) {
        let suspects = self.suspects(is_deadly);
        let daemon = self.rng.random_range(0..self.traffic.daemons);
        self.outcome.sound += u32::from(!is_deadly);
        self.send(suspects, is_deadly, daemon, true);
    }

    fn send(&mut self, suspects: Vec<Fingerprint>, is_deadly: bool, daemon: usize, is_first: bool) {
        if self.daemons[daemon].reason_to_refuse(&suspects, self.now()).is_some() {
            self.outcome.sound_refused += u32::from(!is_deadly);
            return;
        }
        let up: Vec<usize> =
            (0..SERVERS).filter(|server| self.servers[*server].1 <= self.tick).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let is_late = self.fifth_crash.is_some_and(|at| self.tick > at + CONTACT);
        self.outcome.late += u32::from(is_deadly && is_late);
        let begins = self.tick + self.rng.random_range(2..60);
        let ends = begins + self.rng.random_range(10..300);
        let (survived, may_retry) = (false, is_first);
        let run = Run { suspects, is_deadly, daemon, server, begins, ends, survived, may_retry };
        self.runs.push(run);
    }

    fn advance(&mut self) {
        let tick = self.tick;
        let deadly: Vec<usize> = self
            .runs
            .iter()
            .filter(|run| run.is_deadly && run.begins == tick)
            .map(|run| run.server)
            .collect();
        for server in deadly {
            if self.servers[server].1 <= tick {
                self.outcome.crashes += 1;
                if self.outcome.crashes == 5 {
                    self.fifth_crash = Some(tick);
                }
                self.crash(server);
            }
        }
        let now = self.now();
        for run in &mut self.runs {
            let is_over = tick >= run.ends || tick >= run.begins + SURVIVAL;
            if is_over && !run.survived {
                run.survived = true;
                let daemon = &mut self.daemons[run.daemon];
                run.suspects.iter().for_each(|suspect| daemon.record_survived(*suspect, now));
            }
        }
        self.runs.retain(|run| tick < run.ends);
    }

    fn crash(&mut self, server: usize) {
        let (process, up) = self.servers[server];
        if up > self.tick {
            return;
        }
        self.servers[server] = (self.processes, self.tick + RESTART);
        self.processes += 1;
        let (lost, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.server == server);
        self.runs = kept;
        let now = self.now();
        for run in lost.iter().filter(|run| !run.survived) {
            let progress = match self.tick > run.begins {
                true => RunProgress::Begun,
                false => RunProgress::NoEvents,
            };
            let daemon = &mut self.daemons[run.daemon];
            daemon.record_crash(&run.suspects, Tag::of_number(process), progress, now);
        }
        let tick = self.tick;
        for run in lost.into_iter().filter(|run| run.may_retry && tick <= run.begins) {
            self.send(run.suspects, run.is_deadly, run.daemon, false);
        }
    }

    /// Each daemon hears the sum of what the others report.
    fn exchange(&mut self) {
        let now = self.now();
        let told: Vec<_> = self.daemons.iter_mut().map(|daemon| daemon.for_peers(now)).collect();
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            let mut sums: HashMap<Fingerprint, Evidence> = HashMap::new();
            for (_, reported) in told.iter().enumerate().filter(|(j, _)| *j != i) {
                for (suspect, evidence) in reported {
                    sums.entry(*suspect).or_default().merge(evidence);
                }
            }
            daemon.set_peer_reports(&sums, now);
        }
    }
}

/// Plays prompts with this number of parts at rates over three orders, by way of one daemon and of six.
fn sound_requests_are_served(parts: usize) {
    for sound_rate in [0.05, 0.5, 5.0, 50.0] {
        for (daemons, loses_halls) in [(1, false), (1, true), (6, false), (6, true)] {
            let mut all = Outcome::default();
            for seed in 0..SEEDS {
                let deadly = StdRng::seed_from_u64(seed).random_range(0..parts);
                let deadly_rate = [0.5, 2.0, 5.0, 20.0][seed as usize];
                let traffic =
                    Traffic { parts, deadly, sound_rate, deadly_rate, loses_halls, daemons };
                let outcome = Play::new(traffic, seed).play();
                assert!(outcome.late <= MAX_LATE, "{traffic:?} {seed} {outcome:?}");
                all.sound += outcome.sound;
                all.sound_refused += outcome.sound_refused;
            }
            let bound = all.sound / 20 + 1;
            assert!(all.sound_refused <= bound, "{parts} {sound_rate} {daemons} {all:?}");
        }
    }
}

#[test]
fn sound_requests_are_served_beside_a_deadly_part_of_two() {
    sound_requests_are_served(2);
}

#[test]
fn sound_requests_are_served_beside_a_deadly_part_of_five() {
    sound_requests_are_served(5);
}

#[test]
fn sound_requests_are_served_beside_a_deadly_part_of_twelve() {
    sound_requests_are_served(12);
}
