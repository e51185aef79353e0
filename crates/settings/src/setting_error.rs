//! One error of a settings file.

use std::fmt;

use crate::setting_problem::SettingProblem;

/// A problem with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the field, such as `listen.callers` or `callers[2].token_file`; empty for the text as a whole.
    pub path: String,
    /// What is wrong.
    pub problem: SettingProblem,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        self.problem.fmt(f)
    }
}
