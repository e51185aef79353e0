//! Configuration revisions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a configuration. Revision 0 is the empty configuration that every deployment starts with; each
/// accepted command creates the next revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// Returns the following revision.
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
