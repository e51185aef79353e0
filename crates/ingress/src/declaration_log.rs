//! Records in the store when versions of weights were declared, for entries that start later.
//!
//! The operator's table contains only the newest version, without a time. An entry that has just started would have to
//! assume that this version has long been in force. If all entries were killed in the middle of a version switch, no
//! replica could then serve.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use fleet::StoreInterval;
use platform::{CallError, RowWrite};
use relay::boot_clock;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::declared_versions::{self, DeclarationSource};
use crate::entry_shared::EntryShared;

/// A recorded declaration.
#[derive(Debug, Serialize, Deserialize)]
struct DeclarationRecord {
    model: String,
    version: u64,
    /// Latest time of the declaration on the store's clock.
    store_ms: u64,
    /// Earliest time of it. Records of versions of this program that did not know it lack the field.
    #[serde(default)]
    not_before_ms: u64,
}

impl DeclarationRecord {
    fn declared(&self) -> StoreInterval {
        StoreInterval {
            not_before_ms: self.not_before_ms.min(self.store_ms),
            not_after_ms: self.store_ms,
        }
    }
}

/// Synchronizes the declarations with the store whenever they change, until the process exits.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let mut recorded = BTreeSet::new();
    let mut failures = 0;
    let mut store_era = shared.store_era.subscribe();
    loop {
        tokio::select! {
            () = shared.versions_changed.notified() => {}
            // The rows may be missing in the copy that the store has returned from.
            Ok(()) = store_era.changed() => recorded.clear(),
        }
        match sync_with_store(&shared, &mut recorded).await {
            Ok(()) => failures = 0,
            Err(err) => {
                shared.state().declaration_times_read = true;
                warn!(shared.log, "declarations not recorded"; "error" => err.to_string());
                failures += 1;
                tokio::time::sleep(fleet::retry_backoff(failures, rand::random())).await;
                shared.versions_changed.notify_one();
            }
        }
    }
}

async fn sync_with_store(
    shared: &EntryShared,
    recorded: &mut BTreeSet<(String, u64)>,
) -> Result<(), CallError> {
    let has_undated = shared.state().versions.all().any(|it| !it.2.is_dated());
    if has_undated {
        load_recorded(shared, recorded).await?;
    }
    shared.state().declaration_times_read = true;
    shared.weights_declared.notify_one();
    for record in unrecorded(shared, recorded) {
        let row = RowWrite {
            table: DECLARATION_TABLE.to_owned(),
            key: format!("{}/{}", record.model, record.version),
            value: Some(serde_json::to_vec(&record).expect("encoding a declaration cannot fail")),
        };
        // The row has the time of the entry that received the declaration first. Overwriting it with a later time would
        // let replicas serve outdated weights for longer.
        let is_new = shared.store.write_if_absent(&row).await?;
        info!(
            shared.log, "declaration recorded";
            "model" => &record.model,
            "version" => record.version,
            "first" => is_new,
        );
        recorded.insert((record.model, record.version));
    }
    Ok(())
}

/// Returns the declarations that this entry has to record. One entry of each zone records them.
fn unrecorded(shared: &EntryShared, recorded: &BTreeSet<(String, u64)>) -> Vec<DeclarationRecord> {
    let settings = &shared.settings;
    let state = shared.state();
    let mut alive_peers = state.peers.alive(Instant::now());
    if alive_peers.any(|it| it.zone == settings.zone && it.node < settings.node) {
        return Vec::new();
    }
    let dated = state.versions.all().filter(|it| it.2.is_dated());
    let records = dated.map(|(model, version, declared)| DeclarationRecord {
        model: model.to_owned(),
        version,
        store_ms: declared.not_after_ms,
        not_before_ms: declared.not_before_ms,
    });
    records
        .filter(|it| !recorded.contains(&(it.model.clone(), it.version)))
        .collect()
}

async fn load_recorded(
    shared: &EntryShared,
    recorded: &mut BTreeSet<(String, u64)>,
) -> Result<(), CallError> {
    let sent = boot_clock::now();
    let page = shared.store.read_table(DECLARATION_TABLE).await?;
    shared.record_page_time(&page, sent);
    for row in page.rows {
        let Some(bytes) = row.value else {
            continue;
        };
        let record: DeclarationRecord = match serde_json::from_slice(&bytes) {
            Ok(it) => it,
            Err(err) => {
                shared.state().declaration_times_read = true;
                warn!(shared.log, "invalid record of a declaration skipped"; "key" => row.key, "error" => err.to_string());
                continue;
            }
        };
        let (model, version) = (&record.model, record.version);
        let source = DeclarationSource::Record;
        declared_versions::record(shared, model, version, record.declared(), source);
        recorded.insert((record.model, record.version));
    }
    Ok(())
}

/// Store table for the times of declarations, with a row of 100 bytes for each version.
const DECLARATION_TABLE: &str = "declarations";
