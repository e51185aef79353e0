//! Tests of the operators' client with a real entry.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use expect_test::{Expect, expect};
use standin::{FleetPlan, ProcessFleet};

/// Runs `fulmarline ctl` against one entry.
struct Ctl {
    entry: String,
    token_file: PathBuf,
}

impl Ctl {
    /// Runs the client, and compares its exit code and output with `expected`.
    fn check(&self, args: &[&str], expected: Expect) {
        let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
            .args(["ctl", "--entry", &self.entry, "--token-file"])
            .arg(&self.token_file)
            .args(args)
            .output()
            .unwrap();
        let transcript = format!(
            "exit {}\n{}{}",
            output.status.code().unwrap(),
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
        expected.assert_eq(&transcript);
    }
}

fn operators_address(dir: &Path) -> String {
    let text = std::fs::read_to_string(dir.join("entry-1.jsonc")).unwrap();
    let settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["listen"]["operators"]
        .as_str()
        .unwrap()
        .to_string()
}

#[test]
fn statements_and_exit_codes() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ctl");
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_fulmarline"));
    let fleet = ProcessFleet::start(FleetPlan::uniform(binary, dir.clone(), 1, 0)).unwrap();
    let entry_is_ready = |it: &ProcessFleet| {
        let state = it.state("entry-1").ok()?;
        (state["own"]["ready"] == true).then_some(())
    };
    fleet
        .wait_for("the entry", Duration::from_secs(20), entry_is_ready)
        .unwrap();
    let ctl = Ctl {
        entry: operators_address(&dir),
        token_file: dir.join("operator"),
    };
    ctl.check(
        &["--wait", "20", "-e", "deny north"],
        expect![[r#"
            exit 0
            accepted at revision 1, in force on 1 of 1 hosts
        "#]],
    );
    ctl.check(
        &["-e", "show organisations organisation, denied"],
        expect![[r#"
            exit 0
            organisation  denied
            north         yes
        "#]],
    );
    ctl.check(
        &["--json", "-e", "show organisations organisation"],
        expect![[r#"
            exit 0
            {"accepted":null,"code":0,"columns":["organisation"],"error":null,"in_force":null,"message":"1 rows","name":"ok","revision":null,"rows":[["north"]]}
        "#]],
    );
    ctl.check(
        &["-e", "drian host"],
        expect![[r#"
            exit 3
            drian host
            ^^^^^
            400 bad-command: expected a command, found "drian"; did you mean "drain"?
        "#]],
    );
    ctl.check(
        &["--completion", "fish"],
        expect![[r#"
            exit 2
            fulmarline: no completion for "fish"; there is one for bash
        "#]],
    );
}
