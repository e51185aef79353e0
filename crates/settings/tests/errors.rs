//! Error messages for invalid settings.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use expect_test::{Expect, expect};

const ENTRY: &str = "entry.jsonc";
const AGENT: &str = "model-agent.jsonc";

/// Applies each edit to a valid file, one at a time, and compares the resulting error messages.
fn check(file: &str, edits: &[(&str, &str)], expected: Expect) {
    let path = Path::new("tests/data").join(file);
    let valid = fs::read_to_string(&path).expect("the valid file can be read");
    let mut report = String::new();
    for (from, to) in edits {
        assert!(valid.contains(from), "{file} does not contain {from:?}");
        let text = valid.replacen(from, to, 1);
        let _ = writeln!(report, "{}", error_message(&text, &path));
    }
    expected.assert_eq(&report);
}

fn check_text(text: &str, expected: Expect) {
    expected.assert_eq(&error_message(text, Path::new("text.jsonc")));
}

fn error_message(text: &str, path: &Path) -> String {
    match settings::parse(text, path) {
        Ok(_) => "accepted".to_owned(),
        Err(err) => err.to_string(),
    }
}

#[test]
fn unknown_field() {
    let edits = [
        (r#""max_streams": 90"#, r#""max_stream": 90"#),
        (r#""prefix""#, r#""completely_else""#),
        (r#""region""#, r#""a\u0007b""#),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:21:5: limits.max_stream: unknown field; did you mean "max_streams"?
        tests/data/entry.jsonc:32:44: metrics.completely_else: unknown field
        tests/data/entry.jsonc:4:11: host.region: this field is required
        tests/data/entry.jsonc:4:41: host.a\u{7}b: unknown field
    "#]],
    );
}

#[test]
fn missing_field() {
    let edits = [(r#""zone": "z1","#, ""), (r#""role": "entry","#, "")];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:4:11: host.zone: this field is required
        tests/data/entry.jsonc:1:1: role: this field is required
    "#]],
    );
}

#[test]
fn wrong_type() {
    let edits = [
        (r#""max_headers": 32"#, r#""max_headers": "32""#),
        (r#""queue_length": 10"#, r#""queue_length": 1.5"#),
        (r#""profile": "time""#, r#""profile": {}"#),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:23:20: limits.max_headers: expected a whole number, found a string
        tests/data/entry.jsonc:28:21: limits.queue_length: expected a whole number, found a number with a fraction or exponent
        tests/data/entry.jsonc:31:26: spread.profile: expected a string, found an object
    "#]],
    );
    let edits = [
        (r#""checks_fencing": true"#, r#""checks_fencing": null"#),
        (r#"["127.0.0.1:7003"]"#, r#""127.0.0.1:7003""#),
    ];
    check(
        AGENT,
        &edits,
        expect![[r#"
        tests/data/model-agent.jsonc:18:23: target.checks_fencing: expected true or false, found null
        tests/data/model-agent.jsonc:13:14: entries: expected a list, found a string
    "#]],
    );
}

#[test]
fn invalid_address() {
    let edits = [
        (r#""ip": "127.0.0.1""#, r#""ip": "127.0.0.256""#),
        ("127.0.0.1:7001", "127.0.0.1:77001"),
        ("127.0.0.1:7001", "localhost:7001"),
        ("127.0.0.1:7001", "127.0.0.1:0"),
        ("127.0.0.1:7001", "0.0.0.0:7001"),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:4:63: host.ip: "127.0.0.256" is not an IP address
        tests/data/entry.jsonc:6:16: listen.callers: "127.0.0.1:77001" is not an address of the form IP:PORT with a port from 1 to 65535
        tests/data/entry.jsonc:6:16: listen.callers: "localhost:7001" is not an address of the form IP:PORT with a port from 1 to 65535
        tests/data/entry.jsonc:6:16: listen.callers: port 0 is not allowed: other processes must know the port
        tests/data/entry.jsonc:6:16: listen.callers: other processes cannot connect to an unspecified address; name the address of the host
    "#]],
    );
    let edits = [(r#""gate": "127.0.1.1:7201", "#, "")];
    check(
        AGENT,
        &edits,
        expect![[r#"
        tests/data/model-agent.jsonc:11:16: advertise.gate: other processes cannot connect to an unspecified address; set this field because the agent listens on all addresses
    "#]],
    );
}

#[test]
fn invalid_name_or_choice() {
    let edits = [
        (r#""name": "e1""#, r#""name": "e 1""#),
        (r#""profile": "time""#, r#""profile": "fast""#),
        (r#""role": "entry""#, r#""role": """#),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:4:21: host.name: the host name contains ' '; allowed are letters, digits, '.', '_' and '-'
        tests/data/entry.jsonc:31:26: spread.profile: "fast" is not one of time, bytes
        tests/data/entry.jsonc:3:11: role: the string is empty
    "#]],
    );
}

#[test]
fn out_of_range() {
    let edits = [(r#""origin_copies": 3.5"#, r#""origin_copies": 0.5"#)];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:31:51: spread.origin_copies: 0.5 is not in the range from 1 to 64
    "#]],
    );
    let edits = [
        (r#""heartbeat_ms": 500"#, r#""heartbeat_ms": -1"#),
        (r#""max_in_flight": 16"#, r#""max_in_flight": 0"#),
    ];
    check(
        AGENT,
        &edits,
        expect![[r#"
        tests/data/model-agent.jsonc:41:19: heartbeat_ms: -1 is not in the range from 50 to 5000
        tests/data/model-agent.jsonc:20:22: target.max_in_flight: 0 is not in the range from 1 to 100000
    "#]],
    );
}

#[test]
fn conflicting_limits() {
    let edits = [
        (r#""max_streams": 90"#, r#""max_streams": 101"#),
        (r#""queue_length": 10"#, r#""queue_length": 91"#),
        (r#""body_timeout_ms": 2000"#, r#""body_timeout_ms": 9000"#),
        (
            r#""max_held_body_bytes": 1048576"#,
            r#""max_held_body_bytes": 65535"#,
        ),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
            tests/data/entry.jsonc:21:20: limits.max_streams: 101 is more than max_connections (100), and each stream needs a connection
            tests/data/entry.jsonc:28:21: limits.queue_length: 91 is more than max_streams (90), and a waiting request counts as a stream
            tests/data/entry.jsonc:26:24: limits.body_timeout_ms: 9000 ms is more than default_deadline_ms (3000 ms), so a slow body would outlive its request
            tests/data/entry.jsonc:22:53: limits.max_held_body_bytes: 65535 is less than max_body_bytes (65536), so the largest body would always be refused
        "#]],
    );
    let edits = [(r#""drain_warn_ms": 10000"#, r#""drain_warn_ms": 200"#)];
    check(
        AGENT,
        &edits,
        expect![[r#"
        tests/data/model-agent.jsonc:40:20: drain_warn_ms: 200 ms is less than heartbeat_ms (500 ms), so every drain would be logged as a warning
    "#]],
    );
}

#[test]
fn secret_files() {
    let edits = [
        ("secrets/shared-key", "secrets/absent"),
        ("secrets/shared-key", "secrets"),
        ("secrets/shared-key", "secrets/caller"),
        ("secrets/operator", "secrets/empty"),
        ("secrets/operator", "secrets/two-words"),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:13:22: shared_key_file: the file "tests/data/secrets/absent" cannot be read: No such file or directory (os error 2)
        tests/data/entry.jsonc:13:22: shared_key_file: the file "tests/data/secrets" cannot be read: Is a directory (os error 21)
        tests/data/entry.jsonc:13:22: shared_key_file: the secret in "tests/data/secrets/caller" is shorter than 16 bytes
        tests/data/entry.jsonc:14:48: operators[0].token_file: the file "tests/data/secrets/empty" is empty
        tests/data/entry.jsonc:14:48: operators[0].token_file: the secret in "tests/data/secrets/two-words" contains a space or a character outside printable ASCII
    "#]],
    );
}

#[test]
fn duplicates() {
    let edits = [
        (r#""zone": "z1""#, r#""zone": "z1", "zone": "z2""#),
        ("127.0.0.1:7003", "127.0.0.1:7001"),
        ("127.0.0.3:7003", "127.0.0.2:7003"),
        ("secrets/other-caller", "secrets/caller"),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:4:41: host.zone: this field occurs twice
        tests/data/entry.jsonc:8:16: listen.control: the same listen address as listen.callers
        tests/data/entry.jsonc:10:33: entries[1]: the same address as entries[0]
        tests/data/entry.jsonc:17:5: callers[1]: the same token as callers[0]
    "#]],
    );
}

#[test]
fn syntax() {
    let edits = [
        (r#""role": "entry","#, r#""role" "entry","#),
        (r#""role": "entry","#, r#"'role': "entry","#),
        (r#""role": "entry","#, r#""role": "entry""#),
    ];
    check(
        ENTRY,
        &edits,
        expect![[r#"
        tests/data/entry.jsonc:3:10: not JSON with comments: expected colon after the string or word in object property
        tests/data/entry.jsonc:3:3: not JSON with comments: single-quoted strings are not allowed
        tests/data/entry.jsonc:3:18: not JSON with comments: expected comma
    "#]],
    );
    check_text("", expect!["text.jsonc:1:1: the file contains no settings"]);
    check_text(
        "{",
        expect!["text.jsonc:1:1: not JSON with comments: unterminated object"],
    );
    check_text(
        "{} {}",
        expect![
            "text.jsonc:1:4: not JSON with comments: text cannot contain more than one JSON value"
        ],
    );
    check_text(
        "[]",
        expect!["text.jsonc:1:1: expected an object, found a list"],
    );
}

#[test]
fn all_errors_at_once() {
    check_text(
        r#"{
  "role": "agent",
  "host": { "name": "m1", "zone": 7, "region": "r1", "ip": "x" },
  "listen": { "gate": "127.0.0.1:1", "peers": "127.0.0.1:1", "control": "127.0.0.1:99999" },
  "entries": [],
  "target": { "kind": "model", "modle": "chat" },
  "heartbeat_ms": 0,
}"#,
        expect![[r#"
            text.jsonc:1:1: sources: this field is required
            text.jsonc:1:1: spread: this field is required
            text.jsonc:1:1: shared_key_file: this field is required
            text.jsonc:3:35: host.zone: expected a string, found a number
            text.jsonc:3:60: host.ip: "x" is not an IP address
            text.jsonc:4:13: listen.operators: this field is required
            text.jsonc:4:47: listen.peers: the same listen address as listen.gate
            text.jsonc:4:73: listen.control: "127.0.0.1:99999" is not an address of the form IP:PORT with a port from 1 to 65535
            text.jsonc:5:14: entries: the list must have at least one element
            text.jsonc:6:13: target.model: this field is required
            text.jsonc:6:13: target.engine: this field is required
            text.jsonc:6:13: target.checks_fencing: this field is required
            text.jsonc:6:32: target.modle: unknown field; did you mean "model"?
            text.jsonc:7:19: heartbeat_ms: 0 is not in the range from 50 to 5000"#]],
    );
}

/// A line break in a file name must be escaped; printed as is, it would split one error over two lines.
#[test]
fn one_line_per_error() {
    check(
        ENTRY,
        &[("secrets/shared-key", "secrets/sha\nred-key")],
        expect![[r#"
            tests/data/entry.jsonc:13:22: shared_key_file: the file "tests/data/secrets/sha\nred-key" cannot be read: No such file or directory (os error 2)
        "#]],
    );
}

#[test]
fn absent_and_binary_files() {
    let absent = settings::read(Path::new("tests/data/absent.jsonc"));
    let binary = settings::read(Path::new("tests/data/not-utf8.jsonc"));
    let messages =
        [absent, binary].map(|it| it.expect_err("the file is not valid text").to_string());
    expect![[r#"
        tests/data/absent.jsonc: the file cannot be read: No such file or directory (os error 2)
        tests/data/not-utf8.jsonc:2:12: the file is not UTF-8 text"#]]
    .assert_eq(&messages.join("\n"));
}
