//! Errors in names.

use std::{error, fmt};

/// The reason why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty {
        /// The kind of name that was expected.
        kind: &'static str,
    },
    /// The text exceeds the maximum length.
    TooLong {
        /// The kind of name that was expected.
        kind: &'static str,
        /// The maximum length in bytes.
        max_bytes: usize,
    },
    /// The text does not start with an ASCII letter or digit.
    BadStart {
        /// The kind of name that was expected.
        kind: &'static str,
    },
    /// The text contains a character that is not allowed in names.
    BadCharacter {
        /// The kind of name that was expected.
        kind: &'static str,
        /// The first invalid character.
        character: char,
    },
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty { kind } => write!(f, "the {kind} name is empty"),
            Self::TooLong { kind, max_bytes } => {
                write!(f, "the {kind} name is longer than {max_bytes} bytes")
            }
            Self::BadStart { kind } => {
                write!(f, "the {kind} name must start with a letter or digit")
            }
            Self::BadCharacter { kind, character } => {
                write!(
                    f,
                    "the {kind} name contains {character:?}; allowed are letters, digits, '.', '_' and '-'"
                )
            }
        }
    }
}

impl error::Error for NameError {}
