//! Control calls that an entry answers.

// The macro writes items without doc comments of their own.
#![allow(missing_docs)]

use model::{ConfigRevision, FleetConfig, TargetRow};

use crate::chunk_plan::{PlanReply, PlanRequest};
use crate::entry_summary::EntrySummary;
use crate::heartbeat_reply::HeartbeatReply;

/// What agents and other entries ask of an entry.
#[tarpc::service]
pub trait EntryControl {
    /// Takes an agent's heartbeat and answers with what the agent does not know yet.
    async fn heartbeat(row: TargetRow) -> HeartbeatReply;
    /// Takes an agent's announcement of chunks and answers with what to fetch next.
    async fn plan(request: PlanRequest) -> PlanReply;
    /// Takes another entry's view and answers with this entry's own.
    async fn exchange(summary: EntrySummary) -> EntrySummary;
    /// Returns the configuration when it is newer than `known`.
    async fn config(known: ConfigRevision) -> Option<FleetConfig>;
}
