//! Numbers of configuration revisions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of an accepted configuration; revision 0 is the empty one that every deployment starts from.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// Returns the number after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
