//! Recognizes requests to engines whose first event cannot come before their deadline.
//!
//! Such a request would occupy an engine for an answer that nobody receives, so it is refused before it is
//! sent. The estimate is a lower bound on the time to the first event: the engine that has least to read
//! reads at the speed of an idle one, and nothing else delays it.

use crate::gateway::admission::AdmissionClass;
use crate::gateway::request::Size;
use std::time::{Duration, Instant};

/// Prompt tokens that an idle engine reads per millisecond. A busy one reads at less than half this speed.
const IDLE_READ_PER_MS: f64 = 14.0;
/// Prompt tokens listed as unread at a server that may have been read already: what an idle engine reads in
/// half a second. A prompt is listed in full until its first event arrives here, so the one being read counts
/// too much, and other daemons' figures are 0.1 s old.
const MAYBE_READ: u32 = 7_000;

/// What is known of a request before a server is chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct Prospect {
    /// The expected size; a request without prompt tokens is of unknown size.
    pub size: Size,
    /// When the final response is due.
    pub deadline: Instant,
    /// Whether the request is new, came back after a refusal, or has begun.
    pub admission_class: AdmissionClass,
}

impl Prospect {
    /// Whether the first event cannot come before the deadline at any engine, where `least_unread` prompt
    /// tokens are listed as unread at the least loaded one. Pass 0 if not all engines were examined.
    pub fn is_hopeless(&self, least_unread: u32, now: Instant) -> bool {
        let prompt = self.size.prompt_tokens;
        // A run that has begun continues with the next event, for which its prompt may not be read again.
        if prompt == 0 || self.admission_class == AdmissionClass::Begun {
            return false;
        }
        let tokens = u64::from(least_unread.saturating_sub(MAYBE_READ)) + u64::from(prompt);
        let read = Duration::from_secs_f64(tokens as f64 / IDLE_READ_PER_MS / 1_000.0);
        read > self.deadline.saturating_duration_since(now)
    }
}
