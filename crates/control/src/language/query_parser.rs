//! Parser for queries.

use crate::language::command_error::{CommandError, ErrorKind};
use crate::language::filter::{Comparison, Filter, Operand, Operator};
use crate::language::parser::{TokenCursor, expected_token};
use crate::language::span::Spanned;
use crate::language::statement::{OrderKey, Query};
use crate::language::table_name::{ColumnKind, ColumnSpec, TableName};
use crate::language::token::{Token, TokenKind};

/// Maximum nesting depth of parentheses and `not`, so that a query cannot overflow the stack of the
/// recursive parser.
const MAX_DEPTH: usize = 32;

/// Maximum value of `limit`.
const MAX_LIMIT: f64 = 1_000_000.0;

/// Keywords that end the list of columns.
const CLAUSES: [&str; 3] = ["where", "order", "limit"];

pub(crate) fn parse_query(cursor: &mut TokenCursor) -> Result<Query, CommandError> {
    let table = parse_table(cursor)?;
    let columns = parse_columns(cursor, table)?;
    let filter = if cursor.eat("where") {
        Some(parse_or(cursor, table, 0)?)
    } else {
        None
    };
    let order = if cursor.eat("order") {
        cursor.expect_keyword("\"by\"", &["by"])?;
        parse_order(cursor, table)?
    } else {
        Vec::new()
    };
    let limit = if cursor.eat("limit") {
        let limit = cursor.parse_number("limit", "", (0.0, MAX_LIMIT))?;
        Some(limit.value as usize)
    } else {
        None
    };
    Ok(Query {
        table,
        columns,
        filter,
        order,
        limit,
    })
}

fn parse_table(cursor: &mut TokenCursor) -> Result<TableName, CommandError> {
    let Spanned { value, span } = cursor.parse_text("a table name")?;
    TableName::find(&value).ok_or_else(|| {
        let suggestion = TableName::nearest_name(&value);
        let kind = ErrorKind::Unknown {
            what: "table",
            name: value,
        };
        CommandError::new(kind, span).with_suggestion(suggestion)
    })
}

fn parse_columns(
    cursor: &mut TokenCursor,
    table: TableName,
) -> Result<Vec<&'static str>, CommandError> {
    let mut columns = Vec::new();
    let at_clause = CLAUSES.iter().any(|it| cursor.peek().is_keyword(it));
    if at_clause || cursor.peek().kind == TokenKind::End {
        return Ok(columns);
    }
    loop {
        columns.push(parse_column(cursor, table)?.value.name);
        if cursor.peek().kind != TokenKind::Comma {
            return Ok(columns);
        }
        cursor.next();
    }
}

fn parse_column(
    cursor: &mut TokenCursor,
    table: TableName,
) -> Result<Spanned<&'static ColumnSpec>, CommandError> {
    let Spanned { value, span } = cursor.parse_text("a column name")?;
    match table.column(&value) {
        Some(column) => Ok(Spanned::new(column, span)),
        None => {
            let clauses = CLAUSES.iter().copied();
            let suggestion = table
                .nearest_column(&value)
                .or_else(|| model::nearest_name(&value, clauses));
            let kind = ErrorKind::Unknown {
                what: "column",
                name: value,
            };
            Err(CommandError::new(kind, span).with_suggestion(suggestion))
        }
    }
}

fn parse_order(cursor: &mut TokenCursor, table: TableName) -> Result<Vec<OrderKey>, CommandError> {
    let mut keys = Vec::new();
    loop {
        let column = parse_column(cursor, table)?.value.name;
        let descending = cursor.eat("desc");
        if !descending {
            cursor.eat("asc");
        }
        keys.push(OrderKey { column, descending });
        if cursor.peek().kind != TokenKind::Comma {
            return Ok(keys);
        }
        cursor.next();
    }
}

fn parse_or(
    cursor: &mut TokenCursor,
    table: TableName,
    depth: usize,
) -> Result<Filter, CommandError> {
    let mut filter = parse_and(cursor, table, depth)?;
    while cursor.eat("or") {
        let right = parse_and(cursor, table, depth)?;
        filter = Filter::Or(Box::new(filter), Box::new(right));
    }
    Ok(filter)
}

fn parse_and(
    cursor: &mut TokenCursor,
    table: TableName,
    depth: usize,
) -> Result<Filter, CommandError> {
    let mut filter = parse_term(cursor, table, depth)?;
    while cursor.eat("and") {
        let right = parse_term(cursor, table, depth)?;
        filter = Filter::And(Box::new(filter), Box::new(right));
    }
    Ok(filter)
}

fn parse_term(
    cursor: &mut TokenCursor,
    table: TableName,
    depth: usize,
) -> Result<Filter, CommandError> {
    let token = cursor.peek().clone();
    if depth > MAX_DEPTH {
        return Err(CommandError::new(ErrorKind::TooDeep, token.span));
    }
    if cursor.eat("not") {
        let inner = parse_term(cursor, table, depth + 1)?;
        return Ok(Filter::Not(Box::new(inner)));
    }
    if token.kind != TokenKind::Open {
        return parse_comparison(cursor, table).map(Filter::Compare);
    }
    cursor.next();
    let inner = parse_or(cursor, table, depth + 1)?;
    let close = cursor.next();
    if close.kind != TokenKind::Close {
        return Err(expected_token("\")\"", &close));
    }
    Ok(inner)
}

fn parse_comparison(
    cursor: &mut TokenCursor,
    table: TableName,
) -> Result<Comparison, CommandError> {
    let column = parse_column(cursor, table)?;
    let operator = parse_operator(&cursor.next())?;
    let token = cursor.next();
    let operand = parse_operand(&token, column.value.kind)?;
    let is_ordering = !matches!(
        operator,
        Operator::Equal | Operator::NotEqual | Operator::Contains
    );
    let is_supported = match (column.value.kind, &operand) {
        (ColumnKind::Number, Operand::Number(_)) => operator != Operator::Contains,
        (ColumnKind::Text, Operand::Text(_)) => !is_ordering,
        (_, Operand::None) => matches!(operator, Operator::Equal | Operator::NotEqual),
        _ => false,
    };
    if !is_supported {
        let contents = match column.value.kind {
            ColumnKind::Number => "numbers, which support = != < <= > >= with a number",
            ColumnKind::Text => "text, which supports = != and ~",
        };
        let name = column.value.name.to_string();
        let kind = ErrorKind::WrongType {
            column: name,
            contents,
        };
        return Err(CommandError::new(kind, token.span));
    }
    Ok(Comparison {
        column: Spanned::new(column.value.name, column.span),
        operator,
        operand,
    })
}

fn parse_operator(token: &Token) -> Result<Operator, CommandError> {
    let TokenKind::Operator(text) = token.kind else {
        return Err(expected_token("one of = != < <= > >= ~", token));
    };
    Ok(match text {
        "=" => Operator::Equal,
        "!=" => Operator::NotEqual,
        "<" => Operator::Less,
        "<=" => Operator::LessEqual,
        ">" => Operator::Greater,
        ">=" => Operator::GreaterEqual,
        _ => Operator::Contains,
    })
}

fn parse_operand(token: &Token, kind: ColumnKind) -> Result<Operand, CommandError> {
    match &token.kind {
        TokenKind::Quoted(text) => Ok(Operand::Text(text.clone())),
        TokenKind::Word(text) if text.eq_ignore_ascii_case("none") => Ok(Operand::None),
        TokenKind::Word(text) => Ok(match (kind, text.parse()) {
            (ColumnKind::Number, Ok(number)) => Operand::Number(number),
            _ => Operand::Text(text.clone()),
        }),
        _ => Err(expected_token("a value", token)),
    }
}
