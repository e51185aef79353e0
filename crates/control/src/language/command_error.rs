//! Errors of the command language.

use std::{error, fmt};

use model::NameError;

use crate::language::span::Span;

/// Why a command text was refused; nothing of it was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandError {
    /// What is wrong.
    pub kind: ErrorKind,
    /// The token that the error is about.
    pub span: Span,
    /// The name that was probably meant.
    pub suggestion: Option<String>,
}

/// The kinds of errors.
#[derive(Clone, Debug, PartialEq)]
pub enum ErrorKind {
    /// A character that no token starts with.
    BadCharacter(char),
    /// A text without its closing quote.
    UnclosedQuote,
    /// Another token was expected.
    Expected {
        /// What would have been right.
        expected: &'static str,
        /// What stands there.
        found: String,
    },
    /// A name that does not exist among its kind.
    Unknown {
        /// The kind of name.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A name that breaks the rules of names.
    BadName(NameError),
    /// A number outside its range.
    OutOfRange {
        /// What the number is for.
        what: &'static str,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A comparison of a text column with `<`, `<=`, `>` or `>=`, or of a number with a text.
    WrongType {
        /// The column.
        column: String,
        /// What the column holds.
        contents: &'static str,
    },
    /// A rollout whose manifest could not be had from the origin.
    ManifestUnavailable {
        /// Why.
        reason: String,
    },
    /// A roll back of a model that has run only one version.
    NoPreviousVersion,
    /// Parentheses nested deeper than the limit.
    TooDeep,
    /// A text longer than the limit.
    TooLong,
}

impl CommandError {
    /// Creates an error without a suggestion.
    pub const fn new(kind: ErrorKind, span: Span) -> Self {
        Self {
            kind,
            span,
            suggestion: None,
        }
    }

    /// Adds the name that was probably meant.
    #[must_use]
    pub fn with_suggestion(mut self, name: Option<&str>) -> Self {
        self.suggestion = name.map(str::to_string);
        self
    }

    /// Returns `text` with a line below that marks the token, for a terminal.
    pub fn underline(&self, text: &str) -> String {
        let before = text.get(..self.span.offset).unwrap_or(text);
        let indent: String = before
            .chars()
            .map(|it| if it == '\t' { '\t' } else { ' ' })
            .collect();
        let marks = "^".repeat(self.span.len.max(1));
        format!("{text}\n{indent}{marks} {self}")
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)?;
        match &self.suggestion {
            Some(name) => write!(f, "; did you mean \"{name}\"?"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadCharacter(it) => write!(f, "unexpected character {it:?}"),
            Self::UnclosedQuote => f.write_str("the quote is not closed"),
            Self::Expected { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::Unknown { what, name } => write!(f, "there is no {what} \"{name}\""),
            Self::BadName(err) => err.fmt(f),
            Self::OutOfRange { what, min, max } => {
                write!(f, "the {what} must be a number from {min} to {max}")
            }
            Self::WrongType { column, contents } => {
                write!(f, "column \"{column}\" holds {contents}")
            }
            Self::ManifestUnavailable { reason } => {
                write!(f, "the version is not to be had: {reason}")
            }
            Self::NoPreviousVersion => f.write_str("the model has no previous version"),
            Self::TooDeep => f.write_str("parentheses are nested too deep"),
            Self::TooLong => f.write_str("the command is too long"),
        }
    }
}

impl error::Error for CommandError {}
