//! The cache of prompt prefixes.

use std::collections::{BTreeMap, BTreeSet};

/// Length of a cached block of prompt text, in bytes.
pub(crate) const BLOCK_BYTES: usize = 64;

/// Hexadecimal digits of a block's digest.
const DIGEST_DIGITS: usize = 32;

/// Returns the digest of each whole block's prefix of `prompt`, the shortest prefix first.
///
/// A block's digest covers the prompt from its start to the end of the block, as `docs/PLATFORM.md` describes.
pub fn prefix_digests(prompt: &str) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    let mut digests = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        digests.push(hasher.finalize().to_hex()[..DIGEST_DIGITS].to_owned());
    }
    digests
}

/// Holds the most recently used prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: BTreeMap<String, u64>,
    by_age: BTreeSet<(u64, String)>,
}

/// What a prompt found in the cache and changed in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheUse {
    pub(crate) cached_blocks: usize,
    pub(crate) stored: Vec<String>,
    pub(crate) evicted: Vec<String>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Looks the prefixes of `prompt` up and stores those that are missing.
    pub(crate) fn touch(&mut self, prompt: &str) -> CacheUse {
        let digests = prefix_digests(prompt);
        let cached = |it: &&String| self.used_at.contains_key(it.as_str());
        let mut used = CacheUse {
            cached_blocks: digests.iter().take_while(cached).count(),
            ..CacheUse::default()
        };
        for digest in digests {
            self.clock += 1;
            match self.used_at.insert(digest.clone(), self.clock) {
                Some(before) => {
                    self.by_age.remove(&(before, digest.clone()));
                }
                None => used.stored.push(digest.clone()),
            }
            self.by_age.insert((self.clock, digest));
        }
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                break;
            };
            self.used_at.remove(&oldest);
            used.evicted.push(oldest);
        }
        used
    }

    /// Forgets everything, as a change of weights does.
    pub(crate) fn clear(&mut self) {
        self.used_at.clear();
        self.by_age.clear();
    }

    /// Returns the share of the cache that is used.
    pub(crate) fn used_share(&self) -> f64 {
        self.used_at.len() as f64 / self.capacity.max(1) as f64
    }
}
