//! The settings in `examples/` are valid and contain the expected roles, targets and profiles.

use std::fs;
use std::path::{Path, PathBuf};

use expect_test::{Expect, expect};
use settings::{Settings, TargetSettings};

fn check(example: &str, expected: Expect) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut report = String::new();
    for file in settings_files(&folder.join(example)) {
        let name = file.file_name().expect("a file has a name");
        let settings = settings::read(&file).unwrap_or_else(|err| panic!("{err}"));
        report += &format!("{}: {}\n", name.display(), summary(&settings));
    }
    expected.assert_eq(&report);
}

fn settings_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the example folder can be read");
    let paths = entries.map(|it| it.expect("the folder entry can be read").path());
    let mut files: Vec<PathBuf> = paths
        .filter(|it| it.extension().is_some_and(|it| it == "jsonc"))
        .collect();
    files.sort();
    files
}

fn summary(settings: &Settings) -> String {
    match settings {
        Settings::Entry(entry) => format!(
            "entry {} with {} callers, {:?} {}",
            entry.host.name,
            entry.callers.len(),
            entry.spread.profile,
            entry.spread.origin_copies
        ),
        Settings::Agent(agent) => match &agent.target {
            TargetSettings::Model { model, .. } => format!("{} serves {model}", agent.host.name),
            TargetSettings::Service { service, .. } => {
                format!("{} serves {service}", agent.host.name)
            }
        },
    }
}

#[test]
fn prixsaison() {
    check(
        "prixsaison",
        expect![[r#"
        entry.jsonc: entry entry-mtl-1 with 10 callers, Time 4
        model-agent.jsonc: model-mtl-1 serves buyers-assistant
        ordering-agent.jsonc: ordering-mtl-1 serves ordering
        portal-agent.jsonc: portal-mtl-1 serves portal
    "#]],
    );
}

#[test]
fn trilhos_miudos() {
    check(
        "trilhos-miudos",
        expect![[r#"
        administration-agent.jsonc: administration-sul-1 serves administration
        entry.jsonc: entry entry-sul-1 with 10 callers, Bytes 1
        model-agent.jsonc: model-sul-1 serves workbench-guide
        orders-agent.jsonc: orders-sul-1 serves orders
    "#]],
    );
}
