//! What entries tell each other about crashes.

use serde::{Deserialize, Serialize};

use crate::lifetime_id::LifetimeId;
use crate::part_id::{PartId, PoolId};

/// What an entry or a zone knows about recent crashes. Digests can be merged in any order and more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// Recent crashes.
    pub crashes: Vec<CrashRecord>,
    /// Starts that replicas survived with parts that the crashes implicate.
    pub survivals: Vec<SurvivalRecord>,
    /// Parts that are or were held back.
    pub holds: Vec<HoldRecord>,
    /// Requests with suspected parts that were sent lately.
    pub trials: Vec<TrialRecord>,
}

impl CrashDigest {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        // The rest is sent only beside crashes.
        self.crashes.is_empty() && self.holds.is_empty()
    }
}

/// The crash of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Which crash.
    pub id: LifetimeId,
    /// Pool of the replica.
    pub pool: PoolId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Digests of the parts of the requests that the replica was about to begin or had just begun.
    pub parts: Vec<u64>,
}

/// The latest starts with a part that replicas survived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalRecord {
    /// The part.
    pub part: PartId,
    /// Digest of the name of the entry or zone that counted them.
    pub reporter: u64,
    /// Times since the starts in milliseconds, most recent first.
    pub ages_ms: Vec<u32>,
}

/// A request with a suspected part that was sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRecord {
    /// The part.
    pub part: PartId,
    /// Random number that tells the request from all others.
    pub id: u64,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// A part that is or was held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord {
    /// The part.
    pub part: PartId,
    /// Number of changes of the hold; the record with the highest one applies.
    pub serial: u32,
    /// Whether the part is held back, or was released.
    pub is_held: bool,
    /// Time since the last change, in milliseconds.
    pub age_ms: u64,
    /// Crashes that the decision rests on.
    pub crashes: u32,
    /// Trials in which a replica crashed again.
    pub failed_trials: u32,
    /// Weights on which the replicas crashed, if the pool has any.
    pub version: Option<u64>,
}

/// Who has sent a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestSource {
    /// An entry of the same zone.
    Entry,
    /// The reporter of another zone.
    Zone,
}

/// What a digest has added to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MergeEffect {
    /// Nothing.
    Nothing,
    /// Starts that were survived.
    Survivals,
    /// Crashes or holds, about which other entries may not know either.
    News,
}
