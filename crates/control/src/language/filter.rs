//! The filter expression of a query.

use crate::language::span::Spanned;

/// A boolean expression that selects rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// True if both operands are.
    And(Box<Filter>, Box<Filter>),
    /// True if at least one operand is.
    Or(Box<Filter>, Box<Filter>),
    /// True if the operand is false.
    Not(Box<Filter>),
    /// The result of a comparison.
    Compare(Comparison),
}

/// A comparison of a column with a value.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The name of the column.
    pub column: Spanned<&'static str>,
    /// The comparison operator.
    pub operator: Operator,
    /// The value to compare the column with.
    pub operand: Operand,
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterEqual,
    /// `~`: the column contains the value as a substring.
    Contains,
}

/// The right-hand side of a comparison.
#[derive(Clone, Debug, PartialEq)]
pub enum Operand {
    /// `none`, which matches cells without a value.
    None,
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
}
