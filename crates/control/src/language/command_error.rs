//! Errors of the command language.

use std::{error, fmt};

use model::NameError;

use crate::language::span::Span;

/// Why a command was rejected. A rejected command has no effect.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandError {
    /// The kind of error.
    pub kind: ErrorKind,
    /// The token that caused the error.
    pub span: Span,
    /// The name that the operator probably meant.
    pub suggestion: Option<String>,
}

/// The kinds of errors.
#[derive(Clone, Debug, PartialEq)]
pub enum ErrorKind {
    /// A character that cannot start a token.
    BadCharacter(char),
    /// A quoted string without its closing quote.
    UnclosedQuote,
    /// An unexpected token.
    Expected {
        /// The expected syntax.
        expected: &'static str,
        /// The token that was found.
        found: String,
    },
    /// An unknown name.
    Unknown {
        /// The kind of object that the name denotes.
        what: &'static str,
        /// The unknown name.
        name: String,
    },
    /// A syntactically invalid name.
    BadName(NameError),
    /// A number outside its range.
    OutOfRange {
        /// The name of the value.
        what: &'static str,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// A comparison whose operator or value does not match the type of the column.
    WrongType {
        /// The column name.
        column: String,
        /// The type of the column's values and the operators that it supports.
        contents: &'static str,
    },
    /// A rollout of a version whose manifest is invalid or could not be fetched from the origin.
    ManifestUnavailable {
        /// The cause.
        reason: String,
    },
    /// A rollback of a model without a previous version.
    NoPreviousVersion,
    /// Parentheses or `not` nested deeper than the limit.
    TooDeep,
    /// A statement longer than the limit.
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

    /// Sets the name that the operator probably meant.
    #[must_use]
    pub fn with_suggestion(mut self, name: Option<&str>) -> Self {
        self.suggestion = name.map(str::to_string);
        self
    }

    /// Returns `text` followed by a line that marks the token and shows the error, for a terminal.
    pub fn underline(&self, text: &str) -> String {
        let prefix = text.get(..self.span.offset).unwrap_or(text);
        let indent: String = prefix
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
            Self::UnclosedQuote => f.write_str("unterminated quoted string"),
            Self::Expected { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::Unknown { what, name } => write!(f, "there is no {what} \"{name}\""),
            Self::BadName(err) => err.fmt(f),
            Self::OutOfRange { what, min, max } => {
                write!(f, "the {what} must be a number from {min} to {max}")
            }
            Self::WrongType { column, contents } => {
                write!(f, "column \"{column}\" contains {contents}")
            }
            Self::ManifestUnavailable { reason } => {
                write!(f, "the manifest of the version is not available: {reason}")
            }
            Self::NoPreviousVersion => f.write_str("the model has no previous version"),
            Self::TooDeep => f.write_str("the condition is nested too deeply"),
            Self::TooLong => f.write_str("the command is too long"),
        }
    }
}

impl error::Error for CommandError {}
