//! Whether a request may be sent to weights that are about to be replaced.
//!
//! A replica ends a response when its weights become too old. See `docs/decisions/0051-a-time-limit-at-old-weights.md`.

use std::time::Duration;

use crate::engine_profile::{EngineProfile, LONG_FACTOR};
use crate::replica::Replica;
use crate::replica_choice::ChoiceRequest;
use crate::sound_silence::{MAX_SOUND_SILENCE, SEND_RESERVE};

impl ChoiceRequest<'_> {
    /// Returns whether the request will start before the weights of `replica` become too old. If its start is observed, this is
    /// a prediction with a margin for a replica that is slower. The time until then leaves room for a silent one.
    ///
    /// The replica ends the response then, so the request is not sent if it is likely to go on unless another replica, whose weights
    /// are replaced later, can continue it.
    pub(crate) fn starts_in_time(
        &self,
        replica: &Replica,
        predicted_ms: f64,
        last_switch: Option<Duration>,
    ) -> bool {
        let Some(remaining) = self.time_to_switch(replica) else {
            return true;
        };
        if let Some(latest_start) = self.latest_start {
            return latest_start <= remaining;
        }
        let can_continue = self.is_resumable && last_switch.is_none_or(|it| it > remaining);
        predicted_ms * SLOWDOWN_MARGIN < remaining.as_secs_f64() * 1000.0
            && (can_continue || !self.is_likely_cut(replica, predicted_ms))
    }

    /// Returns the time until the weights of `replica` become too old, if a newer version has been declared.
    pub(crate) fn time_to_switch(&self, replica: &Replica) -> Option<Duration> {
        let loaded = replica.version_of(&self.engine?.model);
        self.version_requirement.as_ref()?.time_to_switch(loaded)
    }

    /// Returns the time for which a response may be worked on at `replica`, if its weights are about to become too old.
    fn time_to_cut(&self, replica: &Replica) -> Option<Duration> {
        let remaining = self.time_to_switch(replica)?;
        Some(remaining.saturating_sub(SEND_RESERVE))
    }

    /// Returns the last time at which the weights of one of `replicas` that is not too busy to continue a response become too
    /// old, or `None` if some do not. `predict` predicts the time to the first event in milliseconds.
    pub(crate) fn last_switch(
        &self,
        replicas: &[&Replica],
        predict: impl Fn(&Replica) -> f64,
    ) -> Option<Duration> {
        let mut last = Duration::ZERO;
        for replica in replicas {
            let switch = self.time_to_switch(replica);
            let is_earlier = switch.is_some_and(|it| it <= last);
            if !is_earlier && predict(replica) < MAX_CONTINUATION_MS {
                last = switch?;
            }
        }
        Some(last)
    }

    /// Returns whether the response is likely to be cut, because it is not complete before the weights of `replica` become too
    /// old. For one that cannot be continued, the longest answer counts.
    pub(crate) fn is_likely_cut(&self, replica: &Replica, predicted_ms: f64) -> bool {
        let mean_ms = self.engine.map_or(0.0, EngineProfile::service_ms);
        let answer_ms = match self.answer_ms() {
            Some(longest_ms) if self.is_resumable => longest_ms.min(mean_ms * MEDIAN_ANSWER_FACTOR),
            Some(longest_ms) => longest_ms,
            None if self.is_resumable => mean_ms * MEDIAN_ANSWER_FACTOR,
            None => mean_ms * LONG_FACTOR,
        };
        self.time_to_cut(replica)
            .is_some_and(|it| predicted_ms + answer_ms >= it.as_secs_f64() * 1000.0)
    }

    /// Returns whether the request will end before a version can take effect that is not known yet, also if `replica` is slow or
    /// silent meanwhile. It must not be broken off for a version that may never come. Where a known version replaces the weights
    /// of the replica, the request must begin before that one takes effect, which is earlier.
    pub(crate) fn ends_before_unknown_switch(&self, replica: &Replica, predicted_ms: f64) -> bool {
        if self.time_to_switch(replica).is_some() {
            return false;
        }
        let (Some(answer_ms), Some(remaining)) = (self.answer_ms(), self.time_to_unknown_switch)
        else {
            return false;
        };
        let silence_ms = MAX_SOUND_SILENCE.as_secs_f64() * 1000.0;
        let slowest_ms = predicted_ms * SLOWDOWN_MARGIN + silence_ms;
        slowest_ms + answer_ms < remaining.as_secs_f64() * 1000.0
    }

    /// Returns the time from the first event to the last one in a full batch, if the longest answer is known.
    fn answer_ms(&self) -> Option<f64> {
        self.engine.and_then(|it| it.answer_ms(self.size))
    }

    /// Returns whether the replica must confirm the weights `loaded` that it is listed with: a replica that has restarted may
    /// have others by now. Only a replica that is known to have weights which are about to be replaced need not, because
    /// the request ends there at the switch, and the next version serves as well.
    pub(crate) fn relies_on_version(&self, loaded: u64) -> bool {
        self.version_requirement.as_ref().is_none_or(|it| {
            let is_ahead = it.pending.first().is_none_or(|it| loaded >= it.version);
            it.oldest_allowed > 0 || is_ahead
        })
    }
}

/// Factor by which a replica may be slower than predicted without a request starting too late.
const SLOWDOWN_MARGIN: f64 = 3.0;

/// Length that half of the answers do not exceed, as a multiple of their mean, if short ones are more frequent.
const MEDIAN_ANSWER_FACTOR: f64 = 0.7;

/// Predicted time to the first event up to which a replica can continue a response before its client leaves it.
const MAX_CONTINUATION_MS: f64 = 1000.0;
