//! Conditions of a query.

use crate::language::span::Spanned;

/// A condition on the rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// Both hold.
    And(Box<Filter>, Box<Filter>),
    /// At least one holds.
    Or(Box<Filter>, Box<Filter>),
    /// It does not hold.
    Not(Box<Filter>),
    /// A column compares with a value.
    Compare(Comparison),
}

/// A comparison of a column with a value.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Name of the column.
    pub column: Spanned<&'static str>,
    /// How to compare.
    pub operator: Operator,
    /// What to compare with.
    pub operand: Operand,
}

/// How a column is compared with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less.
    Less,
    /// Less or equal.
    LessEqual,
    /// Greater.
    Greater,
    /// Greater or equal.
    GreaterEqual,
    /// The text contains the value.
    Contains,
}

/// The value that a column is compared with.
#[derive(Clone, Debug, PartialEq)]
pub enum Operand {
    /// No value.
    None,
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
}
