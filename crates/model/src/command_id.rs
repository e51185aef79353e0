//! Identifiers of operators' commands.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::name_error::NameError;
use crate::names::VersionLabel;

/// Identifies an operator's command, so that a retry after a lost response is recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandId(String);

impl CommandId {
    /// Creates an id from `text`, which must be a valid name.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if `text` is not a valid name; see [`VersionLabel::new`].
    pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
        let label = VersionLabel::new(text)?;
        Ok(Self(label.into()))
    }

    /// Returns the id as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for CommandId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::new(text)
    }
}
