//! Capacity of crowded engines that is reserved for refused callers, who were given a time to retry at.
//!
//! During a capacity shortage a refused caller is told when there will be capacity for it. That time follows
//! from the free capacity of the service's open engines, the rate at which capacity is freed, and what is
//! reserved for other callers by then. Capacity is counted in tokens of memory and of prompt, so that
//! callers that are due together fit, whatever their sizes.
//!
//! Newcomers leave reserved capacity free only from the moment it could not be freed again in time. Callers
//! that return ignore the reservations of others. Reservations are kept by the daemon that made them, and
//! reported to the others as sums; those of a killed daemon expire with its reports.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::servers::Load;
use crate::gateway::tag::Tag;
use std::collections::HashMap;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest wait before a caller comes back, as a fraction of the time that it has left.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Shortest wait, where the longest allows it. A caller that has used up less than 250 ms of its time is not
/// recognized as one that returns by daemons that don't have its reservation.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Shortest wait of a caller without a reservation, as a fraction of the longest one. The actual wait is
/// random, so that callers refused together don't return together.
const MIN_UNRESERVED_FRACTION: f64 = 0.8;
/// How long a reservation outlasts its due time: covers the network delay and a new connection.
const ARRIVAL_GRACE: Duration = Duration::from_millis(300);
/// How much before its due time a caller may return.
const MAX_EARLY: Duration = Duration::from_millis(100);
/// How far the deadlines of two attempts of one caller are apart at most, since network delays differ.
/// Another caller may send a request with the same fingerprint; it has another deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(200);
/// Fraction of the measured rate that is planned with. Engines that leave take up to a sixth of it, and
/// their figures are still included in the measured rate for a while.
const PLANNED_FRACTION: f64 = 0.8;
/// Fraction of the capacity that deferred callers may reserve. The rest remains for more urgent
/// ones that are refused later, so that these find earlier times.
const DEFERRED_FRACTION: f64 = 0.7;
/// The same for callers whose SLO is over by the time that they could return. The rest remains for those that
/// can still be served in time: with all of it for late ones, 5,911 of 7,641 simulated requests began within
/// their SLO, with 0.3 of it 6,122, and as many were served (`docs/design/returns.md`).
const LATE_FRACTION: f64 = 0.3;
/// Half-life of what has been freed and reserved, for the rates of both.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum age of peers' figures.
const PEER_LIFETIME: Duration = Duration::from_millis(2_500);
/// Average time from a reservation until other daemons of its cell know of it.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of reservations of a daemon, of 56 bytes each.
const MAX_RESERVATIONS: usize = 4_000;
/// Ends of the intervals, in seconds from the report, by which daemons add up their reservations for reports.
/// A third of the longest timeouts lies within the last one.
const HORIZONS: [f64; 9] = [0.5, 1.0, 1.5, 2.0, 3.0, 4.5, 7.0, 11.0, 16.0];

/// Tokens at engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tokens {
    /// Tokens of memory.
    pub memory: f64,
    /// Prompt tokens that are not processed yet.
    pub prompt: f64,
}

impl Tokens {
    /// The tokens multiplied by a factor.
    pub fn times(self, factor: f64) -> Tokens {
        Tokens { memory: self.memory * factor, prompt: self.prompt * factor }
    }

    fn minus(self, other: Tokens) -> Tokens {
        Tokens { memory: self.memory - other.memory, prompt: self.prompt - other.prompt }
    }

    fn covers(self, need: Tokens) -> bool {
        self.memory >= need.memory && self.prompt >= need.prompt
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        self.memory += other.memory;
        self.prompt += other.prompt;
    }
}

impl From<Load> for Tokens {
    fn from(load: Load) -> Tokens {
        Tokens { memory: load.tokens.into(), prompt: load.unread_prompt.into() }
    }
}

/// What is known of a service's open engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pool {
    /// Capacity that callers who return may use now; negative where the engines hold more than their bounds.
    pub free: Tokens,
    /// Fraction of all requests for the service that arrive at this daemon.
    pub fraction: f64,
}

/// A refused caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Caller {
    /// Identifies its request.
    pub key: Fingerprint,
    /// Tokens that the request needs.
    pub need: Tokens,
    /// Whether it is deferred in favour of more urgent requests.
    pub deferred: bool,
    /// When its SLO, counted from its arrival, is over.
    pub slo_end: Instant,
    /// When its final response is due.
    pub deadline: Instant,
}

/// How a request is related to the reservations of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// There is no reservation for it.
    Unknown,
    /// It claims its reservation.
    Due,
    /// It comes too early and loses its reservation.
    Early,
}

/// When a refused caller should come back, with the figures that decided it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advice {
    /// Time to wait.
    pub after: Duration,
    /// When capacity is reserved for it; `None` where none could be reserved.
    pub due: Option<Instant>,
    /// Whether no time was found by which there is capacity.
    pub no_room: bool,
    /// Capacity that is freed per second, as planned with.
    pub freed: Tokens,
    /// Capacity reserved by this daemon for other callers.
    pub own: Tokens,
    /// Capacity reserved by other daemons, as reported.
    pub peers: Tokens,
    /// Age of the other daemons' reports; `None` where there are none.
    pub peer_age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Reservation {
    key: Fingerprint,
    deadline: Instant,
    due: Instant,
    need: Tokens,
}

/// A sum whose parts decay with time, for the rate at which they are added.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    sum: Tokens,
    /// The time to which the sum is decayed.
    at: Option<Instant>,
}

impl DecayingSum {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at.replace(now).unwrap_or(now));
        self.sum = self.sum.times(0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()));
    }

    fn add(&mut self, tokens: Tokens, now: Instant) {
        self.decay(now);
        self.sum += tokens;
    }

    /// Tokens added per second.
    fn rate(&mut self, now: Instant) -> Tokens {
        self.decay(now);
        self.sum.times(std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64())
    }
}

/// Reservations for one service.
#[derive(Debug, Default)]
struct Ledger {
    /// Earliest due time first.
    reservations: Vec<Reservation>,
    /// Capacity that requests of this daemon have freed.
    freed: DecayingSum,
    /// Capacity that this daemon has reserved.
    made: DecayingSum,
}

/// The reservations of one daemon, and what the others have reported of theirs.
#[derive(Debug, Default)]
pub struct Returns {
    ledgers: HashMap<Arc<str>, Ledger>,
    /// Sums of the other daemons' reports, by tag.
    peer_loads: HashMap<Tag, Load>,
    /// When these reports were merged.
    peers_at: Option<Instant>,
}

/// Capacity and reservations of one service over time. Times are seconds from now.
struct Forecast<'a> {
    free: Tokens,
    /// Capacity that is freed per second, as planned with.
    freed: Tokens,
    own: &'a [Reservation],
    /// Reserved by other daemons, by horizon from `age` ago.
    peers: [Tokens; HORIZONS.len()],
    age: f64,
    /// Reserved by other daemons since their reports, as estimated.
    unreported: Tokens,
    now: Instant,
}

impl Forecast<'_> {
    /// The same forecast with part of the capacity left out.
    fn reduced_to(mut self, fraction: f64) -> Self {
        let spare = Tokens { memory: self.free.memory.max(0.0), prompt: self.free.prompt.max(0.0) };
        self.free = self.free.minus(spare.times(1.0 - fraction));
        self.freed = self.freed.times(fraction);
        self
    }

    /// Capacity that is not reserved, at each time at which its growth changes. Between two of these times
    /// it grows linearly.
    fn points(&self) -> Vec<(f64, Tokens)> {
        let edges = HORIZONS.iter().map(|end| (end - self.age).max(0.0)).map(|at| (at, None));
        let dues = self
            .own
            .iter()
            .map(|own| (own.due.saturating_duration_since(self.now).as_secs_f64(), Some(own.need)));
        let mut steps: Vec<(f64, Option<Tokens>)> =
            [(0.0, None)].into_iter().chain(dues).chain(edges).collect();
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut reserved = Tokens::default();
        let points = steps.into_iter().map(|(at, need)| {
            reserved += need.unwrap_or_default();
            let mut left = self.free;
            left += self.freed.times(at);
            (at, left.minus(reserved).minus(self.reserved_by_peers(at)))
        });
        points.collect()
    }

    fn reserved_by_peers(&self, at: f64) -> Tokens {
        let mut reserved = Tokens::default();
        let mut start = 0.0;
        for (end, tokens) in HORIZONS.into_iter().zip(self.peers) {
            let passed = ((at + self.age - start) / (end - start)).clamp(0.0, 1.0);
            reserved += tokens.times(passed);
            start = end;
        }
        reserved
    }

    /// The earliest time from which there is capacity for `need` beside all reservations; `None` if there is
    /// none within the last horizon.
    fn earliest(&self, mut need: Tokens) -> Option<f64> {
        let points = self.points();
        need += self.unreported;
        let part = |of: fn(&Tokens) -> f64, freed: f64| {
            let Some(last) = points.iter().rposition(|(_, left)| of(left) < of(&need)) else {
                return Some(0.0);
            };
            let (at, left) = (points[last].0, of(&points[last].1));
            // Reservations of peers that come due in the interval reduce the growth.
            let growth = match points.get(last + 1) {
                Some((next, _)) => {
                    let (due, then) = (self.reserved_by_peers(at), self.reserved_by_peers(*next));
                    freed - of(&then.minus(due)) / (next - at)
                }
                None => freed,
            };
            let wait = (of(&need) - left) / growth;
            (growth > 0.0).then_some(at + wait)
        };
        let memory = part(|t| t.memory, self.freed.memory)?;
        let prompt = part(|t| t.prompt, self.freed.prompt)?;
        let latest = memory.max(prompt);
        (latest <= HORIZONS[HORIZONS.len() - 1]).then_some(latest)
    }

    /// Whether all reserved capacity can still be freed in time if `need` is used now.
    fn leaves_reserved(&self, need: Tokens) -> bool {
        let first = self.own.first().map(|own| own.due.saturating_duration_since(self.now));
        let reserved = |at| {
            let peers = self.reserved_by_peers(at);
            first.is_some_and(|first| first.as_secs_f64() <= at) || peers != Tokens::default()
        };
        self.points().into_iter().all(|(at, left)| left.covers(need) || !reserved(at))
    }
}

impl Returns {
    /// Records capacity of open engines that a request has freed.
    pub fn record_freed(&mut self, service: &Arc<str>, tokens: Tokens, now: Instant) {
        self.ledgers.entry(service.clone()).or_default().freed.add(tokens, now);
    }

    /// Replaces what the other daemons reported. Entries of other kinds are ignored.
    pub fn set_peer_loads(&mut self, loads: HashMap<Tag, Load>, now: Instant) {
        (self.peer_loads, self.peers_at) = (loads, Some(now));
    }

    /// Whether another daemon reports anything under this tag.
    pub fn is_reported(&self, tag: Tag) -> bool {
        self.peer_loads.contains_key(&tag)
    }

    /// Whether a newcomer that needs `need` leaves free what is reserved for others.
    pub fn newcomer_may_use(
        &mut self,
        service: &Arc<str>,
        need: Tokens,
        pool: Pool,
        now: Instant,
    ) -> bool {
        self.forecast(service, pool, now).leaves_reserved(need)
    }

    /// Matches an arriving request with the reservations. A reservation that is found is removed: either it
    /// is claimed, or the caller comes early and loses it.
    pub fn arrive(
        &mut self,
        service: &Arc<str>,
        key: Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> Arrival {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return Arrival::Unknown;
        };
        let found = ledger
            .reservations
            .iter()
            .position(|own| own.key == key && apart(own.deadline, deadline) <= DEADLINE_TOLERANCE);
        let Some(found) = found.map(|at| ledger.reservations.remove(at)) else {
            return Arrival::Unknown;
        };
        match found.due.saturating_duration_since(now) <= MAX_EARLY {
            true => Arrival::Due,
            false => Arrival::Early,
        }
    }

    /// Decides when a caller whose refusal is final should come back, and reserves capacity for it. If no
    /// time fits, it gets none, and is told the best time that it can wait for.
    pub fn schedule(
        &mut self,
        service: &Arc<str>,
        caller: Caller,
        pool: Pool,
        random: f64,
        now: Instant,
    ) -> Advice {
        let forecast = self.forecast(service, pool, now);
        let forecast = match caller.deferred {
            true => forecast.reduced_to(DEFERRED_FRACTION),
            false => forecast,
        };
        let on_time = caller.slo_end.saturating_duration_since(now).as_secs_f64();
        let forecast = match forecast.earliest(caller.need) {
            Some(after) if after <= on_time => forecast,
            _ => forecast.reduced_to(LATE_FRACTION),
        };
        let longest = caller.deadline.saturating_duration_since(now).mul_f64(MAX_WAIT_FRACTION);
        let earliest = forecast.earliest(caller.need).map(Duration::from_secs_f64);
        let shortest = MIN_RETRY_AFTER.min(longest);
        let found = earliest.map(|after| after.max(shortest)).filter(|after| *after <= longest);
        let random = MIN_UNRESERVED_FRACTION + (1.0 - MIN_UNRESERVED_FRACTION) * random;
        let sum = |all: &mut dyn Iterator<Item = Tokens>| {
            all.fold(Tokens::default(), |mut sum, tokens| {
                sum += tokens;
                sum
            })
        };
        let mut advice = Advice {
            after: found.unwrap_or(longest.mul_f64(random)),
            due: found.map(|after| now + after),
            no_room: found.is_none(),
            freed: forecast.freed,
            own: sum(&mut forecast.own.iter().map(|own| own.need)),
            peers: sum(&mut forecast.peers.into_iter()),
            peer_age: self.peer_age(now),
        };
        if let Some(due) = advice.due
            && !self.reserve(service, caller, due, now)
        {
            advice.due = None;
        }
        advice
    }

    /// Number of this daemon's reservations.
    pub fn count(&self) -> usize {
        self.ledgers.values().map(|ledger| ledger.reservations.len()).sum()
    }

    /// Removes reservations whose callers have not returned. Returns how many of each service.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<(Arc<str>, usize)> {
        let mut expired = Vec::new();
        for (service, ledger) in &mut self.ledgers {
            let is_over =
                |own: &Reservation| now.saturating_duration_since(own.due) > ARRIVAL_GRACE;
            let count = ledger.reservations.partition_point(is_over);
            if count > 0 {
                ledger.reservations.drain(..count);
                expired.push((service.clone(), count));
            }
        }
        expired
    }

    /// Removes the state of services that are no longer `declared`, once their reservations have expired.
    pub fn retain_services(&mut self, declared: impl Fn(&str) -> bool) {
        self.ledgers.retain(|service, ledger| declared(service) || !ledger.reservations.is_empty());
    }

    /// What to report to peers: the rate at which capacity is freed, and the reserved capacity by horizon.
    pub fn for_peers(&mut self, now: Instant) -> Vec<(Tag, Load)> {
        let mut reported = Vec::new();
        for (service, ledger) in &mut self.ledgers {
            let mut by_horizon = [(0, Tokens::default()); HORIZONS.len()];
            for own in &ledger.reservations {
                let due = own.due.saturating_duration_since(now).as_secs_f64();
                let at = HORIZONS.partition_point(|end| *end < due).min(HORIZONS.len() - 1);
                by_horizon[at].0 += 1;
                by_horizon[at].1 += own.need;
            }
            let reserved = by_horizon.into_iter().enumerate();
            let reserved = reserved
                .map(|(at, (runs, tokens))| (reserved_tag(service, at), to_load(runs, tokens)));
            let freed = (freed_tag(service), to_load(1, ledger.freed.rate(now)));
            reported.extend(
                reserved
                    .chain([freed])
                    .filter(|(_, load)| load.tokens > 0 || load.unread_prompt > 0),
            );
        }
        reported
    }

    fn peer_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.peers_at?);
        (age <= PEER_LIFETIME).then_some(age)
    }

    fn forecast(&mut self, service: &Arc<str>, pool: Pool, now: Instant) -> Forecast<'_> {
        let age = self.peer_age(now);
        let peer_loads = &self.peer_loads;
        let reported = |tag: Tag| {
            let load = age.and_then(|_| peer_loads.get(&tag));
            Tokens::from(load.copied().unwrap_or_default())
        };
        let ledger = self.ledgers.entry(service.clone()).or_default();
        let mut freed = ledger.freed.rate(now);
        freed += reported(freed_tag(service));
        // The other daemons have probably reserved as much as this one, for each of their requests.
        let others = (1.0 / pool.fraction.clamp(0.001, 1.0)) - 1.0;
        let unknown = (age.unwrap_or_default() + REPORT_DELAY).as_secs_f64();
        let age = age.unwrap_or_default().as_secs_f64();
        Forecast {
            free: pool.free,
            freed: freed.times(PLANNED_FRACTION),
            peers: std::array::from_fn(|at| reported(reserved_tag(service, at))),
            age,
            unreported: ledger.made.rate(now).times(unknown * others),
            own: &ledger.reservations,
            now,
        }
    }

    /// Reserves capacity; returns whether there was memory for the reservation.
    fn reserve(&mut self, service: &Arc<str>, caller: Caller, due: Instant, now: Instant) -> bool {
        if self.count() >= MAX_RESERVATIONS {
            return false;
        }
        let ledger = self.ledgers.entry(service.clone()).or_default();
        let at = ledger.reservations.partition_point(|own| own.due <= due);
        let Caller { key, need, deadline, .. } = caller;
        ledger.reservations.insert(at, Reservation { key, deadline, due, need });
        ledger.made.add(need, now);
        true
    }
}

fn apart(a: Instant, b: Instant) -> Duration {
    a.max(b).saturating_duration_since(a.min(b))
}

/// The tag under which capacity reserved within a horizon is reported.
fn reserved_tag(service: &str, horizon: usize) -> Tag {
    let promised = Tag::of(service).combined_with(Tag::of("promised"));
    promised.combined_with(Tag::of_number(horizon as u64))
}

/// The tag under which the capacity freed per second is reported.
fn freed_tag(service: &str) -> Tag {
    Tag::of(service).combined_with(Tag::of("freed"))
}

fn to_load(runs: u32, tokens: Tokens) -> Load {
    Load {
        runs,
        tokens: tokens.memory as u32,
        unread_prompt: tokens.prompt as u32,
        ..Load::default()
    }
}
