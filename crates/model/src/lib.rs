//! Types shared by all crates: names, digests, revisions, result codes, manifests and the messages between processes.
//!
//! The crate defines values only. It does no I/O, reads no clock and makes no routing or rollout decisions.

mod attempt_id;
mod chunk_mask;
mod chunk_report;
mod chunk_set;
mod chunk_source;
mod command_id;
mod config_delta;
mod content_digest;
mod entry_row;
mod fencing_number;
mod fleet_config;
mod gate_state;
mod hex_id;
mod host_revision;
mod load_sample;
mod manifest_error;
mod model_config;
mod name_error;
mod names;
mod nearest_name;
mod order_policy;
mod organisation_config;
mod overload_cause;
mod request_id;
mod result_code;
mod revision;
mod service_config;
mod switch_permit;
mod target_kind;
mod target_row;
mod transfer_state;
mod weight_manifest;

pub use attempt_id::AttemptId;
pub use chunk_mask::ChunkMask;
pub use chunk_report::{
    ChunkAssignment, ChunkOffer, ChunkReport, FetchFailure, FetchFault, GroupKey,
};
pub use chunk_set::ChunkSet;
pub use chunk_source::ChunkSource;
pub use command_id::CommandId;
pub use config_delta::{ConfigChange, ConfigDelta};
pub use content_digest::{ContentDigest, VersionDigest};
pub use entry_row::EntryRow;
pub use fencing_number::FencingNumber;
pub use fleet_config::FleetConfig;
pub use gate_state::GateState;
pub use host_revision::HostRevision;
pub use load_sample::LoadSample;
pub use manifest_error::ManifestError;
pub use model_config::ModelConfig;
pub use name_error::NameError;
pub use names::{
    HostName, ModelName, OrganisationName, RegionName, ServiceName, VersionLabel, ZoneName,
};
pub use nearest_name::nearest_name;
pub use order_policy::OrderPolicy;
pub use organisation_config::OrganisationConfig;
pub use overload_cause::OverloadCause;
pub use request_id::RequestId;
pub use result_code::{ResultCode, RunStatus};
pub use revision::ConfigRevision;
pub use service_config::ServiceConfig;
pub use switch_permit::SwitchPermit;
pub use target_kind::TargetKind;
pub use target_row::{Incarnation, TargetRow};
pub use transfer_state::TransferState;
pub use weight_manifest::WeightManifest;

/// Header with the result code of a response, formatted as `CODE name`. Every response has it.
pub const RESULT_HEADER: &str = "fulmarline-result";
/// Header with the digest of the model version that produced a response.
pub const VERSION_HEADER: &str = "x-model-version";
/// Requests a second that an engine or service takes at present, as a decimal number in its responses.
pub const LIMIT_HEADER: &str = "fulmarline-limit";
/// Header with the id of a request, which all attempts share.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the id of one attempt at a request, which the gate uses to deduplicate and revoke the attempt.
pub const ATTEMPT_HEADER: &str = "fulmarline-attempt";
/// Header with the time remaining until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "fulmarline-deadline-ms";
/// Header with the priority of a request, 0 (low) to 9 (high).
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the organisation that a request belongs to.
pub const ORGANISATION_HEADER: &str = "x-organisation";
/// Header with a key chosen by the caller that is the same on every retry of an order.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the token index at which an engine resumes a response.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header with the version digest that a request requires; the gate refuses the request if the engine serves another.
pub const REQUIRE_VERSION_HEADER: &str = "fulmarline-require-version";
/// Header with the gate incarnation that a request is meant for, so that a restarted gate, which no longer knows which
/// attempts were revoked, cannot run a revoked one.
pub const INCARNATION_HEADER: &str = "fulmarline-incarnation";
/// Header with the kind of a call, `lookup`, `completion` or `order`, which decides whether the gate may run it more
/// than once.
pub const CALL_KIND_HEADER: &str = "fulmarline-call-kind";
