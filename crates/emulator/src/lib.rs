//! Emulators, in virtual time, of entries that exchange what they know: evidence about requests which crash replicas,
//! limits that replicas name, and turns at cold replicas; of entries that follow the configuration and declared weights over thin
//! links; and of entries that choose replicas for more requests than these can serve in time.
//!
//! They drive the decisions of `routing` and `fleet` as entries do, with replicas, traffic and datagrams that a seed determines.
//! This crate is not shipped.

mod batching_engine;
mod cold_replicas;
mod cold_scenario;
mod crash_outcome;
mod crash_scenario;
mod crash_simulation;
mod declaration_report;
mod declaration_scenario;
mod declaration_simulation;
mod entry_clock;
mod event_queue;
mod exchange_plan;
mod feed_document;
mod feed_entry;
mod feed_event;
mod feed_links;
mod feed_scenario;
mod feed_simulation;
mod limit_outcome;
mod limit_scenario;
mod limit_simulation;
mod limited_entry;
mod limited_replica;
mod peer_exchange;
mod room_outcome;
mod room_scenario;
mod room_simulation;
mod simulated_entry;
mod simulated_pool;
mod simulated_store;
mod simulated_traffic;
mod simulation_event;

pub use batching_engine::first_event_beside;
pub use cold_scenario::{ColdNotice, ColdOutcome, ColdScenario};
pub use crash_outcome::CrashOutcome;
pub use crash_scenario::CrashScenario;
pub use crash_simulation::CrashSimulation;
pub use declaration_report::DeclarationReport;
pub use declaration_scenario::{DeclarationScenario, EntryTrouble, HopDelay, StoreTrouble};
pub use declaration_simulation::DeclarationSimulation;
pub use feed_scenario::{FeedScenario, ReaderFault};
pub use feed_simulation::{FeedReport, FeedSimulation};
pub use limit_outcome::LimitOutcome;
pub use limit_scenario::{EntryFault, LimitPolicy, LimitScenario};
pub use limit_simulation::LimitSimulation;
pub use room_outcome::{RoomOutcome, RoomResult};
pub use room_scenario::{PODBOR_KINDS, RoomKind, RoomPattern, RoomScenario, RoomStrategy};
pub use room_simulation::RoomSimulation;
