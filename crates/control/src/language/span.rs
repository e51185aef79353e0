//! Source positions in a command.

/// A byte range of the command text, which errors use to point at a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Offset of the first byte.
    pub offset: usize,
    /// Length in bytes; 0 at the end of the text.
    pub len: usize,
}

/// A value with the span that it was parsed from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spanned<T> {
    /// The parsed value.
    pub value: T,
    /// The position in the command text.
    pub span: Span,
}

impl<T> Spanned<T> {
    /// Combines `value` with its span.
    pub const fn new(value: T, span: Span) -> Self {
        Self { value, span }
    }
}
