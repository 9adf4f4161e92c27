//! The real binaries: settings, a daemon against the platform's gateway, and the quickstart.

use assert_cmd::Command;
use assert_cmd::assert::Assert;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Stdio};
use tidestair::tls::Authority;

fn tidestair() -> Command {
    Command::cargo_bin("tidestair").expect("built")
}

/// A process that is ended with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(program: &str, args: &[&str]) -> Running {
    let path = assert_cmd::cargo::cargo_bin(program);
    let mut command = std::process::Command::new(path);
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    Running(command.spawn().expect("it starts"))
}

/// The address that a stand-in prints first.
fn address(standin: &mut Running) -> String {
    let mut line = String::new();
    let out = standin.0.stdout.take().expect("piped");
    BufReader::new(out).read_line(&mut line).expect("an address");
    line.trim().to_string()
}

fn write_keys(dir: &Path) {
    let identity = Authority::generate().and_then(|a| a.sign()).expect("keys");
    identity.write(dir).expect("written");
}

fn settings(dir: &Path, platform: &str) -> String {
    let file = |name: &str| dir.join(name).display().to_string();
    let key_hash = tidestair::snapshot::key_hash("op");
    let settings = serde_json::json!({
        "vm": "vm-1", "hall": "h1", "caller_addr": "127.0.0.1:0", "peer_addr": "127.0.0.1:0",
        "platform": [platform], "keep_ms": 200,
        "peer_tls": {"ca": file("ca.pem"), "cert": file("cert.pem"), "key": file("key.pem")},
        "operators": [{"name": "o", "key_hash": key_hash, "role": "edit"}],
    });
    let path = dir.join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("written");
    path.display().to_string()
}

/// Reads the log of a daemon until it says where it serves callers.
fn caller_address(daemon: &mut Running) -> String {
    let err = daemon.0.stderr.take().expect("piped");
    let mut lines = BufReader::new(err).lines();
    let line = lines.find_map(|l| l.ok().filter(|l| l.contains("serves callers on")));
    // Keep reading, so that the daemon never waits for a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    let line = line.expect("it serves");
    let rest = line.split("serves callers on ").nth(1).expect("an address");
    rest.split(' ').next().expect("an address").to_string()
}

#[test]
fn a_daemon_serves_declared_resources_from_the_gateway_and_stops_on_sigterm() {
    let dir = tempfile::tempdir().expect("a folder");
    write_keys(dir.path());
    let mut platform = start("tidestair-standin", &["platform"]);
    let mut engine = start("tidestair-standin", &["engine"]);
    let (platform, engine) = (address(&mut platform), (address(&mut engine), engine, platform));
    let path = settings(dir.path(), &platform);
    let mut daemon = start("tidestaird", &["--settings", &path]);
    let server = caller_address(&mut daemon);
    let resources = serde_json::json!([
        {"apiVersion": "tidestair/v1", "kind": "Policy", "metadata": {"name": "p"},
         "spec": {"algorithm": "headroom"}},
        {"apiVersion": "tidestair/v1", "kind": "TrafficClass", "metadata": {"name": "draft"},
         "spec": {"priority": 5}},
        {"apiVersion": "tidestair/v1", "kind": "EnginePool", "metadata": {"name": "m1"},
         "spec": {"model": "m1", "policy": "p",
                  "replicas": [{"name": "r", "address": engine.0, "hall": "h1"}]}},
        {"apiVersion": "tidestair/v1", "kind": "Workspace", "metadata": {"name": "w"},
         "spec": {"keyHashes": [tidestair::snapshot::key_hash("k")], "defaultClass": "draft"}},
    ]);
    let file = dir.path().join("resources.json");
    std::fs::write(&file, resources.to_string()).expect("written");
    let file = file.display().to_string();
    let flags = ["--server", &server, "--key", "op"];
    let apply = |args: &[&str]| {
        tidestair().args(args).args(flags).assert().success().get_output().stdout.clone()
    };
    for attempt in 0.. {
        // The daemon may not have reached its platform yet.
        let done = tidestair()
            .args(["apply", "-f", &file, "--wait"])
            .args(flags)
            .output()
            .expect("it runs");
        if done.status.success() {
            break;
        }
        assert!(attempt < 200, "{}", String::from_utf8_lossy(&done.stderr));
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    let again = String::from_utf8(apply(&["apply", "-f", &file, "--wait"])).expect("text");
    assert_eq!(again.matches("unchanged").count(), 4, "{again}");
    let listed = String::from_utf8(apply(&["get", "policy"])).expect("text");
    assert!(listed.contains("p"), "{listed}");
    let status = String::from_utf8(apply(&["status"])).expect("text");
    assert!(status.contains("vm-1"), "{status}");
    stream_one(&server);
    terminate(&daemon);
    let code = daemon.0.wait().expect("it ends").code();
    assert_eq!(code, Some(0));
}

fn stream_one(server: &str) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let client = tidestair::client::Client::new("k", vec![server.parse().expect("an address")]);
    // Callers are sent to a daemon once it says that it is ready.
    runtime.block_on(wait_ready(&client));
    let body = serde_json::json!({"model": "m1", "stream": true, "max_tokens": 12,
        "messages": [{"role": "user", "content": "Hello"}]});
    let mut pieces = 0;
    let ended = runtime.block_on(client.stream(
        "/v1/chat/completions",
        "draft",
        body.to_string().into(),
        |_| pieces += 1,
    ));
    assert_eq!(ended.outcome, tidestair::outcome::Outcome::Complete, "{}", ended.message);
    assert_eq!(pieces, 12);
}

async fn wait_ready(client: &tidestair::client::Client) {
    for _ in 0..1_000 {
        let answer = client.call(hyper::Method::GET, "/readyz", Default::default(), &[]).await;
        if answer.status == 200 {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("never ready");
}

fn terminate(daemon: &Running) {
    let id = daemon.0.id().to_string();
    let sent = std::process::Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill runs").success());
}

#[test]
fn the_quickstart_serves_everything_and_loses_nothing() {
    let out =
        tidestair().args(["quickstart", "--json"]).assert().success().get_output().stdout.clone();
    let report: serde_json::Value = serde_json::from_slice(&out).expect("JSON");
    let figures = &report["policies"]["headroom"];
    assert_eq!(figures["complete"], figures["requests"]);
    for measure in
        ["tokens_lost", "tokens_doubled", "tokens_spliced", "once_run_twice", "false_not_run"]
    {
        assert_eq!(figures[measure], 0.0, "{measure}");
    }
}

#[test]
fn wrong_settings_are_all_reported_at_once_with_path_and_remedy() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("settings.json");
    let text = r#"{"vm": "", "hall": "h", "caller_addr": "127.0.0.1:8080",
        "peer_addr": "127.0.0.1:8080", "poll_ms": 1, "colour": "red"}"#;
    std::fs::write(&path, text).expect("written");
    let failed =
        Command::cargo_bin("tidestaird").expect("built").arg("--settings").arg(&path).assert();
    let failed = failed.code(3);
    let said = String::from_utf8_lossy(&failed.get_output().stderr).into_owned();
    for part in [
        "$.vm: empty",
        "$.platform: empty",
        "$.peer_addr: the same",
        "$.poll_ms: 1 is out of range",
        "$.colour: unknown field",
    ] {
        assert!(said.contains(part), "no `{part}` in:\n{said}");
    }
    tidestair().arg("check").arg(&path).assert().code(1);
}

#[test]
fn usage_errors_exit_with_2_and_help_with_0() {
    tidestair().arg("--help").assert().success();
    tidestair().arg("nonsense").assert().code(2);
    Command::cargo_bin("tidestaird").expect("built").assert().code(2);
    Command::cargo_bin("tidestair-standin").expect("built").arg("--version").assert().success();
}

#[test]
fn all_examples_hold() {
    let mut files: Vec<_> = std::fs::read_dir("examples")
        .expect("examples")
        .map(|f| f.expect("a file").path())
        .collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "json" || e == "jsonl"));
    assert!(files.len() >= 4);
    tidestair().arg("check").args(files).assert().success();
}

#[test]
fn losses_are_read_from_logs_and_bad_input_names_the_remedy() {
    let dir = tempfile::tempdir().expect("a folder");
    let log = dir.path().join("vm-1.log");
    let lines = [
        r#"{"unix_ms":1,"vm":"vm-1","what":"stream begun","id":"a","route":"recap"}"#,
        r#"{"unix_ms":2,"vm":"vm-1","what":"stream cut","id":"a","leaving":false}"#,
    ];
    std::fs::write(&log, lines.join("\n")).expect("written");
    let run = |args: &[&str]| tidestair().arg("losses").args(args).assert();
    let log = log.display().to_string();
    let table = run(&[&log]).success().get_output().stdout.clone();
    assert!(String::from_utf8_lossy(&table).contains("server gone without notice  1"));
    let json = run(&["--json", "--weight", "recap=3", &log]).success().get_output().stdout.clone();
    let json: serde_json::Value = serde_json::from_slice(&json).expect("one object");
    assert_eq!(json["ledger"]["losses"][0]["cause"], "no_notice");
    let cases = [
        (vec![], "name one log file"),
        (vec!["--weight", "recap", log.as_str()], "use ROUTE=NUMBER"),
        (vec!["--wieght", log.as_str()], "not known"),
    ];
    assert_remedies(&run, &cases);
}

#[test]
fn lags_are_held_against_a_bound() {
    let dir = tempfile::tempdir().expect("a folder");
    let log = dir.path().join("fleet.log");
    let line = |vm: &str, up: u64, what: &str| {
        format!(r#"{{"unix_ms":{up},"up_ms":{up},"vm":"{vm}","what":"{what}","server":"i-1"}}"#)
    };
    let lines = [
        line("vm-1", 1, "started"),
        line("vm-2", 1, "started"),
        line("vm-1", 50, "backend server gone"),
        line("vm-2", 3_050, "backend server gone"),
    ];
    std::fs::write(&log, lines.join("\n")).expect("written");
    let run = |args: &[&str]| tidestair().arg("lags").args(args).assert();
    let log = log.display().to_string();
    let table = run(&["--bound", "3000", &log]).success().get_output().stdout.clone();
    assert!(String::from_utf8_lossy(&table).contains("longest 3.00 s"));
    run(&["--bound", "2999", &log]).code(1);
    let json = run(&["--json", &log]).success().get_output().stdout.clone();
    let json: serde_json::Value = serde_json::from_slice(&json).expect("one object");
    assert_eq!(json["lags"]["all"][0]["late"], 3_000);
    let cases = [
        (vec![], "name one log file"),
        (vec!["--bound", "soon", log.as_str()], "soon"),
        (vec!["--bond", log.as_str()], "not known"),
    ];
    assert_remedies(&run, &cases);
}

/// Checks that each of these argument lists is refused with its remedy.
fn assert_remedies(run: &dyn Fn(&[&str]) -> Assert, cases: &[(Vec<&str>, &str)]) {
    for (args, remedy) in cases {
        let told = run(args).code(2).get_output().stderr.clone();
        assert!(String::from_utf8_lossy(&told).contains(remedy), "{args:?}");
    }
}

#[test]
fn what_servers_in_need_got_is_held_against_a_bound() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("vm-1.log");
    let line = |up: u64| {
        format!(
            "{{\"unix_ms\":{up},\"up_ms\":{up},\"vm\":\"vm-1\",\"what\":\"sent to a server in need\",\"server\":\"i-1\",\"per_second\":0.5}}\n"
        )
    };
    let lines: String = [0, 100, 200].into_iter().map(line).collect();
    std::fs::write(&file, lines).expect("the folder can be written");
    let file = file.to_str().expect("a name");
    let run = |args: &[&str]| tidestair().arg("limits").args(args).assert();
    let text = String::from_utf8(run(&[file]).success().get_output().stdout.clone()).unwrap();
    assert!(text.contains("i-1") && text.contains("1.50"), "{text}");
    run(&[file, "--bound", "1.5"]).success();
    run(&[file, "--bound", "1.4"]).code(1);
    run(&[file, "--window", "100", "--bound", "19"]).code(1);
    run(&[file, "--window", "0"]).code(2);
    run(&[]).code(2);
    let json = run(&[file, "--json"]).success().get_output().stdout.clone();
    let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
    assert_eq!(json["rows"][0]["most"], 3);
}
