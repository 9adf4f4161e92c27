//! A monotonic clock that includes the time during which the VM was suspended, and timers on it.
//!
//! `Instant::now` stops while the VM is suspended. After a suspension of ten seconds a daemon that relied on
//! it would treat its data as ten seconds fresher than it is, pass on a deadline that has already expired,
//! and count requests of one rate-limit window in the next. All modules therefore take the current time from
//! here and never from the standard library, so that ages, leases, windows and deadlines include suspensions.
//!
//! Times are `std::time::Instant`, so that functions can take the current time as an argument. After a
//! suspension these values are ahead of the standard clock: compare them only with each other, and wait for
//! them only with the functions of this module.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longest single sleep of a wait. Tokio's timers stop while the VM is suspended, so a wait can end up to
/// this much late after a suspension. A lower value would wake each waiting request more than four times a
/// second.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// The same point in time on the standard clock and on the boot-time clock.
struct Origin {
    /// Time on the standard clock.
    moment: Instant,
    /// Time since the VM booted, including suspensions.
    boot: Duration,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// Total length of the suspensions simulated by tests, in milliseconds.
static SIMULATED_SUSPENSION_MS: AtomicU64 = AtomicU64::new(0);

/// Returns the current time, including suspensions. It never goes backwards.
pub fn now() -> Instant {
    let origin = ORIGIN.get_or_init(|| Origin { moment: Instant::now(), boot: since_boot() });
    let simulated = Duration::from_millis(SIMULATED_SUSPENSION_MS.load(Ordering::Relaxed));
    origin.moment + since_boot().saturating_sub(origin.boot) + simulated
}

/// Returns the time since the VM booted, including suspensions.
fn since_boot() -> Duration {
    // Fails only on kernels before 2.6.39, which introduced CLOCK_BOOTTIME.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel supports CLOCK_BOOTTIME");
    Duration::from(time)
}

/// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
pub fn since(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Waits until the given time.
pub async fn sleep_until(until: Instant) {
    loop {
        let remaining = until.saturating_duration_since(now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(MAX_SLEEP)).await;
    }
}

/// Waits for the given duration.
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for a future until the given time and returns `None` on timeout. If both are ready at once, the
/// future's output is returned.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(until) => None,
    }
}

/// Advances the clock as if the VM had been suspended for `time`. For tests, which cannot suspend their
/// machine.
#[doc(hidden)]
pub fn pretend_suspended(time: Duration) {
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_MS.fetch_add(ms, Ordering::Relaxed);
}
