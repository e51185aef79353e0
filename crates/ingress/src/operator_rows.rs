//! Applies the operator's rows: the configuration and the declared weights.

use std::sync::Arc;

use fleet::{FeedChange, StorePosition};
use platform::{CONFIG_KEY, EVACUATION_PREFIX, VERSION_PREFIX};
use slog::{info, warn};

use crate::declared_versions::{self, DeclarationSource};
use crate::entry_shared::EntryShared;
use crate::placement_guard;

/// Applies changed rows to the copy that was read up to `copy` before. Only the removal of an evacuation has an effect.
pub(crate) fn apply(shared: &EntryShared, changes: &[FeedChange], copy: Option<StorePosition>) {
    for row in changes {
        if let Some(zone) = row.key.strip_prefix(EVACUATION_PREFIX) {
            placement_guard::apply_evacuation(shared, zone, row);
            continue;
        }
        let Some(bytes) = &row.value else {
            continue;
        };
        if row.key == CONFIG_KEY {
            apply_config(shared, bytes, Some(row.position));
        } else if row.key.starts_with(VERSION_PREFIX) {
            apply_version(shared, bytes, row, copy);
        }
    }
}

/// Puts a configuration in force if it is newer. `position` is that of its row, or `None` if another entry has sent it.
pub(crate) fn apply_config(shared: &EntryShared, bytes: &[u8], position: Option<StorePosition>) {
    let table = match platform::decode_config(bytes) {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "invalid configuration rejected"; "error" => format!("{err:#}"));
            return;
        }
    };
    let mut state = shared.state();
    let current = state.routes.as_ref().map(|it| it.version());
    if !state.config_history.accepts(table.version(), bytes) {
        return;
    }
    info!(
        shared.log, "configuration in force";
        "version" => table.version(),
        "before" => current,
        "routes" => table.route_count(),
        "ranked_tenants" => table.keys().ranked_count(),
        "position" => position.map(|it| it.to_string()),
    );
    state.routes = Some(Arc::new(table));
    state.config_document = Some(bytes.into());
}

fn apply_version(
    shared: &EntryShared,
    bytes: &[u8],
    row: &FeedChange,
    copy: Option<StorePosition>,
) {
    let (model, version) = match platform::decode_declared_version(bytes) {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "invalid declaration of weights rejected"; "error" => format!("{err:#}"));
            return;
        }
    };
    let state = shared.state();
    // Responses to this entry about other positions may tell more of the time than those to the reader.
    let known_here = state.store_times.committed_between(row.position);
    let committed = row.committed.merge(known_here);
    let copy_complete_ms = state.store_times.complete_without(row.position, copy);
    let declared = state
        .versions
        .declared_by_row(&model, version, committed, copy_complete_ms);
    drop(state);
    let source = DeclarationSource::Row;
    declared_versions::record(shared, &model, version, declared, source);
}
