//! Tables for the terminal.

use crate::lags::{Lags, Subject};
use crate::limits::Limits;
use crate::losses::{Ledger, Row};
use crate::measure::{Figures, MEASURES, Verdict};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The measures of one run, a column for each policy.
pub fn figures(run: &BTreeMap<String, Figures>) -> String {
    let mut text = String::new();
    let names: Vec<&String> = run.keys().collect();
    let _ = write!(text, "{:<28}", "measure");
    for name in &names {
        let _ = write!(text, "{name:>14}");
    }
    text.push('\n');
    for measure in MEASURES {
        let _ = write!(text, "{measure:<28}");
        for name in &names {
            let figure = run[*name].get(measure).copied().unwrap_or(0.0);
            let _ = write!(text, "{figure:>14.1}");
        }
        text.push('\n');
    }
    text
}

/// The stated outcomes, a line each.
pub fn verdicts(verdicts: &[Verdict]) -> String {
    let mut text = String::new();
    for v in verdicts {
        let word = if v.holds { "holds" } else { "FAILS" };
        let _ = writeln!(
            text,
            "{word}  {} of {}: {:.1}, stated {:.1}",
            v.measure, v.policy, v.figure, v.bound
        );
    }
    text
}

/// A ledger of losses: a row for each route and cause, the heaviest first.
pub fn losses(ledger: &Ledger, rows: &[Row]) -> String {
    let cells = |row: &Row| {
        let span = format!("{:.1} to {:.1}", row.span.0, row.span.1);
        let share = format!("{:.1}%", row.share * 100.0);
        vec![row.route.clone(), row.cause.clone(), row.count.to_string(), share, span]
    };
    let heading = ["route", "cause", "lost", "share", "seconds"];
    let mut text = table(&heading, &rows.iter().map(cells).collect::<Vec<_>>());
    let Ledger { begun, complete, skipped, .. } = ledger;
    let _ = writeln!(
        text,
        "{begun} streams began, {complete} were complete; {skipped} lines had no record"
    );
    for suspect in &ledger.suspects {
        let (request, servers) = (&suspect.request, suspect.servers.len());
        let attempts = suspect.attempts.len();
        let _ = writeln!(text, "request {request} lost {servers} servers in {attempts} attempts");
    }
    text
}

/// Lags: a row for each server or version, the longest first, and their spread.
pub fn lags(lags: &Lags, subject: Subject) -> String {
    let seconds = |ms: u64| format!("{:.2}", ms as f64 / 1_000.0);
    let cells = |row: crate::lags::Row| {
        let (median, longest) = (seconds(row.median), seconds(row.longest));
        let cause = row.cause.name().to_string();
        vec![row.server, row.daemons.to_string(), median, longest, row.slowest, cause]
    };
    let subject = match subject {
        Subject::Servers => "server",
        Subject::Versions => "version",
    };
    let heading = [subject, "daemons", "median s", "longest s", "slowest", "cause"];
    let mut text = table(&heading, &lags.rows().into_iter().map(cells).collect::<Vec<_>>());
    let excused = lags.all.len() - lags.unexcused().count();
    if let Some(spread) = lags.spread() {
        let (median, high) = (seconds(spread.median), seconds(spread.high));
        let (count, longest) = (spread.count, seconds(spread.longest));
        let _ = writeln!(text, "{count} lags: median {median}, p99 {high}, longest {longest} s");
    }
    let _ = writeln!(text, "{excused} excused; {} lines had no record", lags.skipped);
    text
}

/// What was sent to servers in need, a row each.
pub fn limits(limits: &Limits) -> String {
    let cells = |row: &crate::limits::Row| {
        let seconds = format!("{:.1}", row.lasted as f64 / 1_000.0);
        let (least, part) = (format!("{:.2}", row.least), format!("{:.2}", row.part));
        let counts = [row.daemons, row.sent, row.most].map(|n| n.to_string());
        let [daemons, sent, most] = counts;
        vec![row.server.clone(), least, daemons, sent, seconds, most, part]
    };
    let heading = ["server", "named /s", "daemons", "sent", "within s", "most", "of named"];
    let mut text = table(&heading, &limits.rows.iter().map(cells).collect::<Vec<_>>());
    let _ = writeln!(text, "{} lines had no record", limits.skipped);
    text
}

/// Rows under a heading, in columns as wide as needed.
pub fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|r| r.get(i)).map(String::len);
        cells.chain([heading[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = line(heading.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}
