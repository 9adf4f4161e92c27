//! Computes from daemons' log lines how many requests all daemons together sent to servers with a rate limit.
//!
//! The largest number of requests within a time window, compared with what the limit at that time allows,
//! shows how close the daemons came to any bound on such requests. A request is logged only if its daemon
//! knew of the limit, so others are not counted.

use crate::lines::{Records, Stamp, Stamped, records, runs};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The requests that were sent to one limited server.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The server's id.
    pub server: String,
    /// The server's lowest limit, in requests per second.
    pub least: f64,
    /// Number of daemons that sent requests to it.
    pub daemons: usize,
    /// Number of requests that they sent.
    pub sent: usize,
    /// Time from the first to the last of these requests, in milliseconds.
    pub lasted: u64,
    /// The largest number of requests within one window.
    pub most: usize,
    /// The highest ratio, over all windows, of the requests in a window to the number that the limit at its
    /// start allows. Above 1 the limit was exceeded.
    pub part: f64,
}

/// The requests that were sent to limited servers.
#[derive(Debug, Clone, Serialize)]
pub struct Limits {
    /// A row for each server, highest `part` first.
    pub rows: Vec<Row>,
    /// Lines that are not a daemon's log record.
    pub skipped: usize,
}

/// The fields of a log record that the rows are computed from.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(flatten)]
    stamp: Stamp,
    what: String,
    #[serde(default)]
    server: String,
    /// The server's limit in requests per second, as the daemon knew it.
    per_second: Option<f64>,
}

impl Stamped for Line {
    fn stamp(&self) -> &Stamp {
        &self.stamp
    }
}

/// A request that was sent to a limited server.
struct SentRequest {
    /// When it was sent, in wall-clock milliseconds since the Unix epoch.
    at: u64,
    vm: String,
    /// The server's limit in requests per second.
    rate: f64,
}

/// Computes the rows from the log lines of any number of daemons. Each daemon's lines must be in the order in
/// which it wrote them. `window` is the length of the time window in milliseconds.
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

/// Summarizes the requests to one server. A window of `window` milliseconds starts at each request.
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
