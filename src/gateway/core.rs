//! The state that all requests of one daemon share.

use crate::gateway::budget::{BudgetBounds, Repeat, RepeatBudget};
use crate::gateway::in_force::InForce;
use crate::gateway::place::{Candidate, FAR_COPY_COST, FAR_COST, Need, Placing};
use crate::gateway::port::{Destination, Wire};
use crate::gateway::request::Call;
use crate::gateway::servers::{ServerKey, Servers};
use crate::gateway::table::{Engine, Service};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Bounds that the platform sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time after which a key that was taken away may still be used; `None` where it is not strict.
    pub revoke: Option<Duration>,
    /// Budget for repeats.
    pub budget: BudgetBounds,
}

/// Part of the bound on revoked keys up to which a confirmation counts. The rest is for the time
/// between this check and the moment a backend server begins to work.
const FRESH_PART: f64 = 0.7;

/// The state that all requests of one daemon share.
pub struct Gateway {
    /// The configuration in force.
    pub in_force: InForce,
    /// The way to backend servers.
    pub wire: Arc<dyn Wire>,
    /// Hall of this daemon.
    pub hall: String,
    bounds: Bounds,
    placing: Box<dyn Placing>,
    servers: Mutex<Servers>,
    budget: Mutex<RepeatBudget>,
    /// Daemons that share the budget, this one included.
    daemons: AtomicUsize,
}

/// A backend server that was chosen for a request; counted as loaded until it is dropped.
pub struct Seat {
    gateway: Arc<Gateway>,
    key: ServerKey,
    tokens: u32,
    /// Where the server is.
    pub to: Destination,
    /// Hall of the server.
    pub hall: String,
    /// Tells when the server is about to leave.
    pub notice: watch::Receiver<bool>,
}

impl Seat {
    /// The server.
    pub fn key(&self) -> ServerKey {
        self.key
    }

    /// Notes how the exchange went.
    pub fn judge(&self, failed: bool) {
        self.gateway.servers().judge(self.key, failed, Instant::now());
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.gateway.servers().end(self.key, self.tokens);
    }
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        hall: &str,
        bounds: Bounds,
        wire: Arc<dyn Wire>,
        placing: Box<dyn Placing>,
        now: Instant,
    ) -> Arc<Gateway> {
        Arc::new(Gateway {
            in_force: InForce::default(),
            wire,
            hall: hall.into(),
            bounds,
            placing,
            servers: Mutex::default(),
            budget: Mutex::new(RepeatBudget::new(bounds.budget, now)),
            daemons: AtomicUsize::new(1),
        })
    }

    /// The backend servers.
    pub fn servers(&self) -> MutexGuard<'_, Servers> {
        self.servers.lock().expect("no holder panics")
    }

    /// Sets how many daemons share the budget.
    pub fn set_daemons(&self, count: usize) {
        self.daemons.store(count.max(1), Ordering::Relaxed);
    }

    /// Whether the configuration is known to be new enough for requests with a key.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let Some(age) = self.in_force.age(now) else {
            return false;
        };
        self.bounds.revoke.is_none_or(|bound| age <= bound.mul_f64(FRESH_PART))
    }

    /// Whether the caller of a request still holds its key, as far as may be relied on now.
    pub fn may_send(&self, call: &Call, now: Instant) -> bool {
        let Some(credential) = &call.credential else {
            return true;
        };
        let Some(declared) = self.in_force.get() else {
            return false;
        };
        let holder = declared.table.workspace(&credential.key);
        self.is_fresh(now) && holder.is_some_and(|w| w.name == credential.workspace)
    }

    /// The service of a request's route, drawn by weight.
    pub fn draw_service(&self, call: &Call) -> Option<Arc<Service>> {
        let name = call.route.draw(&mut rand::rng())?;
        self.in_force.get()?.table.service(name).cloned()
    }

    /// Takes a seat for a request at a server of `service`, not one of `tried`.
    pub fn seat(
        self: &Arc<Self>,
        service: &Service,
        tokens: u32,
        tried: &[ServerKey],
        now: Instant,
    ) -> Option<Seat> {
        let engine = service.engine.as_ref();
        let need = Need { hall: &self.hall, far: FAR_COST, tokens, engine };
        self.choose(service, &need, tried, now)
    }

    /// Takes a seat for a run that is copied from a server in `hall`.
    pub fn seat_for_copy(
        self: &Arc<Self>,
        service: &Service,
        hall: &str,
        tokens: u32,
        refused: &[ServerKey],
        now: Instant,
    ) -> Option<Seat> {
        let engine = service.engine.as_ref();
        let need = Need { hall, far: FAR_COPY_COST, tokens, engine };
        self.choose(service, &need, refused, now)
    }

    fn choose(
        self: &Arc<Self>,
        service: &Service,
        need: &Need<'_>,
        tried: &[ServerKey],
        now: Instant,
    ) -> Option<Seat> {
        let tokens = need.tokens;
        let mut servers = self.servers();
        let candidates: Vec<Candidate<'_>> = servers
            .open(&service.name)
            .filter(|(key, _)| !tried.contains(key))
            .map(|(key, server)| Candidate { key, server })
            .collect();
        let key = self.placing.choose(&candidates, need, now, &mut rand::rng())?;
        servers.begin(key, tokens);
        let server = servers.get(key)?;
        let to = Destination { id: server.record.id.clone(), addr: server.record.addr };
        let (hall, notice) = (server.record.hall.clone(), server.notice());
        Some(Seat { gateway: self.clone(), key, tokens, to, hall, notice })
    }

    /// Notes a request for a service.
    pub fn count_request(&self, service: &Arc<str>, now: Instant) {
        self.budget.lock().expect("no holder panics").request(service, now);
    }

    /// Spends one repeat, if this daemon's share of the budget allows it.
    pub fn take_repeat(&self, service: &Arc<str>, repeat: Repeat, now: Instant) -> bool {
        let daemons = self.daemons.load(Ordering::Relaxed);
        self.budget.lock().expect("no holder panics").take(service, repeat, daemons, now)
    }

    /// The engine of a service, as it is declared now.
    pub fn engine(&self, service: &str) -> Option<Engine> {
        self.in_force.get()?.table.service(service)?.engine.clone()
    }
}
