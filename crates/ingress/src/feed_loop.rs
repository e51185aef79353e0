//! Follows a store table, either directly or through another entry, as [`fleet::FeedPlan`] decides.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{
    FeedCall, FeedChange, FeedContinuity, FeedOutcome, FeedPlan, FeedTable, StorePosition,
    StoreRead,
};
use platform::{CallError, RowPage, StoreClient, WatchResponse, table_name};
use relay::{RelayRequest, TimedResponse, boot_clock};
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::{operator_rows, placement_guard, replica_rows};

/// Result of one read.
enum ReadResult {
    Update(FeedUpdate),
    /// The entry that was asked has not read the table yet.
    NotReady,
    /// The store does not have the changes since the position that was read last.
    HistoryExpired,
    /// The response comes from an earlier life of the store, with this era.
    EarlierLife(u64),
    /// The store has not responded in time.
    TimedOut,
    /// The feed of another table has shown that the store is back after an outage.
    Superseded,
}

/// Changes that a read has brought.
struct FeedUpdate {
    /// The changed rows, or all rows.
    changes: Vec<FeedChange>,
    /// Position up to which the copy had been read before, if it had.
    copy: Option<StorePosition>,
    /// Time since boot up to which all changes of the table are included.
    confirmed: Duration,
    /// Number of changes that the copy did not have.
    new_changes: usize,
    /// Whether a row was among the changes more than once.
    has_repeats: bool,
    /// Whether the update comes from the store itself.
    is_from_store: bool,
    /// Whether another entry sent it whose copy is too old to be followed, or which should read the store itself.
    is_late: bool,
}

impl FeedUpdate {
    fn outcome(&self) -> FeedOutcome {
        if self.is_late {
            return FeedOutcome::Late;
        }
        FeedOutcome::Updated {
            changes: self.new_changes,
            has_repeats: self.has_repeats,
            age: boot_clock::now().saturating_sub(self.confirmed),
        }
    }
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
                read_entry(&shared, table, address, plan.is_zone_reader()).await
            }
            FeedCall::Changes { .. } | FeedCall::Table => {
                read_store(&shared, table, call, &plan).await
            }
        };
        count_read(&shared, table, reader.is_some(), &result);
        let failures = plan.failures();
        let outcome = match result {
            Ok(ReadResult::Update(update)) => {
                if failures > 0 && reader.is_none() {
                    shared.store_regained.notify_waiters();
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
                let outcome = update.outcome();
                apply_update(&shared, table, update);
                outcome
            }
            Ok(ReadResult::NotReady) => FeedOutcome::Late,
            Ok(ReadResult::HistoryExpired) => {
                info!(shared.log, "change history expired in the store, reading all rows"; "table" => table_name(table));
                FeedOutcome::HistoryExpired
            }
            Ok(ReadResult::EarlierLife(era)) => {
                warn!(shared.log, "response of an earlier life of the store dropped"; "table" => table_name(table), "era" => era);
                FeedOutcome::Failed
            }
            Ok(ReadResult::TimedOut) => {
                record_failure(&shared, table, None, failures, "no response: timed out");
                FeedOutcome::TimedOut
            }
            // The next call is sent at once.
            Ok(ReadResult::Superseded) => {
                record_contact(&shared, table, plan.is_cut_off());
                continue;
            }
            Err(err) => {
                record_failure(&shared, table, reader, failures, &err);
                FeedOutcome::Failed
            }
        };
        let pause = plan.record(call, outcome, rand::random(), Instant::now());
        record_contact(&shared, table, plan.is_cut_off());
        if plan.failures() > 0 {
            // The end of the pause and the return of the store are handled alike.
            let _ = tokio::time::timeout(pause, shared.store_regained.notified()).await;
        } else if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        if table == FeedTable::Replicas {
            replica_rows::expire(&shared);
            placement_guard::expire(&shared);
        }
    }
}

/// Reads the store, unless another feed shows meanwhile that it is back after an outage: a call that the store held before
/// may never be answered.
async fn read_store(
    shared: &EntryShared,
    table: FeedTable,
    call: FeedCall,
    plan: &FeedPlan,
) -> Result<ReadResult, String> {
    let read = async {
        match call {
            FeedCall::Changes { wait } => read_changes(shared, table, wait, plan).await,
            FeedCall::Entry { .. } | FeedCall::Table => read_rows(shared, table, plan).await,
        }
    };
    let overdue = async {
        if let Some(time) = plan.overdue_time(call) {
            tokio::time::sleep(time).await;
            record_contact(shared, table, true);
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = overdue => Ok(ReadResult::TimedOut),
        result = read => match result {
            Err(CallError::TimedOut) => Ok(ReadResult::TimedOut),
            result => result.map_err(|it| it.to_string()),
        },
        () = shared.store_regained.notified(), if plan.failures() == 0 => Ok(ReadResult::Superseded),
    }
}

/// Returns the client for a read, which does not wait long for a store that is away.
fn store_client(shared: &EntryShared, plan: &FeedPlan) -> StoreClient {
    match plan.probe_timeout() {
        Some(timeout) => shared.store.with_timeout(timeout),
        None => shared.store.clone(),
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
    let own = shared.own_record();
    let mut state = shared.state();
    let has_rows = state.feed(table).position().is_some();
    plan.next_call(&state.peers, &own, has_rows, Instant::now())
}

/// Tells other entries when the store begins or ceases to serve this one, since they may follow it.
fn record_contact(shared: &EntryShared, table: FeedTable, is_cut_off: bool) {
    let mut state = shared.state();
    let was_cut_off = !state.cut_off_feeds.is_empty();
    if is_cut_off {
        state.cut_off_feeds.insert(table);
    } else {
        state.cut_off_feeds.remove(&table);
    }
    let is_cut_off = !state.cut_off_feeds.is_empty();
    if is_cut_off == was_cut_off {
        return;
    }
    state.heartbeat_digest.record_change();
    state.report_digest.record_change();
    drop(state);
    info!(shared.log, "contact with the store"; "table" => table_name(table), "cut_off" => is_cut_off);
    shared.urgent_change.notify_one();
    shared.urgent_report.notify_one();
    // Requests that this entry holds are answered sooner while the store does not serve it.
    shared.feed_changed.notify_waiters();
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
}

async fn read_entry(
    shared: &EntryShared,
    table: FeedTable,
    address: SocketAddr,
    must_read_store: bool,
) -> Result<ReadResult, String> {
    let feed_request = RelayRequest {
        table,
        since: shared.state().feed(table).request_since(),
        long_poll: true,
    };
    let client = &shared.replica_client;
    let timed_response = relay::fetch_changes(client, address, feed_request).await?;
    let Some(timed_response) = timed_response else {
        return Ok(ReadResult::NotReady);
    };
    let TimedResponse {
        response: feed_response,
        sent,
        received,
    } = timed_response;
    let age = Duration::from_millis(feed_response.age_ms.into());
    // The response was created when the request had been held for that long, or later.
    let created = sent.saturating_add(Duration::from_millis(feed_response.held_ms.into()));
    let is_too_old = age > fleet::stale_age(table, change_bound(shared, table));
    let is_earlier = feed_response.position.era() < known_era(shared, table);
    let is_late = is_too_old || is_earlier || must_read_store && !feed_response.is_reader;
    if is_late {
        info!(
            shared.log, "copy of an entry is late";
            "table" => table_name(table),
            "entry" => address.to_string(),
            "age_ms" => feed_response.age_ms,
            "position" => feed_response.position.to_string(),
            "reads_store" => feed_response.is_reader,
        );
    }
    let mut state = shared.state();
    if !is_earlier {
        shared.record_relayed_time(&mut state, &feed_response, sent, received);
    }
    let feed = state.feed(table);
    let since = feed.position();
    shared.record_era(feed_response.position.era(), since.is_none());
    let changes = feed.apply_response(feed_response);
    let changes = changes.map_err(|it| it.to_string())?;
    Ok(ReadResult::Update(FeedUpdate {
        new_changes: count_new(&changes, since),
        changes,
        copy: since,
        confirmed: created.saturating_sub(age),
        has_repeats: false,
        is_from_store: false,
        is_late,
    }))
}

/// Returns the era of the copy, or 0 before the first read. It stands in for that of a response which names none.
fn known_era(shared: &EntryShared, table: FeedTable) -> u64 {
    let position = shared.state().feed(table).position();
    position.map_or(0, StorePosition::era)
}

/// Reads the changes since the position that was read last from the store.
async fn read_changes(
    shared: &EntryShared,
    table: FeedTable,
    wait: Duration,
    plan: &FeedPlan,
) -> Result<ReadResult, CallError> {
    let Some(since) = shared.state().feed(table).position() else {
        return read_rows(shared, table, plan).await;
    };
    let sent = boot_clock::now();
    let name = table_name(table);
    let store = store_client(shared, plan);
    let page = match store.watch(name, since, wait).await? {
        WatchResponse::Changed(page) => page,
        WatchResponse::HistoryExpired => return Ok(ReadResult::HistoryExpired),
    };
    let received = boot_clock::now();
    let era = page.era.unwrap_or(since.era());
    let continuity = shared.state().feed(table).continuity(era);
    match continuity {
        FeedContinuity::Same => {
            let read = page.store_read(era, sent, received, wait);
            let update = apply_page(shared, table, page, &read, plan, false);
            Ok(ReadResult::Update(update))
        }
        FeedContinuity::NewLife => {
            warn!(
                shared.log, "the store has returned from an older copy";
                "table" => name,
                "era" => era,
                "before" => since.to_string(),
                "version" => page.version,
            );
            Ok(ReadResult::HistoryExpired)
        }
        FeedContinuity::EarlierLife => Ok(ReadResult::EarlierLife(era)),
    }
}

/// Reads all rows of the table from the store.
async fn read_rows(
    shared: &EntryShared,
    table: FeedTable,
    plan: &FeedPlan,
) -> Result<ReadResult, CallError> {
    let sent = boot_clock::now();
    let store = store_client(shared, plan);
    let page = store.read_table(table_name(table)).await?;
    let received = boot_clock::now();
    let known_era = known_era(shared, table);
    let era = page.era.unwrap_or(known_era);
    if shared.state().feed(table).continuity(era) == FeedContinuity::EarlierLife {
        return Ok(ReadResult::EarlierLife(era));
    }
    let read = page.store_read(era, sent, received, Duration::ZERO);
    let update = apply_page(shared, table, page, &read, plan, true);
    Ok(ReadResult::Update(update))
}

/// Applies a page of the store, which `read` has returned, to the copy.
fn apply_page(
    shared: &EntryShared,
    table: FeedTable,
    page: RowPage,
    read: &StoreRead,
    plan: &FeedPlan,
    is_full_read: bool,
) -> FeedUpdate {
    let after_outage = plan.is_after_outage();
    let purpose = match table {
        FeedTable::Operator => "stored_op",
        FeedTable::Replicas => "stored_servers",
    };
    shared.metrics.count_received(purpose, page.bytes);
    let mut state = shared.state();
    let since = state.feed(table).position();
    let elapsed = read.received.saturating_sub(read.sent);
    log_page(shared, table, &page, since, elapsed);
    shared.record_store_time(&mut state, read);
    let clock = state.store_times.clock();
    let confirmed = clock.responded_at(page.store_ms, read.sent, read.received);
    let position = read.position;
    shared.record_era(position.era(), since.is_none());
    let changes = page.into_changes(read, since, &state.store_times, after_outage);
    let keys: BTreeSet<_> = changes.iter().map(|it| it.key.clone()).collect();
    let has_repeats = keys.len() < changes.len();
    let feed = state.feed(table);
    let changes = if is_full_read {
        feed.apply_snapshot(changes, position, after_outage)
    } else {
        feed.apply_changes(changes, position)
    };
    FeedUpdate {
        new_changes: count_new(&changes, since),
        changes,
        copy: since,
        confirmed,
        has_repeats,
        is_from_store: true,
        is_late: false,
    }
}

/// Returns the number of changes after `since`; a snapshot contains older ones too.
fn count_new(changes: &[FeedChange], since: Option<StorePosition>) -> usize {
    let is_new = |it: &&FeedChange| since.is_some_and(|since| it.position > since);
    changes.iter().filter(is_new).count()
}

/// Logs a page with changes. Quiet long polls are not logged.
fn log_page(
    shared: &EntryShared,
    table: FeedTable,
    page: &RowPage,
    since: Option<StorePosition>,
    elapsed: Duration,
) {
    if page.rows.is_empty() {
        return;
    }
    info!(
        shared.log, "changes read from the store";
        "table" => table_name(table),
        "era" => page.era,
        "since" => since.map(|it| it.to_string()),
        "version" => page.version,
        "rows" => page.rows.len(),
        "bytes" => page.bytes,
        "ms" => u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
    );
}

fn apply_update(shared: &EntryShared, table: FeedTable, update: FeedUpdate) {
    match table {
        FeedTable::Operator => operator_rows::apply(shared, &update.changes, update.copy),
        FeedTable::Replicas => replica_rows::apply(shared, &update.changes),
    }
    let mut state = shared.state();
    state
        .feed(table)
        .confirm(update.confirmed, update.is_from_store);
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
    result: &Result<ReadResult, String>,
) {
    let outcome = match result {
        Ok(ReadResult::Update(_)) => "ok",
        Ok(ReadResult::NotReady) => "not_ready",
        Ok(ReadResult::HistoryExpired) => "history_gone",
        Ok(ReadResult::EarlierLife(_)) => "earlier_life",
        Ok(ReadResult::Superseded) => "superseded",
        Ok(ReadResult::TimedOut) | Err(_) => "failed",
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
