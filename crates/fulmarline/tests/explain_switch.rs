//! What `fulmarline explain` says about requests around a switch of weights, with the real executable.

use std::path::{Path, PathBuf};
use std::process::Command;

use expect_test::{Expect, expect};
use serde_json::{Value, json};

/// Writes `lines` to a log file.
fn write_log(name: &str, lines: &[Value]) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    std::fs::write(&file, lines.join("\n")).unwrap();
    file
}

/// Compares the explanation of a send with `limit` fields with `expected`.
fn check(name: &str, limit: &Value, expected: Expect) {
    let mut line = json!({
        "msg": "time limit of a request", "level": "INFO", "ts": "2026-01-01T00:00:01Z", "host": "edge-0", "role": "entry",
        "zone": "a", "request": "r-1", "replica": "pool-a", "weights": 1,
    });
    let fields = line.as_object_mut().unwrap();
    fields.extend(limit.as_object().unwrap().clone());
    let file = write_log(name, &[line]);
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
        .args(["explain", "--request", "r-1"])
        .arg(file)
        .output()
        .unwrap();
    expected.assert_eq(&String::from_utf8_lossy(&output.stdout));
}

/// Guards against a request without a fence that looks like all others after an incident.
#[test]
fn a_time_limit_after_the_switch_is_pointed_out() {
    check(
        "unfenced.log",
        &json!({ "limit_ms": 20000, "limited_by": "none", "switch_ms": 6400, "left_ms": 20000 }),
        expect![[r#"
            2026-01-01T00:00:01Z edge-0 time limit of a request: left_ms=20000 limit_ms=20000 limited_by=none replica=pool-a switch_ms=6400 weights=1
                no time limit before the switch: without a withdrawal the replica may begin the request up to 13600 ms after it
        "#]],
    );
}

/// Guards against requests that are blamed although the time limit of their replica ends before the switch.
#[test]
fn a_time_limit_before_the_switch_is_not_pointed_out() {
    check(
        "fenced.log",
        &json!({ "limit_ms": 6300, "limited_by": "switch", "switch_ms": 6400, "left_ms": 20000 }),
        expect![[r#"
            2026-01-01T00:00:01Z edge-0 time limit of a request: left_ms=20000 limit_ms=6300 limited_by=switch replica=pool-a switch_ms=6400 weights=1
        "#]],
    );
    check(
        "fenced-client.log",
        &json!({ "limit_ms": 5000, "limited_by": "client", "switch_ms": 6400, "left_ms": 5000 }),
        expect![[r#"
            2026-01-01T00:00:01Z edge-0 time limit of a request: left_ms=5000 limit_ms=5000 limited_by=client replica=pool-a switch_ms=6400 weights=1
        "#]],
    );
}
