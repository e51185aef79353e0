//! Follows a store table, either directly or through another entry of the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedCall, FeedChange, FeedOutcome, FeedPlan, FeedRead, FeedTable};
use platform::{CallError, RowPage, WatchResponse, table_name};
use relay::RelayRequest;
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::{boot_clock, operator_rows, replica_rows};

/// Result of one read.
struct FeedUpdate {
    /// The changed rows, or all rows.
    changes: Vec<FeedChange>,
    /// Time since boot up to which all changes of the table are included.
    confirmed: Duration,
}

/// Follows `table` until the process exits.
pub(crate) async fn run(shared: Arc<EntryShared>, table: FeedTable) {
    let mut plan = FeedPlan::new(table, change_bound(&shared, table), Instant::now());
    let mut followed: Option<SocketAddr> = None;
    loop {
        let call = next_call(&shared, table, &mut plan);
        let reader = match call {
            FeedCall::Entry { address, .. } => Some(address),
            FeedCall::Changes { .. } | FeedCall::Table => None,
        };
        let result = match call {
            FeedCall::Entry { address, delay } => {
                tokio::time::sleep(delay).await;
                read_entry(&shared, table, address).await
            }
            FeedCall::Changes { wait } => {
                let result = read_changes(&shared, table, wait, &plan).await;
                result.map_err(|it| it.to_string())
            }
            FeedCall::Table => {
                let result = read_rows(&shared, table, &plan).await;
                result.map_err(|it| it.to_string())
            }
        };
        count_read(&shared, table, reader.is_some(), &result);
        let failures = plan.failures();
        let outcome = match result {
            Ok(Some(update)) => {
                if failures > 0 {
                    info!(shared.log, "store regained"; "table" => table_name(table), "failures" => failures);
                }
                if followed != reader {
                    info!(
                        shared.log, "source of changes";
                        "table" => table_name(table),
                        "entry" => reader.map(|it| it.to_string()),
                    );
                    followed = reader;
                }
                apply_update(&shared, table, update);
                FeedOutcome::Updated
            }
            Ok(None) => {
                info!(shared.log, "change history expired in the store, reading all rows"; "table" => table_name(table));
                FeedOutcome::HistoryExpired
            }
            Err(err) => {
                record_failure(&shared, table, reader, failures, &err);
                FeedOutcome::Failed
            }
        };
        let pause = plan.record(call, outcome, rand::random(), Instant::now());
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        if table == FeedTable::Replicas {
            replica_rows::expire(&shared);
        }
    }
}

/// Returns the time within which a change of `table` must be in force.
pub(crate) fn change_bound(shared: &EntryShared, table: FeedTable) -> Duration {
    let bounds = &shared.settings.bounds;
    match table {
        FeedTable::Operator => bounds.config_switch,
        FeedTable::Replicas => bounds.drain,
    }
}

fn next_call(shared: &EntryShared, table: FeedTable, plan: &mut FeedPlan) -> FeedCall {
    let settings = &shared.settings;
    let mut state = shared.state();
    let has_rows = state.feed(table).version().is_some();
    let now = Instant::now();
    plan.next_call(&state.peers, &settings.node, &settings.zone, has_rows, now)
}

fn record_failure(
    shared: &EntryShared,
    table: FeedTable,
    reader: Option<SocketAddr>,
    failures: u32,
    err: &str,
) {
    if let Some(reader) = reader {
        info!(
            shared.log, "entry not followed";
            "table" => table_name(table),
            "entry" => reader.to_string(),
            "error" => err,
        );
        return;
    }
    if failures == 0 {
        warn!(shared.log, "store lost"; "table" => table_name(table), "error" => err);
    }
    if table == FeedTable::Replicas {
        shared.state().catalog.record_outage();
    }
}

async fn read_entry(
    shared: &EntryShared,
    table: FeedTable,
    address: SocketAddr,
) -> Result<Option<FeedUpdate>, String> {
    let feed_request = RelayRequest {
        table,
        since: shared.state().feed(table).version(),
        long_poll: true,
    };
    let sent = boot_clock::now();
    let feed_response = relay::fetch_changes(
        &shared.replica_client,
        address,
        feed_request,
        fleet::stale_age(table, change_bound(shared, table)),
    )
    .await?;
    let age = Duration::from_millis(feed_response.age_ms.into());
    let changes = shared
        .state()
        .feed(table)
        .apply_response(feed_response, Instant::now());
    Ok(Some(FeedUpdate {
        changes,
        // The response was created at some time after the request was sent, so the earliest time is taken.
        confirmed: sent.saturating_sub(age),
    }))
}

/// Reads changes from the store; returns `None` if its history no longer includes the version that was read last.
async fn read_changes(
    shared: &EntryShared,
    table: FeedTable,
    wait: Duration,
    plan: &FeedPlan,
) -> Result<Option<FeedUpdate>, CallError> {
    let since = shared.state().feed(table).version();
    let sent = boot_clock::now();
    let name = table_name(table);
    match shared
        .store
        .watch(name, since.unwrap_or_default(), wait)
        .await?
    {
        WatchResponse::Changed(page) => {
            Ok(Some(apply_page(shared, table, page, sent, plan, false)))
        }
        WatchResponse::HistoryExpired => Ok(None),
    }
}

/// Reads all rows of the table from the store.
async fn read_rows(
    shared: &EntryShared,
    table: FeedTable,
    plan: &FeedPlan,
) -> Result<Option<FeedUpdate>, CallError> {
    let sent = boot_clock::now();
    let page = shared.store.read_table(table_name(table)).await?;
    Ok(Some(apply_page(shared, table, page, sent, plan, true)))
}

/// Applies a page of the store to the copy. The page was requested at `sent`.
fn apply_page(
    shared: &EntryShared,
    table: FeedTable,
    page: RowPage,
    sent: Duration,
    plan: &FeedPlan,
    is_full_read: bool,
) -> FeedUpdate {
    let after_outage = plan.failures() > 0;
    let received = boot_clock::now();
    let purpose = match table {
        FeedTable::Operator => "stored_op",
        FeedTable::Replicas => "stored_servers",
    };
    shared.metrics.count_received(purpose, page.bytes);
    let mut state = shared.state();
    let since = state.feed(table).version();
    log_page(shared, table, &page, since, received.saturating_sub(sent));
    let confirmed = state
        .store_clock
        .responded_at(page.store_ms, sent, received);
    let feed_read = FeedRead {
        confirmed: state.feed(table).confirmed_at(),
        responded: confirmed,
        failures: plan.failures(),
        is_history_lost: plan.is_history_lost(),
    };
    // Rows of the first read may have changed long ago.
    let is_first = since.is_none();
    let age = received.saturating_sub(feed_read.changed_since());
    let known_since = (!is_first)
        .then(|| Instant::now().checked_sub(age))
        .flatten();
    let version = page.version;
    let changes = page.into_changes(known_since, after_outage);
    let feed = state.feed(table);
    let changes = if is_full_read {
        feed.apply_snapshot(changes, version, after_outage)
    } else {
        feed.apply_changes(changes, version)
    };
    FeedUpdate { changes, confirmed }
}

/// Logs a page with changes. Quiet long polls are not logged.
fn log_page(
    shared: &EntryShared,
    table: FeedTable,
    page: &RowPage,
    since: Option<u64>,
    elapsed: Duration,
) {
    if page.rows.is_empty() {
        return;
    }
    info!(
        shared.log, "changes read from the store";
        "table" => table_name(table),
        "era" => page.era,
        "since" => since,
        "version" => page.version,
        "rows" => page.rows.len(),
        "bytes" => page.bytes,
        "ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    );
}

fn apply_update(shared: &EntryShared, table: FeedTable, update: FeedUpdate) {
    match table {
        FeedTable::Operator => operator_rows::apply(shared, &update.changes),
        FeedTable::Replicas => replica_rows::apply(shared, &update.changes),
    }
    let mut state = shared.state();
    state.feed(table).confirm(update.confirmed);
    if table == FeedTable::Operator {
        state.freshness.confirm(update.confirmed);
    }
    drop(state);
    if !update.changes.is_empty() {
        shared.feed_changed.notify_waiters();
    }
}

fn count_read(
    shared: &EntryShared,
    table: FeedTable,
    is_relayed: bool,
    result: &Result<Option<FeedUpdate>, String>,
) {
    let outcome = match result {
        Ok(Some(_)) => "ok",
        Ok(None) => "history_gone",
        Err(_) => "failed",
    };
    let counter = if is_relayed {
        &shared.metrics.relayed_reads
    } else {
        &shared.metrics.store_calls
    };
    counter
        .with_label_values(&[table_name(table), outcome])
        .inc();
}
