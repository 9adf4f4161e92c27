//! Dating what other daemons tell, on this process's own clock.
//!
//! Daemons don't share a clock, and nobody knows how long a message was on its way. But each heartbeat
//! returns the clock that its sender last had of the receiver, and how long it has had it. The heartbeat
//! was sent after that; an age that it tells is counted from there. What is dated so is as old as it
//! says or a little older, never younger, however often it is passed on.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A clock that is returned to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The start of the process whose clock it is.
    pub boot: u64,
    /// The clock, in microseconds since that start.
    pub stamp: u64,
    /// How long the returning daemon has had it, in microseconds.
    pub held_us: u64,
}

/// The clock of one start of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    boot: u64,
    started: Instant,
}

impl Clock {
    /// The clock of the start that `boot` names, which was at `started`.
    pub fn new(boot: u64, started: Instant) -> Clock {
        Clock { boot, started }
    }

    /// Tells this start of the process from others.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// When the process started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// What it shows, in microseconds since the start.
    pub fn stamp(&self, now: Instant) -> u64 {
        micros_between(self.started, now)
    }

    /// A moment before which the message that returned `echo` was not sent; `None` where it returned
    /// no clock, or another one.
    pub fn earliest_send_time(&self, echo: Option<Echo>, now: Instant) -> Option<Instant> {
        let echo = echo.filter(|echo| echo.boot == self.boot)?;
        let echoed = Duration::from_micros(echo.stamp.checked_add(echo.held_us)?);
        self.started.checked_add(echoed).filter(|sent| *sent <= now)
    }
}

/// The moment so many milliseconds before another one; `None` before this machine's clock began.
pub fn minus_millis(at: Instant, ms: u32) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms.into()))
}

/// Microseconds from one moment to another.
pub fn micros_between(since: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(since).as_micros()).unwrap_or(u64::MAX)
}

/// The same in milliseconds, for what is told.
pub fn millis_between(since: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u32::MAX)
}
