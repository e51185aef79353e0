//! Which hosts hold which chunks, and who fetches what from whom.

mod offer_loop;
mod tracker_set;

pub(crate) use offer_loop::offer_loop;
pub(crate) use tracker_set::TrackerSet;
