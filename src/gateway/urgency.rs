//! Shortage of a service's engines, and what less urgent requests leave to more urgent ones meanwhile.
//!
//! Each daemon determines from the loads that it knows whether a service is short of capacity. Nothing is
//! agreed between daemons: they see almost the same loads, and a daemon that differs admits by the bounds
//! that it would use without a shortage, or leaves some headroom too early.
//!
//! The state has hysteresis, since the bounds in force change the loads from which it is determined: engines
//! at which less urgent requests leave headroom look free to more urgent ones.

use crate::gateway::admission::Bound;
use crate::gateway::candidates::OpenServers;
use crate::gateway::core::Gateway;
use crate::gateway::crowded::{CROWDED, YIELDS};
use crate::gateway::request::Call;
use crate::gateway::servers::{Load, Servers};
use crate::gateway::table::{Engine, Service};
use log::info;
use std::collections::HashMap;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

/// Fraction of the open engines that refuse newcomers at which a shortage begins.
const BEGIN_FRACTION: f64 = 0.5;
/// Fraction of the open engines that refuse newcomers below which a shortage may end.
const END_FRACTION: f64 = 0.25;
/// How long fewer than [`END_FRACTION`] must have refused newcomers for the shortage to end.
const CALM_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which a pool is examined: about the age of other daemons' loads.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(100);

/// How many of a service's engines refuse newcomers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolSample {
    /// Engines that take new work.
    pub open: usize,
    /// Those that refuse a newcomer, by the bound that holds without a shortage.
    pub refusing: usize,
}

impl PoolSample {
    /// Counts the engines with these loads by the bound for a newcomer.
    pub fn of(loads: impl Iterator<Item = Load>, newcomer: Bound) -> PoolSample {
        loads.fold(PoolSample::default(), |mut sample, load| {
            sample.open += 1;
            sample.refusing += usize::from(!newcomer.admits(load));
            sample
        })
    }

    fn refusing_fraction(self) -> f64 {
        self.refusing as f64 / self.open.max(1) as f64
    }
}

/// A shortage that is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// When it began.
    pub since: Instant,
    /// The pool when it was last examined.
    pub pool: PoolSample,
}

/// The beginning or the end of a shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// It began.
    Began(Shortage),
    /// It ended.
    Ended(Shortage),
}

/// Determines whether one service is short of capacity.
#[derive(Debug, Default)]
pub struct ShortageMonitor {
    shortage: Option<Shortage>,
    examined: Option<Instant>,
    /// Since when few engines refuse newcomers.
    calm_since: Option<Instant>,
}

impl ShortageMonitor {
    /// The shortage in progress, as last determined.
    pub fn current(&self) -> Option<Shortage> {
        self.shortage
    }

    /// Whether the pool should be examined again.
    pub fn is_due(&self, now: Instant) -> bool {
        self.examined.is_none_or(|at| now.saturating_duration_since(at) >= EXAMINE_INTERVAL)
    }

    /// Updates the state by a new sample of the pool. A pool without open engines keeps its state: nothing
    /// is admitted there, and it says nothing about the engines that will open.
    pub fn update(&mut self, pool: PoolSample, now: Instant) -> Option<Transition> {
        self.examined = Some(now);
        if pool.open == 0 {
            return None;
        }
        let fraction = pool.refusing_fraction();
        self.calm_since = (fraction < END_FRACTION).then(|| self.calm_since.unwrap_or(now));
        let Some(shortage) = &mut self.shortage else {
            if fraction < BEGIN_FRACTION {
                return None;
            }
            let shortage = Shortage { since: now, pool };
            self.shortage = Some(shortage);
            return Some(Transition::Began(shortage));
        };
        shortage.pool = pool;
        let is_over = |since: Instant| now.saturating_duration_since(since) >= CALM_TIME;
        match self.calm_since.is_some_and(is_over) {
            true => self.shortage.take().map(Transition::Ended),
            false => None,
        }
    }
}

/// How a request is treated during a shortage, compared with others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deferral {
    /// No route to the service is deferrable.
    None,
    /// Others are deferred in its favour.
    Favoured,
    /// It is deferred in favour of others.
    Deferred,
}

/// Whether a server with this load admits a request, or the reason for which it does not. `deferred` is
/// the bound for a request that is deferred in favour of more urgent ones.
pub fn check(load: Load, bound: Bound, deferred: Option<Bound>) -> Result<(), &'static str> {
    if !bound.admits(load) {
        return Err(CROWDED);
    }
    match deferred.is_none_or(|bound| bound.admits(load)) {
        true => Ok(()),
        false => Err(YIELDS),
    }
}

impl Gateway {
    /// The shortage of a service's engines, if there is one. Examines the pool if the last examination is
    /// too old.
    pub fn shortage(&self, servers: &Servers, service: &Service, now: Instant) -> Option<Shortage> {
        let engine = service.engine.as_ref()?;
        let slo = self.in_force.get()?.table.latency_slo(&service.name)?;
        let mut monitors = self.shortages();
        if !monitors.contains_key(&service.name) {
            monitors.insert(service.name.clone(), ShortageMonitor::default());
        }
        let monitor = monitors.get_mut(&service.name)?;
        if monitor.is_due(now) {
            let pool = examine(servers, service, engine, slo, now);
            if let Some(transition) = monitor.update(pool, now) {
                self.report_transition(service, transition, now);
            }
        }
        monitor.current()
    }

    /// Examines the pools that are short of capacity, so that a shortage also ends where no request arrives,
    /// and removes the state of services that are no longer declared.
    pub(super) fn refresh_shortages(&self, now: Instant) {
        self.remove_undeclared();
        let names: Vec<Arc<str>> = {
            let monitors = self.shortages();
            let short = monitors.iter().filter(|(_, monitor)| monitor.current().is_some());
            short.map(|(name, _)| name.clone()).collect()
        };
        if names.is_empty() {
            return;
        }
        self.merge_peer_stats(now);
        for name in names {
            let declared = self.in_force.get();
            if let Some(service) = declared.as_ref().and_then(|d| d.table.service(&name)) {
                self.shortage(&self.servers(), service, now);
            }
        }
    }

    /// Removes the state of services that no longer have engines, and of shortages to which no route leads.
    fn remove_undeclared(&self) {
        let Some(declared) = self.in_force.get() else {
            return;
        };
        let table = &declared.table;
        let has_engines =
            |name: &str| table.service(name).is_some_and(|service| service.engine.is_some());
        self.shortages().retain(|name, monitor| {
            let kept = has_engines(name) && table.latency_slo(name).is_some();
            if !kept && monitor.current().is_some() {
                self.metrics.shortage.with_label_values(&[name]).set(0);
            }
            kept
        });
        self.returns().retain_services(has_engines);
    }

    /// Whether a shortage of a service's engines is in progress, as last determined.
    pub(super) fn in_shortage(&self, service: &str) -> bool {
        self.shortages().get(service).is_some_and(|monitor| monitor.current().is_some())
    }

    /// Whether a shortage of any service's engines is in progress.
    pub(super) fn has_shortage(&self) -> bool {
        self.shortages().values().any(|monitor| monitor.current().is_some())
    }

    /// Whether a request leaves headroom to others during a shortage, or others leave it headroom.
    pub(super) fn deferral(&self, service: &Service, call: &Call) -> Deferral {
        let Some(declared) = self.in_force.get() else {
            return Deferral::None;
        };
        let table = &declared.table;
        if table.is_deferrable(&service.name, &call.route, call.priority()) {
            Deferral::Deferred
        } else if table.has_deferrable_routes(&service.name) {
            Deferral::Favoured
        } else {
            Deferral::None
        }
    }

    fn shortages(&self) -> MutexGuard<'_, HashMap<Arc<str>, ShortageMonitor>> {
        self.shortages.lock().expect("no holder panics")
    }

    fn report_transition(&self, service: &Service, transition: Transition, now: Instant) {
        let (is_short, what, shortage) = match transition {
            Transition::Began(shortage) => (true, "shortage begins", shortage),
            Transition::Ended(shortage) => (false, "shortage ends", shortage),
        };
        self.metrics.shortage.with_label_values(&[&service.name]).set(is_short.into());
        let PoolSample { open, refusing } = shortage.pool;
        let ms = now.saturating_duration_since(shortage.since).as_millis() as u64;
        info!(service = &*service.name, open = open, refusing = refusing, ms = ms; "{what}");
    }
}

/// Counts the engines of a service that refuse newcomers; of many servers, those of a sample.
fn examine(
    servers: &Servers,
    service: &Service,
    engine: &Engine,
    slo: Duration,
    now: Instant,
) -> PoolSample {
    let open = OpenServers::of(servers, &service.name).servers.into_iter();
    let reachable =
        open.filter(|(_, server)| !server.is_skipped(now) && !server.is_backing_off(now));
    PoolSample::of(reachable.map(|(_, server)| server.load()), Bound::newcomer(slo, engine))
}
