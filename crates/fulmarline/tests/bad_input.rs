//! Invalid requests and commands against real processes: each gets a result code, and the entry keeps serving.

mod support;

use std::fs;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};
use standin::{FleetPlan, ProcessFleet};
use support::raw_http::{request, send};

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts one entry with low limits and one service, and rolls out a model that no engine serves.
fn start_fleet(name: &str) -> ProcessFleet {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut plan = FleetPlan::uniform(binary, dir.clone(), 1, 0);
    plan.weight_bytes = 64 << 10;
    plan.add_service("shop-1", "shop", 0);
    let mut fleet = ProcessFleet::prepare(plan).expect("the fleet is prepared");
    set_low_limits(&dir);
    for process in fleet.process_names() {
        fleet.start_process(&process).expect("the process starts");
    }
    fleet
        .command_until_accepted("entry-1", "rollout demo v1", "rollout-1", WAIT_TIMEOUT)
        .expect("the model is accepted");
    fleet
        .wait_for("the service", WAIT_TIMEOUT, |it| {
            it.entries_see_targets(1).then_some(())
        })
        .expect("the service is known to the entry");
    fleet
}

fn set_low_limits(dir: &Path) {
    let (file, mut settings) = read_settings(dir, "entry-1");
    settings["limits"]["max_body_bytes"] = json!(1024);
    settings["limits"]["max_headers"] = json!(16);
    settings["limits"]["max_header_bytes"] = json!(8192);
    settings["limits"]["header_timeout_ms"] = json!(2000);
    settings["limits"]["body_timeout_ms"] = json!(2000);
    fs::write(&file, settings.to_string()).expect("the settings can be written");
}

fn read_settings(dir: &Path, host: &str) -> (PathBuf, Value) {
    let file = fs::read_dir(dir)
        .expect("the directory exists")
        .map(|it| it.expect("the directory can be read").path())
        .find(|it| it.file_stem().is_some_and(|it| it == host))
        .expect("the host has settings");
    let text = fs::read_to_string(&file).expect("the settings can be read");
    let settings = serde_json::from_str(&text).expect("the settings are JSON");
    (file, settings)
}

fn listen_address(fleet: &ProcessFleet, host: &str, listener: &str) -> SocketAddr {
    let (_, settings) = read_settings(&fleet.plan().dir, host);
    let address = settings["listen"][listener].as_str();
    address
        .and_then(|it| it.parse().ok())
        .expect("the settings hold an address")
}

/// Sends the request of each case, and checks the result and that the message contains the expected text.
fn check(address: SocketAddr, cases: Vec<(&str, Vec<u8>, &str, &str)>) {
    for (name, bytes, result, expected_text) in cases {
        let response = send(address, &bytes, Shutdown::Read);
        let message = response.strip_prefix(&format!("{result}: "));
        let message =
            message.unwrap_or_else(|| panic!("{name}: expected {result}, got {response}"));
        assert!(
            message.contains(expected_text),
            "{name}: {expected_text:?} is not in {response}"
        );
    }
}

#[test]
fn invalid_requests() {
    let fleet = start_fleet("bad-input-requests");
    let address = fleet.callers()[0];
    let post = "POST /v1/completions";
    let many = vec!["x-filler: 1"; 40];
    let long = format!("x-filler: {}", "a".repeat(20_000));
    let good = br#"{"model":"demo","prompt":"hi"}"#;
    let malformed = "400, 100 bad-request";
    let get_shop = "GET /services/shop/hours";
    let no_token = b"GET /services/shop/hours HTTP/1.1\r\nhost: entry\r\n\r\n".to_vec();
    let binary = [
        &b"GET /services/shop/x HTTP/1.1\r\nx-priority: \xff\xfe\r\n"[..],
        b"authorization: Bearer token-north\r\n\r\n",
    ]
    .concat();
    let deadline = "fulmarline-deadline-ms";
    let header = |text: &str| request(post, &[text], good);
    let body = |bytes: &[u8]| request(post, &[], bytes);
    check(
        address,
        vec![
            (
                "not HTTP",
                b"hello\r\n\r\n".to_vec(),
                malformed,
                "request line",
            ),
            (
                "bad version",
                b"GET / HTTP/9.9\r\n\r\n".to_vec(),
                malformed,
                "HTTP/1.1",
            ),
            (
                "bad header name",
                header("bad name: 1"),
                malformed,
                "header",
            ),
            (
                "two lengths",
                request(post, &["content-length: 1", "content-length: 2"], b"{}"),
                malformed,
                "header",
            ),
            (
                "many headers",
                request(post, &many, good),
                "431, 105 headers-too-large",
                "headers",
            ),
            (
                "long header",
                header(&long),
                "431, 105 headers-too-large",
                "headers",
            ),
            ("no token", no_token, "401, 101 unauthorized", "token"),
            (
                "two tokens",
                header("authorization: Bearer token-south"),
                malformed,
                "authorization",
            ),
            (
                "unknown path",
                request("GET /nowhere", &[], b""),
                "404, 103 not-found",
                "/nowhere",
            ),
            (
                "wrong method",
                request("GET /v1/completions", &[], b""),
                "405, 107 method-not-allowed",
                "POST",
            ),
            (
                "large body",
                body(&[b'x'; 200_000]),
                "413, 104 too-large",
                "body",
            ),
            (
                "body is not UTF-8",
                body(b"{\"model\":\"\xff\"}"),
                malformed,
                "body",
            ),
            ("body is not JSON", body(b"model=demo"), malformed, "body"),
            (
                "body without model",
                body(b"{\"prompt\":\"hi\"}"),
                malformed,
                "model",
            ),
            (
                "bad model name",
                body(b"{\"model\":\"a b\"}"),
                malformed,
                "model name",
            ),
            (
                "unknown model",
                body(b"{\"model\":\"other\"}"),
                "404, 103 not-found",
                "other",
            ),
            ("unserved model", body(good), "503, 202 no-target", ""),
            (
                "unknown service",
                request("GET /services/other/x", &[], b""),
                "404, 103 not-found",
                "other",
            ),
            (
                "bad service name",
                request("GET /services/%20/x", &[], b""),
                malformed,
                "service name",
            ),
            (
                "bad deadline",
                header("fulmarline-deadline-ms: soon"),
                malformed,
                deadline,
            ),
            (
                "no time left",
                header("fulmarline-deadline-ms: 0"),
                malformed,
                deadline,
            ),
            (
                "two deadlines",
                request(
                    post,
                    &["fulmarline-deadline-ms: 9", "fulmarline-deadline-ms: 9"],
                    good,
                ),
                malformed,
                deadline,
            ),
            (
                "bad priority",
                header("x-priority: 10"),
                malformed,
                "x-priority",
            ),
            ("header is not text", binary, malformed, "x-priority"),
            (
                "bad key",
                request("POST /services/shop/x", &["idempotency-key: "], b"{}"),
                malformed,
                "idempotency-key",
            ),
            ("good request", request(get_shop, &[], b""), "200, 0 ok", ""),
        ],
    );
}

#[test]
fn slow_and_truncated_requests() {
    let fleet = start_fleet("bad-input-slow");
    let address = fleet.callers()[0];
    let slow_head = b"POST /v1/completions HTTP/1.1\r\nhost: en".to_vec();
    let slow_body = request(
        "POST /v1/completions",
        &["content-length: 100"],
        b"{\"model\"",
    );
    check(
        address,
        vec![
            ("slow head", slow_head, "408, 106 too-slow", "headers"),
            ("slow body", slow_body.clone(), "408, 106 too-slow", "body"),
        ],
    );
    let truncated = send(address, &slow_body, Shutdown::Write);
    assert!(
        truncated.starts_with("400, 100 bad-request: "),
        "{truncated}"
    );
    let good = request("GET /services/shop/hours", &[], b"");
    check(address, vec![("good request", good, "200, 0 ok", "")]);
}

#[test]
fn invalid_commands() {
    let fleet = start_fleet("bad-input-commands");
    for text in [
        "",
        "rollout",
        "rollot demo v1",
        "drain nobody",
        "set",
        "\u{0}\u{7}",
        "show nothing",
    ] {
        let response = fleet
            .command("entry-1", text, "command-1")
            .expect("the entry responds");
        assert_eq!(
            (response.code, response.name.as_str()),
            (400, "bad-command"),
            "{text:?}"
        );
        assert!(!response.message.is_empty(), "{text:?}");
    }
    let good = fleet
        .command("entry-1", "pause demo", "command-2")
        .expect("the entry responds");
    assert_eq!(good.code, 0, "{good:?}");
}

#[test]
fn logs_are_json_lines_and_show_no_secret() {
    let mut fleet = start_fleet("bad-input-logs");
    let address = fleet.callers()[0];
    let bad = request(
        "POST /v1/completions",
        &["authorization: Bearer token-south"],
        b"{}",
    );
    send(address, &bad, Shutdown::Read);
    for name in fleet.process_names() {
        let dump = fleet
            .state(&name)
            .expect("the process dumps its state")
            .to_string();
        let process = fleet.process(&name);
        process.terminate();
        let status = process.wait(WAIT_TIMEOUT).expect("the planned stop ends");
        assert!(status.success(), "{name}: {status}");
        let log = process.log_text();
        assert!(!log.is_empty(), "{name}");
        for line in log.lines() {
            let line: Value =
                serde_json::from_str(line).unwrap_or_else(|err| panic!("{err}: {line}"));
            assert_eq!(line["host"], name.as_str());
            assert!(line["role"].is_string() && line["zone"].is_string() && line["ts"].is_string());
        }
        for secret in [
            "token-north",
            "token-south",
            "operator-token",
            "shared-key-of",
        ] {
            assert!(
                !log.contains(secret) && !dump.contains(secret),
                "{name} shows {secret}"
            );
        }
    }
}

#[test]
fn unauthorized_clients_are_refused() {
    let mut fleet = start_fleet("bad-input-strangers");
    let refused = "401, 101 unauthorized";
    let dump = request("GET /debug/state", &[], b"");
    let attempt = "fulmarline-attempt: 00000000000000000000000000000001";
    let direct = request("GET /hours", &[attempt], b"");
    for host in ["entry-1", "shop-1"] {
        let address = listen_address(&fleet, host, "operators");
        check(
            address,
            vec![("caller's token", dump.clone(), refused, "token")],
        );
        // Bytes that are not a handshake get no response and must not affect the process.
        let mut control = TcpStream::connect(listen_address(&fleet, host, "control"))
            .expect("the control listener accepts connections");
        control
            .write_all(&[7; 4096])
            .expect("the bytes can be sent");
    }
    let gate = listen_address(&fleet, "shop-1", "gate");
    check(
        gate,
        vec![("caller's token at the gate", direct, refused, "gate")],
    );
    let good = request("GET /services/shop/hours", &[], b"");
    let address = fleet.callers()[0];
    check(address, vec![("good request", good, "200, 0 ok", "")]);
    let process = fleet.process("shop-1");
    process.terminate();
    process.wait(WAIT_TIMEOUT).expect("the planned stop ends");
    assert!(
        process
            .log_text()
            .contains("request without the gate's token")
    );
}
