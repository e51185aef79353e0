//! Fencing numbers of leases.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Grows each time a lease changes hands; whoever acts under a lower number than one already seen is refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
