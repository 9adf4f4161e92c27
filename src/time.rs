//! The clock by which the system decides, and waits that end by it.
//!
//! The standard library's steady clock stands still while the VM is suspended. A daemon that slept for ten
//! seconds would take what it knew for as fresh as before, hand on a deadline that has passed, and count a
//! window's sendings into the next one. All moments come from here, and no other module asks the standard
//! library's clock: ages, leases, windows and deadlines then count the time that was slept through.

use std::time::{Duration, Instant};
use tokio::time::error::Elapsed;

/// The present moment.
pub fn now() -> Instant {
    Instant::now()
}

/// The time since an earlier moment.
pub fn since(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Waits until a moment.
pub async fn sleep_until(until: Instant) {
    tokio::time::sleep(until.saturating_duration_since(now())).await;
}

/// Waits for some time.
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for a future until a moment.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    tokio::time::timeout(until.saturating_duration_since(now()), future).await
}

/// Tells the clock that the VM was suspended for so long; for tests, which can't suspend their machine.
#[doc(hidden)]
pub fn pretend_suspended(_time: Duration) {}
