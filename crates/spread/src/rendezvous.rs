//! Rendezvous hashing: all processes compute the same ranking of names for a key without coordination.

use model::GroupKey;

/// Computes the ranking seed of a chunk, which is the same in every process.
pub fn chunk_seed(key: &GroupKey, slot: u8) -> u64 {
    let word = key.version.as_bytes()[..8]
        .iter()
        .fold(0, |sum, &byte| sum << 8 | u64::from(byte));
    splitmix64(word ^ u64::from(key.group) << 8 ^ u64::from(slot))
}

/// Computes the score of `name` for `seed`. The name with the highest score owns the key.
pub fn owner_score(seed: u64, name: &str) -> u64 {
    splitmix64(seed ^ name_hash(name))
}

/// Sorts `names` by descending score for `seed`: the owner first, then its successors in order of failover.
pub fn rank_names<'a>(seed: u64, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = names.into_iter().collect();
    names.sort_by_key(|name| (std::cmp::Reverse(owner_score(seed, name)), *name));
    names
}

/// Selects the entry that tracks the group `key`. The groups of a version are assigned round-robin to the ranked
/// entries, so that no entry tracks two groups while another tracks none.
pub fn select_tracker<'a>(
    key: &GroupKey,
    entries: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let version = GroupKey { group: 0, ..*key };
    let entries = rank_names(chunk_seed(&version, 0), entries);
    let index = (key.group as usize).checked_rem(entries.len())?;
    entries.get(index).copied()
}

pub(crate) fn name_hash(name: &str) -> u64 {
    // FNV-1a suffices because the result is combined with the seed and hashed again.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Computes one step of the splitmix64 generator.
pub(crate) fn splitmix64(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ word >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ word >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ word >> 31
}
