//! Evidence that a request or a part of prompts crashes servers, or that it does not.

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::tag::Tag;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Servers that must have ended under a request, in halves. Two may end under a sound request by chance, both
/// in one attempt. With three, plus the retry that is already under way when the third ends, a deadly request
/// takes three or four servers. If each of them sends an event first, it takes six: at most three more than
/// the third.
const PROOF_BLAME: u32 = 6;
/// Servers that must have ended under a request, in halves, before it explains the end of servers that had
/// sent an event of another request: two, which is rarely a coincidence. The first heartbeats between daemons
/// that have just started arrive up to 0.4 s late, so a daemon may know less about a deadly request than
/// about a sound one that runs at the same servers.
const SUSPECT_BLAME: u32 = 4;
/// Highest number of suspected requests, and of suspected parts, in a report of one daemon or in a sum of
/// several, by the number of servers that ended; some 10 bytes for each server.
pub(crate) const MAX_REPORTED: usize = 32;

/// What happened to the servers that ran a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Servers that ended just after starting to run the request, since a server last survived it, each with
    /// its blame in halves. The tag identifies one process of a server, so that a process which several
    /// daemons saw counts once.
    pub ended: BTreeMap<Tag, u32>,
    /// Whether a server recently survived the request.
    pub survived: bool,
}

impl Evidence {
    /// Total blame of the request, in halves.
    pub(super) fn blame(&self) -> u32 {
        self.ended.values().sum()
    }

    /// Rank among requests that the end of the same servers would prove; the highest is considered first. That
    /// is the request with the most blame and, if equal, with the fewest servers, since its runs had then made
    /// less progress at each of them.
    pub(super) fn precedence(&self) -> (u32, Reverse<usize>) {
        (self.blame(), Reverse(self.ended.len()))
    }

    /// Whether this proves that the request crashes servers.
    pub(super) fn is_proof(&self) -> bool {
        self.blame() >= PROOF_BLAME && !self.survived
    }

    /// Removes servers whose end another request explains, which had made no more progress there than this one.
    pub(super) fn exclude_explained(&mut self, explained: &Evidence) {
        let counts = |server: &Tag, blame: &u32| explained.ended.get(server) < Some(blame);
        self.ended.retain(|server, blame| counts(server, blame));
    }

    /// Whether this explains the end of all servers of some other evidence.
    pub(super) fn explains(&self, other: &Evidence) -> bool {
        let mut blamed = other.ended.iter().filter(|(_, blame)| **blame > 0);
        blamed.all(|(server, blame)| self.ended.get(server) >= Some(blame))
    }

    /// Removes servers that had sent an event of this request but none of `suspect`.
    pub(super) fn exclude_begun(&mut self, suspect: &Evidence) {
        let counts = |server: &Tag, blame: &u32| {
            *blame >= RunProgress::NoEvents.blame()
                || suspect.ended.get(server) < Some(&RunProgress::NoEvents.blame())
        };
        self.ended.retain(|server, blame| counts(server, blame));
    }

    /// Whether this makes the request a likelier cause of a server's end than another one that had already had
    /// an event from that server.
    pub(super) fn is_suspect(&self) -> bool {
        self.blame() >= SUSPECT_BLAME && !self.survived
    }

    /// Whether this accounts for all servers of some other evidence.
    pub(super) fn covers(&self, other: &Evidence) -> bool {
        other.ended.keys().all(|server| self.ended.contains_key(server))
    }

    /// Adds the evidence of another daemon.
    pub fn merge(&mut self, other: &Evidence) {
        for (server, blame) in &other.ended {
            let known = self.ended.entry(*server).or_default();
            *known = (*known).max(*blame);
        }
        self.survived |= other.survived;
    }
}

/// The evidence against a part without the servers that one of these requests crashed. A request that never ran
/// without the part may have crashed them because of it.
pub(super) fn without_explained(mut part: Evidence, requests: &[Evidence]) -> Evidence {
    let total = part.clone();
    for request in requests.iter().filter(|request| !total.covers(request)) {
        part.exclude_explained(request);
    }
    part
}

/// Progress of a run when its server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProgress {
    /// No event of the response had arrived.
    NoEvents,
    /// The first events had arrived.
    Begun,
}

impl RunProgress {
    /// Blame for the server's end, in halves. All 42 servers that were observed to end under a deadly request
    /// had sent no event of it. A run that has begun mostly loses its server by coincidence.
    pub(super) fn blame(self) -> u32 {
        match self {
            RunProgress::NoEvents => 2,
            RunProgress::Begun => 1,
        }
    }
}

/// The [`MAX_REPORTED`] requests and as many parts with the most blame.
pub(crate) fn top_suspects(reported: Vec<(Fingerprint, Evidence)>) -> Vec<(Fingerprint, Evidence)> {
    let (parts, requests): (Vec<_>, Vec<_>) =
        reported.into_iter().partition(|(suspect, _)| suspect.is_part());
    let mut top = most_blamed(requests);
    top.extend(most_blamed(parts));
    top
}

fn most_blamed(mut reported: Vec<(Fingerprint, Evidence)>) -> Vec<(Fingerprint, Evidence)> {
    if reported.len() > MAX_REPORTED {
        reported.sort_by_key(|(request, evidence)| (Reverse(evidence.blame()), *request));
        reported.truncate(MAX_REPORTED);
    }
    reported
}
