//! Reads the command line.

use pico_args::Arguments;
use std::collections::BTreeMap;
use std::path::PathBuf;
use tidestair::error::{Error, Result};
use tidestair::lags::Subject;

pub const HELP: &str = "\
Operates tidestair: declared resources, replays, reports.

Usage:
  tidestair quickstart [--serve] [--json]
  tidestair replay TRACE --deployment FILE [--policy NAME]... [--expect FILE] [--speed X] [--json]
  tidestair check FILE...
  tidestair apply -f FILE|DIR|- [--wait] [--dry-run]
  tidestair get KIND [NAME] [-o json]
  tidestair delete KIND NAME
  tidestair watch KIND
  tidestair status [-o json]
  tidestair rotate-keys
  tidestair capacity [--check FILE]
  tidestair losses FILE... [--weight ROUTE=NUMBER]... [--json]
  tidestair lags FILE... [--versions] [--bound MS] [--json]
  tidestair limits FILE... [--window MS] [--bound PART] [--json]

  --server ADDR  a daemon, for apply, get, delete, watch, status, rotate-keys
                 (or TIDESTAIR_SERVER)
  --key KEY      the operator's key (or TIDESTAIR_KEY)
  -h, --help     this text
  -V, --version  the version

Exit codes: 0 done; 1 failed, a stated outcome or bound does not hold, daemons lag, or a
server in need got more than the bound;
2 the command line does not hold.
";

/// What to do.
pub enum Command {
    Help,
    Version,
    Quickstart { serve: bool, json: bool },
    Replay(Replay),
    Check { files: Vec<PathBuf> },
    Apply { server: Server, from: PathBuf, wait: bool, dry: bool },
    Get { server: Server, kind: String, name: Option<String>, json: bool },
    Delete { server: Server, kind: String, name: String },
    Watch { server: Server, kind: String },
    Status { server: Server, json: bool },
    RotateKeys { server: Server },
    Capacity { check: Option<PathBuf> },
    Losses { files: Vec<PathBuf>, weights: BTreeMap<String, f64>, json: bool },
    Lags { files: Vec<PathBuf>, subject: Subject, bound: Option<u64>, json: bool },
    Limits { files: Vec<PathBuf>, window: u64, bound: Option<f64>, json: bool },
}

/// A replay to run.
pub struct Replay {
    pub trace: PathBuf,
    pub deployment: PathBuf,
    pub policies: Vec<String>,
    pub expect: Option<PathBuf>,
    pub speed: f64,
    pub json: bool,
}

/// The daemon to ask.
pub struct Server {
    pub addr: String,
    pub key: String,
}

fn usage(e: pico_args::Error) -> Error {
    Error::Usage { message: e.to_string() }
}

/// The command of this process.
pub fn parse() -> Result<Command> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let name = args.subcommand().map_err(usage)?.unwrap_or_default();
    let command = match name.as_str() {
        "quickstart" => {
            Command::Quickstart { serve: args.contains("--serve"), json: args.contains("--json") }
        }
        "replay" => Command::Replay(replay(&mut args)?),
        "check" => {
            return Ok(Command::Check {
                files: args.finish().into_iter().map(PathBuf::from).collect(),
            });
        }
        "apply" => {
            let (server, wait, dry) =
                (server(&mut args)?, args.contains("--wait"), args.contains("--dry-run"));
            Command::Apply { server, wait, dry, from: args.value_from_str("-f").map_err(usage)? }
        }
        "get" => {
            let (server, json) = (server(&mut args)?, json(&mut args)?);
            let kind = args.free_from_str().map_err(usage)?;
            Command::Get { server, kind, name: args.opt_free_from_str().map_err(usage)?, json }
        }
        "delete" => {
            let server = server(&mut args)?;
            let kind = args.free_from_str().map_err(usage)?;
            Command::Delete { server, kind, name: args.free_from_str().map_err(usage)? }
        }
        "watch" => Command::Watch {
            server: server(&mut args)?,
            kind: args.free_from_str().map_err(usage)?,
        },
        "status" => Command::Status { server: server(&mut args)?, json: json(&mut args)? },
        "rotate-keys" => Command::RotateKeys { server: server(&mut args)? },
        "capacity" => {
            Command::Capacity { check: args.opt_value_from_str("--check").map_err(usage)? }
        }
        "losses" => return losses(args),
        "lags" => return lags(args),
        "limits" => return limits(args),
        "" => {
            return Err(Error::Usage { message: "name a command".into() });
        }
        other => {
            return Err(Error::Usage { message: format!("`{other}` is not a command") });
        }
    };
    match args.finish().as_slice() {
        [] => Ok(command),
        [first, ..] => Err(Error::Usage {
            message: format!("`{}` is not known here", first.to_string_lossy()),
        }),
    }
}

fn losses(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let weights: Vec<String> = args.values_from_str("--weight").map_err(usage)?;
    let weights = weights.iter().map(|text| weight(text)).collect::<Result<_>>()?;
    Ok(Command::Losses { files: log_files(args)?, weights, json })
}

fn lags(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let subject = if args.contains("--versions") { Subject::Versions } else { Subject::Servers };
    let bound = args.opt_value_from_str("--bound").map_err(usage)?;
    Ok(Command::Lags { files: log_files(args)?, subject, bound, json })
}

/// Milliseconds within which requests are counted without `--window`: those of the users' platform.
const WINDOW_MS: u64 = 4_000;

fn limits(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let window: Option<u64> = args.opt_value_from_str("--window").map_err(usage)?;
    let bound = args.opt_value_from_str("--bound").map_err(usage)?;
    let window = window.unwrap_or(WINDOW_MS);
    if window == 0 {
        let message = "`--window 0` is not known; use milliseconds, 1 or more".into();
        return Err(Error::Usage { message });
    }
    Ok(Command::Limits { files: log_files(args)?, window, bound, json })
}

/// The rest of the line, all of it names of files.
fn log_files(args: Arguments) -> Result<Vec<PathBuf>> {
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if let Some(option) = files.iter().find(|file| file.to_string_lossy().starts_with('-')) {
        return Err(Error::Usage { message: format!("`{}` is not known here", option.display()) });
    }
    if files.is_empty() {
        return Err(Error::Usage { message: "name one log file or more".into() });
    }
    Ok(files)
}

fn weight(text: &str) -> Result<(String, f64)> {
    let parts = text.split_once('=').and_then(|(route, n)| Some((route, n.parse::<f64>().ok()?)));
    let valid = parts.filter(|(_, n)| n.is_finite() && *n >= 0.0);
    let message = format!("`--weight {text}` is not known; use ROUTE=NUMBER, 0 or more");
    valid.map(|(route, n)| (route.to_string(), n)).ok_or(Error::Usage { message })
}

fn replay(args: &mut Arguments) -> Result<Replay> {
    Ok(Replay {
        deployment: args.value_from_str("--deployment").map_err(usage)?,
        policies: args.values_from_str("--policy").map_err(usage)?,
        expect: args.opt_value_from_str("--expect").map_err(usage)?,
        speed: args.opt_value_from_str("--speed").map_err(usage)?.unwrap_or(1.0),
        json: args.contains("--json"),
        trace: args.free_from_str().map_err(usage)?,
    })
}

fn json(args: &mut Arguments) -> Result<bool> {
    let format: Option<String> = args.opt_value_from_str("-o").map_err(usage)?;
    match format.as_deref() {
        None | Some("table") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => {
            Err(Error::Usage { message: format!("`-o {other}` is not known; use table or json") })
        }
    }
}

fn server(args: &mut Arguments) -> Result<Server> {
    let given: Option<String> = args.opt_value_from_str("--server").map_err(usage)?;
    let addr = given.or_else(|| std::env::var("TIDESTAIR_SERVER").ok());
    let key: Option<String> = args.opt_value_from_str("--key").map_err(usage)?;
    let key = key.or_else(|| std::env::var("TIDESTAIR_KEY").ok()).unwrap_or_default();
    let missing = || Error::Usage {
        message: "no daemon named; give --server ADDR or set TIDESTAIR_SERVER".into(),
    };
    Ok(Server { addr: addr.ok_or_else(missing)?, key })
}
