//! Dates reports of other daemons on this process's own clock.
//!
//! Daemons have no common clock, and the delay of a message is unknown. But each heartbeat echoes
//! the last clock value that its sender received from the receiver, and says how long ago that was.
//! The heartbeat was sent after that time, so ages in it are counted from there. A date that is
//! computed in this way is never too recent, only somewhat too old, however often the report is
//! forwarded.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A clock value that is returned to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Identifies the process start that the clock belongs to.
    pub boot: u64,
    /// The clock, in microseconds since that start.
    pub stamp: u64,
    /// How long ago the echoing daemon received it, in microseconds.
    pub held_us: u64,
}

/// The clock of one process start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    boot: u64,
    started: Instant,
}

impl Clock {
    /// Creates the clock of the process start `boot` at `started`.
    pub fn new(boot: u64, started: Instant) -> Clock {
        Clock { boot, started }
    }

    /// Identifies this process start.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// When the process started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// The time since the process start, in microseconds.
    pub fn stamp(&self, now: Instant) -> u64 {
        micros_between(self.started, now)
    }

    /// The earliest time at which the message with this `echo` can have been sent; `None` if it
    /// echoes no clock, or the clock of another process start.
    pub fn earliest_send_time(&self, echo: Option<Echo>, now: Instant) -> Option<Instant> {
        let echo = echo.filter(|echo| echo.boot == self.boot)?;
        let echoed = Duration::from_micros(echo.stamp.checked_add(echo.held_us)?);
        self.started.checked_add(echoed).filter(|sent| *sent <= now)
    }
}

/// The time `ms` milliseconds before `at`; `None` if this machine's clock can't represent it.
pub fn minus_millis(at: Instant, ms: u32) -> Option<Instant> {
    at.checked_sub(Duration::from_millis(ms.into()))
}

/// Microseconds between two times.
pub fn micros_between(since: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(since).as_micros()).unwrap_or(u64::MAX)
}

/// Milliseconds between two times, as used in messages.
pub fn millis_between(since: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u32::MAX)
}
