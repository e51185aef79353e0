//! The gate before the engine or service: every request passes here or does not run.

mod admitted_attempt;
mod answer_relay;
mod gate_server;
mod gate_shared;

pub(crate) use gate_server::serve;
pub(crate) use gate_shared::GateShared;
