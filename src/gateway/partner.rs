//! How often a daemon sends heartbeats and sums to its partners.

use std::time::{Duration, Instant};

/// Heartbeat interval within a cell while nothing changes. Almost three of them fit into the
/// silence after which a daemon counts as unreachable.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Heartbeat interval of a relay to its cell. All that the cell learns of other daemons waits for
/// it: with 100 ms here and 150 ms between relays, a fleet of 295 daemons had 124 late first events
/// of 1,387 in 15 s of reclaims; with 50 ms and 60 ms it had 48.
const RELAY_HEARTBEAT: Duration = Duration::from_millis(50);
/// Heartbeat interval between relays. In the worst case, a daemon is four heartbeats away from the
/// daemon that reads the store, and its copy must not be reported as late in normal operation.
const CONTACT_HEARTBEAT: Duration = Duration::from_millis(40);
/// Fraction of its VM's link that a relay uses for heartbeats to its cell, as far as their interval allows.
const MAX_LINK_FRACTION: f64 = 0.2;
/// Interval of heartbeats to a daemon that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two sums of its cell that a relay sends to the same relay of the hall. It
/// is below the shortest heartbeat interval between relays, so that each heartbeat carries one.
const CELL_SUM_INTERVAL: Duration = Duration::from_millis(25);
/// The same for sums of a hall to another hall: every second heartbeat carries one. Traffic between
/// halls is expensive, but only a few daemons send it.
const HALL_SUM_INTERVAL: Duration = Duration::from_millis(60);
/// The same for sums of all other halls to the relay's own cell. These are the largest (about 2 KB
/// for 130 servers) and are sent to each daemon of the cell: on a link of 20 Mbit/s, a relay uses 2
/// Mbit/s for them.
const OTHER_HALLS_SUM_INTERVAL: Duration = Duration::from_millis(140);

/// Maximum delay of a load report, as a fraction of the time between two requests at the same
/// server: no more than this fraction of requests meets another request that the sender could not
/// know of.
const UNREPORTED_FRACTION: f64 = 0.07;
/// Maximum factor for heartbeat intervals, and the maximum intervals that result. Silence is
/// detected within three intervals. A change that the store's first reader sees takes two intervals
/// between relays and one within a cell.
const MAX_SCALE: f64 = 10.0;
const MAX_HEARTBEAT: Duration = Duration::from_millis(1_000);
const MAX_RELAY_HEARTBEAT: Duration = Duration::from_millis(350);
const MAX_CONTACT_HEARTBEAT: Duration = Duration::from_millis(200);
/// With intervals at their maximum, a server with fewer requests than this is reported to other
/// halls as idle.
const MAX_LIGHT_RUNS: f64 = 3.0;
/// Silence in announced heartbeat intervals after which a daemon counts as unreachable. Two
/// heartbeats may be lost: the announced interval is a tenth longer than the average one.
const SILENT_HEARTBEATS: f64 = 2.8;

/// The factor by which heartbeat intervals are longer than with busy servers. Heartbeats report
/// loads; with many servers for few requests, a delayed load report does not affect any choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IntervalScale(f64);

impl IntervalScale {
    /// Intervals as with busy servers.
    pub const NONE: IntervalScale = IntervalScale(1.0);

    /// The factor for a time between two requests at the same server, in seconds.
    pub fn of(gap: f64) -> IntervalScale {
        IntervalScale(
            (gap * UNREPORTED_FRACTION / RELAY_HEARTBEAT.as_secs_f64()).clamp(1.0, MAX_SCALE),
        )
    }

    fn apply(self, interval: Duration, max: Duration) -> Duration {
        interval.mul_f64(self.0).min(max)
    }

    /// Servers with fewer requests than this are left out of the sums for other halls, which treat
    /// them as idle.
    pub fn min_reported_runs(self) -> u32 {
        // The value is between zero and three.
        (MAX_LIGHT_RUNS * (self.0 - 1.0) / (MAX_SCALE - 1.0)) as u32
    }

    /// The minimum time after a heartbeat before a change of load causes the next one.
    pub fn spacing(self, spacing: Duration) -> Duration {
        spacing.mul_f64(self.0 * self.0)
    }
}

/// Silence after which a daemon with this heartbeat interval counts as unreachable; at least
/// `least`.
pub fn silence_timeout(interval: Duration, least: Duration) -> Duration {
    least.max(interval.mul_f64(SILENT_HEARTBEATS))
}

/// A daemon's relation to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// Both are in the same cell.
    SameCell,
    /// The other daemon is the relay of another cell of the hall, or takes this one for its relay.
    SameHall,
    /// The same for another hall.
    OtherHall,
    /// The address is from the settings or from another daemon's heartbeat, and nothing was
    /// received from it yet.
    Unknown,
}

/// The interval of heartbeats to a partner. `is_relay` refers to this daemon, `is_reachable` to the
/// partner.
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

/// The interval at which messages of `bytes` bytes in total take no more than a fifth of a link of `speed` bytes per
/// second; at least `interval`, and at most that of other daemons' heartbeats within a cell.
pub fn paced(interval: Duration, bytes: usize, speed: f64) -> Duration {
    let needed = Duration::from_secs_f64(bytes as f64 / (speed * MAX_LINK_FRACTION));
    needed.clamp(interval, HEARTBEAT.max(interval))
}

/// When sums were last sent to one partner.
#[derive(Debug, Default)]
pub struct SumSchedule {
    last_sum: Option<Instant>,
    last_forward: Option<Instant>,
}

impl SumSchedule {
    /// Whether a sum that this daemon computes is due; if so, it is recorded as sent now.
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

    /// Records that sums of others are forwarded now, and returns when they were forwarded before.
    pub(crate) fn mark_forwarded(&mut self, now: Instant) -> Option<Instant> {
        self.last_forward.replace(now)
    }
}
