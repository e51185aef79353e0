//! Rendezvous hashing: every process ranks names for a key alike, without talking to the others.

use model::GroupKey;

/// Computes the seed of one chunk; the same chunk has the same owners in every process.
pub fn chunk_seed(key: &GroupKey, slot: u8) -> u64 {
    let word = key.version.as_bytes()[..8]
        .iter()
        .fold(0, |sum, &byte| sum << 8 | u64::from(byte));
    mix(word ^ u64::from(key.group) << 8 ^ u64::from(slot))
}

/// Computes the score of `name` for `seed`; the highest score owns the key.
pub fn owner_score(seed: u64, name: &str) -> u64 {
    mix(seed ^ name_hash(name))
}

/// Ranks `names` for `seed`, the owner first; whoever follows takes over when those before it fail.
pub fn ranked<'a>(seed: u64, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = names.into_iter().collect();
    names.sort_by_key(|name| (std::cmp::Reverse(owner_score(seed, name)), *name));
    names
}

/// Picks the entry that tracks the group `key`: the groups of a version go round the ranked entries, so that no entry
/// tracks two groups while another tracks none.
pub fn tracker_of<'a>(
    key: &GroupKey,
    entries: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let version = GroupKey { group: 0, ..*key };
    let entries = ranked(chunk_seed(&version, 0), entries);
    let place = (key.group as usize).checked_rem(entries.len())?;
    entries.get(place).copied()
}

pub(crate) fn name_hash(name: &str) -> u64 {
    // FNV-1a is enough here: the result is mixed again with the seed of the key.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The finalizer of splitmix64.
pub(crate) fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ word >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ word >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ word >> 31
}
