//! Directory of the entries that accept requests.

use std::time::Duration;

use serde_json::json;

use crate::control::ControlSnapshot;

/// Returns the response body of `GET /v1/entries`.
pub(crate) fn directory(snapshot: &ControlSnapshot, ttl: Duration) -> serde_json::Value {
    let others = snapshot.entries.values().map(|it| &it.row);
    let rows = others
        .chain(&snapshot.own)
        .filter(|it| it.ready && !it.leaving);
    let entries: Vec<_> = rows
        .map(|it| json!({ "address": it.callers, "zone": it.zone, "region": it.region, "weight": 1 }))
        .collect();
    json!({ "ttl_ms": ttl.as_millis() as u64, "entries": entries })
}
