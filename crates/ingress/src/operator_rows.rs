//! Applies the operator's rows: the configuration and the declared weights.

use std::sync::Arc;
use std::time::Instant;

use fleet::{FeedChange, StorePosition};
use platform::{CONFIG_KEY, VERSION_PREFIX};
use slog::{info, warn};

use crate::entry_shared::EntryShared;

/// Applies changed rows. Removed rows are ignored.
pub(crate) fn apply(shared: &EntryShared, changes: &[FeedChange]) {
    for row in changes {
        let Some(bytes) = &row.value else {
            continue;
        };
        if row.key == CONFIG_KEY {
            apply_config(shared, bytes, row.position);
        } else if row.key.starts_with(VERSION_PREFIX) {
            apply_version(shared, bytes, row.known_since);
        }
    }
}

fn apply_config(shared: &EntryShared, bytes: &[u8], position: StorePosition) {
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
        "position" => position.to_string(),
    );
    state.routes = Some(Arc::new(table));
}

fn apply_version(shared: &EntryShared, bytes: &[u8], known_since: Option<Instant>) {
    let (model, version) = match platform::decode_declared_version(bytes) {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "invalid declaration of weights rejected"; "error" => format!("{err:#}"));
            return;
        }
    };
    if shared
        .state()
        .versions
        .declare(&model, version, known_since)
    {
        shared.weights_declared.notify_one();
        shared.versions_changed.notify_one();
        info!(shared.log, "weights declared"; "model" => model, "version" => version, "time_known" => known_since.is_some());
    }
}
