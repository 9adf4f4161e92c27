//! Parses daemons' JSON log lines for the tools that analyse them (`lags`, `limits` and `losses`).

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;

/// The result of parsing log lines.
#[derive(Debug, Clone)]
pub struct Records<T> {
    /// The parsed records, in the order of their lines.
    pub read: Vec<T>,
    /// Lines that hold no JSON object or one that does not parse as `T`.
    pub skipped: usize,
}

/// Parses each line as JSON. Text before a line's first brace is ignored, such as a prefix that a log
/// collector added.
pub fn records<'a, T: DeserializeOwned>(lines: impl Iterator<Item = &'a str>) -> Records<T> {
    let mut records = Records { read: Vec::new(), skipped: 0 };
    for line in lines {
        match line.find('{').and_then(|at| serde_json::from_str(&line[at..]).ok()) {
            Some(record) => records.read.push(record),
            None => records.skipped += 1,
        }
    }
    records
}

/// Which daemon wrote a line, and when.
#[derive(Debug, Deserialize)]
pub struct Stamp {
    /// The daemon's VM.
    pub vm: String,
    /// Wall-clock time in milliseconds since the Unix epoch. It may jump when the clock is adjusted.
    pub unix_ms: u64,
    /// Time since the daemon's start in milliseconds, on a monotonic clock.
    pub up_ms: u64,
}

/// A record that carries a [`Stamp`].
pub trait Stamped {
    /// Returns the record's stamp.
    fn stamp(&self) -> &Stamp;
}

/// The log of one daemon process, from its start to its end.
#[derive(Debug)]
pub struct Run<T> {
    /// The daemon's VM.
    pub vm: String,
    /// Its records, in the order in which it wrote them.
    pub lines: Vec<T>,
}

impl<T: Stamped> Run<T> {
    /// Returns the process's start in wall-clock milliseconds: added to `up_ms`, it gives the wall-clock time
    /// of a line. The wall clock may jump and come back, so this is the median over all lines.
    pub fn offset(&self) -> u64 {
        let offset = |line: &T| line.stamp().unix_ms.saturating_sub(line.stamp().up_ms);
        let mut offsets: Vec<u64> = self.lines.iter().map(offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied().unwrap_or(0)
    }
}

/// Groups records by daemon process. Each daemon's records must be in the order in which it wrote them; those
/// of different daemons may be interleaved. `up_ms` restarts at zero with each process, so a value lower than
/// the one before it on the same VM marks a restart.
pub fn runs<T: Stamped>(lines: Vec<T>) -> Vec<Run<T>> {
    let mut runs: Vec<Run<T>> = Vec::new();
    let mut latest_run: HashMap<String, usize> = HashMap::new();
    for line in lines {
        let previous_run = latest_run.get(&line.stamp().vm).copied();
        let last = previous_run.and_then(|index| runs[index].lines.last());
        let same_run = last.is_some_and(|last| last.stamp().up_ms <= line.stamp().up_ms);
        let index = match previous_run.filter(|_| same_run) {
            Some(index) => index,
            None => {
                runs.push(Run { vm: line.stamp().vm.clone(), lines: Vec::new() });
                runs.len() - 1
            }
        };
        latest_run.insert(line.stamp().vm.clone(), index);
        runs[index].lines.push(line);
    }
    runs
}
