//! The operators' query and command language. `docs/COMMANDS.md` describes its grammar with examples.

mod change_parser;
mod command_error;
mod filter;
mod lexer;
mod parser;
mod query_parser;
mod span;
mod statement;
mod table_name;
mod token;

pub use command_error::{CommandError, ErrorKind};
pub use filter::{Comparison, Filter, Operand, Operator};
pub use parser::{VERBS, parse};
pub use span::{Span, Spanned};
pub use statement::{Change, OrderKey, OrganisationField, Query, ServiceField, Statement};
pub use table_name::{ColumnKind, ColumnSpec, TableName};
