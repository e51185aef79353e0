//! A set of pieces of one version of weights.

use serde::{Deserialize, Serialize};

/// Pieces by index, as one bit each, since agents exchange these sets often.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSet {
    bits: Vec<u8>,
    len: usize,
}

impl PieceSet {
    /// Creates an empty set for a version of `len` pieces.
    pub fn new(len: usize) -> Self {
        Self {
            bits: vec![0; len.div_ceil(8)],
            len,
        }
    }

    /// Creates the set of all `len` pieces.
    pub fn full(len: usize) -> Self {
        let mut set = Self::new(len);
        (0..len).for_each(|it| set.insert(it));
        set
    }

    /// Adds a piece. An index beyond the version is ignored.
    pub fn insert(&mut self, index: usize) {
        if index < self.len {
            self.bits[index / 8] |= 1 << (index % 8);
        }
    }

    /// Removes a piece.
    pub fn remove(&mut self, index: usize) {
        if index < self.len {
            self.bits[index / 8] &= !(1 << (index % 8));
        }
    }

    /// Returns whether the set contains a piece. A set that another agent has sent may be shorter than it claims.
    pub fn contains(&self, index: usize) -> bool {
        let byte = self.bits.get(index / 8).copied().unwrap_or_default();
        index < self.len && byte & (1 << (index % 8)) != 0
    }

    /// Returns the number of pieces of the version.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the set contains no piece.
    pub fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns the number of pieces in the set.
    pub fn count(&self) -> usize {
        self.bits.iter().map(|it| it.count_ones() as usize).sum()
    }

    /// Returns whether all pieces of the version are in the set.
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// Returns the pieces of the version that are not in the set.
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        (0..self.len).filter(|it| !self.contains(*it))
    }
}
