//! How often a daemon tells its partners what.

use std::time::{Duration, Instant};

/// Time between two heartbeats within a cell where nothing changes: almost three of them within the
/// silence after which a daemon is taken as gone.
const BEAT: Duration = Duration::from_millis(250);
/// Time between two heartbeats of a relay to its cell: all that the cell knows of others waits for it. With
/// 100 ms here and 150 ms between relays, a fleet of 295 daemons had 124 late first events of 1,387 in 15 s of
/// reclaims, with 50 ms and 60 ms it had 48.
const RELAY_BEAT: Duration = Duration::from_millis(50);
/// Time between two heartbeats of relays to each other. A daemon is four of them from the first reader
/// of the store in the worst case, and its copy must not seem late on an ordinary day.
const CONTACT_BEAT: Duration = Duration::from_millis(40);
/// Time between two attempts to reach a daemon that does not answer.
const GREET: Duration = Duration::from_millis(400);
/// Least time between two sums of a cell that a relay makes for one sibling: below the shortest time between
/// two heartbeats of relays, so that each of them carries one.
const CELL_SUMS: Duration = Duration::from_millis(25);
/// The same of sums of a hall to another hall: every second heartbeat. Bytes between halls are dear, but few
/// daemons cross.
const HALL_SUMS: Duration = Duration::from_millis(60);
/// The same of sums of all other halls to one's cell. They are the largest (some 2 KB for 130 servers), and go to
/// each daemon of the cell: a relay on a link of 20 Mbit/s sends 2 Mbit/s of them.
const ALL_SUMS: Duration = Duration::from_millis(140);

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
        let spacing = match to {
            Relation::Near => ALL_SUMS,
            Relation::Hall => HALL_SUMS,
            Relation::Sibling | Relation::Unknown => CELL_SUMS,
        };
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
