//! An LRU cache of prompt prefixes.

use std::collections::{BTreeMap, BTreeSet};

/// Size of a cache block in bytes of prompt text.
pub(crate) const BLOCK_BYTES: usize = 64;

/// Number of hexadecimal digits of a prefix digest.
const DIGEST_HEX_DIGITS: usize = 32;

/// Returns the digest of each prefix of `prompt` that ends at a block boundary, the shortest prefix first.
///
/// Each digest covers the prompt from its start to the end of a block; see `docs/PLATFORM.md`.
pub fn prefix_digests(prompt: &str) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    let mut digests = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        digests.push(hasher.finalize().to_hex()[..DIGEST_HEX_DIGITS].to_owned());
    }
    digests
}

/// An LRU cache of prefix digests.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    use_counter: u64,
    last_used: BTreeMap<String, u64>,
    by_last_use: BTreeSet<(u64, String)>,
}

/// The result of looking up a prompt: the blocks found, and the changes to the cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheAccess {
    pub(crate) cached_blocks: usize,
    pub(crate) stored: Vec<String>,
    pub(crate) evicted: Vec<String>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_counter: 0,
            last_used: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
        }
    }

    /// Looks up the prefixes of `prompt`, stores the missing ones and evicts the least recently used ones.
    pub(crate) fn touch(&mut self, prompt: &str) -> CacheAccess {
        let digests = prefix_digests(prompt);
        let cached = |it: &&String| self.last_used.contains_key(it.as_str());
        let mut access = CacheAccess {
            cached_blocks: digests.iter().take_while(cached).count(),
            ..CacheAccess::default()
        };
        for digest in digests {
            self.use_counter += 1;
            match self.last_used.insert(digest.clone(), self.use_counter) {
                Some(previous) => {
                    self.by_last_use.remove(&(previous, digest.clone()));
                }
                None => access.stored.push(digest.clone()),
            }
            self.by_last_use.insert((self.use_counter, digest));
        }
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
            access.evicted.push(oldest);
        }
        access
    }

    /// Removes all entries. Cached prefixes are not valid for other weights.
    pub(crate) fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    /// Returns the used fraction of the capacity, from 0 to 1.
    pub(crate) fn used_share(&self) -> f64 {
        self.last_used.len() as f64 / self.capacity.max(1) as f64
    }
}
