//! Records out of daemons' log lines, for the tools that read them.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;

/// The records of some lines.
#[derive(Debug, Clone)]
pub struct Records<T> {
    /// In the order of the lines.
    pub read: Vec<T>,
    /// Lines without a record of this kind.
    pub skipped: usize,
}

/// Reads the record of each line; what stands before the first brace of a line is passed over.
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

/// Who wrote a line, and when.
#[derive(Debug, Deserialize)]
pub struct Stamp {
    /// The daemon's VM.
    pub vm: String,
    /// The time of day, in milliseconds since the Unix epoch; it may jump.
    pub unix_ms: u64,
    /// Time since the daemon's start, in milliseconds.
    pub up_ms: u64,
}

/// A record that tells who wrote it and when.
pub trait Stamped {
    /// Who and when.
    fn stamp(&self) -> &Stamp;
}

/// One start of a daemon, until it ended.
#[derive(Debug)]
pub struct Run<T> {
    /// The daemon's VM.
    pub vm: String,
    /// In the order in which it wrote them.
    pub lines: Vec<T>,
}

impl<T: Stamped> Run<T> {
    /// From this process's clock to the time of day, in milliseconds. The time of day may jump and come back,
    /// so the median of what all lines say is taken.
    pub fn offset(&self) -> u64 {
        let offset = |line: &T| line.stamp().unix_ms.saturating_sub(line.stamp().up_ms);
        let mut offsets: Vec<u64> = self.lines.iter().map(offset).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied().unwrap_or(0)
    }
}

/// The lines of each start of each daemon. A daemon's own lines are in the order in which it wrote
/// them; its clock begins anew with each start.
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
