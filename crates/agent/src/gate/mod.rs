//! The gate: a reverse proxy that admits, refuses and forwards every request to the engine or service.

mod admitted_attempt;
mod back_end_probe;
mod gate_server;
mod response_relay;
mod shared_gate;

pub(crate) use back_end_probe::BackEndProbe;
pub(crate) use gate_server::serve;
pub(crate) use shared_gate::SharedGate;
