//! The retry budget of a fleet in simulated time, whose daemons exchange what they have spent in heartbeats.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, STEP, ms};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidestair::gateway::budget::{BudgetBounds, RetryKind, SharedRetryBudget};

const BOUNDS: BudgetBounds =
    BudgetBounds { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };
const DAEMONS: usize = 6;
/// How often each daemon tries to spend a retry.
const TRY_INTERVAL: Duration = Duration::from_millis(20);

/// A fleet in one cell, each of whose daemons makes as many retries as it may and gets no requests.
struct Spenders {
    fleet: Fleet,
    budgets: Vec<SharedRetryBudget>,
    service: Arc<str>,
    /// When retries were made.
    spent: Vec<Instant>,
}

impl Spenders {
    fn new(seed: u64) -> Spenders {
        let mut fleet = Fleet::new(2, DAEMONS / 2, seed);
        fleet.set_loads(0);
        let budgets = (0..DAEMONS).map(|_| SharedRetryBudget::new(BOUNDS, fleet.now)).collect();
        let mut spenders = Spenders { fleet, budgets, service: "app".into(), spent: Vec::new() };
        (0..DAEMONS).for_each(|i| spenders.report(i));
        spenders
    }

    fn report(&mut self, i: usize) {
        self.fleet.nodes[i].own.stats.spent = self.budgets[i].spent(self.fleet.now);
    }

    /// Lets the living daemons exchange heartbeats without spending.
    fn idle(&mut self, time: Duration) {
        self.fleet.run(time);
    }

    /// Lets the living daemons spend what they may.
    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(TRY_INTERVAL.max(STEP));
            let now = self.fleet.now;
            for i in 0..DAEMONS {
                if !self.fleet.nodes[i].alive {
                    continue;
                }
                let others = self.fleet.nodes[i].view.spent(DAEMONS - 1, now);
                self.budgets[i].set_others(others);
                if self.budgets[i].spend(&self.service, RetryKind::Continuation, now) {
                    self.spent.push(now);
                }
                self.report(i);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        self.fleet.restart(i);
        self.budgets[i] = SharedRetryBudget::new(BOUNDS, self.fleet.now);
        self.budgets[i].assume_earlier_spending();
        self.report(i);
    }

    /// The largest number of retries within any window.
    fn most_within_window(&self) -> usize {
        let within = |from: &Instant| {
            let end = *from + BOUNDS.window;
            self.spent.iter().filter(|at| *at >= from && **at < end).count()
        };
        self.spent.iter().map(within).max().unwrap_or(0)
    }

    fn check(&self, what: &str) {
        let most = self.most_within_window();
        assert!(most as f64 <= BOUNDS.slack, "{what}: {most} retries within a window");
    }
}

/// Guards against retries beyond the bound after daemons were killed: what they had spent was forgotten.
#[test]
fn retries_of_daemons_that_were_killed_count_for_the_others_and_their_successors() {
    for seed in 1..=5 {
        let mut spenders = Spenders::new(seed);
        spenders.idle(ms(12_000));
        spenders.run(ms(1_000));
        for round in 0..3 {
            let killed: Vec<usize> = (0..DAEMONS / 2).map(|i| (i + round) % DAEMONS).collect();
            killed.iter().for_each(|i| spenders.fleet.kill(*i));
            spenders.run(ms(500));
            killed.iter().for_each(|i| spenders.restart(*i));
            spenders.run(ms(2_000));
        }
        spenders.check(&format!("seed {seed}"));
    }
}

/// Guards against the same after daemons that were stopped one after the other, as when they are replaced.
#[test]
fn retries_of_daemons_that_are_replaced_in_turn_are_counted() {
    for seed in 1..=5 {
        let mut spenders = Spenders::new(seed);
        spenders.idle(ms(12_000));
        spenders.run(ms(1_000));
        for i in 0..DAEMONS {
            spenders.fleet.kill(i);
            spenders.run(ms(300));
            spenders.restart(i);
            spenders.run(ms(700));
        }
        spenders.check(&format!("seed {seed}"));
    }
}

/// Guards against the same after all daemons lost power at once, so that nobody knows what was spent.
#[test]
fn retries_before_a_loss_of_all_daemons_leave_room_for_those_after_it() {
    for seed in 1..=5 {
        let mut spenders = Spenders::new(seed);
        spenders.idle(ms(12_000));
        spenders.run(ms(4_000));
        for _ in 0..2 {
            (0..DAEMONS).for_each(|i| spenders.fleet.kill(i));
            spenders.run(ms(500));
            (0..DAEMONS).for_each(|i| spenders.restart(i));
            spenders.run(ms(2_500));
        }
        spenders.check(&format!("seed {seed}"));
    }
}
