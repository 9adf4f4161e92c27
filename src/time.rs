//! The clock by which the system decides, and waits that end by it.
//!
//! The standard library's steady clock stands still while the VM is suspended. A daemon that slept for ten
//! seconds would take what it knew for as fresh as before, hand on a deadline that has passed, and count a
//! window's sendings into the next one. All moments come from here, and no other module asks the standard
//! library's clock: ages, leases, windows and deadlines then count the time that was slept through.
//!
//! Moments are of the standard type, so that a present moment may be an argument wherever something is
//! decided. After a suspension they lie ahead of the standard clock: they are compared with each other only, and
//! waits for one of them go by the functions here.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longest sleep at a time. A timer stands still with the VM, so that a wait ends at most so much late after
/// a suspension; a shorter one wakes each waiting request more often than four times a second.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// A moment on both clocks.
struct Origin {
    moment: Instant,
    /// Time since the VM's start, suspensions included.
    boot: Duration,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// Milliseconds of suspensions that tests made up.
static SIMULATED_SUSPENSION_MS: AtomicU64 = AtomicU64::new(0);

/// The present moment; it never goes back.
pub fn now() -> Instant {
    let origin = ORIGIN.get_or_init(|| Origin { moment: Instant::now(), boot: since_boot() });
    let simulated = Duration::from_millis(SIMULATED_SUSPENSION_MS.load(Ordering::Relaxed));
    origin.moment + since_boot().saturating_sub(origin.boot) + simulated
}

/// Time since the VM's start, suspensions included.
fn since_boot() -> Duration {
    // Fails only on kernels older than the clock, 2.6.39.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel knows the clock");
    Duration::from(time)
}

/// The time since an earlier moment.
pub fn since(earlier: Instant) -> Duration {
    now().saturating_duration_since(earlier)
}

/// Waits until a moment.
pub async fn sleep_until(until: Instant) {
    loop {
        let remaining = until.saturating_duration_since(now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(MAX_SLEEP)).await;
    }
}

/// Waits for some time.
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for a future until a moment. A future that is ready by then wins.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(until) => None,
    }
}

/// Tells the clock that the VM was suspended for so long; for tests, which can't suspend their machine.
#[doc(hidden)]
pub fn pretend_suspended(time: Duration) {
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_SUSPENSION_MS.fetch_add(ms, Ordering::Relaxed);
}
