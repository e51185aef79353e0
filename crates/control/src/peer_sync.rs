//! Incremental exchange of target rows between entries.

use std::collections::BTreeMap;

use model::{
    ConfigRevision, FencingNumber, GateState, HostName, HostRevision, Incarnation, TargetRow,
    VersionDigest,
};

/// Maximum number of rows in one update that are sent only because their load changed, so that the
/// traffic of a busy fleet stays within the budget of an idle one.
const MAX_LOAD_ROWS: usize = 2;

/// Number of levels into which a gate's concurrency limit is divided. A load that stays within its
/// level is not sent again.
const LOAD_LEVELS: u64 = 8;

/// An update that one entry sends another about the targets whose heartbeats it receives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetUpdate {
    /// Rows that changed since the last acknowledged update.
    pub rows: Vec<TargetRow>,
    /// Configuration revisions in force on hosts whose rows did not change otherwise.
    pub revisions: Vec<HostRevision>,
    /// Hosts that an earlier update contained and whose heartbeats no longer reach this entry.
    pub removed: Vec<HostName>,
    /// Whether `rows` lists every target whose heartbeats the sender receives. The receiver then
    /// removes the sender's reports about all other targets.
    pub complete: bool,
}

/// The rows that a peer has acknowledged, from which the next update is computed.
///
/// A peer counts a target as reported by this entry only if an update contained it, so every other target
/// must still be sent.
#[derive(Clone, Debug, Default)]
pub struct PeerSync {
    /// `None` makes the next update a complete one.
    acknowledged: Option<BTreeMap<HostName, AcknowledgedRow>>,
    /// Number of acknowledged updates.
    update_count: u64,
}

/// The state of a row as the peer last acknowledged it.
#[derive(Clone, Debug)]
struct AcknowledgedRow {
    state: RowState,
    load_level: u64,
    revision: ConfigRevision,
    /// The value of `update_count` when the row was acknowledged.
    acknowledged_in: u64,
}

/// The fields of a row whose changes are sent to every peer without delay.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RowState {
    incarnation: Incarnation,
    state: GateState,
    serving: Option<VersionDigest>,
    fetched: Option<(VersionDigest, bool)>,
    fencing: FencingNumber,
    overloaded: bool,
}

impl PeerSync {
    /// Computes the update to send now. `rows` are the targets whose heartbeats this entry receives.
    pub fn next_update<'a>(
        &self,
        rows: impl Iterator<Item = &'a TargetRow> + Clone,
    ) -> TargetUpdate {
        let Some(acknowledged) = &self.acknowledged else {
            return TargetUpdate {
                rows: rows.cloned().collect(),
                complete: true,
                ..TargetUpdate::default()
            };
        };
        let mut changed = Vec::new();
        let mut load_only = Vec::new();
        let mut revisions = Vec::new();
        for row in rows.clone() {
            let Some(it) = acknowledged
                .get(&row.host)
                .filter(|it| it.state == row_state(row))
            else {
                changed.push(row.clone());
                continue;
            };
            if it.load_level != load_level(row) {
                load_only.push((it.acknowledged_in, row));
            }
            if it.revision != row.revision {
                revisions.push(HostRevision {
                    host: row.host.clone(),
                    incarnation: row.incarnation,
                    revision: row.revision,
                });
            }
        }
        // The rows whose load was sent longest ago come first.
        load_only.sort_by_key(|it| it.0);
        let load_only = load_only.into_iter().take(MAX_LOAD_ROWS);
        changed.extend(load_only.map(|it| it.1.clone()));
        let is_present = |host: &HostName| rows.clone().any(|it| it.host == *host);
        TargetUpdate {
            rows: changed,
            revisions,
            removed: acknowledged
                .keys()
                .filter(|it| !is_present(it))
                .cloned()
                .collect(),
            complete: false,
        }
    }

    /// Returns whether `rows` contains a change that must not wait for the next regular exchange.
    pub fn is_urgent<'a>(&self, mut rows: impl Iterator<Item = &'a TargetRow>) -> bool {
        let Some(acknowledged) = &self.acknowledged else {
            return true;
        };
        rows.any(|row| {
            let is_unchanged = |it: &AcknowledgedRow| it.state == row_state(row);
            !acknowledged.get(&row.host).is_some_and(is_unchanged)
        })
    }

    /// Records that the peer has received `update`.
    pub fn acknowledge(&mut self, update: &TargetUpdate) {
        self.update_count += 1;
        if update.complete {
            self.acknowledged = None;
        }
        let acknowledged = self.acknowledged.get_or_insert_default();
        for host in &update.removed {
            acknowledged.remove(host);
        }
        for it in &update.revisions {
            if let Some(row) = acknowledged.get_mut(&it.host) {
                row.revision = it.revision;
            }
        }
        for row in &update.rows {
            let it = AcknowledgedRow {
                state: row_state(row),
                load_level: load_level(row),
                revision: row.revision,
                acknowledged_in: self.update_count,
            };
            acknowledged.insert(row.host.clone(), it);
        }
    }

    /// Makes the next update a complete one, because an update may have been lost or the peer may
    /// have restarted.
    pub fn reset(&mut self) {
        self.acknowledged = None;
    }
}

fn row_state(row: &TargetRow) -> RowState {
    RowState {
        incarnation: row.incarnation,
        state: row.state,
        serving: row.serving,
        fetched: row.transfer.map(|it| (it.version, it.is_complete())),
        fencing: row.fencing,
        overloaded: row.load.overloaded_ms.is_some(),
    }
}

fn load_level(row: &TargetRow) -> u64 {
    let limit = u64::from(row.load.limit.max(1));
    u64::from(row.load.in_flight) * LOAD_LEVELS / limit
}
