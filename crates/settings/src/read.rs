//! Reading a settings file as a whole.

use std::collections::BTreeSet;
use std::path::Path;
use std::{fs, str};

use jsonc_parser::ast::Value;
use jsonc_parser::{CollectOptions, ParseOptions};

use crate::agent_settings::AgentSettings;
use crate::entry_settings::EntrySettings;
use crate::setting_problem::SettingProblem;
use crate::settings_error::SettingsError;
use crate::walker::{Field, FileContext, Section};

/// The settings of one process.
#[derive(Clone, Debug)]
pub enum Settings {
    /// The process runs on an entry host.
    Entry(EntrySettings),
    /// The process runs in the slot of a target host.
    Agent(AgentSettings),
}

/// Reads and checks the settings file at `path`; files that it names are looked up relative to its folder.
///
/// # Errors
///
/// Returns every error of the file, or the reason why the file cannot be read.
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
            context.report(valid.len(), "", SettingProblem::NotUtf8);
            Err(context.into_error())
        }
    }
}

/// Checks `text` as if it were the content of `file`, which need not exist.
///
/// # Errors
///
/// Returns every error of the text.
pub fn parse(text: &str, file: &Path) -> Result<Settings, SettingsError> {
    let context = FileContext::new(text, file);
    match read_text(&context, text) {
        Some(settings) if context.error_count() == 0 => Ok(settings),
        _ => Err(context.into_error()),
    }
}

/// Returns the path of every field that is looked for in `text`, whether it is there or not.
///
/// The test that keeps `docs/SETTINGS.md` complete compares it with the document. Elements of a list share the path
/// `list[]`; an object that is absent hides its fields.
pub fn known_fields(text: &str, file: &Path) -> BTreeSet<String> {
    let context = FileContext::new(text, file);
    read_text(&context, text);
    context.into_fields()
}

fn read_text(context: &FileContext<'_>, text: &str) -> Option<Settings> {
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
            context.report(0, "", SettingProblem::EmptyText);
            None
        }
        Err(err) => {
            let problem = SettingProblem::Syntax(err.kind().to_string());
            context.report(err.range().start, "", problem);
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
