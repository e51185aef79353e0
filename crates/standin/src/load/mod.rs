//! An open-loop load generator that verifies every response.

mod call_client;
mod call_outcome;
mod entry_directory;
mod load_generator;
mod load_plan;
mod load_report;
mod stream_check;

pub use call_outcome::{CallKind, CallOutcome, CallRecord};
pub use load_generator::{LoadGenerator, RunningLoad};
pub use load_plan::{LoadOrganisation, LoadPlan};
pub use load_report::{LoadReport, LoadTotals, ObservedRuns};
