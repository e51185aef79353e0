//! The walker over the syntax tree: objects become [`Section`]s, their members [`Field`]s.

mod field;
mod file_context;
mod section;

pub(crate) use field::Field;
pub(crate) use file_context::FileContext;
pub(crate) use section::Section;
