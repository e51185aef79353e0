//! Applies the replicas' rows to the catalog.

use std::time::Instant;

use fleet::{CatalogChange, FeedChange, RowOrigin};
use slog::{debug, info};

use crate::entry_shared::EntryShared;
use crate::stream_segment::millis;

/// Applies changed rows to the catalog.
pub(crate) fn apply(shared: &EntryShared, changes: &[FeedChange]) {
    for row in changes {
        let decoded = row
            .value
            .as_ref()
            .map(|it| platform::decode_replica(&row.key, it));
        let mut state = shared.state();
        let origin = RowOrigin {
            position: row.position,
            from_copy: row.from_copy,
            after_outage: row.after_outage,
        };
        let now = Instant::now();
        let change = match decoded {
            None => state.catalog.remove(&row.key, origin, now),
            Some(Ok(replica)) => {
                let (lifetime, cold_left) = (replica.lifetime(), replica.cold_left);
                let became_cold =
                    state
                        .cold
                        .record_replica(lifetime, cold_left, row.from_copy, now);
                if became_cold {
                    info!(shared.log, "replica is cold"; "replica" => &row.key, "ms" => millis(cold_left));
                }
                state.catalog.put(replica, origin, now)
            }
            Some(Err(err)) => {
                log_invalid_row(shared, &row.key, &err);
                state.catalog.remove(&row.key, origin, now)
            }
        };
        drop(state);
        if let Some(change) = change {
            handle_change(shared, &change, "row");
        }
    }
    let mut state = shared.state();
    let is_first = !std::mem::replace(&mut state.is_catalog_read, true);
    drop(state);
    if is_first {
        shared.urgent_change.notify_one();
    }
}

/// Removes replicas whose rows did not return after an outage of the store.
pub(crate) fn expire(shared: &EntryShared) {
    let changes = shared.state().catalog.expire(Instant::now());
    for change in changes {
        handle_change(shared, &change, "expiry");
    }
}

fn log_invalid_row(shared: &EntryShared, id: &str, err: &anyhow::Error) {
    info!(shared.log, "invalid row of a replica skipped"; "replica" => id, "error" => format!("{err:#}"));
}

/// Logs and counts a change of the catalog, which `source` has caused.
pub(crate) fn handle_change(shared: &EntryShared, change: &CatalogChange, source: &str) {
    match change {
        CatalogChange::Added(id) => {
            shared.state().health.remove(id);
            info!(shared.log, "replica added"; "replica" => id);
        }
        CatalogChange::Draining(id) => {
            count_notice(shared, source);
            info!(shared.log, "replica draining"; "replica" => id, "source" => source);
        }
        CatalogChange::Updated(id) => debug!(shared.log, "replica updated"; "replica" => id),
        CatalogChange::Gone(id) => {
            count_notice(shared, "removal");
            shared.state().health.remove(id);
            info!(shared.log, "replica gone"; "replica" => id, "source" => source);
        }
        CatalogChange::Lapsed(id) => {
            info!(shared.log, "row of a replica missing after an outage of the store"; "replica" => id);
        }
    }
}

fn count_notice(shared: &EntryShared, source: &str) {
    let notices = &shared.metrics.leaving_notices;
    notices.with_label_values(&[source]).inc();
}
