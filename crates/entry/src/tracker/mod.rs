//! Tracks which hosts hold which chunks and assigns each agent the chunks to fetch and their sources.

mod offer_loop;
mod tracker_set;

pub(crate) use offer_loop::offer_loop;
pub(crate) use tracker_set::TrackerSet;
