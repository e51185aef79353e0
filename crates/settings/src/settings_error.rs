//! Why settings were refused.

use std::path::PathBuf;
use std::{error, fmt};

use crate::setting_error::SettingError;

/// Why a settings file was refused; its text has one line per error, `FILE:LINE:COLUMN: PATH: message`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// What the operating system said.
        reason: String,
    },
    /// The file has errors.
    Invalid {
        /// The settings file.
        file: PathBuf,
        /// Every error, in the order of the file.
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
