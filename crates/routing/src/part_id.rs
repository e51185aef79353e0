//! Ids of the parts of requests that evidence about crashes refers to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A service or model whose replicas are interchangeable, so that evidence about one of them applies to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId(u32);

impl PoolId {
    /// Creates the id of the pool with the given name.
    pub fn new(name: &str) -> Self {
        // A collision would only join the evidence of two pools.
        let digest = fnv1a(name.bytes());
        Self((digest ^ (digest >> 32)) as u32)
    }
}

/// A part that several requests to a pool may share: a part of a prompt, or the path of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId {
    /// The pool that the requests go to.
    pub pool: PoolId,
    /// Digest of the part.
    pub digest: u64,
}

impl PartId {
    /// Returns whether `own` is the one of the entries `own` and `others` that sends suspected requests with the part. All
    /// entries that know the same others agree.
    pub fn is_owned_by<'a>(self, own: &str, mut others: impl Iterator<Item = &'a str>) -> bool {
        let rank = |name: &str| {
            let bytes = name.bytes().chain(self.digest.to_le_bytes());
            let digest = fnv1a(bytes);
            // The upper bits of the digests of similar names are similar.
            digest ^ (digest >> 32)
        };
        others.all(|it| (rank(it), it) < (rank(own), own))
    }
}

/// Returns the 64-bit FNV-1a digest of `bytes`.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |it, byte| {
        (it ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.digest)
    }
}
