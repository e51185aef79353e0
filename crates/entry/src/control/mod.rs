//! The entry's control plane: configuration, membership, rollouts and operators' commands.

mod command_outcome;
mod command_runner;
mod config_poller;
mod control_event;
mod control_server;
mod control_snapshot;
mod control_thread;
mod exchange_loop;
mod in_force;
mod operator_server;
mod query_rows;
mod rollout_driver;

pub(crate) use config_poller::start_config_poller;
pub(crate) use control_server::serve;
pub(crate) use control_snapshot::{ControlSnapshot, SnapshotCell};
pub(crate) use control_thread::ControlThread;
pub(crate) use exchange_loop::exchange_loop;
pub(crate) use operator_server::OperatorServer;
pub(crate) use rollout_driver::start_rollout_driver;
