//! Keeps in the store when versions of weights were declared, for entries that start later.
//!
//! The operator's rows tell the newest version only and not its time. An entry that has just started must take it as long in
//! force, and if all entries were killed in the middle of a switch, no replica could serve.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::{CallError, RowWrite};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::boot_clock;
use crate::entry_shared::EntryShared;

/// A declaration as it is kept.
#[derive(Debug, Serialize, Deserialize)]
struct DeclarationRecord {
    model: String,
    version: u64,
    /// Time at which it became known, by the store's clock.
    store_ms: u64,
}

/// Reads and writes the record at each change, for as long as the process lives.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let mut recorded = BTreeSet::new();
    let mut failures = 0;
    loop {
        shared.versions_changed.notified().await;
        match keep(&shared, &mut recorded).await {
            Ok(()) => failures = 0,
            Err(err) => {
                shared.state().times_read = true;
                warn!(shared.log, "record of declarations not kept"; "error" => err.to_string());
                failures += 1;
                tokio::time::sleep(fleet::retry_backoff(failures, rand::random())).await;
                shared.versions_changed.notify_one();
            }
        }
    }
}

async fn keep(
    shared: &EntryShared,
    recorded: &mut BTreeSet<(String, u64)>,
) -> Result<(), CallError> {
    let has_undated = shared.state().versions.all().any(|it| it.2.is_none());
    if has_undated {
        learn(shared, recorded).await?;
    }
    shared.state().times_read = true;
    shared.declared.notify_one();
    for (record, known) in unrecorded(shared, recorded) {
        let age = known.elapsed();
        let store_ms = shared.state().store_clock.store_ms(boot_clock::now());
        let Some(store_ms) = store_ms else {
            continue;
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let record = DeclarationRecord {
            store_ms: store_ms.saturating_sub(age_ms),
            ..record
        };
        let row = RowWrite {
            table: DECLARATION_TABLE.to_owned(),
            key: format!("{}/{}", record.model, record.version),
            value: Some(serde_json::to_vec(&record).expect("a record is always encodable")),
        };
        // Whoever knew it first has written it; a later time would let old weights serve for longer.
        let is_written = shared.store.write_new(&row).await?;
        info!(
            shared.log, "declaration recorded";
            "model" => &record.model,
            "version" => record.version,
            "first" => is_written,
        );
        recorded.insert((record.model, record.version));
    }
    Ok(())
}

/// Returns what this entry has to record: one entry of each zone does so.
fn unrecorded(
    shared: &EntryShared,
    recorded: &BTreeSet<(String, u64)>,
) -> Vec<(DeclarationRecord, Instant)> {
    let settings = &shared.settings;
    let state = shared.state();
    let mut of_zone = state.peers.alive(Instant::now());
    if of_zone.any(|it| it.zone == settings.zone && it.node < settings.node) {
        return Vec::new();
    }
    let dated = state.versions.all().filter_map(|(model, version, known)| {
        let record = DeclarationRecord {
            model: model.to_owned(),
            version,
            store_ms: 0,
        };
        Some((record, known?))
    });
    dated
        .filter(|(it, _)| !recorded.contains(&(it.model.clone(), it.version)))
        .collect()
}

async fn learn(
    shared: &EntryShared,
    recorded: &mut BTreeSet<(String, u64)>,
) -> Result<(), CallError> {
    let page = shared.store.read_table(DECLARATION_TABLE).await?;
    let now = Instant::now();
    for row in page.rows {
        let Some(bytes) = row.value else {
            continue;
        };
        let record: DeclarationRecord = match serde_json::from_slice(&bytes) {
            Ok(it) => it,
            Err(err) => {
                shared.state().times_read = true;
                warn!(shared.log, "record of a declaration skipped"; "key" => row.key, "error" => err.to_string());
                continue;
            }
        };
        let age = Duration::from_millis(page.store_ms.saturating_sub(record.store_ms));
        if let Some(known) = now.checked_sub(age) {
            let mut state = shared.state();
            state
                .versions
                .record_known_time(&record.model, record.version, known);
        }
        recorded.insert((record.model, record.version));
    }
    Ok(())
}

/// Table of the store that keeps the times of declarations, a row of 100 bytes for each version.
const DECLARATION_TABLE: &str = "declarations";
