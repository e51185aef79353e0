//! Planning of weight distribution: which host fetches which chunk from which source, and at what rate.
//!
//! A [`ChunkTracker`] runs on an entry and plans one group of chunks for one region. A [`FetchState`] runs in each
//! agent and records the progress of its transfer. A chunk is identified by its index in the manifest, or by its group
//! and its slot in the group. To import a chunk is to fetch it from the origin or another region.
//!
//! Both types are free of I/O: callers pass in events and the current time and execute the returned actions. The crate
//! must not depend on sockets or the platform. `docs/decisions/0010-spread.md` records the design.

mod baseline;
mod chunk_tracker;
mod fetch_state;
mod host_state;
mod link_pacer;
mod rendezvous;
mod source_backoff;
mod spread_policy;
mod token_bucket;

pub use chunk_tracker::ChunkTracker;
pub use fetch_state::{FetchState, PlannedFetch};
pub use link_pacer::LinkPacer;
pub use rendezvous::{chunk_seed, owner_score, rank_names, select_tracker};
pub use source_backoff::SourceBackoff;
pub use spread_policy::{SpreadPolicy, SpreadStrategy};
pub use token_bucket::TokenBucket;
