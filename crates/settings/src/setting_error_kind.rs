//! Kinds of errors in settings.

use std::fmt;
use std::path::PathBuf;

use model::NameError;

/// Kind of an error in a field or in the whole text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingErrorKind {
    /// The file is not UTF-8 text.
    NotUtf8,
    /// The text contains no JSON value.
    EmptyText,
    /// The text is not JSON with comments.
    Syntax(String),
    /// The object has no field of this name.
    UnknownField {
        /// The known field with the most similar name, if one is similar enough.
        nearest: Option<&'static str>,
    },
    /// A required field is absent.
    MissingField,
    /// The field occurs more than once in its object.
    DuplicateField,
    /// The value has the wrong type.
    WrongType {
        /// The required type.
        expected: &'static str,
        /// The actual type.
        found: &'static str,
    },
    /// The value is not one of the allowed strings.
    UnknownChoice {
        /// The string as written in the file.
        found: String,
        /// The allowed strings.
        choices: &'static [&'static str],
    },
    /// The string is not a valid name.
    InvalidName(NameError),
    /// The string is not an IP address.
    InvalidIp {
        /// The string as written in the file.
        found: String,
    },
    /// The string is not an IP address with a port.
    InvalidAddress {
        /// The string as written in the file.
        found: String,
    },
    /// The port is 0.
    PortZero,
    /// The address is unspecified (`0.0.0.0` or `::`), so other processes cannot connect to it.
    UnspecifiedAddress {
        /// How to correct the setting.
        advice: &'static str,
    },
    /// The number is outside its range.
    OutOfRange {
        /// The number as written in the file.
        found: String,
        /// The smallest allowed number.
        min: String,
        /// The largest allowed number.
        max: String,
    },
    /// The value must be unique but repeats the value of another field.
    DuplicateValue {
        /// What the value represents, such as `listen address`.
        description: &'static str,
        /// The path of the other field.
        other: String,
    },
    /// The values of two fields conflict; the message describes how.
    ConflictingValues(String),
    /// The string is empty.
    EmptyValue,
    /// The list is empty.
    EmptyList,
    /// The file that the field refers to cannot be read.
    UnreadableFile {
        /// Path of the file, absolute or relative to the working directory.
        file: PathBuf,
        /// The operating system's error message.
        reason: String,
    },
    /// The file of a secret is empty.
    EmptySecret {
        /// Path of the file.
        file: PathBuf,
    },
    /// The secret is too short to be secure.
    ShortSecret {
        /// Path of the file.
        file: PathBuf,
        /// The required minimum length in bytes.
        min_bytes: usize,
    },
    /// The secret contains a character that cannot be sent in an HTTP header.
    UnprintableSecret {
        /// Path of the file.
        file: PathBuf,
    },
}

impl fmt::Display for SettingErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUtf8 => write!(f, "the file is not UTF-8 text"),
            Self::EmptyText => write!(f, "the file contains no settings"),
            Self::Syntax(message) => {
                write!(f, "not JSON with comments: {}", lowercase_first(message))
            }
            Self::UnknownField { nearest: None } => write!(f, "unknown field"),
            Self::UnknownField {
                nearest: Some(name),
            } => write!(f, "unknown field; did you mean {name:?}?"),
            Self::MissingField => write!(f, "this field is required"),
            Self::DuplicateField => write!(f, "this field occurs twice"),
            Self::WrongType { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::UnknownChoice { found, choices } => {
                write!(f, "{found:?} is not one of {}", choices.join(", "))
            }
            Self::InvalidName(err) => err.fmt(f),
            Self::InvalidIp { found } => write!(f, "{found:?} is not an IP address"),
            Self::InvalidAddress { found } => write!(
                f,
                "{found:?} is not an address of the form IP:PORT with a port from 1 to 65535"
            ),
            Self::PortZero => write!(
                f,
                "port 0 is not allowed: other processes must know the port"
            ),
            Self::UnspecifiedAddress { advice } => {
                write!(
                    f,
                    "other processes cannot connect to an unspecified address; {advice}"
                )
            }
            Self::OutOfRange { found, min, max } => {
                write!(f, "{found} is not in the range from {min} to {max}")
            }
            Self::DuplicateValue { description, other } => {
                write!(f, "the same {description} as {other}")
            }
            Self::ConflictingValues(message) => f.write_str(message),
            Self::EmptyValue => write!(f, "the string is empty"),
            Self::EmptyList => write!(f, "the list must have at least one element"),
            Self::UnreadableFile { file, reason } => {
                write!(f, "the file {file:?} cannot be read: {reason}")
            }
            Self::EmptySecret { file } => write!(f, "the file {file:?} is empty"),
            Self::ShortSecret { file, min_bytes } => write!(
                f,
                "the secret in {file:?} is shorter than {min_bytes} bytes"
            ),
            Self::UnprintableSecret { file } => write!(
                f,
                "the secret in {file:?} contains a space or a character outside printable ASCII"
            ),
        }
    }
}

fn lowercase_first(message: &str) -> String {
    let mut chars = message.chars();
    chars
        .next()
        .map(|first| first.to_lowercase().chain(chars).collect())
        .unwrap_or_default()
}
