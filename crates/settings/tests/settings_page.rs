//! `docs/SETTINGS.md` lists exactly the fields that the walker looks up.

use std::collections::BTreeSet;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Headings of the page and settings whose fields they must list.
const SETTINGS_BY_HEADING: &[(&str, &str)] = &[
    ("## Entry", include_str!("data/entry.jsonc")),
    ("## Agent", include_str!("data/model-agent.jsonc")),
    ("## Agent", include_str!("data/service-agent.jsonc")),
];

/// Returns the fields in the table rows below `heading`, up to the next heading of the same level.
fn fields_of_page(heading: &str) -> BTreeSet<String> {
    let start = PAGE.find(heading).expect("the page has the heading");
    let below = &PAGE[start + heading.len()..];
    let part = &below[..below.find("\n## ").unwrap_or(below.len())];
    let rows = part.lines().filter_map(|it| it.strip_prefix("| `"));
    rows.filter_map(|it| it.split('`').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_field_is_on_the_page() {
    for heading in ["## Entry", "## Agent"] {
        let matching = SETTINGS_BY_HEADING.iter().filter(|(it, _)| *it == heading);
        let fields: BTreeSet<String> = matching
            .flat_map(|(_, text)| settings::known_fields(text, Path::new("tests/data/any.jsonc")))
            .collect();
        assert_eq!(fields_of_page(heading), fields, "{heading}");
    }
}
