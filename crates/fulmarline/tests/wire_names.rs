//! The users' platform has one place in the shipped code.

use std::path::{Path, PathBuf};

/// Names that the platform gives to its calls, headers and fields, and that fulmarline has no use for elsewhere.
const WIRE_NAMES: [&str; 20] = [
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
fn wire_names_stand_in_platform_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root.join("crates")).unwrap() {
        let path = entry.unwrap().path();
        // Stand-ins play the platform, so they speak its names; they are not shipped.
        if path
            .file_name()
            .is_some_and(|it| it != "standin" && it != "xtask")
        {
            collect(&path.join("src"), &mut files);
        }
    }
    assert!(files.len() > 100);
    let mut hits = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap().to_lowercase();
        let found = WIRE_NAMES.iter().filter(|it| text.contains(**it));
        hits.extend(found.map(|it| format!("{it} in {}", file.display())));
    }
    assert_eq!(hits, Vec::<String>::new());
}

fn collect(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|it| it == "rs") {
            files.push(path);
        }
    }
}
