//! Lists the callers' attempts that a gateway's daemons lost, with time and cause, from their log lines.
//!
//! An attempt is lost if its stream was cut, if it ended without success, or if its daemon restarted before
//! the attempt ended. The lines of all daemons are read together and sorted by wall-clock time. Text before a
//! line's first brace is ignored.

use crate::lines::{Records, records};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Why an attempt was lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its server broke off the stream and was not known to be leaving.
    NoNotice,
    /// Its server left before the run's move to another server began.
    MoveNotBegun,
    /// Its server left after the run was copied at least once, but before its move was complete.
    MoveUnfinished,
    /// No other server had capacity for it.
    NoRoom,
    /// The shared retry budget was used up, so the run could not be moved.
    NoRepeat,
    /// Its daemon restarted while the attempt was in progress.
    DaemonGone,
    /// It ended without success, for the reason that the daemon logged.
    Ended(String),
}

impl Cause {
    /// Returns the cause as tables show it.
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
    /// Its route, or empty if no line names it.
    pub route: String,
    /// Why it was lost.
    pub cause: Cause,
    /// When it was lost, in milliseconds since the Unix epoch on the daemon's clock.
    pub at: u64,
}

/// A request is reported as a suspect if its attempts failed at this many servers or more. A request and its
/// retries rarely meet that many failures by chance.
const MIN_SUSPECT_SERVERS: usize = 3;

/// A request whose attempts failed at several servers. The request itself may be what crashes them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Suspect {
    /// The request's fingerprint.
    pub request: String,
    /// The servers that failed while they handled it.
    pub servers: BTreeSet<String>,
    /// The attempts in which they failed.
    pub attempts: BTreeSet<String>,
    /// When the last of them failed, in milliseconds since the Unix epoch on the daemon's clock.
    pub last: u64,
}

/// The lost attempts, and the totals to compare them with.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Ledger {
    /// Requests that failed at three or more servers, those with the most servers first.
    pub suspects: Vec<Suspect>,
    /// Lost attempts in order of time.
    pub losses: Vec<Loss>,
    /// Number of streams that began.
    pub begun: usize,
    /// Number of streams that completed.
    pub complete: usize,
    /// Lines that are not a daemon's log record.
    pub skipped: usize,
}

/// The losses of one route with one cause.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The route.
    pub route: String,
    /// The cause, as [`Cause::name`] returns it.
    pub cause: String,
    /// Number of lost attempts.
    pub count: usize,
    /// Times of the row's first and last loss, in seconds since the ledger's first loss.
    pub span: (f64, f64),
    /// The row's fraction of the weight of all lost attempts.
    pub share: f64,
}

/// The fields of a log record that the ledger is computed from.
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
    /// The request's fingerprint, in lines that report a failure at a server.
    #[serde(default)]
    request: String,
    #[serde(default)]
    server: String,
}

impl Line {
    /// Returns whether the request may have crashed its server: the server gave no answer or an incomplete
    /// one. Streams that were cut while the server was known to be leaving don't count, nor do error answers
    /// (`server_error`) and servers that stayed `silent`.
    fn may_have_ended_server(&self) -> bool {
        let broken = match self.what.as_str() {
            "failed at a server" => !matches!(self.why.as_str(), "server_error" | "silent"),
            "stream cut" | "stream broke off" => !self.leaving,
            _ => false,
        };
        broken && !self.request.is_empty() && !self.server.is_empty()
    }
}

/// What the lines so far say about an attempt that has not ended.
#[derive(Debug, Default)]
struct AttemptState {
    route: String,
    /// VM of the daemon that relays its stream.
    vm: Option<String>,
    /// Whether the run was copied to another server.
    copied: bool,
    /// Whether a copy failed because the other server had no capacity.
    no_room: bool,
    /// Whether a move failed because the retry budget was used up.
    no_repeat: bool,
}

impl AttemptState {
    /// Returns why its stream was cut. `leaving` is whether its server was known to be leaving.
    fn cut_cause(&self, leaving: bool) -> Cause {
        match self {
            _ if !leaving => Cause::NoNotice,
            AttemptState { no_repeat: true, .. } => Cause::NoRepeat,
            AttemptState { copied: true, .. } => Cause::MoveUnfinished,
            AttemptState { no_room: true, .. } => Cause::NoRoom,
            _ => Cause::MoveNotBegun,
        }
    }

    /// Clears the state of earlier moves once the run has moved: they don't explain a cut at the new server.
    fn reset_move(&mut self) {
        (self.copied, self.no_room, self.no_repeat) = (false, false, false);
    }
}

/// Builds the ledger from the log lines of any number of daemons.
pub fn ledger<'a>(lines: impl Iterator<Item = &'a str>) -> Ledger {
    let Records { mut read, skipped } = records::<Line>(lines);
    let mut ledger = Ledger { skipped, ..Ledger::default() };
    // The sort is stable, so lines of one daemon with the same time stay in the order in which it wrote them.
    read.sort_by_key(|line| line.unix_ms);
    ledger.suspects = suspects(&read);
    let mut attempts = HashMap::new();
    for line in read {
        ledger.process_line(&mut attempts, line);
    }
    ledger.losses.sort_by_key(|loss| loss.at);
    ledger
}

/// Returns the requests that failed at [`MIN_SUSPECT_SERVERS`] or more servers, those with the most servers
/// first.
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
    /// Updates the state of the line's attempt, and the ledger if the attempt ended.
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

    /// Records the attempts whose streams the daemon was relaying before it restarted as lost.
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

    /// Groups the losses by route and cause, largest share first. `weights` maps a route to the weight of one
    /// of its attempts; a route that is not listed has weight 1.
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
