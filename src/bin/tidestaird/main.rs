//! The daemon, the same on every entry VM.

use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tidestair::config::Config;
use tidestair::daemon::Daemon;
use tidestair::error::{Error, Result};
use tidestair::etcd::EtcdGateway;
use tidestair::tls::Identity;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
The tidestair daemon.

Usage:
  tidestaird --settings FILE

  -h, --help     this text
  -V, --version  the version

SIGTERM and the first SIGINT begin a planned stop; the second SIGINT stops at once.

Exit codes: 0 stopped as planned, 1 could not start, 2 the command line does not hold,
3 the settings do not hold, 130 stopped at once.
";

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const SETTINGS: u8 = 3;
const INTERRUPTED: u8 = 130;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run().await {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("tidestaird: {e}");
            ExitCode::from(match e {
                Error::Usage { .. } => USAGE,
                Error::Invalid { .. } | Error::Read { .. } => SETTINGS,
                _ => FAILED,
            })
        }
    }
}

async fn run() -> Result<u8> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(0);
    }
    if args.contains(["-V", "--version"]) {
        println!("tidestaird {}", env!("CARGO_PKG_VERSION"));
        return Ok(0);
    }
    let usage = |e: pico_args::Error| Error::Usage { message: e.to_string() };
    let path: PathBuf = args.value_from_str("--settings").map_err(usage)?;
    let config = Config::load(&path)?;
    let tls = config
        .peer_tls
        .as_ref()
        .ok_or_else(|| Error::Tls { reason: "no `peer_tls` in the settings".into() })?;
    let identity = Identity::load(tls)?;
    let platform = Arc::new(EtcdGateway::new(config.platform.clone()));
    let daemon = Daemon::start(config, platform, &identity).await?;
    stop(daemon).await
}

/// Waits for a signal, then stops as it asks.
async fn stop(daemon: Daemon) -> Result<u8> {
    let broken =
        |e: std::io::Error| Error::Listen { addr: "signals".into(), reason: e.to_string() };
    let mut terminate = signal(SignalKind::terminate()).map_err(broken)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(broken)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = daemon.drain() => Ok(0),
        _ = interrupt.recv() => Ok(INTERRUPTED),
    }
}
