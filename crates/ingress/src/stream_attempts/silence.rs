//! Silences of the replicas that serve a stream: what they say about the replicas, and their log lines.

use std::time::Instant;

use fleet::{LogKind, ReplicaOutcome};
use slog::info;

use crate::stream_attempts::StreamAttempts;
use crate::stream_segment::{StreamSegment, millis};

impl StreamAttempts {
    /// Records that the newest attempt is silent.
    pub(super) fn record_silence(&mut self) {
        if std::mem::replace(&mut self.is_silent, true) {
            return;
        }
        let serving = self.serving.as_ref().map(|it| &it.chosen);
        let newest = self.newest.as_ref().filter(|_| !self.starting.is_empty());
        let Some(silent) = newest.or(serving) else {
            return;
        };
        let id = &silent.replica.id;
        self.shared
            .state()
            .health
            .record_outcome(id, ReplicaOutcome::Unreachable, Instant::now());
        self.shared
            .replica_client
            .drop_idle_connections(silent.replica.address);
        self.log_silence("replica silent", id);
    }

    /// Records that a silent replica has gone on.
    pub(super) fn record_return(&self, segment: &StreamSegment) {
        let id = &segment.chosen.replica.id;
        self.shared
            .state()
            .health
            .record_outcome(id, ReplicaOutcome::Served, Instant::now());
        self.log_silence("silent replica went on", id);
    }

    fn log_silence(&self, message: &'static str, replica: &str) {
        if self.shared.may_log(LogKind::Failed) {
            info!(
                self.shared.log, "{}", message;
                "request" => self.call.id(),
                "replica" => replica,
                "last_event" => self.last_event_id,
                "attempts" => self.starting.len() + usize::from(self.serving.is_some()),
                "left_ms" => millis(self.call.time_remaining()),
            );
        }
    }
}
