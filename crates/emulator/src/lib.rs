//! An emulator, in virtual time, of entries that exchange evidence about requests which crash replicas.
//!
//! It drives the decisions of `routing` as entries do, with replicas, traffic and datagrams that a seed determines. This crate is
//! not shipped.

mod crash_outcome;
mod crash_scenario;
mod crash_simulation;
mod simulated_entry;
mod simulated_pool;
mod simulated_traffic;
mod simulation_event;

pub use crash_outcome::CrashOutcome;
pub use crash_scenario::CrashScenario;
pub use crash_simulation::CrashSimulation;
