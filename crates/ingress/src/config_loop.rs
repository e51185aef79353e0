//! Follows the operator's rows: the configuration and the declared weights.

use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::{CONFIG_KEY, OPERATOR_TABLE, RowChange, StoredRow, VERSION_PREFIX};
use slog::{info, warn};

use crate::boot_clock;
use crate::entry_shared::EntryShared;

/// Follows the rows for as long as the process lives.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let mut since: Option<u64> = None;
    let mut failures = 0_u32;
    // What the first reading finds may have been declared long ago.
    let mut is_first = true;
    // Changes during a gap in the feed are known later than others.
    let mut known_late = Duration::ZERO;
    loop {
        let sent = boot_clock::now();
        let result = match since {
            None => match shared.store.read_table(OPERATOR_TABLE).await {
                Ok(page) => Ok(Some(page)),
                Err(err) => Err(err),
            },
            Some(version) => match shared
                .store
                .follow(OPERATOR_TABLE, version, FEED_WAIT)
                .await
            {
                Ok(RowChange::Changed(page)) => Ok(Some(page)),
                Ok(RowChange::HistoryGone) => Ok(None),
                Err(err) => Err(err),
            },
        };
        match result {
            Ok(Some(page)) => {
                if failures > 0 {
                    info!(shared.log, "store regained"; "table" => OPERATOR_TABLE, "failures" => failures);
                }
                failures = 0;
                count(&shared, "ok");
                let is_quiet = page.rows.is_empty() && since.is_some();
                let known = (!is_first)
                    .then(|| Instant::now().checked_sub(known_late))
                    .flatten();
                apply(&shared, &page.rows, known);
                is_first = false;
                known_late = Duration::ZERO;
                // An empty answer was given after the wait, any other one at some moment since the call.
                let confirmed = if is_quiet { sent + FEED_WAIT } else { sent };
                shared
                    .state()
                    .freshness
                    .confirm(confirmed.min(boot_clock::now()));
                since = Some(page.version);
            }
            Ok(None) => {
                info!(shared.log, "history of the store is gone, reading all"; "table" => OPERATOR_TABLE);
                count(&shared, "history_gone");
                since = None;
                known_late = FEED_GAP;
            }
            Err(err) => {
                if failures == 0 {
                    warn!(shared.log, "store lost"; "table" => OPERATOR_TABLE, "error" => err.to_string());
                }
                count(&shared, "failed");
                failures += 1;
                tokio::time::sleep(fleet::retry_pause(failures, rand::random())).await;
            }
        }
    }
}

fn apply(shared: &EntryShared, rows: &[StoredRow], known: Option<Instant>) {
    for row in rows {
        let Some(bytes) = &row.value else {
            continue;
        };
        if row.key == CONFIG_KEY {
            apply_config(shared, bytes);
        } else if row.key.starts_with(VERSION_PREFIX) {
            apply_version(shared, bytes, known);
        }
    }
}

fn apply_config(shared: &EntryShared, bytes: &[u8]) {
    let table = match platform::decode_config(bytes) {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "configuration rejected"; "error" => format!("{err:#}"));
            return;
        }
    };
    let mut state = shared.state();
    let before = state.routes.as_ref().map(|it| it.version());
    if before.is_some_and(|it| it >= table.version()) {
        return;
    }
    info!(
        shared.log, "configuration in force";
        "version" => table.version(),
        "before" => before,
        "routes" => table.route_count(),
    );
    state.routes = Some(Arc::new(table));
}

fn apply_version(shared: &EntryShared, bytes: &[u8], known: Option<Instant>) {
    let (model, version) = match platform::decode_declared_version(bytes) {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "declaration of weights rejected"; "error" => format!("{err:#}"));
            return;
        }
    };
    if shared.state().versions.declare(&model, version, known) {
        shared.declared.notify_one();
        info!(shared.log, "weights declared"; "model" => model, "version" => version, "time_known" => known.is_some());
    }
}

fn count(shared: &EntryShared, outcome: &str) {
    let labels = [OPERATOR_TABLE, outcome];
    shared.metrics.store_calls.with_label_values(&labels).inc();
}

/// Time that the store holds a question for changes. A key that was taken away must be noticed although the store is
/// away, so it is well below the bound on revocation (5 s); each call has a price, so it is not shorter.
const FEED_WAIT: Duration = Duration::from_millis(2000);

/// Time for which the feed may have been deaf before its history was gone.
const FEED_GAP: Duration = Duration::from_millis(1000);
