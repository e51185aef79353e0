//! Passive health checks: the health of replicas, derived from the outcomes of requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Outcome of an attempt at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// A complete and valid response.
    Served,
    /// An error response of the replica.
    Failed,
    /// Connection failure, broken connection or timeout.
    Unreachable,
    /// The replica refused the request without running it.
    Refused,
}

/// Health of replicas by id.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    records: BTreeMap<String, HealthRecord>,
}

#[derive(Clone, Copy, Debug)]
struct HealthRecord {
    /// Moving average of the share of failed attempts.
    failure_share: f64,
    /// Consecutive unreachable attempts.
    unreachable: u32,
    /// Time until which the replica is ejected from selection.
    ejected_until: Option<Instant>,
    /// Moving average of the ratio of observed to predicted time to the first event.
    latency_ratio: f64,
    /// Time of the last update.
    updated_at: Instant,
}

impl HealthTable {
    /// Records the outcome of an attempt; returns the duration of the ejection if the replica was unreachable.
    pub fn record_outcome(
        &mut self,
        id: &str,
        outcome: ReplicaOutcome,
        now: Instant,
    ) -> Option<Duration> {
        let record = self.record_mut(id, now);
        match outcome {
            ReplicaOutcome::Served => {
                record.failure_share *= 1.0 - FAILURE_WEIGHT;
                record.unreachable = 0;
                record.ejected_until = None;
                None
            }
            ReplicaOutcome::Failed => {
                record.failure_share += (1.0 - record.failure_share) * FAILURE_WEIGHT;
                None
            }
            ReplicaOutcome::Unreachable => {
                record.failure_share += (1.0 - record.failure_share) * FAILURE_WEIGHT;
                record.unreachable += 1;
                let ejection = FIRST_EJECTION * 2_u32.pow((record.unreachable - 1).min(3));
                record.ejected_until = Some(now + ejection);
                Some(ejection)
            }
            ReplicaOutcome::Refused => {
                record.ejected_until = Some(now + REFUSED_EJECTION);
                None
            }
        }
    }

    /// Records the observed and the predicted time to the first event of a stream.
    pub fn record_first_event(
        &mut self,
        id: &str,
        observed_ms: f64,
        predicted_ms: f64,
        now: Instant,
    ) {
        let record = self.record_mut(id, now);
        let ratio = (observed_ms / predicted_ms.max(1.0)).clamp(0.3, 8.0);
        record.latency_ratio += (ratio - record.latency_ratio) * LATENCY_WEIGHT;
    }

    /// Returns whether a replica is not ejected.
    pub fn is_usable(&self, id: &str, now: Instant) -> bool {
        self.records
            .get(id)
            .and_then(|it| it.ejected_until)
            .is_none_or(|it| it <= now)
    }

    /// Returns the factor by which a replica is slower than predicted, or 1.0 without recent data.
    pub fn latency_ratio(&self, id: &str, now: Instant) -> f64 {
        let Some(record) = self.records.get(id) else {
            return 1.0;
        };
        // Old data decays, so that a replica that was slow is tried again.
        let age = now
            .saturating_duration_since(record.updated_at)
            .as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        1.0 + (record.latency_ratio - 1.0) * decay
    }

    /// Returns the share of attempts that failed recently.
    pub fn failure_share(&self, id: &str, now: Instant) -> f64 {
        let Some(record) = self.records.get(id) else {
            return 0.0;
        };
        let age = now
            .saturating_duration_since(record.updated_at)
            .as_secs_f64();
        record.failure_share * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Removes the data of a replica, for example because a new incarnation uses its id.
    pub fn remove(&mut self, id: &str) {
        self.records.remove(id);
    }

    fn record_mut(&mut self, id: &str, now: Instant) -> &mut HealthRecord {
        let record = self.records.entry(id.to_owned()).or_insert(HealthRecord {
            failure_share: 0.0,
            unreachable: 0,
            ejected_until: None,
            latency_ratio: 1.0,
            updated_at: now,
        });
        record.updated_at = now;
        record
    }
}

/// Weight of one attempt in the moving average of failures: about the last seven attempts count.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one stream in the moving average of the latency ratio.
const LATENCY_WEIGHT: f64 = 0.2;

/// Time constant of the decay of latency ratio and failure share without traffic.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Ejection time after the first unreachable attempt; it doubles with each consecutive one, up to a factor of eight.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// Ejection time after a replica refused a request although it seemed to have capacity; about one pass of an engine.
const REFUSED_EJECTION: Duration = Duration::from_millis(60);
