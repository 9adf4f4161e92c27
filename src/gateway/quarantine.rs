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
//! is under way at many of them at once. So only servers count that ended under a run that had just begun,
//! without having been known to leave; half, where they had shown an event of the run; and only where no server
//! had survived the request for some seconds before, at any daemon. A deadly request has no survivors, and a
//! frequent sound one has some in every second. Nor does a server count whose end another request explains: a
//! frequent sound request is under way wherever a deadly one comes.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Servers that must have ended under a request, in halves. Two may end under a sound one by chance, both of
/// one attempt; with three, and the resending that is under way when the third ends, a deadly request takes
/// three or four. Where each of them shows an event first it takes six: no more than three beyond the third.
const PROOF_BLAME: u32 = 6;
/// Servers that must have ended under a request, in halves, for it to explain the ends of such servers as had
/// shown an event of another one: two, which chance rarely brings. Daemons that have just started hear each
/// other's first words up to 0.4 s late, so that a daemon may know less of a deadly request than of a sound one
/// that is under way wherever it comes.
const SUSPECT_BLAME: u32 = 4;
/// Time after the last server's end for which a request is remembered: the longest lease that the platform's
/// store gives, so that its record there lapses at about the same time.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// The same for what was seen of it: it lapses before what it proved does, so that the end of a quarantine is
/// not taken back by a daemon's last word.
const SUSPICION_TTL: Duration = Duration::from_secs(540);
/// Time for which a request that was released is not judged: other daemons learn of the release later and
/// tell meanwhile what they knew.
const RELEASE_TTL: Duration = Duration::from_secs(10);
/// Time for which a survivor speaks for a request. A sound one that is under way at three servers which end
/// together comes some times a second; one that turns deadly ends servers for so much longer.
const SURVIVAL_TTL: Duration = Duration::from_secs(3);
/// Requests of which survivors are remembered in such a time, at most; 24 bytes each.
const MAX_SURVIVORS: usize = 2_048;
/// Suspected requests that are remembered at most. A hall's loss leaves a daemon with some of its young runs.
const MAX_SUSPICIONS: usize = 256;
/// Suspected requests that a daemon, or a sum of several, tells at most, those under which most servers ended
/// first: some 30 bytes each.
pub(crate) const MAX_REPORTED: usize = 32;

/// What became of the servers that ran a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The starts of servers that ended as they began to run it, since one survived it, with how much each
    /// counts, in halves. Several daemons may have seen the same one.
    pub ended: BTreeMap<Tag, u32>,
    /// Whether a server lately survived it.
    pub survived: bool,
}

impl Evidence {
    /// How much counts against the request, in halves.
    fn blame(&self) -> u32 {
        self.ended.values().sum()
    }

    /// Of several requests that the same servers would prove, the one with the highest weight is looked at
    /// first: with most blame, and of those with as much the one with the fewest servers, that had come least
    /// far at each.
    fn precedence(&self) -> (u32, Reverse<usize>) {
        (self.blame(), Reverse(self.ended.len()))
    }

    /// Whether it proves that the request ends servers.
    fn is_proof(&self) -> bool {
        self.blame() >= PROOF_BLAME && !self.survived
    }

    /// Leaves out servers whose end another request explains: it had come no further there than this one.
    fn exclude_explained(&mut self, explained: &Evidence) {
        let counts = |server: &Tag, blame: &u32| explained.ended.get(server) < Some(blame);
        self.ended.retain(|server, blame| counts(server, blame));
    }

    /// Leaves out servers that had shown an event of this request, and none of another suspected one.
    fn exclude_begun(&mut self, suspect: &Evidence) {
        let counts = |server: &Tag, blame: &u32| {
            *blame >= RunProgress::NoEvents.blame()
                || suspect.ended.get(server) < Some(&RunProgress::NoEvents.blame())
        };
        self.ended.retain(|server, blame| counts(server, blame));
    }

    /// Whether it makes the request the likelier cause than one that had shown an event at the same server.
    fn is_suspect(&self) -> bool {
        self.blame() >= SUSPECT_BLAME && !self.survived
    }

    /// Takes in what another daemon saw.
    pub fn merge(&mut self, other: &Evidence) {
        for (server, blame) in &other.ended {
            let known = self.ended.entry(*server).or_default();
            *known = (*known).max(*blame);
        }
        self.survived |= other.survived;
    }
}

/// How far a run had come when its server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProgress {
    /// Nothing of its answer had come.
    NoEvents,
    /// Its first events had come.
    Begun,
}

impl RunProgress {
    /// How much the server's end counts against the request, in halves. All 42 servers that were seen to end
    /// under a deadly request had shown nothing of it; what has begun has most often met the end of a server by
    /// chance.
    fn blame(self) -> u32 {
        match self {
            RunProgress::NoEvents => 2,
            RunProgress::Begun => 1,
        }
    }
}

/// Servers that ended under a request at this daemon.
#[derive(Debug)]
struct Suspicion {
    /// The starts of the servers, and how much each counts, in halves.
    servers: BTreeMap<Tag, u32>,
    /// When the last of them ended.
    last: Instant,
}

/// When requests were last survived, by spans of time: the present one and the one before it.
#[derive(Debug, Default)]
struct Survivors {
    windows: [HashMap<Fingerprint, Instant>; 2],
    since: Option<Instant>,
}

impl Survivors {
    fn insert(&mut self, request: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let full = self.windows[0].len() >= MAX_SURVIVORS;
        if full || now.saturating_duration_since(since) >= SURVIVAL_TTL {
            self.windows.swap(0, 1);
            self.windows[0].clear();
            self.since = Some(now);
        }
        self.windows[0].insert(request, now);
    }

    fn contains_recent(&self, request: Fingerprint, now: Instant) -> bool {
        let last = self.windows.iter().filter_map(|window| window.get(&request)).max();
        last.is_some_and(|at| now.saturating_duration_since(*at) < SURVIVAL_TTL)
    }
}

/// See the module.
#[derive(Debug, Default)]
pub struct Quarantine {
    survivors: Survivors,
    suspicions: HashMap<Fingerprint, Suspicion>,
    /// What the other daemons told.
    peer_evidence: HashMap<Fingerprint, Evidence>,
    /// Requests that are kept back, and until when.
    quarantined: HashMap<Fingerprint, Instant>,
    /// Those that the store holds.
    stored: HashMap<Fingerprint, Instant>,
    /// Requests that were released, and when.
    released: HashMap<Fingerprint, Instant>,
    /// Proved requests of which this daemon saw a part and that are still to be written to the store.
    unsaved: Vec<Fingerprint>,
    /// Those whose record the store has lost.
    lost: Vec<Fingerprint>,
}

impl Quarantine {
    /// Notes that a server survived a run of a request: what ended before under it, ended for another reason.
    pub fn record_survived(&mut self, request: Fingerprint, now: Instant) {
        self.survivors.insert(request, now);
        self.suspicions.remove(&request);
        self.quarantined.remove(&request);
    }

    /// Notes that a server, known by the tag of its start, ended as it began to run a request. Says whether
    /// that proves that the request ends servers.
    pub fn record_ended(
        &mut self,
        request: Fingerprint,
        server: Tag,
        progress: RunProgress,
        now: Instant,
    ) -> bool {
        // Beside a survivor it must not count later either, when a service has had no server at all for longer
        // than the survivor speaks.
        let blame = if self.survivors.contains_recent(request, now) { 0 } else { progress.blame() };
        if self.suspicions.len() >= MAX_SUSPICIONS && !self.suspicions.contains_key(&request) {
            self.forget_oldest();
        }
        let suspicion = || Suspicion { servers: BTreeMap::new(), last: now };
        let suspicion = self.suspicions.entry(request).or_insert_with(suspicion);
        suspicion.last = now;
        // More than prove it need not be told.
        if suspicion.servers.len() < PROOF_BLAME as usize {
            suspicion.servers.entry(server).or_insert(blame);
        }
        self.quarantine_if_proved(request, now)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.suspicions.iter().min_by_key(|(_, suspicion)| suspicion.last);
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.suspicions.remove(&oldest);
        }
    }

    /// Takes over what the other daemons told. What was proved once stays so when one of them falls silent,
    /// but not when a server has survived it.
    pub fn set_peer_reports(&mut self, others: &HashMap<Fingerprint, Evidence>, now: Instant) {
        self.peer_evidence.clone_from(others);
        for (request, evidence) in others {
            if evidence.survived {
                self.suspicions.remove(request);
                self.quarantined.remove(request);
            }
            self.quarantine_if_proved(*request, now);
        }
    }

    /// What this daemon saw.
    fn own_evidence(&self, request: Fingerprint, now: Instant) -> Evidence {
        let ended = self.suspicions.get(&request).map(|suspicion| suspicion.servers.clone());
        let survived = self.survivors.contains_recent(request, now);
        Evidence { ended: ended.unwrap_or_default(), survived }
    }

    /// Keeps a request back from now on where that is proved and new.
    fn quarantine_if_proved(&mut self, request: Fingerprint, now: Instant) -> bool {
        let may_quarantine =
            self.quarantined_for(request, now).is_none() && !self.released.contains_key(&request);
        let proved = may_quarantine && self.is_proved(request, now);
        if proved {
            self.quarantined.insert(request, now + QUARANTINE_TTL);
            if self.suspicions.contains_key(&request) {
                self.unsaved.push(request);
            }
        }
        proved
    }

    /// Whether more servers ended under a request than other ones explain.
    fn is_proved(&self, request: Fingerprint, now: Instant) -> bool {
        let mut remaining = self.total_evidence(request, now);
        // Rare, so that what follows, which looks at all that is suspected, costs nothing on a sound day.
        if !remaining.is_proof() {
            return false;
        }
        let precedence = remaining.precedence();
        let suspected = self.suspicions.keys().chain(self.peer_evidence.keys());
        for other in suspected.filter(|other| **other != request) {
            let evidence = self.total_evidence(*other, now);
            let takes_precedence =
                evidence.precedence() > precedence || self.quarantined_for(*other, now).is_some();
            if takes_precedence && evidence.is_proof() {
                remaining.exclude_explained(&evidence);
            } else if evidence.is_suspect() {
                remaining.exclude_begun(&evidence);
            }
        }
        remaining.is_proof()
    }

    /// What became of the servers that ran a request, as far as any daemon told.
    fn total_evidence(&self, request: Fingerprint, now: Instant) -> Evidence {
        let mut all = self.own_evidence(request, now);
        if let Some(others) = self.peer_evidence.get(&request) {
            all.merge(others);
        }
        all
    }

    /// How long a request is still kept back; `None` where it may be sent.
    pub fn quarantined_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.quarantined.get(&request).max(self.stored.get(&request))?;
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// How many requests are kept back.
    pub fn count(&self, now: Instant) -> usize {
        let all = self
            .quarantined
            .iter()
            .chain(self.stored.iter().filter(|(r, _)| !self.quarantined.contains_key(r)));
        all.filter(|(_, until)| **until > now).count()
    }

    /// The store holds a record of a request.
    pub fn mark_stored(&mut self, request: Fingerprint, now: Instant) {
        self.stored.entry(request).or_insert(now + QUARANTINE_TTL);
    }

    /// The store has lost its record of a request, which is to be written again.
    pub fn mark_lost(&mut self, request: Fingerprint, now: Instant) {
        let until = self.stored.remove(&request).unwrap_or(now + QUARANTINE_TTL);
        self.quarantined.entry(request).or_insert(until);
        self.lost.push(request);
    }

    /// The store's record of a request is gone: it has lapsed, or an operator took it away. Whatever is known
    /// of the request is forgotten.
    pub fn release(&mut self, request: Fingerprint, now: Instant) {
        self.released.insert(request, now);
        self.stored.remove(&request);
        self.quarantined.remove(&request);
        self.suspicions.remove(&request);
        self.peer_evidence.remove(&request);
    }

    /// Whether any is kept back, or is still to be written to the store.
    pub fn is_empty(&self) -> bool {
        self.unsaved.is_empty()
            && self.lost.is_empty()
            && self.quarantined.is_empty()
            && self.stored.is_empty()
    }

    /// Requests that are still to be written to the store; each is given once.
    pub fn take_unsaved(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unsaved)
    }

    /// Requests whose record is to be written again; each is given once.
    pub fn take_lost(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.lost)
    }

    /// Whether a request should still be written to the store.
    pub fn is_unsaved(&self, request: Fingerprint, now: Instant) -> bool {
        self.quarantined.get(&request).is_some_and(|until| *until > now)
            && !self.stored.contains_key(&request)
    }

    /// What this daemon has seen of suspected requests, for the others.
    pub fn for_peers(&mut self, now: Instant) -> Vec<(Fingerprint, Evidence)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.suspicions.retain(|_, suspicion| age(suspicion.last) < SUSPICION_TTL);
        self.released.retain(|_, at| age(*at) < RELEASE_TTL);
        self.quarantined.retain(|_, until| *until > now);
        let peer_only =
            self.peer_evidence.keys().filter(|request| !self.suspicions.contains_key(request));
        let survived = peer_only.filter(|request| self.survivors.contains_recent(**request, now));
        let reported = self.suspicions.keys().chain(survived);
        let reported = reported.map(|request| (*request, self.own_evidence(*request, now)));
        top_suspects(reported.collect())
    }
}

/// The requests under which most servers ended, as many as are told.
pub(crate) fn top_suspects(
    mut reported: Vec<(Fingerprint, Evidence)>,
) -> Vec<(Fingerprint, Evidence)> {
    if reported.len() > MAX_REPORTED {
        reported.sort_by_key(|(request, evidence)| (Reverse(evidence.blame()), *request));
        reported.truncate(MAX_REPORTED);
    }
    reported
}
