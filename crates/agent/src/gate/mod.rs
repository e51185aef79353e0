//! The gate before the engine or service: every request passes here or does not run.

mod attempt_state;
mod gate_server;
mod gate_shared;
mod gate_table;

pub(crate) use gate_server::serve;
pub(crate) use gate_shared::GateShared;
