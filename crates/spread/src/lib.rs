//! Decisions of the weight spread: which host fetches which chunk from where, and how fast.
//!
//! A [`ChunkTracker`] runs on an entry and plans one group of chunks for one region; a [`FetchState`] runs in each
//! agent and keeps the books of its transfer. Both are pure: they get events and the time and return what to do. The
//! crate must not know sockets or the platform. `docs/decisions/0010-spread.md` gives the reasons.

mod baseline;
mod chunk_tracker;
mod fetch_state;
mod holder_state;
mod link_pace;
mod rendezvous;
mod source_backoff;
mod spread_policy;
mod token_bucket;

pub use chunk_tracker::ChunkTracker;
pub use fetch_state::{FetchState, PlannedFetch};
pub use link_pace::LinkPace;
pub use rendezvous::{chunk_seed, owner_score, ranked, tracker_of};
pub use source_backoff::SourceBackoff;
pub use spread_policy::{SpreadPolicy, SpreadStrategy};
pub use token_bucket::TokenBucket;
