//! Answers queries over rows that the edges collect.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::language::{Comparison, Filter, Operand, Operator, Query, TableName};

/// One value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value.
    None,
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
}

/// Named columns with rows of as many cells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueryTable {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<Cell>>,
}

impl Cell {
    /// Wraps a text.
    pub fn text(text: impl ToString) -> Self {
        Self::Text(text.to_string())
    }

    /// Wraps a whole number, which is exact up to 2^53.
    pub fn count(number: impl TryInto<u64>) -> Self {
        number
            .try_into()
            .map_or(Self::None, |it| Self::Number(it as f64))
    }

    /// Wraps a text that may be missing.
    pub fn optional_text(text: Option<impl ToString>) -> Self {
        text.map_or(Self::None, Self::text)
    }

    /// Wraps `yes` or `no`.
    pub fn yes_no(flag: bool) -> Self {
        Self::text(if flag { "yes" } else { "no" })
    }

    /// Returns the cell as people read it.
    pub fn display_text(&self) -> String {
        match self {
            Self::None => "-".to_string(),
            Self::Number(number) if number.fract() == 0.0 => format!("{number:.0}"),
            Self::Number(number) => format!("{number:.1}"),
            Self::Text(text) => text.clone(),
        }
    }
}

/// Answers `query` from `rows`, each of which has a cell for every column of the table.
///
/// A row that lacks cells is read as if they held no value.
pub fn answer_query(query: &Query, rows: Vec<Vec<Cell>>) -> QueryTable {
    let table = query.table;
    let mut rows: Vec<_> = rows
        .into_iter()
        .filter(|row| query.filter.as_ref().is_none_or(|it| holds(it, table, row)))
        .collect();
    rows.sort_by(|left, right| {
        let keys = query.order.iter().map(|key| {
            let order = compare(
                cell(table, left, key.column),
                cell(table, right, key.column),
            );
            if key.descending {
                order.reverse()
            } else {
                order
            }
        });
        keys.fold(Ordering::Equal, Ordering::then)
    });
    rows.truncate(query.limit.unwrap_or(usize::MAX));
    let all = table.columns().iter().map(|it| it.name);
    let columns: Vec<_> = if query.columns.is_empty() {
        all.collect()
    } else {
        query.columns.clone()
    };
    let rows = rows
        .iter()
        .map(|row| {
            let cells = columns.iter().map(|it| cell(table, row, it).clone());
            cells.collect()
        })
        .collect();
    QueryTable {
        columns: columns.into_iter().map(str::to_string).collect(),
        rows,
    }
}

fn holds(filter: &Filter, table: TableName, row: &[Cell]) -> bool {
    match filter {
        Filter::And(left, right) => holds(left, table, row) && holds(right, table, row),
        Filter::Or(left, right) => holds(left, table, row) || holds(right, table, row),
        Filter::Not(inner) => !holds(inner, table, row),
        Filter::Compare(comparison) => {
            matches(comparison, cell(table, row, comparison.column.value))
        }
    }
}

/// A cell without a value equals only `none` and is neither less nor greater than anything.
fn matches(comparison: &Comparison, cell: &Cell) -> bool {
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

/// Cells without a value come first, then numbers, then texts.
fn compare(left: &Cell, right: &Cell) -> Ordering {
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

fn cell<'a>(table: TableName, row: &'a [Cell], column: &str) -> &'a Cell {
    let idx = table.columns().iter().position(|it| it.name == column);
    idx.and_then(|it| row.get(it)).unwrap_or(&Cell::None)
}
