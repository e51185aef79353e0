//! Helpers that the tests of this crate share.

/// Returns the seed of one round: its upper half starts the generator, which must not be zero, and its lower half is
/// the number of bytes that the generator gives.
pub fn arbtest_seed(round: u64) -> u64 {
    (round + 1) << 32 | ENTROPY_BYTES
}

/// Bytes of randomness for one round.
const ENTROPY_BYTES: u64 = 4096;
