//! Stand-ins for the systems outside, for trying tidestair without them.

use pico_args::Arguments;
use std::net::SocketAddr;
use std::process::ExitCode;
use tidestair::error::{Error, Result};
use tidestair::standin::batch::EngineSpec;
use tidestair::standin::engine::EngineStandin;
use tidestair::standin::gateway::PlatformStandin;
use tidestair::standin::generator::{Plan, User, Variant, generate};
use tidestair::standin::service::ServiceStandin;
use tidestair::standin::weights::WeightStandin;

const HELP: &str = "\
Stand-ins for the systems outside tidestair.

Usage:
  tidestair-standin engine   [--listen ADDR] [--memory TOKENS] [--speed X]
                             [--spec JSON]
  tidestair-standin service  [--listen ADDR]
  tidestair-standin platform [--listen ADDR]
  tidestair-standin weights  [--listen ADDR] [--megabytes-a-second N]
  tidestair-standin generate --user nikuthi|blomsterbud --variant calm|crowded|faulty
                             [--seed N] [--length-ms N] [--faults N] [--memory TOKENS]

Each of the first four prints the address that it listens on and runs until it is stopped.
`generate` writes a trace to standard output.

  -h, --help     this text
  -V, --version  the version

Exit codes: 0 done, 1 failed, 2 the command line does not hold.
";

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match run(Arguments::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tidestair-standin: {e}");
            ExitCode::from(if matches!(e, Error::Usage { .. }) { 2 } else { 1 })
        }
    }
}

async fn run(mut args: Arguments) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains(["-V", "--version"]) {
        println!("tidestair-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = args.subcommand().map_err(usage)?;
    match command.as_deref() {
        Some("engine") => engine(args).await,
        Some("service") => service(args).await,
        Some("platform") => platform(args).await,
        Some("weights") => weights(args).await,
        Some("generate") => write_trace(args),
        _ => Err(Error::Usage {
            message: "name one of engine, service, platform, weights, generate".into(),
        }),
    }
}

fn usage(e: pico_args::Error) -> Error {
    Error::Usage { message: e.to_string() }
}

fn listen(args: &mut Arguments) -> Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(args.opt_value_from_str("--listen").map_err(usage)?.unwrap_or(any))
}

fn finish(args: Arguments) -> Result<()> {
    match args.finish().as_slice() {
        [] => Ok(()),
        [first, ..] => {
            Err(Error::Usage { message: format!("`{}` is not known", first.to_string_lossy()) })
        }
    }
}

async fn stopped() {
    let _ = tokio::signal::ctrl_c().await;
}

async fn engine(mut args: Arguments) -> Result<()> {
    let addr = listen(&mut args)?;
    let text: Option<String> = args.opt_value_from_str("--spec").map_err(usage)?;
    let mut spec = text.as_deref().map_or(Ok(EngineSpec::default()), |t| {
        let invalid = |problems| Error::Invalid { what: "--spec".into(), problems };
        tidestair::check::read(t).map_err(invalid)
    })?;
    spec.memory_tokens =
        args.opt_value_from_str("--memory").map_err(usage)?.unwrap_or(spec.memory_tokens);
    let speed = args.opt_value_from_str("--speed").map_err(usage)?.unwrap_or(1.0);
    finish(args)?;
    let engine = EngineStandin::start(addr, spec, speed).await?;
    println!("{}", engine.addr());
    stopped().await;
    Ok(())
}

async fn service(mut args: Arguments) -> Result<()> {
    let addr = listen(&mut args)?;
    finish(args)?;
    let service = ServiceStandin::start(addr).await?;
    println!("{}", service.addr());
    stopped().await;
    Ok(())
}

async fn platform(mut args: Arguments) -> Result<()> {
    let addr = listen(&mut args)?;
    finish(args)?;
    let platform = PlatformStandin::start(addr).await?;
    println!("{}", platform.addr());
    stopped().await;
    Ok(())
}

async fn weights(mut args: Arguments) -> Result<()> {
    let addr = listen(&mut args)?;
    let rate = args.opt_value_from_str("--megabytes-a-second").map_err(usage)?.unwrap_or(200.0);
    finish(args)?;
    let store = WeightStandin::start(addr, rate).await?;
    println!("{}", store.addr());
    stopped().await;
    Ok(())
}

fn write_trace(mut args: Arguments) -> Result<()> {
    let user: String = args.value_from_str("--user").map_err(usage)?;
    let variant: String = args.value_from_str("--variant").map_err(usage)?;
    let plan = Plan {
        user: match user.as_str() {
            "nikuthi" => User::Nikuthi,
            "blomsterbud" => User::Blomsterbud,
            _ => {
                return Err(Error::Usage { message: format!("`{user}` is not a user") });
            }
        },
        variant: match variant.as_str() {
            "calm" => Variant::Calm,
            "crowded" => Variant::Crowded,
            "faulty" => Variant::Faulty,
            _ => {
                return Err(Error::Usage { message: format!("`{variant}` is not a variant") });
            }
        },
        seed: args.opt_value_from_str("--seed").map_err(usage)?.unwrap_or(1),
        length_ms: args.opt_value_from_str("--length-ms").map_err(usage)?.unwrap_or(40_000),
        memory_tokens: args.opt_value_from_str("--memory").map_err(usage)?.unwrap_or(72_000),
        faults: args.opt_value_from_str("--faults").map_err(usage)?.unwrap_or(26),
    };
    finish(args)?;
    for line in generate(&plan) {
        println!("{}", line.to_json());
    }
    Ok(())
}
