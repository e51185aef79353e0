//! Arguments, exit codes and the check of settings, with the real program.

use std::path::Path;
use std::process::Command;

use expect_test::{Expect, expect};

/// Runs the program in the folder of the examples and compares its exit code and what it printed.
fn check(args: &[&str], expected: Expect) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
        .args(args)
        .current_dir(folder)
        .output()
        .expect("the program starts");
    let code = output.status.code().expect("the program ends by itself");
    let report = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    expected.assert_eq(&report);
}

#[test]
fn version_and_missing_command() {
    check(&["--version"], expect![[r#""#]]);
    check(&[], expect![[r#""#]]);
    check(&["entry"], expect![[r#""#]]);
    check(&["start"], expect![[r#""#]]);
}

#[test]
fn examples_are_valid() {
    check(&["check", "prixsaison/entry.jsonc"], expect![[r#""#]]);
    check(
        &["check", "trilhos-miudos/orders-agent.jsonc"],
        expect![[r#""#]],
    );
}

#[test]
fn bad_settings_start_nothing() {
    check(&["check", "README.md"], expect![[r#""#]]);
    check(&["check", "prixsaison/README.md"], expect![[r#""#]]);
    check(
        &["entry", "--settings", "prixsaison/README.md"],
        expect![[r#""#]],
    );
    check(
        &["agent", "--settings", "prixsaison/entry.jsonc"],
        expect![[r#""#]],
    );
}
