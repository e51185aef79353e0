//! Bit sets of the chunks of one group.

use serde::{Deserialize, Serialize};

/// A set of chunks of one group, with one bit per chunk, so that a message needs one word per group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChunkMask(pub u64);

impl ChunkMask {
    /// Number of chunks in a full group. The last group of a version may have fewer.
    pub const CHUNKS_PER_GROUP: usize = u64::BITS as usize;

    /// Creates the set of all chunks of a group with `count` chunks.
    pub fn all(count: usize) -> Self {
        match count {
            0 => Self(0),
            count => Self(u64::MAX >> (Self::CHUNKS_PER_GROUP - count.min(Self::CHUNKS_PER_GROUP))),
        }
    }

    /// Returns whether the set contains `slot`.
    pub fn contains(self, slot: u8) -> bool {
        self.0 & slot_bit(slot) != 0
    }

    /// Adds `slot`.
    pub fn insert(&mut self, slot: u8) {
        self.0 |= slot_bit(slot);
    }

    /// Removes `slot`.
    pub fn remove(&mut self, slot: u8) {
        self.0 &= !slot_bit(slot);
    }

    /// Returns the chunks that are in this set, in `other` or in both.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the chunks that are in this set but not in `other`.
    #[must_use]
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the number of chunks in the set.
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns an iterator over the slots in the set, in ascending order.
    pub fn slots(self) -> impl Iterator<Item = u8> {
        (0..u64::BITS as u8).filter(move |&it| self.contains(it))
    }
}

fn slot_bit(slot: u8) -> u64 {
    1_u64.checked_shl(u32::from(slot)).unwrap_or(0)
}
