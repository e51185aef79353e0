//! No text makes the reader panic.

use std::path::Path;

use arbtest::arbitrary::{Result, Unstructured};

const VALID: &[&str] = &[
    include_str!("data/entry.jsonc"),
    include_str!("data/model-agent.jsonc"),
    include_str!("data/service-agent.jsonc"),
];

/// Pieces that break settings in interesting ways.
const PIECES: &[&str] = &[
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

/// Fixed seeds, so that every run gives the same verdict.
///
/// The upper half of a seed starts the random numbers and must not be 0, the lower half is the number of bytes.
fn seeds() -> impl Iterator<Item = u64> {
    (1..=1000_u64).map(|it| (it.wrapping_mul(0x9e37_79b9) << 32) | (16 + it % 240))
}

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
fn any_bytes() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            parse(&String::from_utf8_lossy(u.arbitrary::<&[u8]>()?));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn damaged_valid_text() {
    for seed in seeds() {
        arbtest::arbtest(|u| {
            parse(&damaged(u)?);
            Ok(())
        })
        .seed(seed);
    }
}

fn damaged(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = (*u.choose(VALID)?).to_owned();
    for _ in 0..u.int_in_range(1..=4)? {
        let start = floor(&text, u.int_in_range(0..=text.len())?);
        let end = floor(&text, u.int_in_range(start..=text.len().min(start + 30))?);
        text.replace_range(start..end.max(start), u.choose(PIECES)?);
    }
    Ok(text)
}

fn floor(text: &str, idx: usize) -> usize {
    text.floor_char_boundary(idx)
}
