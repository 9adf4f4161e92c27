//! Traces: JSON lines of generations, calls and faults, described in `docs/TRACES.md`.

use crate::check::{self, Problem};
use crate::error::{self, Error, Result};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::path::Path;

/// One line of a trace.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// A generation.
    Generation(Generation),
    /// A call of a plain service.
    Call(Call),
    /// A fault.
    Fault(Fault),
}

/// A generation that a caller asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Generation {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// By whom.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
    /// Model.
    pub model: String,
    /// Name of the prompt's prefix, shared by requests with the same name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Tokens of the prefix.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer, known to the stand-in alone.
    pub output_tokens: u32,
    /// First words of the prompt.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prompt: String,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// By whom.
    pub workspace: String,
    /// Class of the request.
    pub class: String,
    /// Service.
    pub service: String,
    /// Path at the service.
    pub path: String,
    /// Whether it must not run twice; it is then sent with a key, and sent again after `unknown`.
    #[serde(default)]
    pub once: bool,
}

/// A fault that is brought about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// What.
    pub fault: FaultKind,
    /// Of what: a replica, a VM or `platform`.
    pub target: String,
    /// How long, in milliseconds.
    #[serde(default)]
    pub for_ms: u64,
    /// How much: times slower, tokens of memory, answers lost.
    #[serde(default)]
    pub amount: f64,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine dies and comes back empty.
    EngineCrash,
    /// An engine is `amount` times slower.
    EngineSlow,
    /// An engine says that it is leaving, and dies at the end of the time.
    EngineReclaim,
    /// An engine's memory shrinks to `amount` tokens.
    EngineMemory,
    /// An engine sends and takes nothing.
    LinkStall,
    /// A service runs calls and loses `amount` answers.
    ServiceLostAnswer,
    /// The platform's service refuses every call.
    PlatformDown,
    /// The platform's service answers `amount` milliseconds late.
    PlatformSlow,
    /// The platform's service loses the answers of `amount` writes.
    PlatformLostAnswer,
    /// A VM stops running for a while.
    VmPause,
    /// A VM dies and is replaced at the end of the time.
    VmCrash,
    /// A VM is stopped as planned, and replaced at the end of the time.
    VmDrain,
    /// A VM's links to all other VMs are cut.
    VmPartition,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl Line {
    /// When it happens, in milliseconds from the start.
    pub fn at_ms(&self) -> u64 {
        match self {
            Line::Generation(g) => g.at_ms,
            Line::Call(c) => c.at_ms,
            Line::Fault(f) => f.at_ms,
        }
    }

    /// The line as JSON.
    pub fn to_json(&self) -> String {
        let text = match self {
            Line::Generation(g) => serde_json::to_string(g),
            Line::Call(c) => serde_json::to_string(c),
            Line::Fault(f) => serde_json::to_string(f),
        };
        text.expect("a line is JSON")
    }
}

/// Reads a trace file.
pub fn load(path: &Path) -> Result<Vec<Line>> {
    let text = std::fs::read_to_string(path).context(error::ReadSnafu { path })?;
    parse(&text).map_err(|problems| Error::Invalid { what: path.display().to_string(), problems })
}

/// Reads a trace; problems name their lines.
pub fn parse(text: &str) -> Result<Vec<Line>, Vec<Problem>> {
    let mut lines = Vec::new();
    let mut problems = Vec::new();
    for (i, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        match parse_line(line) {
            Ok(line) => lines.push(line),
            Err(found) => {
                let place =
                    |p: Problem| Problem { path: format!("line {}: {}", i + 1, p.path), ..p };
                problems.extend(found.into_iter().map(place));
            }
        }
    }
    lines.sort_by_key(Line::at_ms);
    if problems.is_empty() { Ok(lines) } else { Err(problems) }
}

fn parse_line(line: &str) -> Result<Line, Vec<Problem>> {
    let value: serde_json::Value = check::read(line)?;
    if value.get("fault").is_some() {
        return check::read(line).map(Line::Fault);
    }
    if value.get("service").is_some() {
        return check::read(line).map(Line::Call);
    }
    check::read(line).map(Line::Generation)
}
