//! Seeded runs of a parser on arbitrary input.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::ops::Range;

use arbtest::arbitrary::{Result, Unstructured};

/// Number of seeds of a run in CI, which takes a second or two for a file of tests.
const CI_ROUNDS: u64 = 6000;

/// Environment variable with the number of seeds of a longer run.
const ROUNDS_VARIABLE: &str = "FULMARLINE_FUZZ_ROUNDS";

/// Address space in kilobytes that a run may reserve, far less than a length prefix of 32 bits can ask for.
const MAX_RESERVED_KB: u64 = 1024 * 1024;

/// Calls `parse` with the input of each seed, and checks how much address space the process has reserved meanwhile.
///
/// The upper 32 bits of a seed initialize the random number generator and must not be 0; the lower 32 bits are the number of
/// random bytes.
pub fn run(mut parse: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let rounds = std::env::var(ROUNDS_VARIABLE).ok();
    let rounds = rounds.map_or(CI_ROUNDS, |it| it.parse().expect("a number of rounds"));
    let before = peak_address_space_kb();
    for round in 1..=rounds {
        let start = round.wrapping_mul(0x9e37_79b9) & 0xffff_ffff;
        let seed = start.max(1) << 32 | (64 + round % 4000);
        arbtest::arbtest(&mut parse).seed(seed);
    }
    let reserved = peak_address_space_kb() - before;
    assert!(reserved < MAX_RESERVED_KB, "{reserved} kB were reserved");
}

/// Returns the ranges of the numbers in `text`.
pub fn numbers(text: &str) -> Vec<Range<usize>> {
    let is_digit = |it: usize| text.as_bytes()[it].is_ascii_digit();
    let mut ranges: Vec<Range<usize>> = Vec::new();
    for position in (0..text.len()).filter(|it| is_digit(*it)) {
        match ranges.last_mut() {
            Some(last) if last.end == position => last.end += 1,
            _ => ranges.push(position..position + 1),
        }
    }
    ranges
}

/// Returns the largest address space that this process has had, in kilobytes.
fn peak_address_space_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmPeak:"));
    let value = line.and_then(|it| it.trim().strip_suffix(" kB"));
    value.unwrap().parse().unwrap()
}
