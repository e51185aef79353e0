//! Ids of attempts.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// Random id of one attempt at a request, by which a gate admits it at most once and can revoke it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(#[serde(with = "crate::hex_id")] pub u128);

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
