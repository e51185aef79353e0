//! Pure decisions of the routed fleet: which route a request takes, which replica serves it, what may be repeated,
//! which weights count, and who fetches which piece of them.
//!
//! State and the current time come in as arguments and decisions go out as values. The crate must not know sockets,
//! clocks, processes or the names that the users' platform gives to its fields.

mod api_keys;
mod engine_profile;
mod feed_mirror;
mod feed_readers;
mod fetch_plan;
mod fleet_message;
mod freshness;
mod line_budget;
mod load_board;
mod peer_table;
mod piece_manifest;
mod repeat_budget;
mod replica;
mod replica_catalog;
mod replica_choice;
mod replica_health;
mod retry_pause;
mod route;
mod route_table;
mod store_clock;
mod stream_cursor;
mod switch_deadlines;
mod version_table;

pub use api_keys::{ApiTenant, KeyTable};
pub use engine_profile::{BatchLoad, EngineProfile, RequestSize};
pub use feed_mirror::{FeedAnswer, FeedChange, FeedMirror, FeedRow, FeedTable};
pub use feed_readers::{FeedSource, feed_source, stale_age};
pub use fetch_plan::{FetchPlan, OriginAccess, PieceHolder, PieceSource};
pub use fleet_message::{AgentNotice, DeclaredAge, DeclaredWeights, EntryNotice, FleetMessage};
pub use freshness::ConfigFreshness;
pub use line_budget::{LineBudget, LineDecision, LineKind};
pub use load_board::{LoadBoard, LoadSample, ReplicaLoad};
pub use peer_table::{PeerRecord, PeerTable};
pub use piece_manifest::PieceManifest;
pub use repeat_budget::RepeatBudget;
pub use replica::{LoadedModel, Replica, ReplicaState, staying_replicas};
pub use replica_catalog::{CatalogChange, ReplicaCatalog};
pub use replica_choice::{ChoiceRequest, ChosenReplica, NoReplica, choose_replica};
pub use replica_health::{HealthTable, ReplicaOutcome};
pub use retry_pause::retry_pause;
pub use route::{CallKind, Route, RouteTarget, ServiceConfig, WeightOrigin};
pub use route_table::{IngressLimits, RouteTable};
pub use store_clock::StoreClock;
pub use stream_cursor::{EventPiece, StreamCursor, StreamFault};
pub use switch_deadlines::SwitchDeadlines;
pub use version_table::{NextSwitch, VersionDemand, VersionTable};
