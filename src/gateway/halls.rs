//! Halls that the operators have closed: no new work is sent to their servers, and runs that are there may
//! finish.
//!
//! A hall is closed for as long as the store holds its key, whether the daemon learnt that from the store or
//! from a peer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long after a daemon learns that a hall is closed work in flight may still be sent there, such as a run
/// whose memory has just been copied. Daemons learn of a closing within two seconds, and the platform allows
/// five.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(1_000);

/// The closed halls, each with the time at which this daemon learnt of it.
#[derive(Debug, Default)]
pub(crate) struct ClosedHalls {
    closed: HashMap<String, Instant>,
}

impl ClosedHalls {
    /// Closes a hall; one that is closed already keeps its earlier time.
    pub(crate) fn close(&mut self, hall: &str, now: Instant) {
        self.closed.entry(hall.to_string()).or_insert(now);
    }

    /// Reopens a hall; returns whether it was closed.
    pub(crate) fn open(&mut self, hall: &str) -> bool {
        self.closed.remove(hall).is_some()
    }

    /// Whether a hall gets no new work.
    pub(crate) fn is_closed(&self, hall: &str) -> bool {
        self.closed.contains_key(hall)
    }

    /// Whether work in flight may still be sent to a hall.
    pub(crate) fn accepts_in_flight(&self, hall: &str, now: Instant) -> bool {
        let closed = self.closed.get(hall);
        closed.is_none_or(|at| now.saturating_duration_since(*at) < IN_FLIGHT_TIME)
    }
}
