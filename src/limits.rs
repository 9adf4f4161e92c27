//! What all daemons together sent to servers that named a limit, from their own log lines.
//!
//! The most that was sent within a window, against what the limit in force then allows in it, is the margin to
//! whatever bound holds for that. Only what was sent by daemons that knew of the limit has a line.

use crate::lines::{Records, Stamp, Stamped, records, runs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was sent to one server in need.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The server's id.
    pub server: String,
    /// The least that it named, in requests a second.
    pub least: f64,
    /// Daemons that sent there.
    pub daemons: usize,
    /// Requests that they sent.
    pub sent: usize,
    /// From the first to the last of them, in milliseconds.
    pub lasted: u64,
    /// The most within the window.
    pub most: usize,
    /// The most as a part of what was named for the window, at the window where that is highest.
    pub part: f64,
}

/// All that was sent to servers in need.
#[derive(Debug, Clone, Serialize)]
pub struct Limits {
    /// A row for each server, the highest part first.
    pub rows: Vec<Row>,
    /// Lines without a daemon's record.
    pub skipped: usize,
}

#[derive(Debug, Deserialize)]
struct Line {
    #[serde(flatten)]
    stamp: Stamp,
    what: String,
    #[serde(default)]
    server: String,
    /// What the server takes, as the daemon knew it.
    per_second: Option<f64>,
}

impl Stamped for Line {
    fn stamp(&self) -> &Stamp {
        &self.stamp
    }
}

/// A request that went to a server in need.
struct SentRequest {
    /// By the time of day, in milliseconds.
    at: u64,
    vm: String,
    rate: f64,
}

/// Reads the lines of any number of daemons, each daemon's in its own order; counts within `window`
/// milliseconds.
pub fn limits<'a>(lines: impl Iterator<Item = &'a str>, window: u64) -> Limits {
    let Records { read, skipped } = records::<Line>(lines);
    let mut servers: BTreeMap<String, Vec<SentRequest>> = BTreeMap::new();
    for run in runs(read) {
        let offset = run.offset();
        for line in run.lines.into_iter().filter(|line| line.what == "sent to a server in need") {
            let Some(rate) = line.per_second else { continue };
            let sent = SentRequest { at: offset + line.stamp.up_ms, vm: line.stamp.vm, rate };
            servers.entry(line.server).or_default().push(sent);
        }
    }
    let mut rows: Vec<Row> =
        servers.into_iter().map(|(server, sent)| server_row(server, sent, window)).collect();
    rows.sort_by(|a, b| b.part.total_cmp(&a.part));
    Limits { rows, skipped }
}

fn server_row(server: String, mut sent: Vec<SentRequest>, window: u64) -> Row {
    sent.sort_by_key(|sent| sent.at);
    let sent_in_window = |i: usize| {
        let end = sent[i].at + window;
        sent[i..].iter().take_while(|other| other.at < end).count()
    };
    let allowed = |rate: f64| rate * window as f64 / 1_000.0;
    let fraction = |i: usize| sent_in_window(i) as f64 / allowed(sent[i].rate);
    let indices = 0..sent.len();
    let mut vms: Vec<&str> = sent.iter().map(|sent| sent.vm.as_str()).collect();
    vms.sort_unstable();
    vms.dedup();
    let (first, last) = (sent.first().map_or(0, |s| s.at), sent.last().map_or(0, |s| s.at));
    Row {
        server,
        least: sent.iter().map(|sent| sent.rate).fold(f64::INFINITY, f64::min),
        daemons: vms.len(),
        sent: sent.len(),
        lasted: last - first,
        most: indices.clone().map(sent_in_window).max().unwrap_or(0),
        part: indices.map(fraction).fold(0.0, f64::max),
    }
}
