//! Records which time limit a replica was given, if its weights are about to be replaced.
//!
//! The limit is what keeps a request from beginning too late at a replica that hears of no withdrawal, so whether it ends before
//! the switch must be known afterwards for each request.

use std::time::Duration;

use fleet::{ChosenReplica, LogKind};
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::stream_segment::millis;
use crate::switch_guard;

/// Label of a limit that ends after the switch.
pub(crate) const NO_FENCE: &str = "none";

/// Records the `time_limit` of a request that is about to be written to a connection; `is_shortened` is whether the client
/// allows more time. Only requests to weights that a known version replaces are logged: a version that is not known shortens the
/// time of many requests on most days.
pub(crate) fn record(
    shared: &EntryShared,
    call: &ClientCall,
    chosen: &ChosenReplica,
    time_limit: Duration,
    is_shortened: bool,
) {
    let switch = switch_guard::time_to_known_switch(shared, chosen);
    let limited_by = match switch {
        // Whatever the limit was computed from, it is no fence then.
        Some(time_to_switch) if time_to_switch < time_limit => NO_FENCE,
        Some(_) if is_shortened => "switch",
        Some(_) => "client",
        None if is_shortened => "unknown_switch",
        None => return,
    };
    let sends = &shared.metrics.sends_by_limit;
    sends.with_label_values(&[limited_by]).inc();
    let Some(time_to_switch) = switch else {
        return;
    };
    // Lines about served requests are the first ones to be left out under load.
    let kind = if limited_by == NO_FENCE {
        LogKind::Failed
    } else {
        LogKind::Served
    };
    if shared.may_log(kind) {
        info!(
            shared.log, "time limit of a request";
            "request" => call.id(),
            "replica" => &chosen.replica.id,
            "weights" => chosen.weights.as_ref().map(|it| it.version),
            "expect_version" => chosen.expect_version,
            "limit_ms" => millis(time_limit),
            "limited_by" => limited_by,
            "switch_ms" => millis(time_to_switch),
            "left_ms" => millis(call.time_remaining()),
            "predicted_ms" => chosen.predicted_ms.round(),
            "likely_cut" => chosen.is_likely_cut,
        );
    }
}
