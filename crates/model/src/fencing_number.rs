//! Fencing numbers of leases.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A number that increases each time a lease gets a new holder. A process rejects requests with a number lower than the
/// highest one that it has seen, so that a former holder can no longer act.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
