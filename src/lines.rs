//! Records out of daemons' log lines, for the tools that read them.

use serde::de::DeserializeOwned;

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
