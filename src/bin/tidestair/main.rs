//! The operators' command.

mod app;
mod args;

use std::process::ExitCode;
use tidestair::error::Error;

/// A stated outcome does not hold, or daemons lag.
const FAILED: u8 = 1;
/// The command line does not hold.
const USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let done = match args::parse() {
        Ok(command) => app::run(command).await,
        Err(e) => Err(e),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(e) => {
            eprintln!("tidestair: {e}");
            ExitCode::from(if matches!(e, Error::Usage { .. }) { USAGE } else { FAILED })
        }
    }
}
