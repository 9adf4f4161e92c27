//! The errors of the library. Each message names the remedy.

use crate::check::Problem;
use snafu::Snafu;
use std::path::PathBuf;

/// Result with the library's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can go wrong outside the way of a request (for that see [`crate::outcome`]).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A settings, resource, trace or deployment file does not hold.
    #[snafu(display("{what} is refused:\n{}", list(problems)))]
    Invalid {
        /// What was checked: a file's name or a resource's kind and name.
        what: String,
        /// Everything that is wrong with it.
        problems: Vec<Problem>,
    },
    /// A file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// A file could not be written.
    #[snafu(display("cannot write {}: {source}; check the folder and its permissions", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// An address could not be listened on.
    #[snafu(display("cannot listen on {addr}: {reason}; free the address or set another one"))]
    Listen {
        /// The address asked for.
        addr: String,
        /// The system's reason.
        reason: String,
    },
    /// The platform's service could not be used.
    #[snafu(display("{source}"))]
    Platform {
        /// What the platform's adapter said.
        source: crate::platform::PlatformError,
    },
    /// TLS between daemons could not be set up.
    #[snafu(display("TLS between daemons: {reason}; check ca, cert and key under `peer_tls`"))]
    Tls {
        /// What is wrong.
        reason: String,
    },
    /// A daemon answered the operators' command with an error.
    #[snafu(display("{server} answered {status}: {message}"))]
    Refused {
        /// The daemon's address.
        server: String,
        /// HTTP status.
        status: u16,
        /// The daemon's message, which names the remedy.
        message: String,
    },
    /// A daemon could not be reached.
    #[snafu(display("cannot reach {server}: {reason}; check --server or TIDESTAIR_SERVER"))]
    Unreachable {
        /// The daemon's address.
        server: String,
        /// What went wrong.
        reason: String,
    },
    /// The command line does not hold.
    #[snafu(display("{message}; see --help"))]
    Usage {
        /// What is wrong with it.
        message: String,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}
