//! Computes from daemons' log lines how late each daemon learned that a backend server is leaving, or put a
//! version of the configuration into force.
//!
//! A daemon's lag is the time from when the first daemon learned it to when this daemon did. Requests that it
//! sends to the server in between go to a server already known to be leaving, and those that it handles before a
//! version is in force are handled by one already replaced elsewhere. The longest lag shows how close the daemons
//! came to any bound on such requests.
//!
//! A lag is excused if the daemon had just started, or if it heard neither from the store nor from a peer
//! that did. A daemon that was cut off logs the gap only once its copy of the store is current again, so a
//! gap that is still open when the log ends is not known here.

use crate::lines::{Records, Run, Stamp, Stamped, records, runs};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// The quantile that [`Spread::high`] reports.
const HIGH_QUANTILE: f64 = 0.99;
/// A daemon counts as cut off from the store if it heard neither from the store nor from a peer that did for
/// longer than this, in milliseconds. Daemons treat the store as unavailable after the same time.
const STORE_UNREACHABLE_MS: u64 = 1_500;

/// What the lags are computed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Backend servers that leave.
    Servers,
    /// Versions of the configuration.
    Versions,
}

/// Why a daemon learned late, as far as its log shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It started, or its log begins, after the first daemon had learned. The lag counts from there.
    Started,
    /// It heard neither from the store nor from a peer that did.
    Unheard,
    /// It heard from the store or such a peer, but did not receive the changes that its copy of the store
    /// lacked.
    Behind,
    /// Its log shows no reason.
    Unexplained,
}

impl Cause {
    /// Returns the cause as tables show it.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Started => "just started",
            Cause::Unheard => "store unheard",
            Cause::Behind => "copy behind",
            Cause::Unexplained => "-",
        }
    }

    /// Returns whether the daemon could not have learned sooner.
    pub fn excused(self) -> bool {
        matches!(self, Cause::Started | Cause::Unheard)
    }
}

/// How late one daemon learned that one server is leaving, or put one version into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Lag {
    /// The server's id, or the version.
    pub server: String,
    /// The daemon's VM.
    pub vm: String,
    /// When the first daemon learned it, in milliseconds since the Unix epoch.
    pub first: u64,
    /// The lag of this daemon in milliseconds.
    pub late: u64,
    /// Why it was late.
    pub cause: Cause,
}

/// A summary of the unexcused lags for one server or version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The server's id, or the version.
    pub server: String,
    /// Number of unexcused lags, one for each run of a daemon.
    pub daemons: usize,
    /// Median lag in milliseconds.
    pub median: u64,
    /// Longest lag in milliseconds.
    pub longest: u64,
    /// VM of the daemon with the longest lag.
    pub slowest: String,
    /// Why that daemon was late.
    pub cause: Cause,
}

/// All lags found in a set of logs.
#[derive(Debug, Clone, Serialize)]
pub struct Lags {
    /// Each daemon's lag for each server or version, longest first.
    pub all: Vec<Lag>,
    /// Lines that are not a daemon's log record.
    pub skipped: usize,
}

/// Quantiles of the unexcused lags, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Number of lags.
    pub count: usize,
    /// The median.
    pub median: u64,
    /// The 99th percentile.
    pub high: u64,
    /// The maximum.
    pub longest: u64,
}

/// The fields of a log record that the lags are computed from.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(flatten)]
    stamp: Stamp,
    what: String,
    #[serde(default)]
    server: String,
    #[serde(default)]
    leaving: bool,
    /// Comma-separated ids of leaving servers, in a line that covers several servers. `gone_ids` likewise
    /// lists those that are gone.
    #[serde(default)]
    leaving_ids: String,
    #[serde(default)]
    gone_ids: String,
    /// The version of the configuration, a number; in other lines that of software, a text.
    #[serde(default)]
    version: Value,
    /// How long the daemon's copy of the store had not been confirmed as current.
    #[serde(default)]
    late_ms: u64,
    /// How long the daemon had heard from the store neither directly nor through a peer.
    #[serde(default)]
    unheard_ms: u64,
}

impl Stamped for Line {
    fn stamp(&self) -> &Stamp {
        &self.stamp
    }
}

impl Line {
    /// Returns whether the line says that its `server` is leaving or gone.
    fn reports_leaving(&self) -> bool {
        match self.what.as_str() {
            "backend server" => self.leaving,
            "backend server gone"
            | "a peer says that the server leaves"
            | "server says that it leaves" => true,
            _ => false,
        }
    }

    /// Returns the version of the configuration that the line says is in force.
    fn version_in_force(&self) -> Option<u64> {
        self.version.as_u64().filter(|_| self.what == "configuration in force")
    }

    /// Returns the ids of all servers that the line reports as leaving or gone.
    fn leaving_servers(&self) -> impl Iterator<Item = &str> {
        let one = self.reports_leaving().then_some(self.server.as_str());
        let listed = self.leaving_ids.split(',').chain(self.gone_ids.split(','));
        one.into_iter().chain(listed).filter(|id| !id.is_empty())
    }
}

/// A period in which a daemon's copy of the store was not confirmed as current, in wall-clock milliseconds.
#[derive(Debug)]
struct StalePeriod {
    from: u64,
    to: u64,
    /// Whether the daemon was cut off from the store for more than [`STORE_UNREACHABLE_MS`].
    unheard: bool,
}

impl Run<Line> {
    /// Maps each server to when this daemon first logged that it is leaving, in wall-clock milliseconds.
    fn learned_at(&self) -> HashMap<&str, u64> {
        let offset = self.offset();
        let mut learned_at = HashMap::new();
        for line in &self.lines {
            for server in line.leaving_servers() {
                learned_at.entry(server).or_insert(offset + line.stamp.up_ms);
            }
        }
        learned_at
    }

    /// Maps each of `versions` to when this daemon first logged that it or a later one is in force, in wall-clock
    /// milliseconds.
    fn in_force_at<'a>(&self, versions: &'a BTreeMap<u64, String>) -> HashMap<&'a str, u64> {
        let offset = self.offset();
        let mut in_force_at = HashMap::new();
        let mut reached = 0;
        for line in &self.lines {
            let Some(in_force) = line.version_in_force().filter(|version| *version >= reached)
            else {
                continue;
            };
            for version in versions.range(reached..=in_force).map(|(_, version)| version.as_str()) {
                in_force_at.entry(version).or_insert(offset + line.stamp.up_ms);
            }
            reached = in_force;
        }
        in_force_at
    }

    /// Returns the stale periods in this daemon's log. The daemon logs each when its copy is current again.
    fn stale_periods(&self) -> Vec<StalePeriod> {
        let offset = self.offset();
        let recoveries =
            self.lines.iter().filter(|l| l.what == "copy of the store is current again");
        let stale_period = |l: &Line| {
            let to = offset + l.stamp.up_ms;
            let unheard = l.unheard_ms > STORE_UNREACHABLE_MS;
            StalePeriod { from: to.saturating_sub(l.late_ms), to, unheard }
        };
        recoveries.map(stale_period).collect()
    }

    /// Computes this daemon's lag for a server. The first of all daemons learned at `first` that the server
    /// is leaving, this one at `learned_at`.
    fn lag(&self, server: &str, first: u64, learned_at: u64, stale_periods: &[StalePeriod]) -> Lag {
        let start = self.offset() + self.lines.first().map_or(0, |line| line.stamp.up_ms);
        let overlapping = || {
            stale_periods.iter().filter(|period| period.from <= learned_at && period.to >= first)
        };
        let cause = match () {
            () if start > first => Cause::Started,
            () if overlapping().any(|period| period.unheard) => Cause::Unheard,
            () if overlapping().next().is_some() => Cause::Behind,
            () => Cause::Unexplained,
        };
        let late = learned_at - first.max(start);
        Lag { server: server.into(), vm: self.vm.clone(), first, late, cause }
    }
}

/// Computes the lags from the log lines of any number of daemons. Each daemon's lines must be in the order in
/// which it wrote them.
pub fn lags<'a>(lines: impl Iterator<Item = &'a str>, subject: Subject) -> Lags {
    let Records { read, skipped } = records::<Line>(lines);
    let in_force = read.iter().filter_map(Line::version_in_force);
    let versions: BTreeMap<u64, String> = in_force.map(|v| (v, v.to_string())).collect();
    let runs = runs(read);
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    let learned_at: Vec<HashMap<&str, u64>> = match subject {
        Subject::Servers => runs.iter().map(Run::<Line>::learned_at).collect(),
        Subject::Versions => runs.iter().map(|run| run.in_force_at(&versions)).collect(),
    };
    for (server, at) in learned_at.iter().flatten() {
        let first = first.entry(server).or_insert(*at);
        *first = (*first).min(*at);
    }
    let mut all = Vec::new();
    for (run, learned_at) in runs.iter().zip(&learned_at) {
        let stale_periods = run.stale_periods();
        all.extend(
            learned_at
                .iter()
                .map(|(server, at)| run.lag(server, first[server], *at, &stale_periods)),
        );
    }
    all.sort_by(|a, b| (b.late, &a.server, &a.vm).cmp(&(a.late, &b.server, &b.vm)));
    Lags { all, skipped }
}

impl Lags {
    /// Returns the lags that are not excused, longest first.
    pub fn unexcused(&self) -> impl Iterator<Item = &Lag> {
        self.all.iter().filter(|lag| !lag.cause.excused())
    }

    /// Returns the quantiles of the unexcused lags, or `None` if there are none.
    pub fn spread(&self) -> Option<Spread> {
        let mut late: Vec<u64> = self.unexcused().map(|lag| lag.late).collect();
        late.reverse();
        let last = late.len().checked_sub(1)?;
        let high = (last as f64 * HIGH_QUANTILE) as usize;
        Some(Spread {
            count: late.len(),
            median: late[last / 2],
            high: late[high],
            longest: late[last],
        })
    }

    /// Summarizes the unexcused lags by server, longest lag first.
    pub fn rows(&self) -> Vec<Row> {
        let mut groups: BTreeMap<&str, Vec<&Lag>> = BTreeMap::new();
        for lag in self.unexcused() {
            groups.entry(&lag.server).or_default().push(lag);
        }
        // Each group keeps the order of `all`: longest lag first.
        let row = |(server, lags): (&str, Vec<&Lag>)| Row {
            server: server.into(),
            daemons: lags.len(),
            median: lags[lags.len() / 2].late,
            longest: lags[0].late,
            slowest: lags[0].vm.clone(),
            cause: lags[0].cause,
        };
        let mut rows: Vec<Row> = groups.into_iter().map(row).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.longest));
        rows
    }
}
