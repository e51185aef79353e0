//! Records the limits that replicas name in their responses.

use std::time::Instant;

use fleet::{LogKind, Replica};
use routing::NamedLimit;
use slog::info;

use crate::entry_shared::EntryShared;

/// Records what the head of a response says about the limit of `replica`. The request was sent at `sent_at`.
pub(crate) fn record_head(
    shared: &EntryShared,
    replica: &Replica,
    named: NamedLimit,
    sent_at: Instant,
) {
    let label = match named {
        NamedLimit::None => "none",
        NamedLimit::Limit(_) => "limit",
        NamedLimit::Unreadable => "unreadable",
    };
    let heads = &shared.metrics.response_heads;
    heads.with_label_values(&[label]).inc();
    if named == NamedLimit::Unreadable {
        if shared.may_log(LogKind::Failed) {
            info!(shared.log, "limit of a replica cannot be read"; "replica" => &replica.id);
        }
        return;
    }
    let mut state = shared.state();
    let before = match named {
        NamedLimit::Limit(rate) => state.named_limits.insert(replica.id.clone(), rate),
        _ => state.named_limits.remove(&replica.id),
    };
    drop(state);
    let now = match named {
        NamedLimit::Limit(rate) => Some(rate),
        _ => None,
    };
    if before != now {
        info!(
            shared.log, "limit of a replica changed";
            "replica" => &replica.id,
            "before" => before.map(|it| it.to_string()),
            "limit" => now.map(|it| it.to_string()),
            "sent_ms" => u64::try_from(sent_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    }
}
