//! Sets of chunks within one group.

use serde::{Deserialize, Serialize};

/// Chunks of one group, one bit a chunk: what an agent holds of a group fits into one word of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChunkMask(pub u64);

impl ChunkMask {
    /// Chunks of a whole group; a version's last group may hold fewer.
    pub const CHUNKS_PER_GROUP: usize = u64::BITS as usize;

    /// Creates the set of the first `count` chunks of a group.
    pub fn all(count: usize) -> Self {
        match count {
            0 => Self(0),
            count => Self(u64::MAX >> (Self::CHUNKS_PER_GROUP - count.min(Self::CHUNKS_PER_GROUP))),
        }
    }

    /// Tells whether `slot` is in the set.
    pub fn contains(self, slot: u8) -> bool {
        self.0 & bit(slot) != 0
    }

    /// Adds `slot`.
    pub fn insert(&mut self, slot: u8) {
        self.0 |= bit(slot);
    }

    /// Removes `slot`.
    pub fn remove(&mut self, slot: u8) {
        self.0 &= !bit(slot);
    }

    /// Returns the chunks that are in either set.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the chunks that are in this set and not in `other`.
    #[must_use]
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the number of chunks in the set.
    pub fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Tells whether the set has no chunk.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the slots in the set, in order.
    pub fn slots(self) -> impl Iterator<Item = u8> {
        (0..u64::BITS as u8).filter(move |&it| self.contains(it))
    }
}

fn bit(slot: u8) -> u64 {
    1_u64.checked_shl(u32::from(slot)).unwrap_or(0)
}
