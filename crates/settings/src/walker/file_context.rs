//! State that the walker collects while it reads a file.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crate::setting_error::SettingError;
use crate::setting_error_kind::SettingErrorKind;
use crate::settings_error::SettingsError;

/// The text of a file, the errors found in it and the fields looked up in it.
pub(crate) struct FileContext<'a> {
    text: &'a str,
    file: &'a Path,
    /// Errors with their byte offsets.
    errors: RefCell<Vec<(usize, SettingError)>>,
    /// Paths of all fields looked up, without list indexes.
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

    /// Records an error at the byte `offset`.
    pub(crate) fn report(&self, offset: usize, path: &str, kind: SettingErrorKind) {
        let (line, column) = self.position(offset);
        let err = SettingError {
            line,
            column,
            path: path.to_owned(),
            kind,
        };
        self.errors.borrow_mut().push((offset, err));
    }

    /// Records that the walker looked up the field at `path`.
    pub(crate) fn record_field(&self, path: &str) {
        self.fields.borrow_mut().insert(strip_indexes(path));
    }

    /// Returns the number of errors reported so far.
    pub(crate) fn error_count(&self) -> usize {
        self.errors.borrow().len()
    }

    /// Resolves `path` relative to the file's parent directory.
    pub(crate) fn resolve(&self, path: &str) -> PathBuf {
        match self.file.parent() {
            Some(folder) => folder.join(path),
            None => PathBuf::from(path),
        }
    }

    /// Returns all errors, ordered by their position in the file.
    pub(crate) fn into_error(self) -> SettingsError {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|(offset, _)| *offset);
        SettingsError::Invalid {
            file: self.file.to_owned(),
            errors: errors.into_iter().map(|(_, err)| err).collect(),
        }
    }

    /// Returns the paths of all fields that were looked up.
    pub(crate) fn into_fields(self) -> BTreeSet<String> {
        self.fields.into_inner()
    }

    /// Converts a byte offset into a line and a column, both counted from 1.
    fn position(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        (line, column)
    }
}

/// Replaces each list index `[N]` in `path` by `[]`.
fn strip_indexes(path: &str) -> String {
    let mut text = String::new();
    let mut in_index = false;
    for it in path.chars() {
        in_index &= it != ']';
        if !in_index {
            text.push(it);
        }
        in_index |= it == '[';
    }
    text
}
