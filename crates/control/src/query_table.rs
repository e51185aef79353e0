//! Evaluates queries over rows that the callers collect.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::language::{Comparison, Filter, Operand, Operator, Query, TableName};

/// A single value in a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value.
    None,
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
}

/// The result of a query: column names, and rows with one cell for each column.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryTable {
    /// The column names.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<Cell>>,
}

impl Cell {
    /// Creates a text cell from any displayable value.
    pub fn text(text: impl ToString) -> Self {
        Self::Text(text.to_string())
    }

    /// Creates a number cell from an integer. The stored `f64` is exact up to 2^53.
    pub fn count(number: impl TryInto<u64>) -> Self {
        number
            .try_into()
            .map_or(Self::None, |it| Self::Number(it as f64))
    }

    /// Creates a text cell, or [`Cell::None`] for `None`.
    pub fn optional_text(text: Option<impl ToString>) -> Self {
        text.map_or(Self::None, Self::text)
    }

    /// Creates a text cell that holds `yes` or `no`.
    pub fn yes_no(value: bool) -> Self {
        Self::text(if value { "yes" } else { "no" })
    }

    /// Formats the cell for display.
    pub fn display_text(&self) -> String {
        match self {
            Self::None => "-".to_string(),
            Self::Number(number) if number.fract() == 0.0 => format!("{number:.0}"),
            Self::Number(number) => format!("{number:.1}"),
            Self::Text(text) => text.clone(),
        }
    }
}

/// Filters, sorts, limits and projects `rows` as `query` specifies.
///
/// The cells of each row are in the order of the table's columns. Missing cells at the end of a row
/// are treated as [`Cell::None`].
pub fn evaluate_query(query: &Query, rows: Vec<Vec<Cell>>) -> QueryTable {
    let table = query.table;
    let mut rows: Vec<_> = rows
        .into_iter()
        .filter(|row| {
            query
                .filter
                .as_ref()
                .is_none_or(|it| filter_matches(it, table, row))
        })
        .collect();
    rows.sort_by(|left, right| {
        let orderings = query.order.iter().map(|key| {
            let order = compare_cells(
                cell_at(table, left, key.column),
                cell_at(table, right, key.column),
            );
            if key.descending {
                order.reverse()
            } else {
                order
            }
        });
        orderings.fold(Ordering::Equal, Ordering::then)
    });
    rows.truncate(query.limit.unwrap_or(usize::MAX));
    let all_columns = table.columns().iter().map(|it| it.name);
    let columns: Vec<_> = if query.columns.is_empty() {
        all_columns.collect()
    } else {
        query.columns.clone()
    };
    let rows = rows
        .iter()
        .map(|row| {
            let cells = columns.iter().map(|it| cell_at(table, row, it).clone());
            cells.collect()
        })
        .collect();
    QueryTable {
        columns: columns.into_iter().map(str::to_string).collect(),
        rows,
    }
}

fn filter_matches(filter: &Filter, table: TableName, row: &[Cell]) -> bool {
    match filter {
        Filter::And(left, right) => {
            filter_matches(left, table, row) && filter_matches(right, table, row)
        }
        Filter::Or(left, right) => {
            filter_matches(left, table, row) || filter_matches(right, table, row)
        }
        Filter::Not(inner) => !filter_matches(inner, table, row),
        Filter::Compare(comparison) => {
            comparison_matches(comparison, cell_at(table, row, comparison.column.value))
        }
    }
}

/// A cell without a value equals only `none`; every ordering comparison with it is false.
fn comparison_matches(comparison: &Comparison, cell: &Cell) -> bool {
    let operator = comparison.operator;
    match (cell, &comparison.operand) {
        (Cell::None, Operand::None) => operator == Operator::Equal,
        (Cell::None, _) | (_, Operand::None) => operator == Operator::NotEqual,
        (Cell::Number(left), Operand::Number(right)) => match operator {
            Operator::Equal => left == right,
            Operator::NotEqual => left != right,
            Operator::Less => left < right,
            Operator::LessEqual => left <= right,
            Operator::Greater => left > right,
            Operator::GreaterEqual => left >= right,
            Operator::Contains => false,
        },
        (Cell::Text(left), Operand::Text(right)) => match operator {
            Operator::Equal => left == right,
            Operator::NotEqual => left != right,
            Operator::Contains => left.contains(right.as_str()),
            _ => false,
        },
        _ => operator == Operator::NotEqual,
    }
}

/// Sort order of cells: first those without a value, then numbers, then strings.
fn compare_cells(left: &Cell, right: &Cell) -> Ordering {
    let rank = |it: &Cell| match it {
        Cell::None => 0,
        Cell::Number(_) => 1,
        Cell::Text(_) => 2,
    };
    match (left, right) {
        (Cell::Number(left), Cell::Number(right)) => left.total_cmp(right),
        (Cell::Text(left), Cell::Text(right)) => left.cmp(right),
        _ => rank(left).cmp(&rank(right)),
    }
}

fn cell_at<'a>(table: TableName, row: &'a [Cell], column: &str) -> &'a Cell {
    let idx = table.columns().iter().position(|it| it.name == column);
    idx.and_then(|it| row.get(it)).unwrap_or(&Cell::None)
}
