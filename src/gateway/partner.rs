//! How often a daemon tells its partners what.

use std::time::{Duration, Instant};

/// Time between two heartbeats within a cell where nothing changes: almost three of them within the
/// silence after which a daemon is taken as gone.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time between two heartbeats of a relay to its cell: all that the cell knows of others waits for it. With
/// 100 ms here and 150 ms between relays, a fleet of 295 daemons had 124 late first events of 1,387 in 15 s of
/// reclaims, with 50 ms and 60 ms it had 48.
const RELAY_HEARTBEAT: Duration = Duration::from_millis(50);
/// Time between two heartbeats of relays to each other. A daemon is four of them from the first reader
/// of the store in the worst case, and its copy must not seem late on an ordinary day.
const CONTACT_HEARTBEAT: Duration = Duration::from_millis(40);
/// Time between two attempts to reach a daemon that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Least time between two sums of a cell that a relay makes for one sibling: below the shortest time between
/// two heartbeats of relays, so that each of them carries one.
const CELL_SUM_INTERVAL: Duration = Duration::from_millis(25);
/// The same of sums of a hall to another hall: every second heartbeat. Bytes between halls are dear, but few
/// daemons cross.
const HALL_SUM_INTERVAL: Duration = Duration::from_millis(60);
/// The same of sums of all other halls to one's cell. They are the largest (some 2 KB for 130 servers), and go to
/// each daemon of the cell: a relay on a link of 20 Mbit/s sends 2 Mbit/s of them.
const OTHER_HALLS_SUM_INTERVAL: Duration = Duration::from_millis(140);

/// Part of the time between two requests at one server after which a load may be heard: no more than one in so many
/// requests meets another one of which it could not know.
const UNREPORTED_FRACTION: f64 = 0.07;
/// Most by which pauses between heartbeats are stretched, and the longest stretched ones: silence is noticed within three
/// of them, and what the store's first reader knows takes two ways between relays and one within a cell.
const MAX_SCALE: f64 = 10.0;
const MAX_HEARTBEAT: Duration = Duration::from_millis(1_000);
const MAX_RELAY_HEARTBEAT: Duration = Duration::from_millis(350);
const MAX_CONTACT_HEARTBEAT: Duration = Duration::from_millis(200);
/// Requests at a server below which it is as good as idle to other halls, where pauses are stretched most.
const MAX_LIGHT_RUNS: f64 = 3.0;
/// Heartbeats that may be lost before a daemon counts as silent, and a little.
const SILENT_HEARTBEATS: f64 = 2.8;

/// By how much pauses between heartbeats are longer than where servers are busy. Heartbeats tell loads, and where
/// servers are many for the requests, a load that is heard late changes no choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IntervalScale(f64);

impl IntervalScale {
    /// Not at all.
    pub const NONE: IntervalScale = IntervalScale(1.0);

    /// For a time between two requests at one server, in seconds.
    pub fn of(gap: f64) -> IntervalScale {
        IntervalScale(
            (gap * UNREPORTED_FRACTION / RELAY_HEARTBEAT.as_secs_f64()).clamp(1.0, MAX_SCALE),
        )
    }

    fn apply(self, interval: Duration, max: Duration) -> Duration {
        interval.mul_f64(self.0).min(max)
    }

    /// Requests at a server below which other halls are not told of them: they take it for idle.
    pub fn min_reported_runs(self) -> u32 {
        // Not negative, and at most three.
        (MAX_LIGHT_RUNS * (self.0 - 1.0) / (MAX_SCALE - 1.0)) as u32
    }

    /// A time after which changes of load are told before a heartbeat is due anyway.
    pub fn spacing(self, spacing: Duration) -> Duration {
        spacing.mul_f64(self.0 * self.0)
    }
}

/// Silence after which a daemon that sends heartbeats so often is taken as gone; not below `least`.
pub fn silence_timeout(interval: Duration, least: Duration) -> Duration {
    least.max(interval.mul_f64(SILENT_HEARTBEATS))
}

/// What a daemon is to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Of the same cell.
    SameCell,
    /// A relay of another cell of the hall, or one that took this daemon for its cell's relay.
    SameHall,
    /// The same of another hall.
    OtherHall,
    /// An address from the settings or another daemon's word, which was never heard.
    Unknown,
}

/// When a heartbeat is due to a partner, as told by whether this daemon is a relay and hears it.
pub fn heartbeat_interval(
    relation: Relation,
    is_relay: bool,
    is_reachable: bool,
    scale: IntervalScale,
) -> Duration {
    match relation {
        _ if !is_reachable => RETRY_INTERVAL,
        Relation::SameCell if is_relay => scale.apply(RELAY_HEARTBEAT, MAX_RELAY_HEARTBEAT),
        Relation::SameCell => scale.apply(HEARTBEAT, MAX_HEARTBEAT),
        Relation::SameHall | Relation::OtherHall | Relation::Unknown => {
            scale.apply(CONTACT_HEARTBEAT, MAX_CONTACT_HEARTBEAT)
        }
    }
}

/// When one partner was last told what.
#[derive(Debug, Default)]
pub struct SumSchedule {
    last_sum: Option<Instant>,
    last_forward: Option<Instant>,
}

impl SumSchedule {
    /// Whether a sum that this daemon makes is due; if so, it counts as told now.
    pub(crate) fn is_due(&mut self, to: Relation, now: Instant) -> bool {
        let spacing = match to {
            Relation::SameCell => OTHER_HALLS_SUM_INTERVAL,
            Relation::OtherHall => HALL_SUM_INTERVAL,
            Relation::SameHall | Relation::Unknown => CELL_SUM_INTERVAL,
        };
        let due = self.last_sum.is_none_or(|made| now.saturating_duration_since(made) >= spacing);
        if due {
            self.last_sum = Some(now);
        }
        due
    }

    /// When the partner was last told what this daemon passes on; it counts as told now.
    pub(crate) fn mark_forwarded(&mut self, now: Instant) -> Option<Instant> {
        self.last_forward.replace(now)
    }
}
