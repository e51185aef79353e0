//! Control calls that an entry answers.

// The macro writes items without doc comments of their own.
#![allow(missing_docs)]

use std::net::SocketAddr;

use model::{
    ChunkMask, ChunkOffer, ChunkReport, ConfigRevision, FleetConfig, GroupKey, RegionName,
    TargetRow,
};

use crate::chunk_report_reply::ChunkReportReply;
use crate::entry_summary::EntrySummary;
use crate::heartbeat_reply::HeartbeatReply;

/// What agents and other entries ask of an entry.
#[tarpc::service]
pub trait EntryControl {
    /// Takes an agent's heartbeat and answers with what the agent does not know yet.
    async fn heartbeat(row: TargetRow) -> HeartbeatReply;
    /// Takes an agent's report of a group of chunks and answers with what to fetch next, or with the entry to ask.
    ///
    /// `excluded` are entries that the agent could not reach lately. The answer waits a moment when there is nothing to
    /// fetch yet.
    async fn report_chunks(report: ChunkReport, excluded: Vec<SocketAddr>) -> ChunkReportReply;
    /// Returns chunks of a group outside `known` that hosts of `region`, the answering tracker's, can give to another.
    async fn offer_chunks(key: GroupKey, region: RegionName, known: ChunkMask) -> Vec<ChunkOffer>;
    /// Takes another entry's view and answers with this entry's own.
    async fn exchange(summary: EntrySummary) -> EntrySummary;
    /// Returns the configuration when it is newer than `known`, or in any case when the caller holds none.
    async fn config(known: ConfigRevision, has_none: bool) -> Option<FleetConfig>;
}
