//! The replicas of an emulation that become cold, and their requests.

use std::time::Duration;

use routing::LifetimeId;

use crate::cold_scenario::ColdOutcome;

/// Replicas that become cold together.
#[derive(Debug)]
pub(crate) struct ColdReplicas {
    pub(crate) ids: Vec<LifetimeId>,
    tolerated_rate: f64,
    pub(crate) phase: Option<ColdPhase>,
    /// Times of the requests that arrived in the phase, by replica.
    calls: Vec<Vec<Duration>>,
    pub(crate) outcome: ColdOutcome,
}

/// A time in which the replicas are cold, or were cold last.
#[derive(Debug)]
pub(crate) struct ColdPhase {
    pub(crate) begins_at: Duration,
    pub(crate) ends_at: Duration,
    /// When each entry learns it, by entry and replica, and until when the replica counts as cold for it.
    pub(crate) known: Vec<Vec<(Duration, Duration)>>,
}

impl ColdPhase {
    /// Returns from when on all entries know that `replica` is cold.
    fn known_from(&self, replica: usize) -> Duration {
        let learned = self.known.iter().map(|it| it[replica].0);
        learned.max().unwrap_or_default()
    }
}

impl ColdReplicas {
    /// Creates `count` replicas that tolerate `tolerated_rate` requests a second.
    pub(crate) fn new(count: usize, tolerated_rate: f64) -> Self {
        Self {
            tolerated_rate,
            ids: (0..count)
                .map(|it| LifetimeId::new(&format!("replica-{it}"), Some(1)))
                .collect(),
            phase: None,
            calls: vec![Vec::new(); count],
            outcome: ColdOutcome::default(),
        }
    }

    pub(crate) fn record_call(&mut self, replica: usize, now: Duration) {
        let phase = self.phase.as_ref();
        if phase.is_some_and(|it| (it.begins_at..it.ends_at).contains(&now)) {
            self.calls[replica].push(now);
        }
    }

    /// Adds the phase that ends, at `now` at the latest, to the outcome.
    pub(crate) fn end_phase(&mut self, now: Duration) {
        let Some(phase) = self.phase.take() else {
            return;
        };
        let length = phase.ends_at.min(now).saturating_sub(phase.begins_at);
        for (replica, calls) in self.calls.iter_mut().enumerate() {
            let known_from = phase.known_from(replica);
            let mut end = 0;
            for (begin, start) in calls.iter().enumerate() {
                while end < calls.len() && calls[end] < *start + WINDOW {
                    end += 1;
                }
                let outcome = &mut self.outcome;
                outcome.most_in_second = outcome.most_in_second.max(end - begin);
                if *start >= known_from {
                    outcome.most_when_known = outcome.most_when_known.max(end - begin);
                }
            }
            self.outcome.served += calls.len() as u64;
            self.outcome.allowed += length.as_secs_f64() * self.tolerated_rate;
            calls.clear();
        }
    }
}

/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
