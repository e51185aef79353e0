//! Control-plane logic: the operators' command language, configuration revisions, membership and
//! rollouts.
//!
//! The I/O crates `entry`, `agent` and `fulmarline` pass in events and the current time and carry
//! out the returned actions. This crate must not depend on sockets, threads, clocks or the
//! platform's HTTP calls, so that tests can compare each decision with a naive model under any
//! order of failures (see `docs/decisions/0030-control.md`).

pub mod language;

mod change_plan;
mod config_cache;
mod engine_switch;
mod parameter_spec;
mod peer_sync;
mod query_table;
mod rendezvous;
mod rollout_permits;
mod target_view;

pub use change_plan::{PlanContext, plan_change};
pub use config_cache::{ConfigCache, ConfigSource};
pub use engine_switch::{EngineStatus, EngineSwitch, LoadCommand, SwitchInput, SwitchStep};
pub use language::{Change, CommandError, Query, Statement, TableName, parse};
pub use parameter_spec::{PARAMETERS, ParameterSpec};
pub use peer_sync::{PeerSync, TargetUpdate};
pub use query_table::{Cell, QueryTable, evaluate_query};
pub use rendezvous::{rendezvous_order, rendezvous_rank};
pub use rollout_permits::rollout_permits;
pub use target_view::{HostConflict, KnownTarget, TargetView};
