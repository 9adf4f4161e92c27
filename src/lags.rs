//! How late daemons learnt that a backend server leaves, from their own log lines.
//!
//! The first daemon that learns of a server's leaving sets the moment; every other one is so much
//! later than it. Work that a daemon sends to the server meanwhile reaches one that is known to
//! leave, so the longest lag is the margin to whatever bound holds for that.
//!
//! A lag is excused where the daemon had just started, or where it heard neither the store nor a peer
//! that did. What a daemon wrote when it was cut off is not in its lines before it is back.

use crate::lines::{Records, Run, Stamp, Stamped, records, runs};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Share of the lags that the high quantile of a report leaves out.
const HIGH_QUANTILE: f64 = 0.99;
/// Time without word of the store, in milliseconds, from which a daemon counts as cut off from it: what
/// the daemon itself takes for the store's absence.
const STORE_UNREACHABLE_MS: u64 = 1_500;

/// Why a daemon learnt late, as far as its lines tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It started, or its lines begin, after the first daemon had learnt; its lag counts from there.
    Started,
    /// It heard neither the store nor a peer that did.
    Unheard,
    /// It knew that its copy was behind and was not given what it lacked.
    Behind,
    /// Nothing in its lines explains it.
    Unexplained,
}

impl Cause {
    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Started => "just started",
            Cause::Unheard => "store unheard",
            Cause::Behind => "copy behind",
            Cause::Unexplained => "-",
        }
    }

    /// Whether the daemon could not have known sooner.
    pub fn excused(self) -> bool {
        matches!(self, Cause::Started | Cause::Unheard)
    }
}

/// How late one daemon learnt of one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Lag {
    /// The server's id.
    pub server: String,
    /// The daemon's VM.
    pub vm: String,
    /// When the first daemon had learnt, in milliseconds since the Unix epoch.
    pub first: u64,
    /// How much later this one did, in milliseconds.
    pub late: u64,
    /// Why.
    pub cause: Cause,
}

/// The lags at one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The server's id.
    pub server: String,
    /// Daemons that learnt of it.
    pub daemons: usize,
    /// Median lag in milliseconds, excused ones left out.
    pub median: u64,
    /// The longest of them.
    pub longest: u64,
    /// The daemon that it belongs to.
    pub slowest: String,
    /// Why that one was late.
    pub cause: Cause,
}

/// All lags of a set of logs.
#[derive(Debug, Clone, Serialize)]
pub struct Lags {
    /// Each daemon's lag at each server, the longest first.
    pub all: Vec<Lag>,
    /// Lines without a daemon's record.
    pub skipped: usize,
}

/// Quantiles of lags, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Lags that are counted.
    pub count: usize,
    /// Half of them are longer.
    pub median: u64,
    /// One in a hundred is longer.
    pub high: u64,
    /// None is longer.
    pub longest: u64,
}

#[derive(Debug, Deserialize)]
struct Line {
    #[serde(flatten)]
    stamp: Stamp,
    what: String,
    #[serde(default)]
    server: String,
    #[serde(default)]
    leaving: bool,
    /// Servers that leave, and that have gone, of a line on several: ids with commas between them.
    #[serde(default)]
    leaving_ids: String,
    #[serde(default)]
    gone_ids: String,
    /// How long the copy had not been confirmed.
    #[serde(default)]
    late_ms: u64,
    /// How long no word of the store had been heard.
    #[serde(default)]
    unheard_ms: u64,
}

impl Stamped for Line {
    fn stamp(&self) -> &Stamp {
        &self.stamp
    }
}

impl Line {
    fn reports_leaving(&self) -> bool {
        match self.what.as_str() {
            "backend server" => self.leaving,
            "backend server gone"
            | "a peer says that the server leaves"
            | "server says that it leaves" => true,
            _ => false,
        }
    }

    /// The servers of whose leaving it tells.
    fn leaving_servers(&self) -> impl Iterator<Item = &str> {
        let one = self.reports_leaving().then_some(self.server.as_str());
        let listed = self.leaving_ids.split(',').chain(self.gone_ids.split(','));
        one.into_iter().chain(listed).filter(|id| !id.is_empty())
    }
}

/// A time in which a daemon's copy of the store was not confirmed.
#[derive(Debug)]
struct StalePeriod {
    from: u64,
    to: u64,
    unheard: bool,
}

impl Run<Line> {
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

    /// The lag of this run at a server of which the first daemon learnt at `first`.
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

/// Reads the lines of any number of daemons, each daemon's in its own order.
pub fn lags<'a>(lines: impl Iterator<Item = &'a str>) -> Lags {
    let Records { read, skipped } = records::<Line>(lines);
    let runs = runs(read);
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    let learned_at: Vec<HashMap<&str, u64>> = runs.iter().map(Run::<Line>::learned_at).collect();
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
    /// Lags that nothing excuses, the longest first.
    pub fn unexcused(&self) -> impl Iterator<Item = &Lag> {
        self.all.iter().filter(|lag| !lag.cause.excused())
    }

    /// Their spread; `None` where there are none.
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

    /// A row for each server, the longest lag first.
    pub fn rows(&self) -> Vec<Row> {
        let mut groups: BTreeMap<&str, Vec<&Lag>> = BTreeMap::new();
        for lag in self.unexcused() {
            groups.entry(&lag.server).or_default().push(lag);
        }
        // Within a group the longest lag comes first.
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
