//! Tests of arguments, exit codes and the validation of settings with the real executable.

use std::path::Path;
use std::process::Command;

use expect_test::{Expect, expect};

/// Runs the program in the `examples` directory, and compares its exit code and output with `expected`.
fn check(args: &[&str], expected: Expect) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
        .args(args)
        .current_dir(directory)
        .output()
        .expect("the program starts");
    let code = output
        .status
        .code()
        .expect("the program exits without a signal");
    let transcript = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    expected.assert_eq(&transcript);
}

#[test]
fn version_and_missing_command() {
    check(
        &["--version"],
        expect![[r#"
        exit 0
        fulmarline 0.1.0
    "#]],
    );
    check(
        &[],
        expect![[r#"
        exit 2
        fulmarline: a command is required, see fulmarline --help
    "#]],
    );
    check(
        &["entry"],
        expect![[r#"
            exit 2
            fulmarline: --settings is missing and FULMARLINE_BOOT is not set
        "#]],
    );
    check(
        &["start"],
        expect![[r#"
        exit 2
        unexpected argument: "start"
    "#]],
    );
}

#[test]
fn examples_are_valid() {
    check(
        &["check", "prixsaison/entry.jsonc"],
        expect![[r#"
        exit 0
        prixsaison/entry.jsonc: valid settings of entry entry-mtl-1 in mtl-a, montreal
    "#]],
    );
    check(
        &["check", "trilhos-miudos/orders-agent.jsonc"],
        expect![[r#"
            exit 0
            trilhos-miudos/orders-agent.jsonc: valid settings of agent orders-sul-1 in sul-b, sul
        "#]],
    );
}

#[test]
fn invalid_settings_are_rejected() {
    check(
        &["check", "README.md"],
        expect![[r#"
        exit 2
        README.md: the file cannot be read: No such file or directory (os error 2)
    "#]],
    );
    check(
        &["check", "prixsaison/README.md"],
        expect![[r#"
        exit 2
        prixsaison/README.md:1:1: not JSON with comments: unexpected token
    "#]],
    );
    check(
        &["entry", "--settings", "prixsaison/README.md"],
        expect![[r#"
            exit 2
            prixsaison/README.md:1:1: not JSON with comments: unexpected token
        "#]],
    );
    check(
        &["agent", "--settings", "prixsaison/entry.jsonc"],
        expect![[r#"
            exit 2
            prixsaison/entry.jsonc: role: these are the settings of an entry, but the command is agent
        "#]],
    );
}
