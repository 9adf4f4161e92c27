//! How often a daemon tells its partners what.

use std::time::{Duration, Instant};

/// Time between two heartbeats within a cell where nothing changes: almost three of them within the
/// silence after which a daemon is taken as gone.
const BEAT: Duration = Duration::from_millis(250);
/// Time between two heartbeats of a relay to its cell: all that the cell knows of others waits for it.
const RELAY_BEAT: Duration = Duration::from_millis(100);
/// Time between two heartbeats of relays to each other. A daemon is four of them from the first reader
/// of the store in the worst case, and its copy must not seem late on an ordinary day.
const CONTACT_BEAT: Duration = Duration::from_millis(150);
/// Time between two attempts to reach a daemon that does not answer.
const GREET: Duration = Duration::from_millis(400);
/// Least time between two sums of a cell or a hall that a daemon makes for one partner: below the
/// shortest time between two heartbeats of relays, so that each of them carries one.
const SUMS: Duration = Duration::from_millis(80);
/// The same to another hall: bytes between halls are dear. With the way within both halls, loads of
/// another hall are heard within 1.5 s.
const FAR_SUMS: Duration = Duration::from_millis(400);

/// What a daemon is to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Of the same cell.
    Near,
    /// A relay of another cell of the hall, or one that took this daemon for its cell's relay.
    Sibling,
    /// The same of another hall.
    Hall,
    /// An address from the settings or another daemon's word, which was never heard.
    Unknown,
}

/// When a heartbeat is due to a partner, as told by whether this daemon is a relay and hears it.
pub fn pause(relation: Relation, relay: bool, heard: bool) -> Duration {
    match relation {
        _ if !heard => GREET,
        Relation::Near if relay => RELAY_BEAT,
        Relation::Near => BEAT,
        Relation::Sibling | Relation::Hall | Relation::Unknown => CONTACT_BEAT,
    }
}

/// When one partner was last told what.
#[derive(Debug, Default)]
pub struct Pace {
    made: Option<Instant>,
    passed: Option<Instant>,
}

impl Pace {
    /// Whether a sum that this daemon makes is due; if so, it counts as told now.
    pub(crate) fn is_due(&mut self, to: Relation, now: Instant) -> bool {
        let spacing = if to == Relation::Hall { FAR_SUMS } else { SUMS };
        let due = self.made.is_none_or(|made| now.saturating_duration_since(made) >= spacing);
        if due {
            self.made = Some(now);
        }
        due
    }

    /// When the partner was last told what this daemon passes on; it counts as told now.
    pub(crate) fn pass_on(&mut self, now: Instant) -> Option<Instant> {
        self.passed.replace(now)
    }
}
