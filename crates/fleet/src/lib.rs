//! Routing and distribution logic without I/O: matches requests to routes, selects replicas, limits retries, tracks
//! which versions of model weights may serve, and plans which agent downloads which piece of them.
//!
//! State and the current time are passed in as arguments and decisions are returned as values. The crate must not
//! depend on sockets, clocks, processes or the field names of the platform's documents.

mod api_keys;
mod client_limits;
mod cold_table;
mod config_history;
mod config_lag;
mod departure_table;
mod engine_profile;
mod evacuation_table;
mod feed_mirror;
mod feed_plan;
mod feed_readers;
mod fetch_plan;
mod fleet_message;
mod freshness;
mod load_table;
mod log_rate_limiter;
mod manifest_doubt;
mod order_window;
mod packed_bytes;
mod peer_table;
mod piece_manifest;
mod piece_set;
mod piece_swarm;
mod piece_verification;
mod placement_rule;
mod prior_order;
mod rank_table;
mod replica;
mod replica_catalog;
mod replica_choice;
mod replica_health;
mod retry_backoff;
mod retry_budget;
mod route;
mod route_table;
mod row_patch;
mod sound_silence;
mod staged_pieces;
mod store_clock;
mod store_interval;
mod store_position;
mod store_timeline;
mod store_times;
mod stream_cursor;
mod suspension_watch;
mod switch_choice;
mod switch_deadlines;
mod timer_lateness;
mod version_table;
mod zone_exchange;

pub use api_keys::{ApiTenant, KeyDenial, KeyTable};
pub use client_limits::{ClientLimits, ClientMemory};
pub use cold_table::{ColdStart, ColdTable};
pub use config_history::ConfigHistory;
pub use config_lag::ConfigLag;
pub use departure_table::{DepartureDigest, DepartureEvidence, DepartureRecord, RowOrigin};
pub use engine_profile::{BatchLoad, EngineProfile, RequestSize};
pub use evacuation_table::EvacuationTable;
pub use feed_mirror::{
    FeedChange, FeedContinuity, FeedMirror, FeedResponse, FeedRow, FeedTable, PatchMismatch,
};
pub use feed_plan::{FeedCall, FeedOutcome, FeedPlan, relay_wait, stale_age};
pub use feed_readers::{FeedSource, feed_source, is_timekeeper, max_reader_age};
pub use fetch_plan::{CLASSES, FetchPlan, ManifestSource, PiecePeer, piece_class};
pub use fleet_message::{
    AgentStatus, DeclaredWeights, EntryHeartbeat, FleetMessage, RelayScope, ReportedLimit,
    ZoneReport,
};
pub use freshness::ConfigFreshness;
pub use load_table::{LoadSample, LoadTable, ReplicaLoad};
pub use log_rate_limiter::{LogDecision, LogKind, LogRateLimiter};
pub use order_window::OrderWindow;
pub use packed_bytes::PackedBytes;
pub use peer_table::{PeerRecord, PeerTable, ReadingState};
pub use piece_manifest::PieceManifest;
pub use piece_set::PieceSet;
pub use piece_swarm::{FetchOutcome, PieceFetch, PieceSource, PieceSwarm};
pub use piece_verification::PieceVerification;
pub use placement_rule::{PlacementRule, ZoneExclusion};
pub use prior_order::{OrderCandidates, PriorOrder, prior_order};
pub use rank_table::RankTable;
pub use replica::{LoadedModel, Replica, ReplicaState, active_replicas};
pub use replica_catalog::{CatalogChange, ReplicaCatalog};
pub use replica_choice::{ChoiceRequest, ChosenReplica, NoReplica, SampleRule, choose_replica};
pub use replica_health::{HealthTable, ReplicaOutcome};
pub use retry_backoff::retry_backoff;
pub use retry_budget::RetryBudget;
pub use route::{CallKind, Route, RouteTarget, ServiceConfig, WeightOrigin};
pub use route_table::{IngressLimits, RouteTable};
pub use row_patch::RowPatch;
pub use sound_silence::{MAX_SOUND_SILENCE, SEND_RESERVE, SWITCH_RESERVE, TIMER_RESERVE};
pub use staged_pieces::{LoadDenial, LoadPermit, MAX_VERIFICATION_AGE, StagedPieces};
pub use store_clock::{ClockChange, StoreClock};
pub use store_interval::StoreInterval;
pub use store_position::{PositionSyntaxError, StorePosition};
pub use store_timeline::{StoreRead, StoreTimeline};
pub use store_times::StoreTimes;
pub use stream_cursor::{EventBatch, StreamCursor, StreamError};
pub use suspension_watch::SuspensionWatch;
pub use switch_deadlines::SwitchDeadlines;
pub use timer_lateness::TimerLateness;
pub use version_table::{DeclarationChange, PendingSwitch, VersionRequirement, VersionTable};
pub use zone_exchange::{is_zone_reporter, report_targets, zone_rank};
