//! A position in the history of the store, which belongs to one of its lives.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A version of the store together with the era in which it was given out.
///
/// When the store returns from an older copy, its versions go back and are given out again. So a version alone says nothing:
/// a position of a later era is later, whatever its version. See
/// [decision 48](../../../docs/decisions/0048-lives-of-the-store.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    // The order of the fields is that of comparison.
    era: u64,
    version: u64,
}

impl StorePosition {
    /// Creates the position of `version` in `era`.
    pub fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns the version by which the store knows the position, which is valid in [`Self::era`] only.
    pub fn version_in_era(self) -> u64 {
        self.version
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.era, self.version)
    }
}

/// Error of parsing a [`StorePosition`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSyntaxError;

impl FromStr for StorePosition {
    type Err = PositionSyntaxError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, version) = text.split_once('-').ok_or(PositionSyntaxError)?;
        Ok(Self {
            era: era.parse().map_err(|_| PositionSyntaxError)?,
            version: version.parse().map_err(|_| PositionSyntaxError)?,
        })
    }
}
