//! Lexer of the command language.

use crate::language::command_error::{CommandError, ErrorKind};
use crate::language::span::Span;
use crate::language::token::{Token, TokenKind};

/// The operators. Longer ones precede their own prefixes, because the first match is taken.
const OPERATORS: [&str; 7] = ["!=", "<=", ">=", "=", "<", ">", "~"];

/// Returns the tokens of `text`, the last of which is [`TokenKind::End`].
pub(crate) fn tokenize(text: &str) -> Result<Vec<Token>, CommandError> {
    let mut tokens = Vec::new();
    let mut offset = 0;
    while let Some(first) = text[offset..].chars().next() {
        if first.is_whitespace() {
            offset += first.len_utf8();
            continue;
        }
        let (kind, len) = next_token(text, offset, first)?;
        let span = Span { offset, len };
        tokens.push(Token { kind, span });
        offset += len;
    }
    let end = Span {
        offset: text.len(),
        len: 0,
    };
    tokens.push(Token {
        kind: TokenKind::End,
        span: end,
    });
    Ok(tokens)
}

fn next_token(text: &str, offset: usize, first: char) -> Result<(TokenKind, usize), CommandError> {
    let rest = &text[offset..];
    match first {
        ',' => return Ok((TokenKind::Comma, 1)),
        '(' => return Ok((TokenKind::Open, 1)),
        ')' => return Ok((TokenKind::Close, 1)),
        '"' => return quoted_token(rest, offset),
        _ => {}
    }
    if let Some(operator) = OPERATORS.iter().find(|it| rest.starts_with(**it)) {
        return Ok((TokenKind::Operator(operator), operator.len()));
    }
    let len = rest.find(|it| !is_word_char(it)).unwrap_or(rest.len());
    if len == 0 {
        let span = Span {
            offset,
            len: first.len_utf8(),
        };
        return Err(CommandError::new(ErrorKind::BadCharacter(first), span));
    }
    Ok((TokenKind::Word(rest[..len].to_string()), len))
}

fn quoted_token(rest: &str, offset: usize) -> Result<(TokenKind, usize), CommandError> {
    match rest[1..].find('"') {
        Some(len) => Ok((TokenKind::Quoted(rest[1..=len].to_string()), len + 2)),
        None => {
            let span = Span {
                offset,
                len: rest.len(),
            };
            Err(CommandError::new(ErrorKind::UnclosedQuote, span))
        }
    }
}

fn is_word_char(it: char) -> bool {
    it.is_ascii_alphanumeric() || matches!(it, '.' | '_' | '-' | ':' | '%' | '/' | '[' | ']')
}
