//! Parser for statements. Queries and commands are parsed in `query_parser` and `change_parser`.

use crate::language::change_parser::parse_change;
use crate::language::command_error::{CommandError, ErrorKind};
use crate::language::lexer::tokenize;
use crate::language::query_parser::parse_query;
use crate::language::span::{Span, Spanned};
use crate::language::statement::Statement;
use crate::language::token::{Token, TokenKind};
use model::nearest_name;

/// Maximum length of a statement in bytes.
const MAX_COMMAND_BYTES: usize = 4096;

/// The keywords that a statement can start with.
pub const VERBS: [&str; 11] = [
    "show", "rollout", "pause", "resume", "roll", "drain", "undrain", "set", "unset", "deny",
    "allow",
];

/// Parses one statement.
///
/// # Errors
///
/// Returns the first error, with the span of the token that caused it.
pub fn parse(text: &str) -> Result<Statement, CommandError> {
    if text.len() > MAX_COMMAND_BYTES {
        let span = Span {
            offset: MAX_COMMAND_BYTES,
            len: text.len() - MAX_COMMAND_BYTES,
        };
        return Err(CommandError::new(ErrorKind::TooLong, span));
    }
    let mut cursor = TokenCursor::new(tokenize(text)?);
    let verb = cursor.next();
    let statement = if verb.is_keyword("show") {
        Statement::Query(parse_query(&mut cursor)?)
    } else {
        Statement::Change(parse_change(&verb, &mut cursor)?)
    };
    cursor.expect_end()?;
    Ok(statement)
}

/// A cursor over the tokens of a statement.
pub(crate) struct TokenCursor {
    tokens: Vec<Token>,
    next: usize,
}

impl TokenCursor {
    fn new(tokens: Vec<Token>) -> Self {
        Self { tokens, next: 0 }
    }

    /// Returns the next token without consuming it.
    pub(crate) fn peek(&self) -> &Token {
        &self.tokens[self.next]
    }

    /// Consumes the next token. At the end of the input, [`TokenKind::End`] is returned repeatedly.
    pub(crate) fn next(&mut self) -> Token {
        let token = self.peek().clone();
        self.next = (self.next + 1).min(self.tokens.len() - 1);
        token
    }

    /// Consumes the next token if it is the keyword `word`, and returns whether it was.
    pub(crate) fn eat(&mut self, word: &str) -> bool {
        let found = self.peek().is_keyword(word);
        if found {
            self.next();
        }
        found
    }

    /// Parses a word or a quoted string.
    pub(crate) fn parse_text(
        &mut self,
        expected: &'static str,
    ) -> Result<Spanned<String>, CommandError> {
        let token = self.next();
        match token.kind {
            TokenKind::Word(text) | TokenKind::Quoted(text) => Ok(Spanned::new(text, token.span)),
            _ => Err(expected_token(expected, &token)),
        }
    }

    /// Parses a name and validates it with `check`.
    pub(crate) fn parse_name<T>(
        &mut self,
        expected: &'static str,
        check: impl Fn(String) -> Result<T, model::NameError>,
    ) -> Result<Spanned<T>, CommandError> {
        let Spanned { value, span } = self.parse_text(expected)?;
        check(value)
            .map(|it| Spanned::new(it, span))
            .map_err(|err| CommandError::new(ErrorKind::BadName(err), span))
    }

    /// Parses a number from `min` to `max` with an optional `suffix`.
    pub(crate) fn parse_number(
        &mut self,
        what: &'static str,
        suffix: &str,
        (min, max): (f64, f64),
    ) -> Result<Spanned<f64>, CommandError> {
        let Spanned { value, span } = self.parse_text(what)?;
        let digits = value.strip_suffix(suffix).unwrap_or(&value);
        digits
            .parse()
            .ok()
            .filter(|it| (min..=max).contains(it))
            .map(|it| Spanned::new(it, span))
            .ok_or_else(|| CommandError::new(ErrorKind::OutOfRange { what, min, max }, span))
    }

    /// Parses one of the keywords `words`.
    pub(crate) fn expect_keyword(
        &mut self,
        expected: &'static str,
        words: &[&'static str],
    ) -> Result<&'static str, CommandError> {
        let token = self.next();
        let found = words.iter().copied().find(|it| token.is_keyword(it));
        found.ok_or_else(|| unknown_word(expected, &token, words))
    }

    fn expect_end(&mut self) -> Result<(), CommandError> {
        let token = self.next();
        if token.kind == TokenKind::End {
            return Ok(());
        }
        Err(expected_token("the end of the command", &token))
    }
}

/// Creates the error for an unexpected token.
pub(crate) fn expected_token(expected: &'static str, token: &Token) -> CommandError {
    let found = token.describe();
    CommandError::new(ErrorKind::Expected { expected, found }, token.span)
}

/// Creates the error for a word that is not in `words`, and suggests the most similar one.
pub(crate) fn unknown_word(
    expected: &'static str,
    token: &Token,
    words: &[&'static str],
) -> CommandError {
    let suggestion = match &token.kind {
        TokenKind::Word(text) => nearest_name(text, words.iter().copied()),
        _ => None,
    };
    expected_token(expected, token).with_suggestion(suggestion)
}
