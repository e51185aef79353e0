//! Records declared versions of weights from all sources, and logs when one becomes known and when its time changes.

use fleet::{DeclarationChange, StoreInterval};
use relay::boot_clock;
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::stream_segment::millis;

/// What told this entry of a declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeclarationSource {
    /// The operator's row, read from the store or from the copy of another entry.
    Row,
    /// A heartbeat of an entry of the zone.
    Entry,
    /// A report of another zone.
    Zone,
    /// The record of its time in the store.
    Record,
}

impl DeclarationSource {
    /// Returns the name of the source in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Row => "row",
            Self::Entry => "entry",
            Self::Zone => "zone",
            Self::Record => "record",
        }
    }
}

/// Records that `version` of `model` was declared at some time in `declared`, and starts what an unknown version requires.
pub(crate) fn record(
    shared: &EntryShared,
    model: &str,
    version: u64,
    declared: StoreInterval,
    source: DeclarationSource,
) {
    let mut state = shared.state();
    let change = state.versions.declare(model, version, declared);
    let after = state.versions.declared(model, version).unwrap_or(declared);
    let latest_ms = state.store_times.clock().latest_ms(boot_clock::now());
    drop(state);
    if change != DeclarationChange::None {
        shared.switches_changed.send_replace(());
    }
    let age_max_ms = latest_ms.and_then(|it| after.max_age(it)).map(millis);
    let width_ms = after.width().map(millis);
    match change {
        DeclarationChange::New => {
            notify(shared, source);
            if let Some(width) = after.width() {
                let widths = &shared.metrics.declaration_width;
                let histogram = widths.with_label_values(&[source.label()]);
                histogram.observe(width.as_secs_f64());
            }
            info!(
                shared.log, "weights declared";
                "model" => model,
                "version" => version,
                "source" => source.label(),
                "not_before_ms" => after.not_before_ms,
                "width_ms" => width_ms,
                "age_max_ms" => age_max_ms,
            );
        }
        DeclarationChange::Narrowed(before) => {
            let later_ms = after.not_before_ms.saturating_sub(before.not_before_ms);
            if later_ms > 0 && !before.is_dated() {
                shared.versions_changed.notify_one();
            }
            if later_ms >= MIN_LOGGED_CORRECTION_MS {
                info!(
                    shared.log, "time of a declaration narrowed";
                    "model" => model,
                    "version" => version,
                    "source" => source.label(),
                    "later_ms" => before.is_dated().then_some(later_ms),
                    "width_ms" => width_ms,
                    "age_max_ms" => age_max_ms,
                );
            }
        }
        DeclarationChange::Contradicted(before) => {
            warn!(
                shared.log, "contradictory times of a declaration";
                "model" => model,
                "version" => version,
                "source" => source.label(),
                "known_from_ms" => before.not_before_ms,
                "known_to_ms" => before.not_after_ms,
                "from_ms" => declared.not_before_ms,
                "to_ms" => declared.not_after_ms,
                "kept_from_ms" => after.not_before_ms,
            );
        }
        DeclarationChange::None => {}
    }
}

/// Wakes the tasks that pass a new declaration on.
fn notify(shared: &EntryShared, source: DeclarationSource) {
    shared.weights_declared.notify_one();
    shared.versions_changed.notify_one();
    // What an entry of the zone has sent was sent to all of them, and likewise for another zone.
    if source != DeclarationSource::Entry {
        shared.urgent_change.notify_one();
    }
    if source != DeclarationSource::Zone {
        shared.urgent_report.notify_one();
    }
}

/// Smallest change of the earliest time of a declaration that is logged.
const MIN_LOGGED_CORRECTION_MS: u64 = 10;
