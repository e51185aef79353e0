//! Bit sets of chunk indexes.

use serde::{Deserialize, Serialize};

/// A set of chunk indexes of one manifest, with one bit per chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSet {
    words: Vec<u64>,
}

/// Number of bits per word of the set.
const WORD_BITS: usize = u64::BITS as usize;

impl ChunkSet {
    /// Creates the set of all indexes less than `count`.
    pub fn all(count: usize) -> Self {
        (0..count).collect()
    }

    /// Adds `idx` and returns whether it was newly inserted.
    pub fn insert(&mut self, idx: usize) -> bool {
        let (word, bit) = (idx / WORD_BITS, 1 << (idx % WORD_BITS));
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let absent = self.words[word] & bit == 0;
        self.words[word] |= bit;
        absent
    }

    /// Removes `idx` and returns whether it was present.
    pub fn remove(&mut self, idx: usize) -> bool {
        let present = self.contains(idx);
        if present {
            self.words[idx / WORD_BITS] &= !(1 << (idx % WORD_BITS));
        }
        present
    }

    /// Returns whether the set contains `idx`.
    pub fn contains(&self, idx: usize) -> bool {
        self.words
            .get(idx / WORD_BITS)
            .is_some_and(|it| it & (1 << (idx % WORD_BITS)) != 0)
    }

    /// Returns the number of indexes in the set.
    pub fn len(&self) -> usize {
        self.words.iter().map(|it| it.count_ones() as usize).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|it| *it == 0)
    }

    /// Returns an iterator over the indexes in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.words.len() * WORD_BITS).filter(|&idx| self.contains(idx))
    }
}

impl FromIterator<usize> for ChunkSet {
    fn from_iter<I: IntoIterator<Item = usize>>(indexes: I) -> Self {
        let mut set = Self::default();
        for idx in indexes {
            set.insert(idx);
        }
        set
    }
}
