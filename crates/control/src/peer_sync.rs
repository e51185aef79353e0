//! Which rows of targets an entry tells another one.

use std::collections::BTreeMap;

use model::{
    ConfigRevision, FencingNumber, GateState, HostName, HostRevision, Incarnation, TargetRow,
    VersionDigest,
};

/// Load-only rows in one share, so that a busy fleet does not cost more bytes than a quiet one may.
const MAX_LOAD_ROWS: usize = 2;

/// Steps into which the limit of a gate is divided; a load within the same step is not told again.
const LOAD_STEPS: u64 = 8;

/// What one entry tells another about the targets that it hears itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetUpdate {
    /// Rows that changed since the last share that arrived.
    pub rows: Vec<TargetRow>,
    /// Revisions in force on hosts of which nothing else has to be told.
    pub revisions: Vec<HostRevision>,
    /// Hosts told before that this entry does not hear any more.
    pub removed: Vec<HostName>,
    /// Whether `rows` lists every target that the entry hears, so that any other is gone.
    pub complete: bool,
}

/// What a peer was told; the peer vouches for nothing that it has not been told.
#[derive(Clone, Debug, Default)]
pub struct PeerSync {
    told: Option<BTreeMap<HostName, ToldRow>>,
    turn: u64,
}

#[derive(Clone, Debug)]
struct ToldRow {
    state: RowState,
    load_step: u64,
    revision: ConfigRevision,
    turn: u64,
}

/// What of a row every peer has to know.
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
    /// Returns what to tell the peer now about `rows`, the targets that this entry hears itself.
    pub fn next_update<'a>(
        &self,
        rows: impl Iterator<Item = &'a TargetRow> + Clone,
    ) -> TargetUpdate {
        let Some(told) = &self.told else {
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
            let Some(it) = told.get(&row.host).filter(|it| it.state == row_state(row)) else {
                changed.push(row.clone());
                continue;
            };
            if it.load_step != load_step(row) {
                load_only.push((it.turn, row));
            }
            if it.revision != row.revision {
                revisions.push(HostRevision {
                    host: row.host.clone(),
                    incarnation: row.incarnation,
                    revision: row.revision,
                });
            }
        }
        load_only.sort_by_key(|it| it.0);
        let load_only = load_only.into_iter().take(MAX_LOAD_ROWS);
        changed.extend(load_only.map(|it| it.1.clone()));
        let heard = |host: &HostName| rows.clone().any(|it| it.host == *host);
        TargetUpdate {
            rows: changed,
            revisions,
            removed: told.keys().filter(|it| !heard(it)).cloned().collect(),
            complete: false,
        }
    }

    /// Tells whether the peer should hear now and not at the next exchange that is due anyway.
    pub fn is_urgent<'a>(&self, mut rows: impl Iterator<Item = &'a TargetRow>) -> bool {
        let Some(told) = &self.told else {
            return true;
        };
        rows.any(|row| {
            let same = |it: &ToldRow| it.state == row_state(row);
            !told.get(&row.host).is_some_and(same)
        })
    }

    /// Notes that `share` has arrived.
    pub fn acknowledge(&mut self, share: &TargetUpdate) {
        self.turn += 1;
        if share.complete {
            self.told = None;
        }
        let told = self.told.get_or_insert_default();
        for host in &share.removed {
            told.remove(host);
        }
        for it in &share.revisions {
            if let Some(row) = told.get_mut(&it.host) {
                row.revision = it.revision;
            }
        }
        for row in &share.rows {
            let it = ToldRow {
                state: row_state(row),
                load_step: load_step(row),
                revision: row.revision,
                turn: self.turn,
            };
            told.insert(row.host.clone(), it);
        }
    }

    /// Notes that a share may not have arrived, or that the peer may have been replaced: the next
    /// one is complete.
    pub fn reset(&mut self) {
        self.told = None;
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

fn load_step(row: &TargetRow) -> u64 {
    let limit = u64::from(row.load.limit.max(1));
    u64::from(row.load.in_flight) * LOAD_STEPS / limit
}
