//! Arbitrary text must not make the parser panic.

use std::path::Path;

use arbtest::arbitrary::{Result, Unstructured};

const VALID_SETTINGS: &[&str] = &[
    include_str!("data/entry.jsonc"),
    include_str!("data/model-agent.jsonc"),
    include_str!("data/service-agent.jsonc"),
];

/// Fragments inserted into valid settings: brackets, numbers and strings at the limits, and broken syntax.
const FRAGMENTS: &[&str] = &[
    "{",
    "}",
    "[",
    "]",
    "\"",
    ",",
    ":",
    "null",
    "true",
    "-1",
    "1e999",
    "0.5",
    "\"é\"",
    "/*",
    "//",
    "\\u0000",
    "\u{feff}",
    "\r\n",
    "99999999999999999999",
    "\"0.0.0.0:0\"",
    "\"[::1]:7\"",
    "'",
    "NaN",
];

/// Returns fixed seeds, so that every run gives the same result.
///
/// The upper 32 bits of a seed initialise the random number generator and must not be 0; the lower 32 bits are the
/// number of random bytes.
///
/// `FULMARLINE_FUZZ_ROUNDS` sets the number of seeds of a longer run.
fn seeds() -> impl Iterator<Item = u64> {
    let rounds = std::env::var("FULMARLINE_FUZZ_ROUNDS").ok();
    let rounds = rounds.map_or(1000_u64, |it| it.parse().expect("a number of rounds"));
    (1..=rounds).map(|it| (it.wrapping_mul(0x9e37_79b9) << 32) | (16 + it % 240))
}

/// Parses `text` and checks the form of the error message: every line names the file, and no secret appears.
fn parse(text: &str) {
    let file = Path::new("tests/data/any.jsonc");
    if let Err(err) = settings::parse(text, file) {
        let message = err.to_string();
        assert!(!message.is_empty());
        assert!(
            message
                .lines()
                .all(|it| it.starts_with("tests/data/any.jsonc:")),
            "{message}"
        );
        assert!(
            !message.contains("caller-token"),
            "a message shows a secret"
        );
    }
    settings::known_fields(text, file);
}

#[test]
fn arbitrary_bytes() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            parse(&String::from_utf8_lossy(u.arbitrary::<&[u8]>()?));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn mutated_valid_settings() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            parse(&mutate(u)?);
            Ok(())
        })
        .seed(seed);
    }
}

/// Replaces up to four ranges of valid settings by fragments.
fn mutate(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = (*u.choose(VALID_SETTINGS)?).to_owned();
    for _ in 0..u.int_in_range(1..=4)? {
        let start = char_boundary(&text, u.int_in_range(0..=text.len())?);
        let end = char_boundary(&text, u.int_in_range(start..=text.len().min(start + 30))?);
        text.replace_range(start..end.max(start), u.choose(FRAGMENTS)?);
    }
    Ok(text)
}

fn char_boundary(text: &str, idx: usize) -> usize {
    text.floor_char_boundary(idx)
}
