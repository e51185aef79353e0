//! The RPC services between fulmarline's processes, based on `tarpc` over authenticated TCP connections.
//!
//! Entries implement [`EntryControl`], agents implement [`AgentControl`]. Callers' requests and chunks of weights are
//! streamed over `httpio` instead. This crate must not contain any decision logic.

mod agent_control;
mod chunk_report_reply;
mod connect;
mod counting_stream;
mod entry_control;
mod entry_summary;
mod handshake;
mod heartbeat_reply;
mod revoke_outcome;
mod serve;
mod wire_counters;

pub use agent_control::{AgentControl, AgentControlClient};
pub use chunk_report_reply::ChunkReportReply;
pub use connect::{WireError, connect_agent, connect_entry};
pub use entry_control::{EntryControl, EntryControlClient};
pub use entry_summary::EntrySummary;
pub use handshake::{HandshakeError, gate_token};
pub use heartbeat_reply::HeartbeatReply;
pub use revoke_outcome::RevokeOutcome;
pub use serve::{AgentTransport, EntryTransport, serve_agent, serve_entry};
pub use wire_counters::WireCounters;

pub use tarpc::context;
