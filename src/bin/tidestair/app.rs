//! Carries out the commands.

use crate::args::{Command, HELP, Replay, Server};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use tidestair::admin::{Admin, Applied};
use tidestair::capacity;
use tidestair::config::Config;
use tidestair::deployment::Deployment;
use tidestair::error::{Error, Result};
use tidestair::lags::Subject;
use tidestair::measure::{self, Figures};
use tidestair::resource::{Kind, Resource};
use tidestair::{lags, limits, losses, quickstart, replay, show, trace};

/// Carries out a command; `false` where something stated does not hold.
pub async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("tidestair {}", env!("CARGO_PKG_VERSION")),
        Command::Quickstart { serve: true, .. } => return serve().await,
        Command::Quickstart { json, .. } => return quick(json).await,
        Command::Replay(r) => return replay_all(r).await,
        Command::Check { files } => return check(&files),
        Command::Apply { server, from, wait, dry } => return apply(server, &from, wait, dry).await,
        Command::Get { server, kind, name, json } => return get(server, &kind, name, json).await,
        Command::Delete { server, kind, name } => {
            admin(&server)?.delete(parse_kind(&kind)?, &name).await?
        }
        Command::Watch { server, kind } => {
            admin(&server)?.watch(parse_kind(&kind)?, &mut std::io::stdout()).await?
        }
        Command::Status { server, json } => return status(server, json).await,
        Command::RotateKeys { server } => admin(&server)?.rotate_keys().await?,
        Command::Capacity { check } => return show_capacity(check.as_deref()),
        Command::Losses { files, weights, json } => show_losses(&files, &weights, json)?,
        Command::Lags { files, subject, bound, json } => {
            return show_lags(&files, subject, bound, json);
        }
        Command::Limits { files, window, bound, json } => {
            return show_limits(&files, window, bound, json);
        }
    }
    Ok(true)
}

fn progress(done: usize, total: usize) {
    let mut err = std::io::stderr();
    if err.is_terminal() {
        let _ = write!(err, "\r{done}/{total} ");
    }
}

async fn serve() -> Result<bool> {
    let fleet = quickstart::serve().await?;
    println!("ready; try\n\n  {}\n\nCtrl-C ends it.", quickstart::curl_line(&fleet));
    let _ = tokio::signal::ctrl_c().await;
    Ok(true)
}

async fn quick(as_json: bool) -> Result<bool> {
    if !as_json {
        let fleet = quickstart::serve().await?;
        println!(
            "One stream, from a stand-in engine through a daemon (each token tells its generation and index):"
        );
        let _ = quickstart::stream_one(&fleet, &mut std::io::stdout()).await;
        drop(fleet);
        println!("\nNow the trace examples/quickstart.jsonl, at twice its speed:");
    }
    let figures = quickstart::run(&progress).await?;
    let run = BTreeMap::from([("headroom".to_string(), figures)]);
    report(&run, &[], as_json);
    Ok(true)
}

async fn replay_all(r: Replay) -> Result<bool> {
    let deployment = Deployment::load(&r.deployment)?;
    let lines = trace::load(&r.trace)?;
    let bounds = r.expect.as_deref().map(measure::load_bounds).transpose()?.unwrap_or_default();
    let policies = if r.policies.is_empty() { vec!["headroom".to_string()] } else { r.policies };
    let mut run = BTreeMap::new();
    for policy in policies {
        let figures = replay::run(&deployment, &lines, &policy, r.speed, &progress).await?;
        run.insert(policy, figures);
    }
    let verdicts = measure::compare(&bounds, &run);
    report(&run, &verdicts, r.json);
    Ok(verdicts.iter().all(|v| v.holds))
}

fn report(run: &BTreeMap<String, Figures>, verdicts: &[measure::Verdict], as_json: bool) {
    if as_json {
        println!("{}", json!({"policies": run, "outcomes": verdicts}));
    } else {
        println!("\n{}{}", show::figures(run), show::verdicts(verdicts));
    }
}

/// Checks settings, deployment, trace, outcome and resource files, told apart by their content.
fn check(files: &[PathBuf]) -> Result<bool> {
    if files.is_empty() {
        return Err(Error::Usage { message: "name one file or more to check".into() });
    }
    let mut holds = true;
    for path in files {
        match check_one(path) {
            Ok(what) => println!("{}: {what} holds", path.display()),
            Err(e) => {
                holds = false;
                eprintln!("{e}");
            }
        }
    }
    Ok(holds)
}

fn check_one(path: &Path) -> Result<&'static str> {
    if path.extension().is_some_and(|e| e == "jsonl") {
        return trace::load(path).map(|_| "trace");
    }
    let text = read_text(path)?;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    if value.get("halls").is_some() {
        return Deployment::load(path).map(|_| "deployment");
    }
    if value.get("kind").is_some() {
        let invalid = |problems| Error::Invalid { what: path.display().to_string(), problems };
        return Resource::parse(&text).map(|_| "resource").map_err(invalid);
    }
    if value.is_array() {
        return measure::load_bounds(path).map(|_| "outcomes file");
    }
    Config::load(path).map(|_| "settings file")
}

fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.into(), source })
}

/// What the daemons whose logs these are have lost.
fn show_losses(files: &[PathBuf], weights: &BTreeMap<String, f64>, as_json: bool) -> Result<()> {
    let texts = read_texts(files)?;
    let ledger = losses::ledger(texts.iter().flat_map(|text| text.lines()));
    let rows = ledger.rows(weights);
    match as_json {
        true => println!("{}", json!({"ledger": ledger, "rows": rows})),
        false => print!("{}", show::losses(&ledger, &rows)),
    }
    Ok(())
}

/// How late the daemons whose logs these are learnt that servers leave, or put versions into force; `false` where
/// one was later than the bound.
fn show_lags(
    files: &[PathBuf],
    subject: Subject,
    bound: Option<u64>,
    as_json: bool,
) -> Result<bool> {
    let texts = read_texts(files)?;
    let lags = lags::lags(texts.iter().flat_map(|text| text.lines()), subject);
    let spread = lags.spread();
    match as_json {
        true => println!("{}", json!({"lags": lags, "rows": lags.rows(), "spread": spread})),
        false => print!("{}", show::lags(&lags, subject)),
    }
    Ok(spread.is_none_or(|spread| bound.is_none_or(|bound| spread.longest <= bound)))
}

/// What the daemons whose logs these are sent to servers in need; `false` where one got more within the window
/// than `bound` times what it named.
fn show_limits(files: &[PathBuf], window: u64, bound: Option<f64>, as_json: bool) -> Result<bool> {
    let texts = read_texts(files)?;
    let limits = limits::limits(texts.iter().flat_map(|text| text.lines()), window);
    match as_json {
        true => println!("{}", json!(limits)),
        false => print!("{}", show::limits(&limits)),
    }
    Ok(limits.rows.iter().all(|row| bound.is_none_or(|bound| row.part <= bound)))
}

fn read_texts(files: &[PathBuf]) -> Result<Vec<String>> {
    files.iter().map(|path| read_text(path)).collect()
}

fn admin(server: &Server) -> Result<Admin> {
    Admin::new(&server.addr, &server.key)
}

fn parse_kind(name: &str) -> Result<Kind> {
    let names: Vec<&str> = Kind::ALL.iter().map(|k| k.name()).collect();
    Kind::parse(name).ok_or_else(|| Error::Usage {
        message: format!("`{name}` is not a kind; use one of {}", names.join(", ")),
    })
}

async fn apply(server: Server, from: &Path, wait: bool, dry: bool) -> Result<bool> {
    let admin = admin(&server)?;
    let resources = tidestair::admin::read_all(from)?;
    let mut highest = 0;
    for resource in &resources {
        let name = format!("{}/{}", resource.kind(), resource.metadata.name);
        match admin.apply(resource, dry).await? {
            Applied::Unchanged => println!("{name} unchanged"),
            Applied::Created(revision) => {
                println!("{name} created");
                highest = highest.max(revision);
            }
            Applied::Changed { revision, diff } => {
                println!("{name} changed\n{diff}");
                highest = highest.max(revision);
            }
        }
    }
    if !wait || dry {
        return Ok(true);
    }
    let lagging = admin.wait(highest).await?;
    if !lagging.is_empty() {
        eprintln!("not yet in force on {}; ask again with `tidestair status`", lagging.join(", "));
    }
    Ok(lagging.is_empty())
}

async fn get(server: Server, kind: &str, name: Option<String>, as_json: bool) -> Result<bool> {
    let admin = admin(&server)?;
    let kind = parse_kind(kind)?;
    let resources = match name {
        Some(name) => vec![admin.get(kind, &name).await?],
        None => admin.list(kind).await?,
    };
    if as_json {
        println!("{}", serde_json::to_string_pretty(&resources).expect("resources are JSON"));
        return Ok(true);
    }
    let row = |r: &Resource| {
        vec![
            r.metadata.name.clone(),
            r.metadata.generation.to_string(),
            r.metadata.resource_version.clone().unwrap_or_default(),
        ]
    };
    let rows: Vec<Vec<String>> = resources.iter().map(row).collect();
    print!("{}", show::table(&["NAME", "GENERATION", "VERSION"], &rows));
    Ok(true)
}

async fn status(server: Server, as_json: bool) -> Result<bool> {
    let status = admin(&server)?.status().await?;
    if as_json {
        println!("{}", serde_json::to_string_pretty(&status).expect("a status is JSON"));
        return Ok(true);
    }
    let row = |d: &tidestair::status::DaemonStatus| {
        let marks = [(d.leaving, "leaving"), (d.gateway, "gateway")];
        let marks: Vec<&str> = marks.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        vec![
            d.vm.clone(),
            d.hall.clone(),
            d.address.to_string(),
            d.revision.to_string(),
            d.open.to_string(),
            marks.join(","),
        ]
    };
    let rows: Vec<Vec<String>> = status.daemons.iter().map(row).collect();
    print!("{}", show::table(&["VM", "HALL", "ADDRESS", "REVISION", "OPEN", "MARKS"], &rows));
    let behind = if status.platform_behind {
        "; the platform's service is BEHIND, see docs/operate/platform.md"
    } else {
        ""
    };
    println!("in force everywhere: {}{behind}", status.in_force);
    Ok(true)
}

fn show_capacity(check: Option<&Path>) -> Result<bool> {
    let table = capacity::table();
    match check {
        None => print!("{table}"),
        Some(path) => {
            let page = read_text(path)?;
            if !page.contains(&table) {
                eprintln!(
                    "{} does not hold the table worked out from docs/slopes.json; paste what `tidestair capacity` prints",
                    path.display()
                );
                return Ok(false);
            }
        }
    }
    Ok(true)
}
