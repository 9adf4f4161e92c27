//! Who is let in while engines are crowded, and when the others are to come back.
//!
//! An engine reads prompts one after the other, between the tokens of what runs, and a prompt is read once
//! its run finds memory. Where more come than all engines can read and hold, a queue without a bound grows
//! until each first event is late; with one, almost all of those that are let in are in time. So a request is
//! refused at once where the server that suits it best has too much to read, or too little memory left.
//! Before some 51 engines at nine tenths of what they can read, with a sixth of them leaving each 3.3 s, 774
//! of 1,271 drafts began in time in place of 617 and 1,490 of 2,393 summaries in place of 1,203; a twentieth
//! of all was refused.
//!
//! That server is judged, and not the least crowded of all: a daemon knows what others have sent some 0.1 s
//! late, and of many servers the one that seems freest is the one of which it knows least. The bound is the
//! same for all sizes and routes of a service: with one on what comes, its own prompt included, long prompts
//! would be starved, and with one by each route's own slo, the route with the longest slo would fill the
//! queue and shut out the others.

use crate::gateway::servers::Load;
use crate::gateway::table::Engine;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Tokens of prompts that may wait at a server for each millisecond of the slo: a third of the six that a
/// crowded engine reads in one. The rest of the slo is for the request's own prompt and for what other daemons
/// sent there meanwhile.
const WAITING_PER_MS: f64 = 2.0;
/// The same for a caller that was refused before: room is kept for it beyond what newcomers may take, since it
/// comes back as it was told to and has no time for a third try.
const WAITING_PER_MS_RETURNED: f64 = 3.0;
/// Part of a server's memory that its runs may need at their longest, for a newcomer: what it takes itself, a
/// sixth of the memory where engines are small, then still fits.
const MEMORY_FRACTION: f64 = 0.85;
/// The same for a caller that was refused before.
const MEMORY_FRACTION_RETURNED: f64 = 1.0;
/// Tokens of prompts that a crowded engine reads in a millisecond: 112 in a step of some 16 ms, beside its
/// runs.
const READ_PER_MS: f64 = 6.0;
/// The same of the slowest engine beside a full batch: two times the step, on a server that is 1.3 times as
/// slow as others.
const MIN_READ_PER_MS: f64 = 2.5;
/// Least time after which a refused caller comes back: a server of six runs of some seven seconds ends one of
/// them about so often, which is when it has room for another one.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Part of the time to come back that is drawn at random, up and down, so that those refused together don't
/// come together.
const JITTER: f64 = 0.4;
/// Time that a caller must have spent before, of that which its route gives, to count as one that comes back:
/// more than its way here takes.
const MIN_TIME_SPENT: Duration = Duration::from_millis(250);

/// How a request stands to those that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionClass {
    /// Its caller comes for the first time.
    Newcomer,
    /// Its caller, or a server, was refused before.
    Returned,
    /// It has begun to be answered and goes on elsewhere.
    Begun,
}

impl AdmissionClass {
    /// The standing of a caller that has so much of its route's time left.
    pub fn of(left: Duration, whole: Duration) -> AdmissionClass {
        match whole.saturating_sub(left) >= MIN_TIME_SPENT {
            true => AdmissionClass::Returned,
            false => AdmissionClass::Newcomer,
        }
    }
}

/// What may wait and run at a server that takes one more request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Tokens of prompts that are still to be read.
    waiting_tokens: f64,
    /// Memory that its runs need at their longest, in tokens.
    memory: f64,
}

impl Bound {
    /// Whatever there is.
    pub const NONE: Bound = Bound { waiting_tokens: f64::INFINITY, memory: f64::INFINITY };

    /// The bound for such a request, where its service aims at `slo`.
    pub fn of(slo: Duration, engine: &Engine, admission_class: AdmissionClass) -> Bound {
        let (per_ms, fraction) = match admission_class {
            AdmissionClass::Newcomer => (WAITING_PER_MS, MEMORY_FRACTION),
            AdmissionClass::Returned => (WAITING_PER_MS_RETURNED, MEMORY_FRACTION_RETURNED),
            AdmissionClass::Begun => return Bound::NONE,
        };
        let waiting = slo.as_secs_f64() * 1_000.0 * per_ms;
        Bound { waiting_tokens: waiting, memory: f64::from(engine.memory) * fraction }
    }

    /// Whether a server with such a load takes one more. One at which nothing waits and runs takes any.
    pub fn admits(self, load: Load) -> bool {
        let fits = f64::from(load.unread_prompt) <= self.waiting_tokens
            && f64::from(load.tokens) <= self.memory;
        fits || load.runs == 0
    }
}

/// When a caller is to come back that was refused at a server where so many tokens wait: by then they are
/// read, and some run there has ended.
pub fn retry_after(waiting: u32, rng: &mut dyn Rng) -> Duration {
    let read = prompt_read_time(waiting, READ_PER_MS).max(MIN_RETRY_AFTER);
    read.mul_f64(1.0 + JITTER * rng.random_range(-1.0..1.0))
}

/// How long a stream is waited for whose server had so many tokens to read, its own among them: while they
/// may still be read, it is slow and not lost, and to send it elsewhere would have its prompt read twice.
pub fn first_event_timeout(slo: Duration, tokens: u32) -> Duration {
    slo + prompt_read_time(tokens, MIN_READ_PER_MS)
}

fn prompt_read_time(tokens: u32, per_ms: f64) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / per_ms / 1_000.0)
}
