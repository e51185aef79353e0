//! The control service of entries.

// The items that the macro generates have no doc comments.
#![allow(missing_docs)]

use std::net::SocketAddr;

use model::{
    ChunkMask, ChunkOffer, ChunkReport, ConfigRevision, FleetConfig, GroupKey, RegionName,
    TargetRow,
};

use crate::chunk_report_reply::ChunkReportReply;
use crate::entry_summary::EntrySummary;
use crate::heartbeat_reply::HeartbeatReply;

/// The calls that agents and other entries make to an entry.
#[tarpc::service]
pub trait EntryControl {
    /// Processes an agent's heartbeat and returns the updates for this agent.
    async fn heartbeat(row: TargetRow) -> HeartbeatReply;
    /// Processes an agent's report of a group of chunks and returns the chunks to fetch next, or a redirect to
    /// the entry that tracks the group.
    ///
    /// `excluded` lists entries that the agent recently failed to reach. If the agent can accept
    /// assignments and there are none, the reply is delayed for a short time (long polling).
    async fn report_chunks(report: ChunkReport, excluded: Vec<SocketAddr>) -> ChunkReportReply;
    /// Returns chunks of a group that are not in `known` and that hosts of `region`, the region of the called
    /// tracker, can send to another region.
    async fn offer_chunks(key: GroupKey, region: RegionName, known: ChunkMask) -> Vec<ChunkOffer>;
    /// Processes a summary of another entry's view and returns a summary of this entry's view.
    async fn exchange(summary: EntrySummary) -> EntrySummary;
    /// Returns the configuration if it is newer than `known`, or if `has_none` is set because the calling
    /// process holds none.
    async fn config(known: ConfigRevision, has_none: bool) -> Option<FleetConfig>;
}
