//! Reading JSON whole: every problem is collected with its JSON path and remedy.

use serde::de::DeserializeOwned;
use std::fmt;

/// One thing that is wrong in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Problem {
    /// JSON path of the value, as `$.platform.endpoints[0]`.
    pub path: String,
    /// What is wrong, and the remedy.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Collects problems below one JSON path.
#[derive(Debug, Default)]
pub struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    /// Notes a problem unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, message: impl Into<String>) {
        if !holds {
            self.add(path, message);
        }
    }

    /// Notes a problem.
    pub fn add(&mut self, path: &str, message: impl Into<String>) {
        self.problems.push(Problem { path: format!("$.{path}"), message: message.into() });
    }

    /// Notes a problem where `value` is outside `low..=high`.
    pub fn range<T: PartialOrd + fmt::Display>(&mut self, path: &str, value: T, low: T, high: T) {
        if value < low || value > high {
            self.add(path, format!("{value} is out of range; use {low} to {high}"));
        }
    }

    /// All problems found, in the order they were noted.
    pub fn finish(self) -> Vec<Problem> {
        self.problems
    }
}

/// Reads `text` as `T`; unknown fields and the first value of a wrong type are problems.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Vec<Problem>> {
    let mut unknown = Vec::new();
    let mut de = serde_json::Deserializer::from_str(text);
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(&mut de, &mut track);
    let parsed: Result<T, serde_json::Error> =
        serde_ignored::deserialize(tracked, |path| unknown.push(unknown_field(&path.to_string())));
    let parsed = parsed.and_then(|value| de.end().map(|()| value));
    match parsed {
        Ok(value) if unknown.is_empty() => Ok(value),
        Ok(_) => Err(unknown),
        Err(e) => {
            let path = track.path().to_string();
            unknown
                .push(Problem { path: dollar(&path), message: format!("{e}; correct the value") });
            Err(unknown)
        }
    }
}

fn unknown_field(path: &str) -> Problem {
    Problem { path: dollar(path), message: "unknown field; remove it or correct its name".into() }
}

fn dollar(path: &str) -> String {
    if path == "." { "$".into() } else { format!("$.{path}") }
}
