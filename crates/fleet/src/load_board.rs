//! What is in progress on each replica: the requests of this process, and what other entries told of theirs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::engine_profile::BatchLoad;

/// One entry's load on one replica, as it is told to other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of those without a first event.
    pub unread_tokens: u32,
}

/// What one replica carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests of this process.
    pub own: LoadSample,
    /// Requests of all other entries that were heard lately.
    pub others: LoadSample,
}

/// Load by replica id.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    own: BTreeMap<String, LoadSample>,
    others: BTreeMap<String, PeerLoad>,
}

#[derive(Clone, Debug)]
struct PeerLoad {
    heard: Instant,
    samples: BTreeMap<u64, LoadSample>,
}

impl ReplicaLoad {
    /// Returns the load of all entries together.
    pub fn total(&self) -> BatchLoad {
        BatchLoad {
            running: self.own.running + self.others.running,
            unread_tokens: self.own.unread_tokens + self.others.unread_tokens,
        }
    }
}

impl LoadBoard {
    /// Notes that a request with a prompt of `prompt_tokens` was sent to `replica`.
    pub fn sent(&mut self, replica: &str, prompt_tokens: u32) {
        let sample = self.own.entry(replica.to_owned()).or_default();
        sample.running += 1;
        sample.unread_tokens += prompt_tokens;
    }

    /// Notes the first event of a request; its prompt has been read.
    pub fn first_event(&mut self, replica: &str, prompt_tokens: u32) {
        if let Some(sample) = self.own.get_mut(replica) {
            sample.unread_tokens = sample.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Notes the end of a request; `unread_tokens` is its prompt where no first event came.
    pub fn ended(&mut self, replica: &str, unread_tokens: u32) {
        let Some(sample) = self.own.get_mut(replica) else {
            return;
        };
        sample.running = sample.running.saturating_sub(1);
        sample.unread_tokens = sample.unread_tokens.saturating_sub(unread_tokens);
        if sample.running == 0 {
            self.own.remove(replica);
        }
    }

    /// Replaces what is known of the load that the entry `peer` puts on replicas, by [`replica_hash`].
    pub fn heard(&mut self, peer: &str, samples: BTreeMap<u64, LoadSample>, now: Instant) {
        let load = PeerLoad {
            heard: now,
            samples,
        };
        self.others.insert(peer.to_owned(), load);
    }

    /// Forgets entries that have been silent for [`PEER_LOAD_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.others
            .retain(|_, it| now.saturating_duration_since(it.heard) < PEER_LOAD_LIFETIME);
    }

    /// Returns the load of one replica.
    pub fn load(&self, replica: &str) -> ReplicaLoad {
        let hash = replica_hash(replica);
        let mut others = LoadSample::default();
        for sample in self.others.values().filter_map(|it| it.samples.get(&hash)) {
            others.running += sample.running;
            others.unread_tokens += sample.unread_tokens;
        }
        ReplicaLoad {
            own: self.own.get(replica).copied().unwrap_or_default(),
            others,
        }
    }

    /// Returns this process's load in the form that other entries are told.
    pub fn own_samples(&self) -> BTreeMap<u64, LoadSample> {
        self.own
            .iter()
            .map(|(id, sample)| (replica_hash(id), *sample))
            .collect()
    }
}

/// Shortens a replica's id for messages between entries (FNV-1a; 64 bits do not collide at thousands of replicas).
pub(crate) fn replica_hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Time after which a silent entry's requests have most likely ended or moved; about one usual stream.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(1500);
