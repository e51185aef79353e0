//! A simulated transactional table service.

mod table_faults;
mod table_rows;
mod table_service;

pub use table_faults::TableFaults;
pub use table_service::{TableCounters, TableService};
