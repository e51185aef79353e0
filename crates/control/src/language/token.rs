//! Tokens of the command language.

use crate::language::span::Span;

/// A token with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// The kind of token.
    pub(crate) kind: TokenKind,
    /// The position in the command text.
    pub(crate) span: Span,
}

/// The kinds of tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A keyword, name or number.
    Word(String),
    /// A string in double quotes, which is never a keyword.
    Quoted(String),
    /// One of `= != < <= > >= ~`.
    Operator(&'static str),
    /// `,`
    Comma,
    /// `(`
    Open,
    /// `)`
    Close,
    /// The end of the input.
    End,
}

impl Token {
    /// Describes the token for an error message.
    pub(crate) fn describe(&self) -> String {
        match &self.kind {
            TokenKind::Word(text) => format!("\"{text}\""),
            TokenKind::Quoted(text) => format!("the string \"{text}\""),
            TokenKind::Operator(text) => format!("\"{text}\""),
            TokenKind::Comma => "\",\"".into(),
            TokenKind::Open => "\"(\"".into(),
            TokenKind::Close => "\")\"".into(),
            TokenKind::End => "the end of the command".into(),
        }
    }

    /// Returns whether the token is the keyword `word`. Keywords are case-insensitive.
    pub(crate) fn is_keyword(&self, word: &str) -> bool {
        matches!(&self.kind, TokenKind::Word(text) if text.eq_ignore_ascii_case(word))
    }
}
