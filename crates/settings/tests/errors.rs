//! Broken settings, each with its message.

use std::path::Path;

use expect_test::{Expect, expect};

/// Replaces `from` by `to` in a valid file and compares the errors of the result.
fn check(file: &str, from: &str, to: &str, expected: Expect) {
    let path = Path::new("tests/data").join(file);
    let text = std::fs::read_to_string(&path).expect("the valid file is there");
    assert!(text.contains(from), "{file} does not contain {from:?}");
    check_text(&text.replacen(from, to, 1), &path, expected);
}

fn check_text(text: &str, path: &Path, expected: Expect) {
    let message = match settings::parse(text, path) {
        Ok(_) => "accepted".to_owned(),
        Err(err) => err.to_string(),
    };
    expected.assert_eq(&message);
}

fn check_entry(from: &str, to: &str, expected: Expect) {
    check("entry.jsonc", from, to, expected);
}

fn check_agent(from: &str, to: &str, expected: Expect) {
    check("model-agent.jsonc", from, to, expected);
}

#[test]
fn unknown_field() {
    check_entry(
        "\"max_streams\": 90",
        "\"max_stream\": 90",
        expect![[
            r#"tests/data/entry.jsonc:21:5: limits.max_stream: unknown field; did you mean "max_streams"?"#
        ]],
    );
    check_entry(
        "\"prefix\"",
        "\"completely_else\"",
        expect!["tests/data/entry.jsonc:32:44: metrics.completely_else: unknown field"],
    );
}

#[test]
fn missing_field() {
    check_entry(
        "\"zone\": \"z1\",",
        "",
        expect!["tests/data/entry.jsonc:4:11: host.zone: this field is required"],
    );
    check_entry(
        "\"role\": \"entry\",",
        "",
        expect!["tests/data/entry.jsonc:1:1: role: this field is required"],
    );
}

#[test]
fn wrong_type() {
    check_entry(
        "\"max_headers\": 32",
        "\"max_headers\": \"32\"",
        expect![
            "tests/data/entry.jsonc:23:20: limits.max_headers: expected a whole number, found a string"
        ],
    );
    check_entry(
        "\"queue_length\": 10",
        "\"queue_length\": 1.5",
        expect![
            "tests/data/entry.jsonc:28:21: limits.queue_length: expected a whole number, found a number with a fraction or exponent"
        ],
    );
    check_agent(
        "\"checks_fencing\": true",
        "\"checks_fencing\": null",
        expect![
            "tests/data/model-agent.jsonc:18:23: target.checks_fencing: expected true or false, found null"
        ],
    );
    check_agent(
        "[\"127.0.0.1:7003\"]",
        "\"127.0.0.1:7003\"",
        expect!["tests/data/model-agent.jsonc:13:14: entries: expected a list, found a string"],
    );
    check_text(
        "[]",
        Path::new("list.jsonc"),
        expect!["list.jsonc:1:1: expected an object, found a list"],
    );
}

#[test]
fn bad_address() {
    check_entry(
        "\"ip\": \"127.0.0.1\"",
        "\"ip\": \"127.0.0.256\"",
        expect![[r#"tests/data/entry.jsonc:4:63: host.ip: "127.0.0.256" is not an IP address"#]],
    );
    check_entry(
        "127.0.0.1:7001",
        "127.0.0.1:77001",
        expect![[
            r#"tests/data/entry.jsonc:6:16: listen.callers: "127.0.0.1:77001" is not an address of the form IP:PORT with a port from 1 to 65535"#
        ]],
    );
    check_entry(
        "127.0.0.1:7001",
        "localhost:7001",
        expect![[
            r#"tests/data/entry.jsonc:6:16: listen.callers: "localhost:7001" is not an address of the form IP:PORT with a port from 1 to 65535"#
        ]],
    );
    check_entry(
        "127.0.0.1:7001",
        "127.0.0.1:0",
        expect![
            "tests/data/entry.jsonc:6:16: listen.callers: port 0 is not allowed: other processes must know the port"
        ],
    );
    check_entry(
        "127.0.0.1:7001",
        "0.0.0.0:7001",
        expect![
            "tests/data/entry.jsonc:6:16: listen.callers: nobody can connect to an unspecified address; name the address of the host"
        ],
    );
    check_agent(
        "\"gate\": \"127.0.1.1:7201\", ",
        "",
        expect![
            "tests/data/model-agent.jsonc:11:16: advertise.gate: nobody can connect to an unspecified address; set this field because the agent listens on all addresses"
        ],
    );
}

#[test]
fn bad_name_or_word() {
    check_entry(
        "\"name\": \"e1\"",
        "\"name\": \"e 1\"",
        expect![
            "tests/data/entry.jsonc:4:21: host.name: the host name holds ' '; allowed are letters, digits, '.', '_' and '-'"
        ],
    );
    check_entry(
        "\"profile\": \"time\"",
        "\"profile\": \"fast\"",
        expect![[
            r#"tests/data/entry.jsonc:31:26: spread.profile: "fast" is not one of time, bytes"#
        ]],
    );
    check_entry(
        "\"role\": \"entry\"",
        "\"role\": \"\"",
        expect!["tests/data/entry.jsonc:3:11: role: the text is empty"],
    );
}

#[test]
fn out_of_range() {
    check_entry(
        "\"origin_copies\": 3.5",
        "\"origin_copies\": 0.5",
        expect![
            "tests/data/entry.jsonc:31:51: spread.origin_copies: 0.5 is not in the range from 1 to 64"
        ],
    );
    check_agent(
        "\"heartbeat_ms\": 500",
        "\"heartbeat_ms\": -1",
        expect![
            "tests/data/model-agent.jsonc:41:19: heartbeat_ms: -1 is not in the range from 50 to 5000"
        ],
    );
    check_agent(
        "\"max_in_flight\": 16",
        "\"max_in_flight\": 0",
        expect![
            "tests/data/model-agent.jsonc:20:22: target.max_in_flight: 0 is not in the range from 1 to 100000"
        ],
    );
}

#[test]
fn contradictory_limits() {
    check_entry(
        "\"max_streams\": 90",
        "\"max_streams\": 101",
        expect![
            "tests/data/entry.jsonc:21:20: limits.max_streams: 101 is more than max_connections (100), and each stream needs a connection"
        ],
    );
    check_entry(
        "\"queue_length\": 10",
        "\"queue_length\": 91",
        expect![
            "tests/data/entry.jsonc:28:21: limits.queue_length: 91 is more than max_streams (90), and a waiting request counts as a stream"
        ],
    );
    check_entry(
        "\"body_timeout_ms\": 2000",
        "\"body_timeout_ms\": 9000",
        expect![
            "tests/data/entry.jsonc:26:24: limits.body_timeout_ms: 9000 ms is more than default_deadline_ms (3000 ms), so a slow body would outlive its request"
        ],
    );
    check_agent(
        "\"drain_warn_ms\": 10000",
        "\"drain_warn_ms\": 200",
        expect![
            "tests/data/model-agent.jsonc:40:20: drain_warn_ms: 200 ms is less than heartbeat_ms (500 ms), so every drain would be warned of"
        ],
    );
}

#[test]
fn secret_files() {
    check_entry(
        "secrets/shared-key",
        "secrets/absent",
        expect![
            "tests/data/entry.jsonc:13:22: shared_key_file: the file tests/data/secrets/absent cannot be read: No such file or directory (os error 2)"
        ],
    );
    check_entry(
        "secrets/shared-key",
        "secrets/caller",
        expect![
            "tests/data/entry.jsonc:13:22: shared_key_file: the secret in tests/data/secrets/caller is shorter than 16 bytes"
        ],
    );
    check_entry(
        "secrets/operator",
        "secrets/empty",
        expect![
            "tests/data/entry.jsonc:14:48: operators[0].token_file: the file tests/data/secrets/empty is empty"
        ],
    );
    check_entry(
        "secrets/operator",
        "secrets/two-words",
        expect![
            "tests/data/entry.jsonc:14:48: operators[0].token_file: the secret in tests/data/secrets/two-words holds a space or a character outside printable ASCII"
        ],
    );
}

#[test]
fn duplicates() {
    check_entry(
        "\"zone\": \"z1\"",
        "\"zone\": \"z1\", \"zone\": \"z2\"",
        expect!["tests/data/entry.jsonc:4:41: host.zone: this field occurs twice"],
    );
    check_entry(
        "127.0.0.1:7003",
        "127.0.0.1:7001",
        expect![
            "tests/data/entry.jsonc:8:16: listen.control: the same listen address as listen.callers"
        ],
    );
    check_entry(
        "127.0.0.3:7003",
        "127.0.0.2:7003",
        expect!["tests/data/entry.jsonc:10:33: entries[1]: the same address as entries[0]"],
    );
    check_entry(
        "secrets/other-caller",
        "secrets/caller",
        expect!["tests/data/entry.jsonc:17:5: callers[1]: the same token as callers[0]"],
    );
}

#[test]
fn syntax() {
    check_entry(
        "\"role\": \"entry\",",
        "\"role\" \"entry\",",
        expect![
            "tests/data/entry.jsonc:3:10: not JSON with comments: expected colon after the string or word in object property"
        ],
    );
    check_entry(
        "\"role\": \"entry\",",
        "'role': \"entry\",",
        expect![
            "tests/data/entry.jsonc:3:3: not JSON with comments: single-quoted strings are not allowed"
        ],
    );
    check_text(
        "",
        Path::new("empty.jsonc"),
        expect!["empty.jsonc:1:1: the file holds no settings"],
    );
    check_text(
        "{",
        Path::new("open.jsonc"),
        expect!["open.jsonc:1:1: not JSON with comments: unterminated object"],
    );
    check_text(
        "{} {}",
        Path::new("twice.jsonc"),
        expect![
            "twice.jsonc:1:4: not JSON with comments: text cannot contain more than one JSON value"
        ],
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
        Path::new("many.jsonc"),
        expect![[r#"
            many.jsonc:1:1: sources: this field is required
            many.jsonc:1:1: spread: this field is required
            many.jsonc:1:1: shared_key_file: this field is required
            many.jsonc:3:35: host.zone: expected a string, found a number
            many.jsonc:3:60: host.ip: "x" is not an IP address
            many.jsonc:4:13: listen.operators: this field is required
            many.jsonc:4:47: listen.peers: the same listen address as listen.gate
            many.jsonc:4:73: listen.control: "127.0.0.1:99999" is not an address of the form IP:PORT with a port from 1 to 65535
            many.jsonc:5:14: entries: the list needs at least one element
            many.jsonc:6:13: target.model: this field is required
            many.jsonc:6:13: target.engine: this field is required
            many.jsonc:6:13: target.checks_fencing: this field is required
            many.jsonc:6:32: target.modle: unknown field; did you mean "model"?
            many.jsonc:7:19: heartbeat_ms: 0 is not in the range from 50 to 5000"#]],
    );
}

#[test]
fn files_that_are_no_text() {
    let absent = settings::read(Path::new("tests/data/absent.jsonc"));
    expect![
        "tests/data/absent.jsonc: the file cannot be read: No such file or directory (os error 2)"
    ]
    .assert_eq(&absent.expect_err("the file is absent").to_string());
    let binary = settings::read(Path::new("tests/data/broken/not-utf8.jsonc"));
    expect!["tests/data/broken/not-utf8.jsonc:2:12: the file is not UTF-8 text"]
        .assert_eq(&binary.expect_err("the file is not UTF-8").to_string());
}
