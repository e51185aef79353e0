//! Checks that only the `platform` crate refers to names of the platform's protocol.

use std::path::{Path, PathBuf};

/// Names of calls, headers and fields of the platform's protocol that have no other use in fulmarline.
const WIRE_NAMES: [&str; 23] = [
    "rows-tx",
    "rows-get",
    "rows-feed",
    "stage-put",
    "stage-get",
    "/fulmarline/",
    "route-stamp",
    "expect-replica",
    "not-executed",
    "weight-versions",
    "server-limit",
    "server-leaving",
    "store-era",
    "token-count",
    "prefix-hash",
    "expectrev",
    "sincerev",
    "coldleftms",
    "slo_ms",
    "maxattempts",
    "portrange",
    "gapaimms",
    "fulmarline_boot",
];

#[test]
fn wire_names_occur_only_in_the_platform_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join("crates")).unwrap() {
        let path = entry.unwrap().path();
        // The stand-ins emulate the platform and use its names. They are not shipped.
        if path
            .file_name()
            .is_some_and(|it| it != "standin" && it != "xtask")
        {
            collect_sources(&path.join("src"), &mut files);
        }
    }
    assert!(files.len() > 100);
    let mut violations = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_lowercase();
        let found = WIRE_NAMES.iter().filter(|it| text.contains(**it));
        violations.extend(found.map(|it| format!("{it} in {}", file.display())));
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Collects the Rust source files below `dir`.
fn collect_sources(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|it| it == "rs") {
            files.push(path);
        }
    }
}
