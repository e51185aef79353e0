//! Entry points that read and validate a settings file.

use std::collections::BTreeSet;
use std::path::Path;
use std::{fs, str};

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions};

use crate::agent_settings::AgentSettings;
use crate::entry_settings::EntrySettings;
use crate::setting_error_kind::SettingErrorKind;
use crate::settings_error::SettingsError;
use crate::walker::{Field, FileContext, Section};

/// The settings of one process, by its role.
#[derive(Clone, Debug, PartialEq)]
pub enum Settings {
    /// The process is an entry.
    Entry(EntrySettings),
    /// The process is the agent of a target host.
    Agent(AgentSettings),
}

/// Reads and validates the settings file at `path`; paths in it are relative to its parent directory.
///
/// # Errors
///
/// Returns all errors in the file, or the I/O error if the file cannot be read.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let bytes = fs::read(path).map_err(|err| SettingsError::Unreadable {
        file: path.to_owned(),
        reason: err.to_string(),
    })?;
    match str::from_utf8(&bytes) {
        Ok(text) => parse(text, path),
        Err(err) => {
            let valid = str::from_utf8(&bytes[..err.valid_up_to()]).unwrap_or_default();
            let context = FileContext::new(valid, path);
            context.report(valid.len(), "", SettingErrorKind::NotUtf8);
            Err(context.into_error())
        }
    }
}

/// Validates `text` as the content of `file`, which need not exist.
///
/// # Errors
///
/// Returns all errors in the text.
pub fn parse(text: &str, file: &Path) -> Result<Settings, SettingsError> {
    let context = FileContext::new(text, file);
    match parse_text(&context, text) {
        Some(settings) if context.error_count() == 0 => Ok(settings),
        _ => Err(context.into_error()),
    }
}

/// Returns the path of every field that the reader looks up in `text`, whether the field is present or not.
///
/// A test compares the result with `docs/SETTINGS.md` to keep that page complete. All elements of a list share the path
/// `list[]`. The fields of an absent object are not included.
pub fn known_fields(text: &str, file: &Path) -> BTreeSet<String> {
    let context = FileContext::new(text, file);
    parse_text(&context, text);
    context.into_fields()
}

fn parse_text(context: &FileContext<'_>, text: &str) -> Option<Settings> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options);
    match parsed.map(|it| it.value) {
        Ok(Some(value)) => read_root(context, &value),
        Ok(None) => {
            context.report(0, "", SettingErrorKind::EmptyText);
            None
        }
        Err(err) => {
            let kind = SettingErrorKind::Syntax(err.kind().to_string());
            context.report(err.range().start, "", kind);
            None
        }
    }
}

fn read_root(context: &FileContext<'_>, value: &Value<'_>) -> Option<Settings> {
    let mut root: Section<'_> = Field::root(context, value).section()?;
    let role = root.required("role", |it| it.choice(&["entry", "agent"]))?;
    match role {
        0 => EntrySettings::read(root).map(Settings::Entry),
        _ => AgentSettings::read(root).map(Settings::Agent),
    }
}
