//! Callers that were refused lately, so that every daemon recognizes them when they return.
//!
//! A caller sends each attempt with a new id, and may choose its deadline freely, so neither tells whether
//! it was refused before. Daemons therefore report the fingerprints of the callers that they have refused
//! until these are due back. A daemon that hears no reports takes returning callers for new ones.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::servers::Load;
use crate::gateway::tag::Tag;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a caller is remembered after its due time: covers the network delay, a new connection and its
/// own second attempts at reaching a daemon.
const ARRIVAL_GRACE: Duration = Duration::from_millis(1_000);
/// Maximum number of refused callers that a daemon reports, those due first: 0.5 kB in a heartbeat.
const MAX_REPORTED: usize = 32;
/// Maximum number of refused callers that a daemon remembers.
const MAX_REMEMBERED: usize = 4_000;

/// The tag under which a refused request is reported.
pub fn refusal_tag(service: &str, request: Fingerprint) -> Tag {
    Tag::of(service)
        .combined_with(Tag::of("refused"))
        .combined_with(Tag::of_number(request.value()))
}

/// The refused callers of one daemon.
#[derive(Debug)]
pub struct Refusals {
    /// When each refused caller is due back, by the request's tag.
    due: HashMap<Tag, Instant>,
    started: Instant,
}

impl Refusals {
    /// Starts without knowledge of earlier refusals.
    pub fn new(now: Instant) -> Refusals {
        Refusals { due: HashMap::new(), started: now }
    }

    /// Remembers a caller that was told to return at `due`.
    pub fn record(&mut self, request: Tag, due: Instant, now: Instant) {
        self.remove_expired(now);
        if self.due.len() < MAX_REMEMBERED {
            self.due.insert(request, due);
        }
    }

    /// Whether this daemon has refused the request lately.
    pub fn contains(&self, request: Tag, now: Instant) -> bool {
        self.due.get(&request).is_some_and(|due| !is_expired(*due, now))
    }

    /// Whether a caller's first attempt, `spent` ago, may have been refused before this daemon started, so
    /// that no report of it may be known.
    pub fn may_lack(&self, spent: Duration, now: Instant) -> bool {
        spent > now.saturating_duration_since(self.started)
    }

    /// What to report to peers. The load only marks the entry as present.
    pub fn for_peers(&mut self, now: Instant) -> Vec<(Tag, Load)> {
        self.remove_expired(now);
        let mut due: Vec<(Instant, Tag)> = self.due.iter().map(|(tag, due)| (*due, *tag)).collect();
        due.sort_unstable();
        let mark = Load { tokens: 1, ..Load::default() };
        due.into_iter().take(MAX_REPORTED).map(|(_, tag)| (tag, mark)).collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.due.retain(|_, due| !is_expired(*due, now));
    }
}

fn is_expired(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) > ARRIVAL_GRACE
}
