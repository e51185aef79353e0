//! Requests in flight on each replica: those of this process and those that other entries report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::engine_profile::BatchLoad;

/// Load that one entry puts on one replica, as sent to other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of the requests without a first event.
    pub pending_prefill_tokens: u32,
}

/// Load of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests of this process.
    pub own: LoadSample,
    /// Requests of all other entries that reported recently.
    pub others: LoadSample,
}

/// Loads by replica id.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: BTreeMap<String, LoadSample>,
    others: BTreeMap<String, PeerLoad>,
}

#[derive(Clone, Debug)]
struct PeerLoad {
    received_at: Instant,
    samples: BTreeMap<u64, LoadSample>,
}

impl ReplicaLoad {
    /// Returns the total load of all entries.
    pub fn total(&self) -> BatchLoad {
        BatchLoad {
            running: self.own.running + self.others.running,
            pending_prefill_tokens: self.own.pending_prefill_tokens
                + self.others.pending_prefill_tokens,
        }
    }
}

impl LoadTable {
    /// Records that a request with a prompt of `prompt_tokens` was sent to `replica`.
    pub fn record_sent(&mut self, replica: &str, prompt_tokens: u32) {
        let sample = self.own.entry(replica.to_owned()).or_default();
        sample.running += 1;
        sample.pending_prefill_tokens += prompt_tokens;
    }

    /// Records the first event of a request, which ends its prefill.
    pub fn record_first_event(&mut self, replica: &str, prompt_tokens: u32) {
        if let Some(sample) = self.own.get_mut(replica) {
            sample.pending_prefill_tokens =
                sample.pending_prefill_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records the end of a request; `pending_prefill_tokens` is the length of its prompt if it ended before its first
    /// event.
    pub fn record_end(&mut self, replica: &str, pending_prefill_tokens: u32) {
        let Some(sample) = self.own.get_mut(replica) else {
            return;
        };
        sample.running = sample.running.saturating_sub(1);
        sample.pending_prefill_tokens = sample
            .pending_prefill_tokens
            .saturating_sub(pending_prefill_tokens);
        if sample.running == 0 {
            self.own.remove(replica);
        }
    }

    /// Replaces the loads that the entry `peer` reports, keyed by [`replica_hash`].
    pub fn update_peer(&mut self, peer: &str, samples: BTreeMap<u64, LoadSample>, now: Instant) {
        let load = PeerLoad {
            received_at: now,
            samples,
        };
        self.others.insert(peer.to_owned(), load);
    }

    /// Removes the loads of entries that have not reported for [`PEER_LOAD_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.others
            .retain(|_, it| now.saturating_duration_since(it.received_at) < PEER_LOAD_LIFETIME);
    }

    /// Returns the load of one replica.
    pub fn load(&self, replica: &str) -> ReplicaLoad {
        let hash = replica_hash(replica);
        let mut others = LoadSample::default();
        for sample in self.others.values().filter_map(|it| it.samples.get(&hash)) {
            others.running += sample.running;
            others.pending_prefill_tokens += sample.pending_prefill_tokens;
        }
        ReplicaLoad {
            own: self.own.get(replica).copied().unwrap_or_default(),
            others,
        }
    }

    /// Returns the loads of this process in the form that is sent to other entries.
    pub fn own_samples(&self) -> BTreeMap<u64, LoadSample> {
        self.own
            .iter()
            .map(|(id, sample)| (replica_hash(id), *sample))
            .collect()
    }
}

/// Hashes the id of a replica for messages between entries (FNV-1a; 64 bits do not collide with thousands of replicas).
pub(crate) fn replica_hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Time after which the requests of an entry that stopped reporting have most likely finished or moved to other
/// entries; about the length of a typical stream.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(1500);
