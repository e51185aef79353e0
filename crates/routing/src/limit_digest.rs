//! What entries tell each other about limits of replicas.

use serde::{Deserialize, Serialize};

use crate::lifetime_id::LifetimeId;
use crate::request_rate::RequestRate;
use crate::turn_anchor::TurnAnchor;

/// What an entry knows about limits. Digests can be merged in any order and more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDigest {
    /// Age of the sender's time base when this was created, in milliseconds.
    pub base_age_ms: u64,
    /// Digests of the names of entries that the sender does not hear.
    pub lost: Vec<u64>,
    /// Of the entries that others do not hear, those that the sender hears.
    pub vouched: Vec<u64>,
    /// Limits that are in force or have ended lately. Not every digest contains all of them.
    pub records: Vec<LimitRecord>,
}

/// The limit of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// The replica.
    pub replica: LifetimeId,
    /// Its limit, or `None` if it no longer names one.
    pub limit: Option<RequestRate>,
    /// Time between the response that this rests on and [`LimitDigest::base_age_ms`], in milliseconds. The difference is the
    /// time of the response on the time base, which does not depend on when a message arrives.
    pub age_ms: u32,
    /// Time between the request of that response, or of a later one, and the response, in milliseconds.
    pub wait_ms: u32,
    /// Where the turns continue since the limit last changed, if it did.
    pub anchor: Option<TurnAnchor>,
}
