//! A ledger of what a gateway's daemons lost, from their own log lines: which attempts of callers,
//! when, and for what reason.
//!
//! An attempt is lost where its stream was cut, where it ended without success, or where its daemon
//! started anew before it had ended. Lines of all daemons are read together, in any order; what
//! stands before the first brace of a line is passed over.

use crate::lines::{Records, records};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why an attempt was lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its server broke the stream off without having been known to leave.
    NoNotice,
    /// Its server left before the run's turn to be moved came.
    MoveNotBegun,
    /// Its server left while the run was being copied.
    MoveUnfinished,
    /// No other server had room for it.
    NoRoom,
    /// The shared budget for repeats was spent.
    NoRepeat,
    /// Its daemon started anew under it.
    DaemonGone,
    /// It ended without success for the reason that the daemon gave.
    Ended(String),
}

impl Cause {
    /// The name in tables.
    pub fn name(&self) -> &str {
        match self {
            Cause::NoNotice => "server gone without notice",
            Cause::MoveNotBegun => "server gone before the move began",
            Cause::MoveUnfinished => "server gone during the move",
            Cause::NoRoom => "no room elsewhere",
            Cause::NoRepeat => "no repeat left for the move",
            Cause::DaemonGone => "daemon gone",
            Cause::Ended(why) => why,
        }
    }
}

/// One lost attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// The caller's id of the attempt.
    pub id: String,
    /// Its route; empty where no line told it.
    pub route: String,
    /// Why.
    pub cause: Cause,
    /// When, in milliseconds since the Unix epoch on the daemon's clock.
    pub at: u64,
}

/// Servers that one request lost, in however many attempts, from which on it is told: chance seldom takes
/// that many from a request and its repeats.
const MIN_SUSPECT_SERVERS: usize = 3;

/// A request whose attempts lost several servers; it may be what ends them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Suspect {
    /// The request's fingerprint.
    pub request: String,
    /// The servers that it lost.
    pub servers: BTreeSet<String>,
    /// The attempts that lost them.
    pub attempts: BTreeSet<String>,
    /// When the last one was lost, in milliseconds since the Unix epoch on the daemon's clock.
    pub last: u64,
}

/// What was lost, and of how much.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Ledger {
    /// Requests that lost three servers or more, those that lost most first.
    pub suspects: Vec<Suspect>,
    /// Lost attempts in the order of their moments.
    pub losses: Vec<Loss>,
    /// Streams that began.
    pub begun: usize,
    /// Streams that ended well.
    pub complete: usize,
    /// Lines without a daemon's record.
    pub skipped: usize,
}

/// Losses of one route and cause.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The route.
    pub route: String,
    /// The cause's name.
    pub cause: String,
    /// Lost attempts.
    pub count: usize,
    /// Seconds from the first loss of the ledger to the first and to the last of the row.
    pub span: (f64, f64),
    /// Part of all lost weight; a route without a weight counts 1 for each attempt.
    pub share: f64,
}

#[derive(Debug, Deserialize)]
struct Line {
    what: String,
    vm: String,
    unix_ms: u64,
    #[serde(default)]
    id: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    why: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    leaving: bool,
    /// Fingerprint of the request, where a server was lost.
    #[serde(default)]
    request: String,
    #[serde(default)]
    server: String,
}

impl Line {
    /// Whether the request may have ended its server: no answer came, or none that was whole, from a server
    /// that was not known to leave.
    fn may_have_ended_server(&self) -> bool {
        let broken = match self.what.as_str() {
            "failed at a server" => !matches!(self.why.as_str(), "server_error" | "silent"),
            "stream cut" | "stream broke off" => !self.leaving,
            _ => false,
        };
        broken && !self.request.is_empty() && !self.server.is_empty()
    }
}

/// What is known of one attempt that has not ended.
#[derive(Debug, Default)]
struct AttemptState {
    route: String,
    /// The daemon that passes its stream on.
    vm: Option<String>,
    copied: bool,
    no_room: bool,
    no_repeat: bool,
}

impl AttemptState {
    fn cut_cause(&self, leaving: bool) -> Cause {
        match self {
            _ if !leaving => Cause::NoNotice,
            AttemptState { no_repeat: true, .. } => Cause::NoRepeat,
            AttemptState { copied: true, .. } => Cause::MoveUnfinished,
            AttemptState { no_room: true, .. } => Cause::NoRoom,
            _ => Cause::MoveNotBegun,
        }
    }

    /// The run has a new server: what was tried before explains nothing there.
    fn reset_move(&mut self) {
        (self.copied, self.no_room, self.no_repeat) = (false, false, false);
    }
}

/// Reads the lines of any number of daemons.
pub fn ledger<'a>(lines: impl Iterator<Item = &'a str>) -> Ledger {
    let Records { mut read, skipped } = records::<Line>(lines);
    let mut ledger = Ledger { skipped, ..Ledger::default() };
    // Stable: the lines of one daemon stay in the order in which it wrote them.
    read.sort_by_key(|line| line.unix_ms);
    ledger.suspects = suspects(&read);
    let mut attempts = HashMap::new();
    for line in read {
        ledger.process_line(&mut attempts, line);
    }
    ledger.losses.sort_by_key(|loss| loss.at);
    ledger
}

/// Requests that lost several servers, those that lost most first.
fn suspects(lines: &[Line]) -> Vec<Suspect> {
    let mut by_request: BTreeMap<&str, Suspect> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.may_have_ended_server()) {
        let suspect = by_request.entry(&line.request).or_default();
        suspect.request.clone_from(&line.request);
        suspect.servers.insert(line.server.clone());
        suspect.attempts.insert(line.id.clone());
        suspect.last = suspect.last.max(line.unix_ms);
    }
    let suspected = by_request.into_values().filter(|s| s.servers.len() >= MIN_SUSPECT_SERVERS);
    let mut suspects: Vec<Suspect> = suspected.collect();
    suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.servers.len()));
    suspects
}

impl Ledger {
    fn process_line(&mut self, attempts: &mut HashMap<String, AttemptState>, line: Line) {
        if line.what == "starting" {
            return self.daemon_started(attempts, &line);
        }
        if line.id.is_empty() {
            return;
        }
        let attempt = attempts.entry(line.id.clone()).or_default();
        if !line.route.is_empty() {
            attempt.route = line.route.clone();
        }
        let loss_cause = match line.what.as_str() {
            "stream begun" => {
                self.begun += 1;
                attempt.vm = Some(line.vm);
                return;
            }
            "copy of a run" => {
                attempt.copied |= line.outcome == "made";
                attempt.no_room |= line.outcome.starts_with("NoRoom");
                return;
            }
            "run not moved" => {
                attempt.no_repeat |= line.why == "no_repeat_left";
                return;
            }
            "run moved" => return attempt.reset_move(),
            "stream complete" => {
                self.complete += 1;
                None
            }
            "caller left" => None,
            "stream cut" => Some(attempt.cut_cause(line.leaving)),
            "ended without success" | "refused unread" => Some(Cause::Ended(line.why)),
            "out of time" => Some(Cause::Ended("out of time".into())),
            _ => return,
        };
        let attempt = attempts.remove(&line.id).unwrap_or_default();
        if let Some(cause) = loss_cause {
            self.losses.push(Loss { id: line.id, route: attempt.route, cause, at: line.unix_ms });
        }
    }

    /// Whatever the daemon was passing on is lost.
    fn daemon_started(&mut self, attempts: &mut HashMap<String, AttemptState>, line: &Line) {
        attempts.retain(|id, attempt| {
            let lost = attempt.vm.as_ref() == Some(&line.vm);
            if lost {
                let (id, route) = (id.clone(), attempt.route.clone());
                self.losses.push(Loss { id, route, cause: Cause::DaemonGone, at: line.unix_ms });
            }
            !lost
        });
    }

    /// The losses by route and cause, the heaviest first. `weights` gives what one attempt of a route
    /// is worth.
    pub fn rows(&self, weights: &BTreeMap<String, f64>) -> Vec<Row> {
        let first = self.losses.first().map_or(0, |loss| loss.at);
        let weight = |route: &str| weights.get(route).copied().unwrap_or(1.0);
        let all: f64 = self.losses.iter().map(|loss| weight(&loss.route)).sum();
        let mut groups: BTreeMap<(&str, &Cause), Vec<&Loss>> = BTreeMap::new();
        for loss in &self.losses {
            groups.entry((&loss.route, &loss.cause)).or_default().push(loss);
        }
        let seconds = |loss: Option<&&Loss>| loss.map_or(0.0, |l| (l.at - first) as f64 / 1_000.0);
        let mut rows: Vec<Row> = groups
            .into_iter()
            .map(|((route, cause), losses)| Row {
                route: route.into(),
                cause: cause.name().into(),
                count: losses.len(),
                span: (seconds(losses.first()), seconds(losses.last())),
                share: losses.len() as f64 * weight(route) / all,
            })
            .collect();
        rows.sort_by(|a, b| b.share.total_cmp(&a.share));
        rows
    }
}
