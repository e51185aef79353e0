//! Identifiers of attempts.

use std::time::Duration;
use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// Identifies one attempt at a request, so that a gate can admit it at most once and can revoke it.
///
/// The upper 48 bits hold the creation time, which lets a gate refuse an attempt that is older than its record of
/// revoked attempts. The lower 80 bits are random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(#[serde(with = "crate::hex_id")] pub u128);

/// Number of random bits below the creation time.
const RANDOM_BITS: u32 = 80;

impl AttemptId {
    /// Creates an id from the creation time, as the time since the Unix epoch, and random bits.
    pub fn new(created: Duration, random: u128) -> Self {
        let time = created.as_millis() << RANDOM_BITS;
        Self(time | (random & ((1 << RANDOM_BITS) - 1)))
    }

    /// Returns the creation time, as the time since the Unix epoch on the clock of the entry that created the id.
    pub fn created(self) -> Duration {
        let millis = (self.0 >> RANDOM_BITS) as u64;
        Duration::from_millis(millis)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for AttemptId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
