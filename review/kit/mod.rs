//! Stand-ins and helpers for the review cases: a record file, the platform's store, replicas, clients, and the
//! gateway as a separate process. They use the standard library only.
#![allow(dead_code)]

pub mod client;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod site;
pub mod socket;
pub mod store;

use std::time::Duration;

/// Sleeps for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the case plays its disruption: always, unless `TROUBLE=0` is set.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Small generator of random numbers (xorshift), so that no library is needed.
pub struct Random(u64);

impl Random {
    /// A generator; the same seed gives the same numbers.
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
