//! The limit of one replica as known to one entry.

use std::time::{Duration, Instant};

use crate::lifetime_id::LifetimeId;
use crate::limit_digest::LimitRecord;
use crate::request_rate::RequestRate;
use crate::response_time::ResponseTime;
use crate::time_base::TimeBase;
use crate::turn_anchor::TurnAnchor;
use crate::turn_queue::TurnQueue;

/// The limit of one replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaLimit {
    /// `None` if the limit has ended.
    pub(crate) limit: Option<RequestRate>,
    /// When the newest request was sent that a response with this or an earlier value answers.
    pub(crate) sent: ResponseTime,
    /// Arrival of the newest such response.
    pub(crate) seen: ResponseTime,
    /// When the limit took this value at this entry.
    pub(crate) changed_at: Instant,
    /// Whether this entry has told others of the value, or is to.
    pub(crate) is_own_news: bool,
    /// Where the turns continue since the limit last changed, if it did.
    pub(crate) anchor: Option<TurnAnchor>,
    /// The turns of this entry.
    pub(crate) queue: TurnQueue,
}

impl ReplicaLimit {
    /// Returns what a message that is sent at `base_age_ms` says.
    pub(crate) fn record(
        &self,
        base: &TimeBase,
        base_age_ms: u64,
        replica: LifetimeId,
    ) -> LimitRecord {
        let seen_ms = as_millis(self.seen.base_age(base));
        let age_ms = base_age_ms.saturating_sub(seen_ms);
        let wait_ms = seen_ms.saturating_sub(as_millis(self.sent.base_age(base)));
        LimitRecord {
            replica,
            limit: self.limit,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            anchor: self.anchor,
        }
    }

    /// Returns whether `limit` is newer, in a response that arrived at `seen` to a request of `sent`. The replica named it
    /// at some time between the two; of two values either of which may be the newer one the lower one applies.
    pub(crate) fn is_superseded_by(
        &self,
        base: &TimeBase,
        limit: Option<RequestRate>,
        sent: ResponseTime,
        seen: ResponseTime,
    ) -> bool {
        if limit == self.limit {
            return seen.base_age(base) > self.seen.base_age(base);
        }
        if sent.is_certainly_after(self.seen, base) {
            return true;
        }
        let is_lower = match (limit, self.limit) {
            (Some(new), Some(known)) => new < known,
            (new, known) => new.is_some() && known.is_none(),
        };
        is_lower && !self.sent.is_certainly_after(seen, base)
    }
}

/// Returns whole milliseconds.
pub(crate) fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
