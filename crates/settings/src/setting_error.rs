//! A single error in a settings file.

use std::fmt;

use crate::setting_error_kind::SettingErrorKind;

/// An error in a settings file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the field, such as `listen.callers` or `callers[2].token_file`; empty for an error in the whole text.
    pub path: String,
    /// Kind of the error.
    pub kind: SettingErrorKind,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        self.kind.fmt(f)
    }
}
