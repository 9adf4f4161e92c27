//! Decides which daemons of a fleet that starts at once read the whole store, and how long the others
//! wait for a peer's copy.

use crate::gateway::cell::rank;
use crate::gateway::roster::Daemon;
use std::time::Duration;

/// Wait for each other listed daemon of the same hall: that many may receive a copy before this one.
const WAIT_PER_DAEMON: Duration = Duration::from_millis(25);
/// Upper limit of that wait.
const MAX_TOTAL_WAIT: Duration = Duration::from_millis(4_000);
/// Added for each preceding daemon, so that daemons whose wait ends don't read the store all at once.
const WAIT_STEP: Duration = Duration::from_millis(100);
const MAX_STEPS: u32 = 30;

/// How long a daemon waits for a peer's copy; zero for the first of its hall in the order of reading.
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
