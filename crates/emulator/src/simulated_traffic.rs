//! Parts of the requests of an emulation.

use rand::RngExt;
use rand::rngs::StdRng;
use routing::{PartId, PoolId};

/// Parts of a sound request: one of the first parts, mostly one that requests share, and often a further one.
pub(crate) fn sound_parts(random: &mut StdRng) -> Vec<PartId> {
    let first = random.random_range(0..FIRST_PARTS);
    let middle = random.random_range(0..MIDDLE_PARTS);
    let mut parts = vec![part_id(first)];
    if random.random_bool(0.5) {
        parts.push(part_id(FIRST_PARTS + middle));
    }
    parts
}

/// Parts of a request with a guilty part, which share the others with sound requests.
pub(crate) fn guilty_parts(guilty: u64, random: &mut StdRng) -> Vec<PartId> {
    let guilty = part_id(GUILTY_PARTS + guilty);
    let mut parts = vec![part_id(random.random_range(0..GUILTY_FIRST_PARTS))];
    let middle = FIRST_PARTS + random.random_range(0..MIDDLE_PARTS);
    parts.push(part_id(middle));
    let position = random.random_range(0..=parts.len());
    parts.insert(position, guilty);
    parts
}

/// Returns the pool of all replicas.
pub(crate) fn pool_id() -> PoolId {
    PoolId::new("pool")
}

/// Returns the part with the digest `digest`.
pub(crate) fn part_id(digest: u64) -> PartId {
    PartId {
        pool: pool_id(),
        digest,
    }
}

/// Number of first parts of sound requests; the platform's sheets have as many.
const FIRST_PARTS: u64 = 180;

/// Number of further parts of sound requests.
const MIDDLE_PARTS: u64 = 400;

/// Number of first parts that guilty requests share with sound ones.
const GUILTY_FIRST_PARTS: u64 = 3;

/// Digest of the first guilty part.
pub(crate) const GUILTY_PARTS: u64 = 1_000_000;
