//! The replicas of one plain service as one daemon sees them.

use crate::health::{Health, RetryBudget};
use crate::resource::ServicePoolSpec;
use crate::snapshot::VmList;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

struct Backend {
    addr: SocketAddr,
    near: bool,
    open: u32,
    leaving: bool,
    withdrawn: bool,
    health: Health,
}

/// Replicas of one service.
pub struct Backends {
    hall: String,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    backends: Vec<Backend>,
    retries: RetryBudget,
    turn: usize,
}

impl Backends {
    /// No replicas yet.
    pub fn new(hall: &str) -> Backends {
        Backends { hall: hall.into(), state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Takes over a new revision.
    pub fn apply(&self, spec: &ServicePoolSpec, vms: &VmList) {
        let mut state = self.lock();
        for declared in &spec.replicas {
            if !state.backends.iter().any(|b| b.addr == declared.address) {
                let near = declared.hall == self.hall;
                let (addr, health) = (declared.address, Health::default());
                state.backends.push(Backend {
                    addr,
                    near,
                    open: 0,
                    leaving: false,
                    withdrawn: false,
                    health,
                });
            }
        }
        for b in &mut state.backends {
            let declared = spec.replicas.iter().any(|d| d.address == b.addr);
            b.withdrawn = !declared || vms.leaving.contains(&b.addr);
        }
    }

    /// The usable replica with the fewest open calls, in this hall before others; not one of `tried`.
    pub fn choose(self: &Arc<Self>, tried: &[SocketAddr], now: Instant) -> Option<Call> {
        let mut state = self.lock();
        state.turn = state.turn.wrapping_add(1);
        let (turn, count) = (state.turn, state.backends.len().max(1));
        let stays = |b: &&mut Backend| !b.leaving && !b.withdrawn && !tried.contains(&b.addr);
        let rank = |(i, b): &(usize, &mut Backend)| {
            (!b.health.usable(now), b.open, !b.near, (i + turn) % count)
        };
        let best = state.backends.iter_mut().filter(stays).enumerate().min_by_key(rank);
        let (_, backend) = best?;
        backend.open += 1;
        Some(Call { backends: self.clone(), addr: backend.addr })
    }

    /// Whether one more retry is allowed.
    pub fn may_retry(&self) -> bool {
        self.lock().retries.take()
    }
}

/// One call at one replica; dropping it ends the count.
pub struct Call {
    backends: Arc<Backends>,
    /// The replica's address.
    pub addr: SocketAddr,
}

impl Call {
    fn with(&self, act: impl FnOnce(&mut Backend)) {
        let mut state = self.backends.lock();
        if let Some(b) = state.backends.iter_mut().find(|b| b.addr == self.addr) {
            act(b);
        }
    }

    /// It answered.
    pub fn succeeded(&self) {
        self.with(|b| b.health.succeeded());
        self.backends.lock().retries.succeeded();
    }

    /// It did not answer.
    pub fn failed(&self, now: Instant) {
        self.with(|b| b.health.failed(now));
    }

    /// It says that it is leaving.
    pub fn leaving(&self) {
        self.with(|b| b.leaving = true);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.with(|b| b.open -= 1);
    }
}
