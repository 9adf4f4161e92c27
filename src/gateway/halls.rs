//! Halls that the operators have closed: nothing further is to be sent to their servers.
//!
//! What runs there may end there. A hall is closed for as long as the store holds its key, however the
//! daemon came to know of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after a daemon has learnt that a hall is closed within which work that was already on its way
/// there may still arrive, such as a run whose memory has just been copied. Daemons learn of it within
/// two seconds, and the platform allows five.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(1_000);

/// The closed halls, each with the moment at which this daemon learnt of it.
#[derive(Debug, Default)]
pub(crate) struct ClosedHalls {
    closed: HashMap<String, Instant>,
}

impl ClosedHalls {
    /// A hall is closed; one that is closed already stays so from its earlier moment on.
    pub(crate) fn close(&mut self, hall: &str, now: Instant) {
        self.closed.entry(hall.to_string()).or_insert(now);
    }

    /// A hall takes work again; says whether it was closed.
    pub(crate) fn open(&mut self, hall: &str) -> bool {
        self.closed.remove(hall).is_some()
    }

    /// Whether nothing new may be sent to a hall.
    pub(crate) fn is_closed(&self, hall: &str) -> bool {
        self.closed.contains_key(hall)
    }

    /// Whether work that is under way to a hall may still be sent there.
    pub(crate) fn accepts_in_flight(&self, hall: &str, now: Instant) -> bool {
        let closed = self.closed.get(hall);
        closed.is_none_or(|at| now.saturating_duration_since(*at) < IN_FLIGHT_TIME)
    }
}
