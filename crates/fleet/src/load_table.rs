//! Requests in flight on each replica: those of this process and those that other entries and zones report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::engine_profile::BatchLoad;

/// Load that one entry or one zone puts on one replica, as sent to other entries.
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
    /// Requests of all other entries and zones that reported recently.
    pub others: LoadSample,
}

/// Loads by replica id.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: BTreeMap<String, LoadSample>,
    /// Tokens that requests of this process hold in the memory of replicas at most.
    own_tokens: BTreeMap<String, u64>,
    /// Tokens of the largest request of this process so far.
    largest_tokens: u64,
    /// Loads of the other entries of the zone by name, and of other zones.
    others: BTreeMap<LoadSource, PeerLoad>,
    /// Sum of `others`, since a selection looks up every replica.
    totals: BTreeMap<u64, LoadSample>,
}

/// Who reported a load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadSource {
    Entry(String),
    Zone(String),
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

    /// Records that a request was sent to `replica` which holds up to `tokens` there.
    pub fn record_tokens(&mut self, replica: &str, tokens: u64) {
        *self.own_tokens.entry(replica.to_owned()).or_default() += tokens;
        self.largest_tokens = self.largest_tokens.max(tokens);
    }

    /// Records that a request has ended which held `tokens` in the memory of `replica`.
    pub fn release_tokens(&mut self, replica: &str, tokens: u64) {
        if let Some(held) = self.own_tokens.get_mut(replica) {
            *held = held.saturating_sub(tokens);
            if *held == 0 {
                self.own_tokens.remove(replica);
            }
        }
    }

    /// Returns an upper estimate of the tokens that all entries together hold in the memory of `replica`. Others tell how many requests
    /// they have there; each counts as the largest one that this process has seen, and `request_tokens` at least.
    pub fn held_tokens(&self, replica: &str, request_tokens: u64) -> u64 {
        let own = self.own_tokens.get(replica).copied().unwrap_or_default();
        let others = u64::from(self.load(replica).others.running);
        own + others * self.largest_tokens.max(request_tokens)
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

    /// Replaces the loads that the entry `peer` of the own zone reports, keyed by the hash of the replica's id.
    pub fn update_peer(&mut self, peer: &str, samples: BTreeMap<u64, LoadSample>, now: Instant) {
        self.update(LoadSource::Entry(peer.to_owned()), samples, now);
    }

    /// Replaces the loads that the entries of another zone together have reported.
    pub fn update_zone(&mut self, zone: &str, samples: BTreeMap<u64, LoadSample>, now: Instant) {
        self.update(LoadSource::Zone(zone.to_owned()), samples, now);
    }

    /// Removes the loads of entries and zones that have not reported for [`PEER_LOAD_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        let is_expired =
            |it: &PeerLoad| now.saturating_duration_since(it.received_at) >= PEER_LOAD_LIFETIME;
        let expired = self.others.extract_if(.., |_, it| is_expired(it));
        for (_, load) in expired {
            subtract(&mut self.totals, &load.samples);
        }
    }

    /// Returns the load of one replica.
    pub fn load(&self, replica: &str) -> ReplicaLoad {
        let others = self.totals.get(&replica_hash(replica));
        ReplicaLoad {
            own: self.own.get(replica).copied().unwrap_or_default(),
            others: others.copied().unwrap_or_default(),
        }
    }

    fn update(&mut self, source: LoadSource, samples: BTreeMap<u64, LoadSample>, now: Instant) {
        add(&mut self.totals, &samples);
        let load = PeerLoad {
            received_at: now,
            samples,
        };
        if let Some(previous) = self.others.insert(source, load) {
            subtract(&mut self.totals, &previous.samples);
        }
    }

    /// Returns the loads of this process in the form that is sent to other entries.
    pub fn own_samples(&self) -> BTreeMap<u64, LoadSample> {
        self.own
            .iter()
            .map(|(id, sample)| (replica_hash(id), *sample))
            .collect()
    }

    /// Returns the loads of this process and of the other entries of its zone together, for other zones.
    pub fn zone_samples(&self) -> BTreeMap<u64, LoadSample> {
        let mut samples = self.own_samples();
        for (source, load) in &self.others {
            if matches!(source, LoadSource::Entry(_)) {
                add(&mut samples, &load.samples);
            }
        }
        samples
    }
}

fn add(totals: &mut BTreeMap<u64, LoadSample>, samples: &BTreeMap<u64, LoadSample>) {
    for (replica, sample) in samples {
        let total = totals.entry(*replica).or_default();
        total.running += sample.running;
        total.pending_prefill_tokens += sample.pending_prefill_tokens;
    }
}

/// Subtracts samples that were added before, and removes replicas without load.
fn subtract(totals: &mut BTreeMap<u64, LoadSample>, samples: &BTreeMap<u64, LoadSample>) {
    for (replica, sample) in samples {
        let Some(total) = totals.get_mut(replica) else {
            continue;
        };
        total.running -= sample.running;
        total.pending_prefill_tokens -= sample.pending_prefill_tokens;
        if *total == LoadSample::default() {
            totals.remove(replica);
        }
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
