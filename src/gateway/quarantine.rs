//! Quarantine for requests that crash the servers which run them, and for parts of prompts that do.
//!
//! A caller that lost its response sends the request again, through any daemon, and each attempt tries as
//! many servers as its route allows. One deadly request thus crashes servers as fast as they start: two for
//! each attempt, along with everything else that runs there. A request is identified by its [`Fingerprint`],
//! across attempts and daemons. Daemons add up their evidence through heartbeats, which takes a fraction of a
//! second. Proved requests are also written to the store, since a daemon that restarts forgets its evidence.
//!
//! Coincidence must not count as proof. Servers also end for other reasons, and when a hall is lost, a
//! frequent request is running at many of its servers. So a server counts only if it ended under a run that
//! had just begun, and was not known to leave; it counts half if it had sent an event of the run; and it does
//! not count if a server, at any daemon, survived the request within the last few seconds. A deadly request
//! has no survivors, while a frequent sound one has some every second. A server whose end another request
//! explains does not count either: a frequent sound request is running wherever a deadly one arrives.
//!
//! A part of a prompt may crash servers whatever else the request holds, so that no two of the requests are
//! alike. The same evidence is kept for each shared part of the prompts of lost runs, under a
//! [fingerprint](Fingerprint::is_part) of its own. Sound requests that share the other parts survive and clear
//! these. A part is not accused while one request accounts for all of its servers. While other parts have met
//! the same servers, it is accused together with them: only requests that have all of them are kept back, until
//! a run clears the others.

mod evidence;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::tag::Tag;
pub(crate) use evidence::top_suspects;
use evidence::without_explained;
pub use evidence::{Evidence, RunProgress};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Time for which a request stays in quarantine. This is the longest lease that the platform's store grants,
/// so the record in the store expires at about the same time.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// Time after the last server's end for which evidence is kept. It expires before the quarantine does, so
/// that a daemon's last report does not renew a quarantine that has just ended.
const SUSPICION_TTL: Duration = Duration::from_secs(540);
/// Time for which a released request is not judged again: other daemons learn of the release later, and
/// meanwhile still report their evidence.
const RELEASE_TTL: Duration = Duration::from_secs(10);
/// Time for which a survivor clears a request. A sound request that runs at three servers which end together
/// arrives several times a second; a request that turns deadly crashes servers for this much longer.
const SURVIVAL_TTL: Duration = Duration::from_secs(3);
/// Highest number of requests and parts with survivors that are remembered per [`SURVIVAL_TTL`]; 24 bytes each.
const MAX_SURVIVORS: usize = 8_192;
/// Highest number of suspected requests that are remembered. The loss of a hall leaves a daemon with some of
/// that hall's runs that had just begun, each with the parts of its prompt.
const MAX_SUSPICIONS: usize = 1_024;
/// Highest number of servers that a daemon counts against a suspect. It exceeds what is needed as proof, since
/// other runs are under way by then: a server that is missing here would count against their other parts only.
const MAX_SERVERS: usize = 16;

/// Servers that ended under a request at this daemon.
#[derive(Debug)]
struct Suspicion {
    /// Tags of the servers' starts, each with its blame in halves.
    servers: BTreeMap<Tag, u32>,
    /// When the last of them ended.
    last_ended: Instant,
}

/// When each request was last survived, in two time windows: the current one and the previous one.
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

/// Evidence against requests, and the requests in quarantine; see the module documentation.
#[derive(Debug, Default)]
pub struct Quarantine {
    survivors: Survivors,
    suspicions: HashMap<Fingerprint, Suspicion>,
    /// Evidence that the other daemons reported.
    peer_evidence: HashMap<Fingerprint, Evidence>,
    /// Requests that are in quarantine, and until when.
    quarantined: HashMap<Fingerprint, Instant>,
    /// The other parts with which a part in quarantine is accused together; none if it is accused alone.
    accomplices: BTreeMap<Fingerprint, BTreeSet<Fingerprint>>,
    /// The evidence on which each part is in quarantine.
    grounds: BTreeMap<Fingerprint, Evidence>,
    /// Requests with a record in the store, and until when it keeps them in quarantine.
    stored: HashMap<Fingerprint, Instant>,
    /// Requests that were released, and when.
    released: HashMap<Fingerprint, Instant>,
    /// Proved requests that this daemon has evidence of, still to be written to the store.
    unsaved: Vec<Fingerprint>,
    /// Requests whose record the store has lost.
    lost: Vec<Fingerprint>,
}

impl Quarantine {
    /// Records that a server survived a run of a request, which clears the request: the servers that ended
    /// under it before did so for another reason.
    pub fn record_survived(&mut self, request: Fingerprint, now: Instant) {
        self.survivors.insert(request, now);
        self.clear(request);
    }

    /// Clears what servers survived according to other daemons.
    pub fn clear_survived<'a>(
        &mut self,
        reported: impl Iterator<Item = &'a (Fingerprint, Evidence)>,
    ) {
        let survived = reported.filter(|(_, evidence)| evidence.survived);
        survived.for_each(|(suspect, _)| self.clear(*suspect));
    }

    /// Drops the evidence against a request or a part. Parts that were accused together with it remain accused.
    fn clear(&mut self, suspect: Fingerprint) {
        self.suspicions.remove(&suspect);
        self.quarantined.remove(&suspect);
        self.accomplices.remove(&suspect);
        self.grounds.remove(&suspect);
        let parts: Vec<Fingerprint> = self.accomplices.keys().copied().collect();
        for part in parts {
            let mut others = self.accomplices[&part].clone();
            if others.remove(&suspect) {
                self.accuse(part, others);
            }
        }
    }

    /// Whether any daemon has evidence against a request or a part.
    pub fn is_suspected(&self, suspect: Fingerprint) -> bool {
        let by_peers =
            self.peer_evidence.get(&suspect).is_some_and(|known| !known.ended.is_empty());
        by_peers || self.suspicions.contains_key(&suspect)
    }

    /// Records that a server ended just after starting to run a request, given as all that may be the cause: the
    /// request and the shared parts of its prompt. `server` is the tag of its process. Returns what this proves.
    pub fn record_crash(
        &mut self,
        suspects: &[Fingerprint],
        server: Tag,
        progress: RunProgress,
        now: Instant,
    ) -> Vec<Fingerprint> {
        // None is judged before all have the server: they are compared with each other.
        for suspect in suspects {
            self.add_ended(*suspect, server, progress, now);
        }
        self.discount_explained(suspects, now);
        let proved = suspects.iter().filter(|suspect| self.quarantine_if_proved(**suspect, now));
        let proved = proved.copied().collect();
        self.update_accomplices(now);
        proved
    }

    fn add_ended(
        &mut self,
        request: Fingerprint,
        server: Tag,
        progress: RunProgress,
        now: Instant,
    ) {
        // With a recent survivor the blame is zero for good. If it were decided later, it would count once
        // the survivor has expired, which happens when a service has had no servers for longer than that.
        let blame = if self.survivors.contains_recent(request, now) { 0 } else { progress.blame() };
        if self.suspicions.len() >= MAX_SUSPICIONS && !self.suspicions.contains_key(&request) {
            self.forget_oldest();
        }
        let suspicion = || Suspicion { servers: BTreeMap::new(), last_ended: now };
        let suspicion = self.suspicions.entry(request).or_insert_with(suspicion);
        suspicion.last_ended = now;
        if suspicion.servers.len() < MAX_SERVERS {
            suspicion.servers.entry(server).or_insert(blame);
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.suspicions.iter().min_by_key(|(_, suspicion)| suspicion.last_ended);
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.suspicions.remove(&oldest);
        }
    }

    /// Replaces the evidence of the other daemons. A proved request stays in quarantine when one of them no
    /// longer reports, but not when a server has survived it.
    pub fn set_peer_reports(
        &mut self,
        peer_evidence: &HashMap<Fingerprint, Evidence>,
        now: Instant,
    ) {
        let changed = self.peer_evidence != *peer_evidence;
        self.peer_evidence.clone_from(peer_evidence);
        let survived = peer_evidence.iter().filter(|(_, evidence)| evidence.survived);
        survived.for_each(|(suspect, _)| self.clear(*suspect));
        // Proved requests explain servers that parts have met.
        let (parts, requests): (Vec<_>, Vec<_>) =
            peer_evidence.keys().copied().partition(|suspect: &Fingerprint| suspect.is_part());
        for suspect in requests.into_iter().chain(parts) {
            self.quarantine_if_proved(suspect, now);
        }
        if changed {
            self.release_explained(now);
            let suspects: Vec<Fingerprint> = self.suspicions.keys().copied().collect();
            self.discount_explained(&suspects, now);
            self.update_accomplices(now);
        }
    }

    /// Discounts servers that proved requests crashed from this daemon's evidence against parts, for good: what
    /// other daemons report of a request is lost when they stop.
    fn discount_explained(&mut self, suspects: &[Fingerprint], now: Instant) {
        let proved = self.proved_requests(now);
        if proved.is_empty() {
            return;
        }
        for part in suspects.iter().filter(|suspect| suspect.is_part()) {
            let unexplained = without_explained(self.total_evidence(*part, now), &proved);
            let explained = |server: &Tag| !unexplained.ended.contains_key(server);
            let servers = self.suspicions.get_mut(part).map(|suspicion| &mut suspicion.servers);
            for (_, blame) in servers.into_iter().flatten().filter(|(server, _)| explained(server))
            {
                *blame = 0;
            }
        }
    }

    /// Evidence of this daemon.
    fn own_evidence(&self, request: Fingerprint, now: Instant) -> Evidence {
        let ended = self.suspicions.get(&request).map(|suspicion| suspicion.servers.clone());
        let survived = self.survivors.contains_recent(request, now);
        Evidence { ended: ended.unwrap_or_default(), survived }
    }

    /// Puts a request in quarantine if it is newly proved. Returns whether it was.
    fn quarantine_if_proved(&mut self, request: Fingerprint, now: Instant) -> bool {
        let may_quarantine =
            self.quarantined_for(request, now).is_none() && !self.released.contains_key(&request);
        let proved = may_quarantine && self.is_proved(request, now);
        if proved {
            self.quarantined.insert(request, now + QUARANTINE_TTL);
            if request.is_part() {
                self.grounds.insert(request, self.total_evidence(request, now));
            }
            self.accuse(request, self.explaining_parts(request, now));
        }
        proved
    }

    /// Releases parts that were put in quarantine before it was proved that a request explains the crashes.
    fn release_explained(&mut self, now: Instant) {
        let proved = self.proved_requests(now);
        let is_explained =
            |evidence: &Evidence| !without_explained(evidence.clone(), &proved).is_proof();
        let grounds = self.grounds.iter().filter(|(part, _)| !self.stored.contains_key(part));
        let explained: Vec<Fingerprint> =
            grounds.filter(|(_, evidence)| is_explained(evidence)).map(|(part, _)| *part).collect();
        for part in explained {
            self.quarantined.remove(&part);
            self.accomplices.remove(&part);
            self.grounds.remove(&part);
        }
    }

    /// Determines anew what the parts in quarantine are accused together with. The same crash is reported for one
    /// run after the other, so a part that explains it may seem to lack a server at first.
    fn update_accomplices(&mut self, now: Instant) {
        let quarantined = self.quarantined.keys().filter(|suspect| suspect.is_part());
        let parts: Vec<Fingerprint> =
            quarantined.filter(|part| !self.stored.contains_key(part)).copied().collect();
        for part in parts {
            let others = self.explaining_parts(part, now);
            if self.total_evidence(part, now).is_proof()
                && self.accomplices.get(&part).cloned().unwrap_or_default() != others
            {
                self.accuse(part, others);
            }
        }
    }

    /// Sets what a suspect is accused together with. One that is accused alone, and of which this daemon has
    /// evidence, is to be written to the store.
    fn accuse(&mut self, suspect: Fingerprint, others: BTreeSet<Fingerprint>) {
        self.accomplices.remove(&suspect);
        if !others.is_empty() {
            self.accomplices.insert(suspect, others);
        } else if self.suspicions.contains_key(&suspect) {
            self.unsaved.push(suspect);
        }
    }

    /// Whether enough servers ended under a request, or a part of prompts, that nothing else explains.
    fn is_proved(&self, suspect: Fingerprint, now: Instant) -> bool {
        match suspect.is_part() {
            true => self.is_proved_part(suspect, now),
            false => self.is_proved_request(suspect, now),
        }
    }

    fn is_proved_part(&self, part: Fingerprint, now: Instant) -> bool {
        let total = self.total_evidence(part, now);
        if !total.is_proof() {
            return false;
        }
        let mut requests = self.others(part, now).filter(|(other, _)| !other.is_part());
        if requests.any(|(_, evidence)| evidence.covers(&total)) {
            return false;
        }
        let proved = self.proved_requests(now);
        let total = without_explained(total, &proved);
        let mut remaining = total.clone();
        for (other, evidence) in self.others(part, now).filter(|(other, _)| other.is_part()) {
            let evidence = without_explained(evidence, &proved);
            let is_tied = evidence.explains(&total) && total.explains(&evidence);
            if !is_tied
                && (self.quarantined_for(other, now).is_some()
                    || (evidence.precedence() > total.precedence() && evidence.is_proof()))
            {
                remaining.exclude_explained(&evidence);
            }
        }
        remaining.is_proof()
    }

    /// Evidence of the requests in quarantine, as far as it is still known.
    fn proved_requests(&self, now: Instant) -> Vec<Evidence> {
        let known = self.quarantined.keys().chain(self.stored.keys());
        let requests = known.filter(|suspect| !suspect.is_part());
        requests.map(|request| self.total_evidence(*request, now)).collect()
    }

    /// Other parts that have met all servers of a part, and no survivor; none for a request.
    fn explaining_parts(&self, part: Fingerprint, now: Instant) -> BTreeSet<Fingerprint> {
        if !part.is_part() {
            return BTreeSet::new();
        }
        let total = without_explained(self.total_evidence(part, now), &self.proved_requests(now));
        let others = self.others(part, now).filter(|(other, _)| other.is_part());
        let explaining =
            others.filter(|(_, evidence)| !evidence.survived && evidence.explains(&total));
        explaining.map(|(other, _)| other).collect()
    }

    /// All other suspects with the evidence of all daemons. One that several daemons suspect may come twice.
    fn others(
        &self,
        suspect: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = (Fingerprint, Evidence)> {
        let all = self.suspicions.keys().chain(self.peer_evidence.keys()).copied();
        all.filter(move |other| *other != suspect)
            .map(move |other| (other, self.total_evidence(other, now)))
    }

    fn is_proved_request(&self, request: Fingerprint, now: Instant) -> bool {
        let mut remaining = self.total_evidence(request, now);
        // Proof is rare, so the loop over all suspected requests below costs nothing in normal operation.
        if !remaining.is_proof() {
            return false;
        }
        let precedence = remaining.precedence();
        for (other, evidence) in self.others(request, now) {
            // A part with more blame than a request that has it may be innocent, unless it is proved.
            let has_more = !other.is_part() && evidence.precedence() > precedence;
            let takes_precedence = has_more || self.quarantined_for(other, now).is_some();
            if takes_precedence && evidence.is_proof() {
                remaining.exclude_explained(&evidence);
            } else if evidence.is_suspect() {
                remaining.exclude_begun(&evidence);
            }
        }
        remaining.is_proof()
    }

    /// Evidence of all daemons.
    fn total_evidence(&self, request: Fingerprint, now: Instant) -> Evidence {
        let mut all = self.own_evidence(request, now);
        if let Some(others) = self.peer_evidence.get(&request) {
            all.merge(others);
        }
        all
    }

    /// What keeps a request from servers, of all that may be the cause of a crash, and for how long. A part that
    /// is accused together with others counts only where all of them are present.
    pub fn reason_to_refuse(
        &self,
        suspects: &[Fingerprint],
        now: Instant,
    ) -> Option<(Fingerprint, Duration)> {
        suspects.iter().find_map(|suspect| {
            let left = self.quarantined_for(*suspect, now)?;
            let others = self.accomplices.get(suspect);
            let applies = others.is_none_or(|others| others.iter().all(|o| suspects.contains(o)));
            applies.then_some((*suspect, left))
        })
    }

    /// Remaining time in quarantine; `None` if the request may be sent.
    pub fn quarantined_for(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.quarantined.get(&request).max(self.stored.get(&request))?;
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Number of requests in quarantine.
    pub fn count(&self, now: Instant) -> usize {
        let all = self
            .quarantined
            .iter()
            .chain(self.stored.iter().filter(|(r, _)| !self.quarantined.contains_key(r)));
        all.filter(|(_, until)| **until > now).count()
    }

    /// Records that the store holds a record of the request. Only parts that are accused alone are written there.
    pub fn mark_stored(&mut self, request: Fingerprint, now: Instant) {
        self.accomplices.remove(&request);
        self.stored.entry(request).or_insert(now + QUARANTINE_TTL);
    }

    /// Records that the store has lost its record of the request, so that it is written again.
    pub fn mark_lost(&mut self, request: Fingerprint, now: Instant) {
        let until = self.stored.remove(&request).unwrap_or(now + QUARANTINE_TTL);
        self.quarantined.entry(request).or_insert(until);
        self.lost.push(request);
    }

    /// Forgets all about a request: its record in the store has expired or was deleted by an operator.
    pub fn release(&mut self, request: Fingerprint, now: Instant) {
        self.released.insert(request, now);
        self.stored.remove(&request);
        self.clear(request);
        self.peer_evidence.remove(&request);
    }

    /// Whether nothing is in quarantine or still to be written to the store.
    pub fn is_empty(&self) -> bool {
        self.unsaved.is_empty()
            && self.lost.is_empty()
            && self.quarantined.is_empty()
            && self.stored.is_empty()
    }

    /// Takes the requests that are to be written to the store; each is returned once.
    pub fn take_unsaved(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unsaved)
    }

    /// Takes the requests whose record is to be written again; each is returned once.
    pub fn take_lost(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.lost)
    }

    /// Whether a request, or a part that is accused alone, still has to be written to the store.
    pub fn is_unsaved(&self, request: Fingerprint, now: Instant) -> bool {
        self.quarantined.get(&request).is_some_and(|until| *until > now)
            && !self.stored.contains_key(&request)
            && !self.accomplices.contains_key(&request)
    }

    /// This daemon's evidence on suspected requests, for its peers.
    pub fn for_peers(&mut self, now: Instant) -> Vec<(Fingerprint, Evidence)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.suspicions.retain(|_, suspicion| age(suspicion.last_ended) < SUSPICION_TTL);
        self.released.retain(|_, at| age(*at) < RELEASE_TTL);
        self.quarantined.retain(|_, until| *until > now);
        let quarantined = &self.quarantined;
        self.accomplices.retain(|part, _| quarantined.contains_key(part));
        self.grounds.retain(|part, _| quarantined.contains_key(part));
        let peer_only =
            self.peer_evidence.keys().filter(|request| !self.suspicions.contains_key(request));
        let survived = peer_only.filter(|request| self.survivors.contains_recent(**request, now));
        let reported = self.suspicions.keys().chain(survived);
        let reported = reported.map(|request| (*request, self.own_evidence(*request, now)));
        top_suspects(reported.collect())
    }
}
