//! Admission control for crowded engines, and the time after which refused callers should come back.
//!
//! An engine reads prompts one after another, between the tokens of its running requests, and reads a
//! prompt only once there is memory for its run. When more requests arrive than all engines can read and
//! hold, an unbounded queue grows until every first event is late. With a bounded queue, almost all admitted
//! requests are in time. A request is therefore refused at once if the server that suits it best has too
//! much to read or too little memory left.
//!
//! With some 51 engines at nine tenths of the prompts that they can read, and a sixth of them leaving every
//! 3.3 s, the bound lets 774 of 1,271 requests for drafts begin in time instead of 617, and 1,490 of 2,393
//! requests for summaries instead of 1,203. It refuses a twentieth of all requests for this.
//!
//! The decision looks at the server that suits the request best, not at the least crowded one. A daemon
//! learns what others have sent about 0.1 s late, and of many servers, the one that seems emptiest is the
//! one about which it knows least. The bound is the same for all sizes and routes of a service: if the
//! request's own prompt counted, long prompts would starve, and if each route had a bound by its own SLO,
//! the route with the longest one would fill the queue and shut out the others. Only while the service is
//! short of capacity do deferrable requests have a lower bound.

use crate::gateway::returns::Tokens;
use crate::gateway::servers::Load;
use crate::gateway::table::Engine;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Prompt tokens that may wait at a server per millisecond of the SLO: a third of the six that a crowded
/// engine reads in that time. The rest of the SLO is for the request's own prompt and for what other
/// daemons have sent there meanwhile.
const WAITING_PER_MS: f64 = 2.0;
/// The same for a caller that was refused before. It gets more than new callers, since it comes back after
/// the time it was given and has no time for a third try.
const WAITING_PER_MS_RETURNED: f64 = 3.0;
/// Fraction of a server's memory that its runs may need at their longest for a new request to be admitted.
/// The request itself then still fits: it takes up to a sixth of the memory of a small engine.
const MEMORY_FRACTION: f64 = 0.85;
/// The same for a caller that was refused before.
const MEMORY_FRACTION_RETURNED: f64 = 1.0;
/// Fraction of the ordinary bounds for new callers up to which a deferrable one is admitted during a
/// shortage. The rest is headroom for one more urgent request, which takes a tenth of a small engine's memory.
const DEFERRED_FRACTION: f64 = 0.88;
/// Prompt tokens that a crowded engine reads per millisecond: 112 in a step of some 16 ms, beside its runs.
const READ_PER_MS: f64 = 6.0;
/// The same for the slowest engine with a full batch: its step takes twice as long, on a server that is 1.3
/// times as slow as others.
const MIN_READ_PER_MS: f64 = 2.5;
/// Shortest time after which a refused caller comes back. A server with six runs of some seven seconds each
/// completes one about this often, and then has capacity for another one.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Fraction by which the time to come back is randomly lengthened or shortened, so that callers refused
/// together don't return together.
const JITTER: f64 = 0.4;
/// Time of its route's timeout that a caller must have used up to count as one that comes back: more than
/// it takes to reach this daemon.
const MIN_TIME_SPENT: Duration = Duration::from_millis(250);

/// How a request is treated at a crowded server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionClass {
    /// The caller's first attempt.
    Newcomer,
    /// The caller was refused before, or a server refused the request.
    Returned,
    /// The request's answer has begun and continues at another server.
    Begun,
}

impl AdmissionClass {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionClass::Newcomer => "newcomer",
            AdmissionClass::Returned => "returned",
            AdmissionClass::Begun => "begun",
        }
    }

    /// The class of a caller that has `left` of the `whole` timeout of its route.
    pub fn of(left: Duration, whole: Duration) -> AdmissionClass {
        match whole.saturating_sub(left) >= MIN_TIME_SPENT {
            true => AdmissionClass::Returned,
            false => AdmissionClass::Newcomer,
        }
    }
}

/// Upper bounds on the load at a server for it to admit another request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Prompt tokens that are still to be read.
    waiting_tokens: f64,
    /// Memory that the server's runs need at their longest, in tokens.
    memory: f64,
}

impl Bound {
    /// No bound.
    pub const NONE: Bound = Bound { waiting_tokens: f64::INFINITY, memory: f64::INFINITY };

    /// The bound for a request of the given class, where `slo` is the strictest of its service.
    pub fn of(slo: Duration, engine: &Engine, admission_class: AdmissionClass) -> Bound {
        let (per_ms, fraction) = match admission_class {
            AdmissionClass::Newcomer => (WAITING_PER_MS, MEMORY_FRACTION),
            AdmissionClass::Returned => (WAITING_PER_MS_RETURNED, MEMORY_FRACTION_RETURNED),
            AdmissionClass::Begun => return Bound::NONE,
        };
        let waiting = slo.as_secs_f64() * 1_000.0 * per_ms;
        Bound { waiting_tokens: waiting, memory: f64::from(engine.memory) * fraction }
    }

    /// The bound for a caller's first attempt.
    pub fn newcomer(slo: Duration, engine: &Engine) -> Bound {
        Bound::of(slo, engine, AdmissionClass::Newcomer)
    }

    /// The bound during a shortage for a request in whose favour others of its service are deferred: such
    /// requests may use all memory, since the deferred ones leave headroom in it.
    pub fn favoured(slo: Duration, engine: &Engine, admission_class: AdmissionClass) -> Bound {
        let memory = f64::from(engine.memory) * MEMORY_FRACTION_RETURNED;
        let bound = Bound::of(slo, engine, admission_class);
        Bound { memory: bound.memory.max(memory), ..bound }
    }

    /// The bound during a shortage for a request that is deferred in favour of others of its service. It is
    /// never above that of any of these. One that was refused before has the bound of more urgent
    /// newcomers, so that less urgent requests still get some service in a long shortage.
    pub fn deferred(slo: Duration, engine: &Engine, admission_class: AdmissionClass) -> Bound {
        let newcomer = Bound::newcomer(slo, engine);
        match admission_class {
            AdmissionClass::Newcomer => Bound {
                waiting_tokens: newcomer.waiting_tokens * DEFERRED_FRACTION,
                memory: newcomer.memory * DEFERRED_FRACTION,
            },
            AdmissionClass::Returned => newcomer,
            AdmissionClass::Begun => Bound::NONE,
        }
    }

    /// Whether a server with this load admits another request. An idle server always does.
    pub fn admits(self, load: Load) -> bool {
        let fits = f64::from(load.unread_prompt) <= self.waiting_tokens
            && f64::from(load.tokens) <= self.memory;
        fits || load.runs == 0
    }

    /// Tokens of memory and of waiting prompt that may be added at a server with this load; negative where
    /// it exceeds the bound.
    pub fn room(self, load: Load) -> Tokens {
        Tokens {
            memory: self.memory - f64::from(load.tokens),
            prompt: self.waiting_tokens - f64::from(load.unread_prompt),
        }
    }
}

/// Time after which a caller should come back that was refused at a server with this many prompt tokens
/// waiting: by then they are read, and one of the server's runs has probably ended.
pub fn retry_after(waiting: u32, rng: &mut dyn Rng) -> Duration {
    let read = prompt_read_time(waiting, READ_PER_MS).max(MIN_RETRY_AFTER);
    read.mul_f64(1.0 + JITTER * rng.random_range(-1.0..1.0))
}

/// Longest time to wait for a stream's first event, where the server had `tokens` to read, including the
/// stream's own prompt. Until they can be read, the server counts as slow and not as lost: sending the
/// request elsewhere would have its prompt read twice.
pub fn first_event_timeout(slo: Duration, tokens: u32) -> Duration {
    slo + prompt_read_time(tokens, MIN_READ_PER_MS)
}

fn prompt_read_time(tokens: u32, per_ms: f64) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / per_ms / 1_000.0)
}
