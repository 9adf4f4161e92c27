//! Works out what each role costs at the target size from measured slopes.

use std::collections::BTreeMap;
use std::fmt::Write;

const SLOPES: &str = include_str!("../docs/slopes.json");

const DAEMONS: f64 = 1_000.0;
const REPLICAS: f64 = 6_600.0;
const REQUESTS: f64 = 19_000.0;
const TOKENS: f64 = 5_500_000.0;
const WORKSPACES: f64 = 30_000.0;
const MODELS: f64 = 27.0;
const HALLS: f64 = 20.0;
const CHANGES_A_DAY: f64 = 15_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Share of the requests that are calls with a key; the users' guess, not a measurement.
const KEYED_SHARE: f64 = 0.05;
/// Bytes of one load report with its request, head and acknowledgements, counted from the messages.
const REPORT_BYTES: f64 = 500.0;
/// Processor time of one load report, taken as half of a request's.
const REPORT_SHARE: f64 = 0.5;
/// Daemons of a hall that watch the platform's service.
const READERS: f64 = 2.0;
/// Journal shards, and the least seconds between two segments of one.
const SHARDS: f64 = crate::journal::SHARDS as f64;
const SEGMENT_SECONDS: f64 = 0.05;
const POLL_SECONDS: f64 = 0.25;

/// What binds a daemon's control.
const MOST_CPU: f64 = 1.1;
const MOST_MB: f64 = 256.0;
const MOST_KB: f64 = 3.0;

/// One role at the target size, for each daemon.
struct Row {
    role: &'static str,
    state: String,
    messages: f64,
    cpu_percent: f64,
    kb_a_second: f64,
    mb: f64,
    carries: &'static str,
    control: bool,
}

/// The table of `docs/CAPACITY.md`.
pub fn table() -> String {
    let slopes: BTreeMap<String, f64> = serde_json::from_str(SLOPES).unwrap_or_default();
    let get = |name: &str| slopes.get(name).copied().unwrap_or(f64::NAN);
    let rows = rows(&get);
    let mut text = String::from(
        "| role | state for each daemon | messages/s | CPU % of a core | KB/s | MB | carried by |\n|---|---|---|---|---|---|---|\n",
    );
    for r in &rows {
        let (role, state, carries) = (r.role, &r.state, r.carries);
        let kind = if r.control { "" } else { " (requests)" };
        let _ = writeln!(
            text,
            "| {role}{kind} | {state} | {:.1} | {:.2} | {:.2} | {:.1} | {carries} |",
            r.messages, r.cpu_percent, r.kb_a_second, r.mb
        );
    }
    let control = || rows.iter().filter(|r| r.control);
    let cpu: f64 = control().map(|r| r.cpu_percent).sum();
    let kb: f64 = control().map(|r| r.kb_a_second).sum();
    let mb: f64 = rows.iter().map(|r| r.mb).sum();
    let _ = writeln!(
        text,
        "\n| control of one daemon | worked out | allowed | fits |\n|---|---|---|---|"
    );
    for (name, value, most) in
        [("CPU, % of a core", cpu, MOST_CPU), ("memory, MB", mb, MOST_MB), ("KB/s", kb, MOST_KB)]
    {
        let fits = if value <= most { "yes" } else { "NO" };
        let _ = writeln!(text, "| {name} | {value:.2} | {most} | {fits} |");
    }
    text.push('\n');
    text.push_str(&platform());
    text
}

fn rows(get: &dyn Fn(&str) -> f64) -> Vec<Row> {
    let requests = REQUESTS / DAEMONS;
    let tokens = TOKENS / DAEMONS;
    let changes = CHANGES_A_DAY / SECONDS_A_DAY;
    let keyed = requests * KEYED_SHARE;
    let pools = MODELS * HALLS / DAEMONS;
    let reports = pools * REPLICAS / (MODELS * HALLS) / POLL_SECONDS;
    let config_kb = get("config_bytes_per_workspace") / 1_024.0;
    let streams = tokens * 0.032;
    let percent = |us: f64, rate: f64| us * rate / 10_000.0;
    vec![
        Row {
            role: "caller edge and relay",
            state: format!("{streams:.0} open streams, a task each"),
            messages: tokens + requests,
            cpu_percent: percent(get("token_us"), tokens) + percent(get("request_us"), requests),
            kb_a_second: 0.0,
            mb: streams * 32.0 / 1_024.0,
            carries: "one task a stream; sealed event ids instead of shared state",
            control: false,
        },
        Row {
            role: "placement and queue (keeper)",
            state: format!("{pools:.2} pools of {:.0} replicas", REPLICAS / (MODELS * HALLS)),
            messages: requests * 3.0,
            cpu_percent: percent(get("place_us_at_10") * 4.0, requests),
            // Half of the measured requests asked a keeper on their own daemon.
            kb_a_second: 2.0 * requests * get("place_peer_bytes") / 1_024.0,
            mb: 1.0,
            carries: "one gateway keeps a pool's queue; a place is a stream",
            control: false,
        },
        Row {
            role: "load watcher",
            state: format!("{:.1} replicas polled", reports * POLL_SECONDS),
            messages: reports * 2.0,
            cpu_percent: percent(get("request_us") * REPORT_SHARE, reports),
            kb_a_second: reports * REPORT_BYTES / 1_024.0,
            mb: 0.1,
            carries: "only a pool's keeper polls at the full rate",
            control: true,
        },
        Row {
            role: "membership and hall gateway",
            state: "50 of the hall, 40 gateways".into(),
            messages: get("idle_messages_at_50"),
            cpu_percent: get("idle_cpu_at_50") * 100.0,
            kb_a_second: get("idle_bytes_at_50") / 1_024.0,
            mb: get("memory_bytes_per_daemon_at_50") / 1_048_576.0,
            carries: "two neighbours a beat, nine records; only gateways cross halls",
            control: true,
        },
        Row {
            role: "configuration reader and peer",
            state: format!("{WORKSPACES:.0} workspaces"),
            messages: changes * 4.0,
            cpu_percent: percent(get("config_apply_us_at_30000"), changes),
            kb_a_second: changes * 1.0,
            mb: WORKSPACES * config_kb / 1_024.0 * 2.0,
            carries: "changes, not snapshots, from peer to peer",
            control: true,
        },
        Row {
            role: "claims journal",
            state: format!("{keyed:.2} keyed calls/s"),
            messages: keyed * 4.0,
            cpu_percent: percent(get("request_us"), keyed),
            kb_a_second: keyed * (get("journal_bytes_per_claim") + 200.0) / 1_024.0,
            mb: 1.0,
            carries: "group commit at one gateway a shard",
            control: true,
        },
    ]
}

/// Calls of the platform's service at the target size.
fn platform() -> String {
    let watches = READERS * HALLS;
    let segments = SHARDS / SEGMENT_SECONDS;
    let changes = CHANGES_A_DAY / SECONDS_A_DAY;
    let mut text = String::from("| at the platform's service | calls/s | of |\n|---|---|---|\n");
    let _ = writeln!(text, "| waiting watches | {watches:.0} open | 2,000 reads |");
    let _ = writeln!(text, "| journal: segments, at most | {segments:.0} | 100 writes |");
    let _ = writeln!(text, "| journal: floors read, at most | {segments:.0} | 2,000 reads |");
    let _ = writeln!(text, "| configuration changes | {changes:.2} | 100 writes |");
    text
}
