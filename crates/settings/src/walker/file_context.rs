//! What the walker gathers while it reads one file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crate::setting_error::SettingError;
use crate::setting_problem::SettingProblem;
use crate::settings_error::SettingsError;

/// The text of a file and the errors found in it so far.
pub(crate) struct FileContext<'a> {
    text: &'a str,
    file: &'a Path,
    errors: RefCell<Vec<(usize, SettingError)>>,
    fields: RefCell<BTreeSet<String>>,
}

impl<'a> FileContext<'a> {
    /// Creates a context without errors.
    pub(crate) fn new(text: &'a str, file: &'a Path) -> Self {
        Self {
            text,
            file,
            errors: RefCell::default(),
            fields: RefCell::default(),
        }
    }

    /// Records that `problem` was found at the byte `offset`.
    pub(crate) fn report(&self, offset: usize, path: &str, problem: SettingProblem) {
        let (line, column) = self.position(offset);
        let err = SettingError {
            line,
            column,
            path: path.to_owned(),
            problem,
        };
        self.errors.borrow_mut().push((offset, err));
    }

    /// Records that the walker looks for the field at `path`.
    pub(crate) fn record_field(&self, path: &str) {
        self.fields.borrow_mut().insert(without_indexes(path));
    }

    /// Returns the number of errors reported so far.
    pub(crate) fn error_count(&self) -> usize {
        self.errors.borrow().len()
    }

    /// Returns where `path`, as written in the file, is to be found.
    pub(crate) fn resolve(&self, path: &str) -> PathBuf {
        match self.file.parent() {
            Some(folder) => folder.join(path),
            None => PathBuf::from(path),
        }
    }

    /// Returns all errors in the order of the file.
    pub(crate) fn into_error(self) -> SettingsError {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|(offset, _)| *offset);
        SettingsError::Invalid {
            file: self.file.to_owned(),
            errors: errors.into_iter().map(|(_, err)| err).collect(),
        }
    }

    /// Returns the paths of all fields that were looked for.
    pub(crate) fn into_fields(self) -> BTreeSet<String> {
        self.fields.into_inner()
    }

    fn position(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        (line, column)
    }
}

fn without_indexes(path: &str) -> String {
    let mut text = String::new();
    let mut inside = false;
    for it in path.chars() {
        inside &= it != ']';
        if !inside {
            text.push(it);
        }
        inside |= it == '[';
    }
    text
}
