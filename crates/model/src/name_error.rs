//! Errors of checked names.

use std::{error, fmt};

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty {
        /// The kind of name that was expected.
        what: &'static str,
    },
    /// The text is longer than allowed.
    TooLong {
        /// The kind of name that was expected.
        what: &'static str,
        /// The longest allowed length in bytes.
        max_bytes: usize,
    },
    /// The text does not start with a letter or digit.
    BadStart {
        /// The kind of name that was expected.
        what: &'static str,
    },
    /// The text holds a character that names may not hold.
    BadCharacter {
        /// The kind of name that was expected.
        what: &'static str,
        /// The first such character.
        character: char,
    },
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty { what } => write!(f, "the {what} name is empty"),
            Self::TooLong { what, max_bytes } => {
                write!(f, "the {what} name is longer than {max_bytes} bytes")
            }
            Self::BadStart { what } => {
                write!(f, "the {what} name must start with a letter or digit")
            }
            Self::BadCharacter { what, character } => {
                write!(
                    f,
                    "the {what} name holds {character:?}; allowed are letters, digits, '.', '_' and '-'"
                )
            }
        }
    }
}

impl error::Error for NameError {}
