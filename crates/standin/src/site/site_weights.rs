//! Deterministic weights that depend on version and piece, so that a mix of versions is detectable.

use sha2::{Digest, Sha256};

/// The dimensions of a model's weights.
#[derive(Clone, Copy, Debug)]
pub struct SiteWeights {
    /// Number of pieces.
    pub pieces: usize,
    /// Size of a piece in bytes.
    pub piece_bytes: usize,
    /// Number of pieces, from the first on, that are the same in all versions.
    pub shared_pieces: usize,
}

impl SiteWeights {
    /// Returns the content of piece `index` of `version`.
    pub fn piece(&self, version: u64, index: usize) -> Vec<u8> {
        let version = if index < self.shared_pieces {
            0
        } else {
            version
        };
        let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index as u64;
        (0..self.piece_bytes)
            .map(|_| {
                state = state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1);
                (state >> 56) as u8
            })
            .collect()
    }

    /// Returns the SHA-256 digest of piece `index` of `version` in hexadecimal.
    pub fn digest(&self, version: u64, index: usize) -> String {
        let digest = Sha256::digest(self.piece(version, index));
        digest.iter().map(|it| format!("{it:02x}")).collect()
    }
}
