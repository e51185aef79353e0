//! Ids of the parts of requests that evidence about crashes refers to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A part of a request that several requests may share: a part of a prompt, or the path of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(u64);

impl PartId {
    /// Creates the id from the digest of the part.
    pub fn new(digest: u64) -> Self {
        Self(digest)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
