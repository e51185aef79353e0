//! Places in a command text.

/// A run of bytes in the command text, so that an error can point at the token it is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// First byte.
    pub offset: usize,
    /// Number of bytes; 0 at the end of the text.
    pub len: usize,
}

/// A value with the place it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spanned<T> {
    /// What was read.
    pub value: T,
    /// Where it stands.
    pub span: Span,
}

impl<T> Spanned<T> {
    /// Wraps `value` with its place.
    pub const fn new(value: T, span: Span) -> Self {
        Self { value, span }
    }
}
