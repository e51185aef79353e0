//! Decisions about the fleet: the operators' language, configuration revisions, membership, leases
//! and rollouts.
//!
//! The edges in `entry`, `agent` and `fulmarline` feed events and the present time in and carry out
//! what comes back. This crate must not know sockets, threads, clocks or the platform's HTTP calls,
//! so that each decision can be compared with a naive version under any order of failures
//! (see `docs/decisions/0030-control.md`).

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
pub use query_table::{Cell, QueryTable, answer_query};
pub use rendezvous::{rendezvous_order, rendezvous_rank};
pub use rollout_permits::rollout_permits;
pub use target_view::{HostConflict, KnownTarget, TargetView};
