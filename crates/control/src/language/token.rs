//! Tokens of a command text.

use crate::language::span::Span;

/// One token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    /// What it is.
    pub(crate) kind: TokenKind,
    /// Where it stands.
    pub(crate) span: Span,
}

/// The kinds of tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A keyword, name or number.
    Word(String),
    /// A text in double quotes, which is never a keyword.
    Quoted(String),
    /// One of `= != < <= > >= ~`.
    Operator(&'static str),
    /// `,`
    Comma,
    /// `(`
    Open,
    /// `)`
    Close,
    /// The end of the text.
    End,
}

impl Token {
    /// Returns the token as it is named in an error.
    pub(crate) fn describe(&self) -> String {
        match &self.kind {
            TokenKind::Word(text) => format!("\"{text}\""),
            TokenKind::Quoted(text) => format!("the text \"{text}\""),
            TokenKind::Operator(text) => format!("\"{text}\""),
            TokenKind::Comma => "\",\"".into(),
            TokenKind::Open => "\"(\"".into(),
            TokenKind::Close => "\")\"".into(),
            TokenKind::End => "the end".into(),
        }
    }

    /// Tells whether the token is the keyword `word`; keywords may be written in capitals.
    pub(crate) fn is_keyword(&self, word: &str) -> bool {
        matches!(&self.kind, TokenKind::Word(text) if text.eq_ignore_ascii_case(word))
    }
}
