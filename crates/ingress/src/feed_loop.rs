//! Follows a table of the store, directly or through an entry of the zone that does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedChange, FeedSource, FeedTable};
use platform::{CallError, NodeBounds, RowChange, table_name};
use relay::RelayRequest;
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::feed_relay::stale_age;
use crate::{boot_clock, operator_rows, replica_rows};

/// What a reading brought.
struct FeedUpdate {
    /// Changes, or all rows.
    changes: Vec<FeedChange>,
    /// Moment for which the table is known completely.
    confirmed: Duration,
}

/// Follows `table` for as long as the process lives.
pub(crate) async fn run(shared: Arc<EntryShared>, table: FeedTable) {
    let mut failures = 0_u32;
    let mut attempt = 0;
    // While no entry can be followed the store is read.
    let mut direct_until: Option<Instant> = None;
    let mut is_deaf = false;
    let mut last_update = Instant::now();
    let mut followed: Option<SocketAddr> = None;
    loop {
        let source = source(&shared, attempt, direct_until);
        let result = match source {
            FeedSource::Entry {
                address, is_backup, ..
            } => {
                if is_backup && attempt > 0 {
                    tokio::time::sleep(STAND_IN_TIME).await;
                }
                read_entry(&shared, table, address).await
            }
            FeedSource::Store { has_followers } => {
                read_store(&shared, table, has_followers, failures > 0, is_deaf)
                    .await
                    .map_err(|it| it.to_string())
            }
        };
        let reader = match source {
            FeedSource::Entry { address, .. } => Some(address),
            FeedSource::Store { .. } => None,
        };
        count(&shared, table, reader.is_some(), &result);
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
                is_deaf = false;
                last_update = Instant::now();
                take_in(&shared, table, update);
                if reader.is_none() {
                    tokio::time::sleep(gather_time(table)).await;
                }
            }
            Ok(None) => {
                info!(shared.log, "history of the store is gone, reading all"; "table" => table_name(table));
                is_deaf = true;
            }
            Err(why) if reader.is_some() => {
                info!(
                    shared.log, "entry not followed";
                    "table" => table_name(table),
                    "entry" => reader.map(|it| it.to_string()),
                    "error" => why,
                );
                attempt += 1;
                let is_last = matches!(source, FeedSource::Entry { is_last: true, .. });
                if is_last || last_update.elapsed() > PATIENCE {
                    direct_until = Some(Instant::now() + DIRECT_TIME);
                }
            }
            Err(why) => {
                if failures == 0 {
                    warn!(shared.log, "store lost"; "table" => table_name(table), "error" => why);
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

/// Returns the time for which the store holds a reader's question.
///
/// A key that was taken away and a replica that leaves must be noticed in time although the connection went silent; each
/// call has a price. Where others follow, they must have noticed a reader that is cut off, and have read the store
/// themselves, within the bound on changes.
pub(crate) fn feed_wait(bounds: &NodeBounds, table: FeedTable, has_followers: bool) -> Duration {
    let (longest, bound) = match table {
        FeedTable::Operator => (OPERATOR_WAIT, bounds.config_switch),
        FeedTable::Replicas => (REPLICAS_WAIT, bounds.drain),
    };
    if !has_followers {
        return longest;
    }
    let left = bound.saturating_sub(FALLBACK_TIME + gather_time(table));
    left.clamp(SHORTEST_WAIT, longest)
}

/// Returns the pause that gathers changes which come together into one call to the store.
pub(crate) fn gather_time(table: FeedTable) -> Duration {
    match table {
        FeedTable::Operator => Duration::ZERO,
        FeedTable::Replicas => GATHER_TIME,
    }
}

fn source(shared: &EntryShared, attempt: usize, direct_until: Option<Instant>) -> FeedSource {
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
    let question = RelayRequest {
        table,
        since: shared.state().feed(table).version(),
        long_poll: true,
    };
    let sent = boot_clock::now();
    let answer = relay::fetch_changes(
        &shared.replicas,
        address,
        question,
        stale_age(&shared.settings.bounds, table),
    )
    .await?;
    let age = Duration::from_millis(answer.age_ms.into());
    let changes = shared
        .state()
        .feed(table)
        .apply_response(answer, Instant::now());
    Ok(Some(FeedUpdate {
        changes,
        // The answer was given at some moment since the question.
        confirmed: sent.saturating_sub(age),
    }))
}

/// Reads the store; returns `None` when its history does not reach back far enough.
async fn read_store(
    shared: &EntryShared,
    table: FeedTable,
    has_followers: bool,
    after_outage: bool,
    is_deaf: bool,
) -> Result<Option<FeedUpdate>, CallError> {
    let since = shared.state().feed(table).version();
    let sent = boot_clock::now();
    let (page, is_whole) = match since.filter(|_| !is_deaf) {
        None => (shared.store.read_table(table_name(table)).await?, true),
        Some(version) => {
            // While the store is away, a question that is not answered must not hide its return.
            let wait = if after_outage {
                Duration::ZERO
            } else {
                feed_wait(&shared.settings.bounds, table, has_followers)
            };
            match shared
                .store
                .follow(table_name(table), version, wait)
                .await?
            {
                RowChange::Changed(page) => (page, false),
                RowChange::HistoryGone => return Ok(None),
            }
        }
    };
    // What the first reading finds may have changed long ago, and after a gap in the feed a change is known late.
    let is_first = is_whole && !is_deaf;
    let gap = if is_deaf { FEED_GAP } else { Duration::ZERO };
    let known = (!is_first)
        .then(|| Instant::now().checked_sub(gap))
        .flatten();
    let received = boot_clock::now();
    let version = page.version;
    let store_ms = page.store_ms;
    let changes = page.into_changes(known, after_outage);
    let mut state = shared.state();
    let confirmed = state.store_clock.answered_at(store_ms, sent, received);
    let feed = state.feed(table);
    let changes = if is_whole {
        feed.apply_snapshot(changes, version, after_outage)
    } else {
        feed.apply_changes(changes, version)
    };
    Ok(Some(FeedUpdate { changes, confirmed }))
}

fn take_in(shared: &EntryShared, table: FeedTable, update: FeedUpdate) {
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

fn count(
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

/// Wait for the operator's rows; with the time-out of the call well below the bound on revocation (5 s).
const OPERATOR_WAIT: Duration = Duration::from_millis(2000);

/// Wait for the replicas' entries. A leaving replica must be noticed within 2 s of a silent end of the connection being
/// excused (3 s), so it and the time-out of the call stay below 5 s together.
const REPLICAS_WAIT: Duration = Duration::from_millis(2500);

/// Time that followers need when a reader is cut off: its copy is taken as too old 0.65 s after the wait, the entry that
/// stands in has 0.25 s, and the store must be read.
const FALLBACK_TIME: Duration = Duration::from_millis(1450);

/// Shortest wait, where bounds leave no more; each call has a price.
const SHORTEST_WAIT: Duration = Duration::from_millis(300);

/// Pause after an answer about replicas; well below the bound on draining (2 s).
const GATHER_TIME: Duration = Duration::from_millis(300);

/// Time without any update after which no further entry is tried before the store.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Time in which the entry that stands in for the readers of the zone has read the store. All others would fill the link
/// to the store if they read it as well.
const STAND_IN_TIME: Duration = Duration::from_millis(250);

/// Time for which the store is read after an entry could not be followed.
const DIRECT_TIME: Duration = Duration::from_millis(2500);

/// Time for which the feed may have been deaf before its history was gone.
const FEED_GAP: Duration = Duration::from_millis(1000);
