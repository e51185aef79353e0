//! What can be wrong with a setting.

use std::fmt;
use std::path::PathBuf;

use model::NameError;

/// What is wrong with a field, or with the text as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingProblem {
    /// The file is not UTF-8 text.
    NotUtf8,
    /// The text holds no value.
    EmptyText,
    /// The text is not JSON with comments.
    Syntax(String),
    /// No such field exists here.
    UnknownField {
        /// The known field with the most similar name.
        nearest: Option<&'static str>,
    },
    /// A required field is absent.
    MissingField,
    /// The field occurs twice in its object.
    DuplicateField,
    /// The value is of another type.
    WrongType {
        /// The type that is needed.
        expected: &'static str,
        /// The type that was found.
        found: &'static str,
    },
    /// The value is none of the possible words.
    UnknownWord {
        /// The text that was found.
        found: String,
        /// The possible words.
        choices: &'static [&'static str],
    },
    /// The text is not a name.
    BadName(NameError),
    /// The text is not an IP address.
    BadIp {
        /// The text that was found.
        found: String,
    },
    /// The text is not an IP address with a port.
    BadAddress {
        /// The text that was found.
        found: String,
    },
    /// The port is 0.
    PortZero,
    /// The address stands for all addresses of a host, so nobody can connect to it.
    Unspecified {
        /// What to do instead.
        advice: &'static str,
    },
    /// The number is outside its range.
    OutOfRange {
        /// The number as written.
        found: String,
        /// The smallest allowed number.
        min: String,
        /// The largest allowed number.
        max: String,
    },
    /// The value occurs at another field, too.
    SameAs {
        /// What the value is.
        what: &'static str,
        /// The path of the other field.
        other: String,
    },
    /// Two values exclude each other.
    Contradiction(String),
    /// The text is empty.
    EmptyValue,
    /// The list has no element.
    EmptyList,
    /// A file that the field names cannot be read.
    UnreadableFile {
        /// The file, relative to the working directory or absolute.
        file: PathBuf,
        /// What the operating system said.
        reason: String,
    },
    /// A secret's file is empty.
    EmptySecret {
        /// The file.
        file: PathBuf,
    },
    /// A secret is too short to be safe.
    ShortSecret {
        /// The file.
        file: PathBuf,
        /// The length that is needed.
        min_bytes: usize,
    },
    /// A secret holds a character that cannot be sent in a header.
    UnprintableSecret {
        /// The file.
        file: PathBuf,
    },
}

impl fmt::Display for SettingProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotUtf8 => write!(f, "the file is not UTF-8 text"),
            Self::EmptyText => write!(f, "the file holds no settings"),
            Self::Syntax(message) => write!(f, "not JSON with comments: {}", lowercase(message)),
            Self::UnknownField { nearest: None } => write!(f, "unknown field"),
            Self::UnknownField {
                nearest: Some(name),
            } => write!(f, "unknown field; did you mean {name:?}?"),
            Self::MissingField => write!(f, "this field is required"),
            Self::DuplicateField => write!(f, "this field occurs twice"),
            Self::WrongType { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::UnknownWord { found, choices } => {
                write!(f, "{found:?} is not one of {}", choices.join(", "))
            }
            Self::BadName(err) => err.fmt(f),
            Self::BadIp { found } => write!(f, "{found:?} is not an IP address"),
            Self::BadAddress { found } => write!(
                f,
                "{found:?} is not an address of the form IP:PORT with a port from 1 to 65535"
            ),
            Self::PortZero => write!(
                f,
                "port 0 is not allowed: other processes must know the port"
            ),
            Self::Unspecified { advice } => {
                write!(f, "nobody can connect to an unspecified address; {advice}")
            }
            Self::OutOfRange { found, min, max } => {
                write!(f, "{found} is not in the range from {min} to {max}")
            }
            Self::SameAs { what, other } => write!(f, "the same {what} as {other}"),
            Self::Contradiction(message) => f.write_str(message),
            Self::EmptyValue => write!(f, "the text is empty"),
            Self::EmptyList => write!(f, "the list needs at least one element"),
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
                "the secret in {file:?} holds a space or a character outside printable ASCII"
            ),
        }
    }
}

fn lowercase(message: &str) -> String {
    let mut chars = message.chars();
    chars
        .next()
        .map(|first| first.to_lowercase().chain(chars).collect())
        .unwrap_or_default()
}
