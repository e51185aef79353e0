//! Runs fulmarline as real processes connected to stand-ins, for integration tests, the demo and the benchmarks.

mod child_process;
mod fleet_calls;
mod fleet_plan;
mod fleet_settings;
pub(crate) mod port_probe;
mod process_fleet;

pub use child_process::ChildProcess;
pub use fleet_calls::CommandResponse;
pub use fleet_plan::{AgentPlan, EntryPlan, FleetPlan, LinkPlan, TargetPlan};
pub use process_fleet::ProcessFleet;
