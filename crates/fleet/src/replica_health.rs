//! What traffic says of each replica's health, beside what the replica says of itself.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How one send to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// A whole, sound answer.
    Served,
    /// A failure that the replica answered with.
    Failed,
    /// No connection, a broken one or no answer in time.
    Unreachable,
    /// The replica did not run the request.
    Refused,
}

/// Health of replicas by id, from the outcomes of sends.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    records: BTreeMap<String, HealthRecord>,
}

#[derive(Clone, Copy, Debug)]
struct HealthRecord {
    /// Moving share of failed sends.
    failure_share: f64,
    /// Unreachable sends in a row.
    unreachable: u32,
    /// Time until which the replica is not used.
    out_until: Option<Instant>,
    /// Observed over predicted time to the first event, as a moving mean.
    slowness: f64,
    /// Last time at which anything was noted.
    touched: Instant,
}

impl HealthTable {
    /// Notes the outcome of a send; returns how long the replica is out, when it goes out by this.
    pub fn note(&mut self, id: &str, outcome: ReplicaOutcome, now: Instant) -> Option<Duration> {
        let record = self.record(id, now);
        match outcome {
            ReplicaOutcome::Served => {
                record.failure_share *= 1.0 - FAILURE_WEIGHT;
                record.unreachable = 0;
                record.out_until = None;
                None
            }
            ReplicaOutcome::Failed => {
                record.failure_share += (1.0 - record.failure_share) * FAILURE_WEIGHT;
                None
            }
            ReplicaOutcome::Unreachable => {
                record.failure_share += (1.0 - record.failure_share) * FAILURE_WEIGHT;
                record.unreachable += 1;
                let pause = FIRST_PAUSE * 2_u32.pow((record.unreachable - 1).min(3));
                record.out_until = Some(now + pause);
                Some(pause)
            }
            ReplicaOutcome::Refused => {
                record.out_until = Some(now + REFUSED_PAUSE);
                None
            }
        }
    }

    /// Notes the time to the first event of a stream against the predicted one.
    pub fn note_first_event(
        &mut self,
        id: &str,
        observed_ms: f64,
        predicted_ms: f64,
        now: Instant,
    ) {
        let record = self.record(id, now);
        let ratio = (observed_ms / predicted_ms.max(1.0)).clamp(0.3, 8.0);
        record.slowness += (ratio - record.slowness) * SLOWNESS_WEIGHT;
    }

    /// Says whether a replica may be used.
    pub fn is_usable(&self, id: &str, now: Instant) -> bool {
        self.records
            .get(id)
            .and_then(|it| it.out_until)
            .is_none_or(|it| it <= now)
    }

    /// Returns the factor by which a replica is slower than predicted, 1.0 where nothing is known.
    pub fn slowness(&self, id: &str, now: Instant) -> f64 {
        let Some(record) = self.records.get(id) else {
            return 1.0;
        };
        // Old knowledge fades, so that a replica that was slow is tried again.
        let age = now.saturating_duration_since(record.touched).as_secs_f64();
        let faded = (-age / SLOWNESS_FADE.as_secs_f64()).exp();
        1.0 + (record.slowness - 1.0) * faded
    }

    /// Returns the share of sends that lately failed.
    pub fn failure_share(&self, id: &str, now: Instant) -> f64 {
        let Some(record) = self.records.get(id) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(record.touched).as_secs_f64();
        record.failure_share * (-age / SLOWNESS_FADE.as_secs_f64()).exp()
    }

    /// Forgets a replica, for example because a new incarnation has its id.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    fn record(&mut self, id: &str, now: Instant) -> &mut HealthRecord {
        let record = self.records.entry(id.to_owned()).or_insert(HealthRecord {
            failure_share: 0.0,
            unreachable: 0,
            out_until: None,
            slowness: 1.0,
            touched: now,
        });
        record.touched = now;
        record
    }
}

/// Weight of one send in the moving share of failures: about the last seven sends count.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one stream in the moving mean of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Time constant with which slowness and failures are forgotten without traffic.
const SLOWNESS_FADE: Duration = Duration::from_secs(4);

/// First pause after a replica could not be reached; it doubles up to eight times with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a replica refused a request although it seemed to have room; about one pass of an engine.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
