//! Walks the syntax tree: a [`Section`] reads an object, a [`Field`] reads a value.

mod field;
mod file_context;
mod section;

pub(crate) use field::Field;
pub(crate) use file_context::FileContext;
pub(crate) use section::Section;
