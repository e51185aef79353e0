//! Ids of operators' commands.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

use crate::name_error::NameError;
use crate::names::VersionLabel;

/// Id that an operator's command carries, so that a repeat after a lost reply is recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandId(String);

impl CommandId {
    /// Checks and wraps `text`, which follows the rules of names.
    ///
    /// # Errors
    ///
    /// Returns the [`NameError`] of the text.
    pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
        let label = VersionLabel::new(text)?;
        Ok(Self(label.into()))
    }

    /// Returns the id as text.
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
