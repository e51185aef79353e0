//! Which hosts hold which chunks, and who fetches what from whom.

mod chunk_tracker;

pub(crate) use chunk_tracker::ChunkTracker;
