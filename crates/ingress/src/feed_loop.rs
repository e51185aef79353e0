//! Follows a store table, either directly or through another entry of the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedChange, FeedRead, FeedSource, FeedTable};
use platform::{CallError, NodeBounds, RowPage, WatchResponse, table_name};
use relay::RelayRequest;
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::feed_relay::stale_age;
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
    let mut failures = 0_u32;
    let mut attempt = 0;
    // The store is read directly until this time, after no entry could be followed.
    let mut direct_until: Option<Instant> = None;
    let mut is_history_lost = false;
    let mut last_update = Instant::now();
    let mut followed: Option<SocketAddr> = None;
    loop {
        let source = choose_source(&shared, attempt, direct_until);
        let result = match source {
            FeedSource::Entry {
                address, is_backup, ..
            } => {
                if is_backup && attempt > 0 {
                    tokio::time::sleep(BACKUP_READER_DELAY).await;
                }
                read_entry(&shared, table, address).await
            }
            FeedSource::Store { has_followers } => {
                read_store(&shared, table, has_followers, failures, is_history_lost)
                    .await
                    .map_err(|it| it.to_string())
            }
        };
        let reader = match source {
            FeedSource::Entry { address, .. } => Some(address),
            FeedSource::Store { .. } => None,
        };
        count_read(&shared, table, reader.is_some(), &result);
        match result {
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
                failures = 0;
                is_history_lost = false;
                last_update = Instant::now();
                apply_update(&shared, table, update);
                if reader.is_none() {
                    tokio::time::sleep(batch_delay(table)).await;
                }
            }
            Ok(None) => {
                info!(shared.log, "change history expired in the store, reading all rows"; "table" => table_name(table));
                is_history_lost = true;
            }
            Err(err) if reader.is_some() => {
                info!(
                    shared.log, "entry not followed";
                    "table" => table_name(table),
                    "entry" => reader.map(|it| it.to_string()),
                    "error" => err,
                );
                attempt += 1;
                let is_last = matches!(source, FeedSource::Entry { is_last: true, .. });
                if is_last || last_update.elapsed() > MAX_TIME_WITHOUT_UPDATE {
                    direct_until = Some(Instant::now() + DIRECT_READ_TIME);
                }
            }
            Err(err) => {
                if failures == 0 {
                    warn!(shared.log, "store lost"; "table" => table_name(table), "error" => err);
                }
                failures += 1;
                if table == FeedTable::Replicas {
                    shared.state().catalog.record_outage();
                }
                tokio::time::sleep(fleet::retry_backoff(failures, rand::random())).await;
            }
        }
        if table == FeedTable::Replicas {
            replica_rows::expire(&shared);
        }
    }
}

/// Returns how long the store may hold a long poll.
///
/// A revoked key or a leaving replica must be noticed within its bound even if the connection has silently failed, but
/// each call has a cost. If other entries follow this one, the bound must also cover the time in which they detect that
/// this entry is cut off and read the store themselves.
pub(crate) fn long_poll_wait(
    bounds: &NodeBounds,
    table: FeedTable,
    has_followers: bool,
) -> Duration {
    let (max_wait, bound) = match table {
        FeedTable::Operator => (MAX_OPERATOR_WAIT, bounds.config_switch),
        FeedTable::Replicas => (MAX_REPLICAS_WAIT, bounds.drain),
    };
    if !has_followers {
        return max_wait;
    }
    let remaining = bound.saturating_sub(FAILOVER_TIME + batch_delay(table));
    remaining.clamp(MIN_LONG_POLL_WAIT, max_wait)
}

/// Returns the pause between reads of the store, which batches changes that arrive close together into one call.
pub(crate) fn batch_delay(table: FeedTable) -> Duration {
    match table {
        FeedTable::Operator => Duration::ZERO,
        FeedTable::Replicas => REPLICAS_BATCH_DELAY,
    }
}

fn choose_source(
    shared: &EntryShared,
    attempt: usize,
    direct_until: Option<Instant>,
) -> FeedSource {
    let now = Instant::now();
    let settings = &shared.settings;
    let state = shared.state();
    if direct_until.is_some_and(|it| now < it) {
        return FeedSource::Store {
            has_followers: false,
        };
    }
    fleet::feed_source(&state.peers, &settings.node, &settings.zone, attempt, now)
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
        stale_age(&shared.settings.bounds, table),
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

/// Reads the store; returns `None` if its change history no longer includes the version that was read last.
async fn read_store(
    shared: &EntryShared,
    table: FeedTable,
    has_followers: bool,
    failures: u32,
    is_history_lost: bool,
) -> Result<Option<FeedUpdate>, CallError> {
    let after_outage = failures > 0;
    let since = shared.state().feed(table).version();
    let sent = boot_clock::now();
    let (page, is_full_read) = match since.filter(|_| !is_history_lost) {
        None => (shared.store.read_table(table_name(table)).await?, true),
        Some(version) => {
            // During an outage the store is polled without a wait, since an unanswered long poll would delay the
            // detection of its return.
            let wait = if after_outage {
                Duration::ZERO
            } else {
                long_poll_wait(&shared.settings.bounds, table, has_followers)
            };
            match shared.store.watch(table_name(table), version, wait).await? {
                WatchResponse::Changed(page) => (page, false),
                WatchResponse::HistoryExpired => return Ok(None),
            }
        }
    };
    let received = boot_clock::now();
    let purpose = match table {
        FeedTable::Operator => "stored_op",
        FeedTable::Replicas => "stored_servers",
    };
    shared.metrics.count_received(purpose, page.bytes);
    log_page(shared, table, &page, since, received.saturating_sub(sent));
    let mut state = shared.state();
    let confirmed = state
        .store_clock
        .responded_at(page.store_ms, sent, received);
    let feed_read = FeedRead {
        confirmed: state.feed(table).confirmed_at(),
        responded: confirmed,
        failures,
        is_history_lost,
    };
    // Rows of the first read may have changed long ago.
    let is_first = is_full_read && !is_history_lost;
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
    Ok(Some(FeedUpdate { changes, confirmed }))
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

/// Maximum wait of a long poll for the operator's rows. Together with the timeout of the call it is well below the
/// bound on revocation (5 s).
const MAX_OPERATOR_WAIT: Duration = Duration::from_millis(2000);

/// Maximum wait of a long poll for the replicas' rows. A leaving replica must be noticed within 2 s, and
/// a silently failed connection is allowed 3 s more, so the wait and the timeout of the call together stay below 5 s.
const MAX_REPLICAS_WAIT: Duration = Duration::from_millis(2500);

/// Time that followers need to replace a reader that is cut off: its copy is considered stale 0.65 s after the wait,
/// the backup reader has 0.25 s, and then the store must be read.
const FAILOVER_TIME: Duration = Duration::from_millis(1450);

/// Minimum wait of a long poll, even if the bounds leave less, because each call has a cost.
const MIN_LONG_POLL_WAIT: Duration = Duration::from_millis(300);

/// Pause after a read of the replicas' rows; well below the bound on draining (2 s).
const REPLICAS_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Time without an update after which the store is read directly instead of trying further entries.
const MAX_TIME_WITHOUT_UPDATE: Duration = Duration::from_millis(1500);

/// Delay after which other entries request changes from the backup reader of the zone, so that it can read the store
/// first. If all entries read the store themselves, they would saturate the link to it.
const BACKUP_READER_DELAY: Duration = Duration::from_millis(250);

/// Time for which the store is read directly after no entry could be followed.
const DIRECT_READ_TIME: Duration = Duration::from_millis(2500);
