//! Follows the replicas' entries in the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::CatalogChange;
use platform::{REPLICA_TABLE, RowChange, RowPage};
use slog::{debug, info, warn};

use crate::entry_shared::EntryShared;

/// Follows the entries for as long as the process lives.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let mut since: Option<u64> = None;
    let mut failures = 0_u32;
    loop {
        let result = match since {
            None => shared.store.read_table(REPLICA_TABLE).await.map(|page| {
                replace(&shared, &page);
                Some(page.version)
            }),
            Some(version) => match shared.store.follow(REPLICA_TABLE, version, FEED_WAIT).await {
                Ok(RowChange::Changed(page)) => {
                    update(&shared, &page);
                    Ok(Some(page.version))
                }
                Ok(RowChange::HistoryGone) => {
                    info!(shared.log, "history of the store is gone, reading all"; "table" => REPLICA_TABLE);
                    Ok(None)
                }
                Err(err) => Err(err),
            },
        };
        expire(&shared);
        match result {
            Ok(version) => {
                if failures > 0 {
                    info!(shared.log, "store regained"; "table" => REPLICA_TABLE, "failures" => failures);
                }
                count(
                    &shared,
                    if version.is_some() {
                        "ok"
                    } else {
                        "history_gone"
                    },
                );
                failures = 0;
                if version.is_some() {
                    shared.state().catalog.note_read();
                }
                since = version;
                tokio::time::sleep(GATHER_TIME).await;
            }
            Err(err) => {
                if failures == 0 {
                    warn!(shared.log, "store lost"; "table" => REPLICA_TABLE, "error" => err.to_string());
                }
                count(&shared, "failed");
                failures += 1;
                shared.state().catalog.note_outage();
                tokio::time::sleep(fleet::retry_pause(failures, rand::random())).await;
            }
        }
    }
}

fn replace(shared: &EntryShared, page: &RowPage) {
    let mut listed = Vec::new();
    for row in &page.rows {
        let Some(bytes) = &row.value else {
            continue;
        };
        match platform::decode_replica(&row.key, bytes) {
            Ok(replica) => listed.push(replica),
            Err(err) => skip(shared, &row.key, &err),
        }
    }
    let mut state = shared.state();
    let changes = state.catalog.replace(listed, Instant::now());
    state.catalog_read = true;
    drop(state);
    for change in changes {
        tell(shared, &change);
    }
    shared.news.notify_one();
}

fn update(shared: &EntryShared, page: &RowPage) {
    for row in &page.rows {
        let decoded = row
            .value
            .as_ref()
            .map(|it| platform::decode_replica(&row.key, it));
        let mut state = shared.state();
        let change = match decoded {
            None => state.catalog.remove(&row.key, Instant::now()),
            Some(Ok(replica)) => state.catalog.put(replica),
            Some(Err(err)) => {
                skip(shared, &row.key, &err);
                state.catalog.remove(&row.key, Instant::now())
            }
        };
        drop(state);
        if let Some(change) = change {
            tell(shared, &change);
        }
    }
}

fn expire(shared: &EntryShared) {
    let changes = shared.state().catalog.expire(Instant::now());
    for change in changes {
        tell(shared, &change);
    }
}

fn skip(shared: &EntryShared, id: &str, err: &anyhow::Error) {
    info!(shared.log, "entry of a replica skipped"; "replica" => id, "error" => format!("{err:#}"));
}

fn tell(shared: &EntryShared, change: &CatalogChange) {
    match change {
        CatalogChange::Added(id) => {
            shared.state().health.forget(id);
            info!(shared.log, "replica added"; "replica" => id);
        }
        CatalogChange::Draining(id) => info!(shared.log, "replica draining"; "replica" => id),
        CatalogChange::Updated(id) => debug!(shared.log, "replica updated"; "replica" => id),
        CatalogChange::Gone(id) => {
            shared.state().health.forget(id);
            info!(shared.log, "replica gone"; "replica" => id);
        }
        CatalogChange::Lapsed(id) => {
            info!(shared.log, "replica's entry missing after an outage of the store"; "replica" => id);
        }
    }
}

fn count(shared: &EntryShared, outcome: &str) {
    let labels = [REPLICA_TABLE, outcome];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}

/// Time that the store holds a question for changes. A leaving replica must be noticed within 2 s of a silent end of
/// the connection being excused (3 s), so it and the time-out of the call stay below 5 s together.
const FEED_WAIT: Duration = Duration::from_millis(2500);

/// Pause that gathers changes which come together into one call; well below the bound on draining (2 s).
const GATHER_TIME: Duration = Duration::from_millis(500);
