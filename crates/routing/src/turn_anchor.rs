//! Where the turns of a replica continue after a change of its limit.

use serde::{Deserialize, Serialize};

/// A time on the time base that entries share, and the number of the turn at that time.
///
/// The entries that know a change continue from the same anchor. Of two anchors for the same limit the greater one, which
/// is the later one, applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TurnAnchor {
    /// Time on the time base in milliseconds.
    pub time_ms: u64,
    /// Number of the turn in thousandths of a turn.
    pub millis: i64,
}
