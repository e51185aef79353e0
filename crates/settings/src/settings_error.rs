//! Error of reading a settings file: the file is unreadable, or its contents have errors.

use std::path::PathBuf;
use std::{error, fmt};

use crate::setting_error::SettingError;

/// Error of reading a settings file; its `Display` form has one line per error, `FILE:LINE:COLUMN: PATH: message`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// The operating system's error message.
        reason: String,
    },
    /// The file has errors.
    Invalid {
        /// The settings file.
        file: PathBuf,
        /// All errors, ordered by their position in the file.
        errors: Vec<SettingError>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, reason } => {
                write!(f, "{}: the file cannot be read: {reason}", file.display())
            }
            Self::Invalid { file, errors } => {
                for (idx, err) in errors.iter().enumerate() {
                    let separator = if idx == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}:{err}", file.display())?;
                }
                Ok(())
            }
        }
    }
}

impl error::Error for SettingsError {}
