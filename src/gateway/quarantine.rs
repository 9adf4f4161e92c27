//! Requests that end the servers which run them, and are kept from further ones.
//!
//! A caller that lost its answer sends the request again, by way of any daemon, and each attempt goes to as
//! many servers as its route allows. One deadly request so ends servers as fast as they start: two for each
//! attempt, and with each of them whatever else ran there. It is known by its [`Fingerprint`], over all
//! attempts and daemons. Daemons add up what they have seen in their heartbeats, which takes a fraction of a
//! second; what is proved is kept in the store as well, since daemons forget what they saw when they start
//! again.
//!
//! Chance must not pass for proof. Servers end for other reasons, and at the loss of a hall a frequent request
//! is under way at many of them at once. So a request counts against itself only servers that have ended, under
//! a run that had just begun, without having been known to leave; and it is kept back only where more servers
//! ended under it than survived it.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Servers that must have ended under a request. Two may end under a sound one by chance, both of one attempt;
/// with three, and the resending that is under way when the third ends, a deadly request takes three or four.
const PROOF: u32 = 3;
/// Time after the last server's end for which a request is remembered: the longest lease that the platform's
/// store gives, so that its record there lapses at about the same time.
pub const MEMORY: Duration = Duration::from_secs(600);
/// The same for what was seen of it: it lapses before what it proved does, so that the end of a quarantine is
/// not taken back by a daemon's last word.
const SUSPECTED: Duration = Duration::from_secs(540);
/// Time for which a request that was released is not judged: other daemons learn of the release later and
/// tell meanwhile what they knew.
const RELEASED: Duration = Duration::from_secs(10);
/// Time for which it is remembered that servers survived a request, at least.
const SURVIVED_LATELY: Duration = Duration::from_secs(60);
/// Requests of which that is remembered in such a time, at most; 24 bytes each.
const MOST_SURVIVORS: usize = 2_048;
/// Suspected requests that are remembered at most. A hall's loss leaves a daemon with some of its young runs.
const MOST_SUSPECTED: usize = 256;
/// Suspected requests that a daemon, or a sum of several, tells at most, those under which most servers ended
/// first: some 400 bytes.
pub(crate) const MOST_TOLD: usize = 32;

/// What became of the servers that ran a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Servers that ended as they began to run it.
    pub ended: u32,
    /// Runs that their servers survived.
    pub survived: u32,
}

impl Evidence {
    /// Whether it proves that the request ends servers.
    fn is_proof(self) -> bool {
        self.ended >= PROOF && self.ended > self.survived
    }
}

impl AddAssign for Evidence {
    fn add_assign(&mut self, other: Evidence) {
        self.ended = self.ended.saturating_add(other.ended);
        self.survived = self.survived.saturating_add(other.survived);
    }
}

/// What this daemon saw of a request under which a server ended.
#[derive(Debug)]
struct Suspicion {
    /// The starts of servers that ended.
    servers: Vec<Tag>,
    survived: u32,
    /// When the last of them ended.
    last: Instant,
}

impl Suspicion {
    fn evidence(&self) -> Evidence {
        Evidence {
            ended: u32::try_from(self.servers.len()).unwrap_or(u32::MAX),
            survived: self.survived,
        }
    }
}

/// How often servers lately survived requests: in this span of time, and in the one before it.
#[derive(Debug, Default)]
struct Survivors {
    spans: [HashMap<Fingerprint, u32>; 2],
    since: Option<Instant>,
}

impl Survivors {
    fn note(&mut self, request: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let full = self.spans[0].len() >= MOST_SURVIVORS;
        if full || now.saturating_duration_since(since) >= SURVIVED_LATELY {
            self.spans.swap(0, 1);
            self.spans[0].clear();
            self.since = Some(now);
        }
        *self.spans[0].entry(request).or_default() += 1;
    }

    fn count(&self, request: Fingerprint) -> u32 {
        self.spans.iter().filter_map(|span| span.get(&request)).sum()
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct Quarantine {
    survivors: Survivors,
    own: HashMap<Fingerprint, Suspicion>,
    /// What the other daemons told.
    others: HashMap<Fingerprint, Evidence>,
    /// Requests that are kept back, and until when.
    held: HashMap<Fingerprint, Instant>,
    /// Those that the store holds.
    stored: HashMap<Fingerprint, Instant>,
    /// Requests that were released, and when.
    released: HashMap<Fingerprint, Instant>,
    /// Proved requests of which this daemon saw a part and that are still to be written to the store.
    unsaved: Vec<Fingerprint>,
}

impl Quarantine {
    /// Notes that a server survived a run of a request.
    pub fn survived(&mut self, request: Fingerprint, now: Instant) {
        self.survivors.note(request, now);
        if let Some(suspicion) = self.own.get_mut(&request) {
            suspicion.survived = suspicion.survived.saturating_add(1);
        } else if self.others.contains_key(&request) {
            // The others must hear of it, and of what survived before.
            self.suspect(request, now);
        }
    }

    /// Notes that a server, known by the tag of its start, ended as it began to run a request. Says whether
    /// that proves that the request ends servers.
    pub fn ended(&mut self, request: Fingerprint, server: Tag, now: Instant) -> bool {
        let suspicion = self.suspect(request, now);
        suspicion.last = now;
        if !suspicion.servers.contains(&server) {
            suspicion.servers.push(server);
        }
        self.judge(request, now)
    }

    fn suspect(&mut self, request: Fingerprint, now: Instant) -> &mut Suspicion {
        if self.own.len() >= MOST_SUSPECTED && !self.own.contains_key(&request) {
            let oldest = self.own.iter().min_by_key(|(_, suspicion)| suspicion.last);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.own.remove(&oldest);
            }
        }
        let survived = self.survivors.count(request);
        let suspicion = || Suspicion { servers: Vec::new(), survived, last: now };
        self.own.entry(request).or_insert_with(suspicion)
    }

    /// Takes over what the other daemons told. What was proved once stays so when one of them falls silent.
    pub fn set_others(&mut self, others: &HashMap<Fingerprint, Evidence>, now: Instant) {
        self.others.clone_from(others);
        for request in others.keys() {
            self.judge(*request, now);
        }
    }

    fn evidence(&self, request: Fingerprint) -> Evidence {
        let mut all = self.own.get(&request).map(Suspicion::evidence).unwrap_or_default();
        all += self.others.get(&request).copied().unwrap_or_default();
        all
    }

    /// Keeps a request back from now on where that is proved and new.
    fn judge(&mut self, request: Fingerprint, now: Instant) -> bool {
        let is_open =
            self.kept_back(request, now).is_none() && !self.released.contains_key(&request);
        let proved = is_open && self.evidence(request).is_proof();
        if proved {
            self.held.insert(request, now + MEMORY);
            if self.own.contains_key(&request) {
                self.unsaved.push(request);
            }
        }
        proved
    }

    /// How long a request is still kept back; `None` where it may be sent.
    pub fn kept_back(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.held.get(&request).max(self.stored.get(&request))?;
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// How many requests are kept back.
    pub fn count(&self, now: Instant) -> usize {
        let all =
            self.held.iter().chain(self.stored.iter().filter(|(r, _)| !self.held.contains_key(r)));
        all.filter(|(_, until)| **until > now).count()
    }

    /// The store holds a record of a request.
    pub fn is_stored(&mut self, request: Fingerprint, now: Instant) {
        self.stored.entry(request).or_insert(now + MEMORY);
    }

    /// The store's record of a request is gone: it has lapsed, or an operator took it away. Whatever is known
    /// of the request is forgotten.
    pub fn is_released(&mut self, request: Fingerprint, now: Instant) {
        self.released.insert(request, now);
        self.stored.remove(&request);
        self.held.remove(&request);
        self.own.remove(&request);
        self.others.remove(&request);
    }

    /// Requests that are still to be written to the store; each is given once.
    pub fn take_unsaved(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unsaved)
    }

    /// Whether a request should still be written to the store.
    pub fn is_unsaved(&self, request: Fingerprint, now: Instant) -> bool {
        self.held.get(&request).is_some_and(|until| *until > now)
            && !self.stored.contains_key(&request)
    }

    /// What this daemon has seen of suspected requests, for the others.
    pub fn told(&mut self, now: Instant) -> Vec<(Fingerprint, Evidence)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.own.retain(|_, suspicion| age(suspicion.last) < SUSPECTED);
        self.released.retain(|_, at| age(*at) < RELEASED);
        self.held.retain(|_, until| *until > now);
        let told = self.own.iter().map(|(request, suspicion)| (*request, suspicion.evidence()));
        most_ended(told.collect())
    }
}

/// The requests under which most servers ended, as many as are told.
pub(crate) fn most_ended(mut told: Vec<(Fingerprint, Evidence)>) -> Vec<(Fingerprint, Evidence)> {
    if told.len() > MOST_TOLD {
        told.sort_by_key(|(request, evidence)| (std::cmp::Reverse(evidence.ended), *request));
        told.truncate(MOST_TOLD);
    }
    told
}
