//! Identification of replicas in messages between entries.

use serde::{Deserialize, Serialize};

use crate::part_id::fnv1a;

/// Identifies one lifetime of a replica, which ends when its process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LifetimeId(u64);

impl LifetimeId {
    /// Creates the id for the replica `replica` that was started at `started_ms`.
    pub fn new(replica: &str, started_ms: Option<u64>) -> Self {
        let started = started_ms.unwrap_or_default().to_le_bytes();
        let bytes = replica.bytes().chain(started);
        // A collision would only join what is known about two lifetimes.
        Self(fnv1a(bytes))
    }

    /// Returns the digest of the id.
    pub(crate) fn digest(self) -> u64 {
        self.0
    }
}
