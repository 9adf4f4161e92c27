//! Which daemons of a fleet that starts at once read the whole store, and which wait for a peer's copy.

use crate::gateway::cell::rank;
use crate::gateway::roster::Daemon;
use std::time::Duration;

/// What a daemon waits for each one of its hall that is listed: as many are given copies before it.
const WAIT_PER_DAEMON: Duration = Duration::from_millis(25);
/// Most that it waits for them.
const MAX_TOTAL_WAIT: Duration = Duration::from_millis(4_000);
/// What each one waits longer than the one before it, so that they don't read the store together after all.
const WAIT_STEP: Duration = Duration::from_millis(100);
const MAX_STEPS: u32 = 30;

/// How long a daemon waits: not at all if it is the first of its hall in the order of reading.
pub fn wait(own: &Daemon, listed: &[Daemon]) -> Duration {
    let same_hall: Vec<&Daemon> =
        listed.iter().filter(|d| d.hall == own.hall && d.vm != own.vm).collect();
    let preceding = same_hall.iter().filter(|d| rank(d) < rank(own)).count();
    if preceding == 0 {
        return Duration::ZERO;
    }
    let count = u32::try_from(same_hall.len()).unwrap_or(u32::MAX);
    let steps = u32::try_from(preceding).unwrap_or(u32::MAX).min(MAX_STEPS).min(count / 2);
    WAIT_PER_DAEMON.saturating_mul(count).min(MAX_TOTAL_WAIT) + WAIT_STEP * steps
}
