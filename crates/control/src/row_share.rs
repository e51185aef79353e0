//! Which rows of targets an entry tells another one.

use std::collections::BTreeMap;

use model::{FencingNumber, GateState, HostName, Incarnation, TargetRow, VersionDigest};

/// Load-only rows in one share, so that a busy fleet does not cost more bytes than a quiet one may.
const MAX_LOAD_ROWS: usize = 2;

/// Steps into which the limit of a gate is divided; a load within the same step is not told again.
const LOAD_STEPS: u64 = 8;

/// What one entry tells another about the targets that it hears itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowShare {
    /// Rows that changed since the last share that arrived.
    pub rows: Vec<TargetRow>,
    /// Hosts told before that this entry does not hear any more.
    pub gone: Vec<HostName>,
    /// Whether `rows` lists every target that the entry hears, so that any other is gone.
    pub complete: bool,
}

/// What a peer was told; the peer vouches for nothing that it has not been told.
#[derive(Clone, Debug, Default)]
pub struct PeerShare {
    told: Option<BTreeMap<HostName, ToldRow>>,
    turn: u64,
}

#[derive(Clone, Debug)]
struct ToldRow {
    state: RowState,
    load: RowLoad,
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

/// What of a row may reach a peer late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RowLoad {
    step: u64,
    revision: u64,
}

impl PeerShare {
    /// Returns what to tell the peer now about `rows`, the targets that this entry hears itself.
    pub fn next<'a>(&self, rows: impl Iterator<Item = &'a TargetRow> + Clone) -> RowShare {
        let Some(told) = &self.told else {
            return RowShare {
                rows: rows.cloned().collect(),
                gone: Vec::new(),
                complete: true,
            };
        };
        let mut changed = Vec::new();
        let mut load_only = Vec::new();
        for row in rows.clone() {
            match told.get(&row.host) {
                Some(it) if it.state == row_state(row) && it.load == row_load(row) => {}
                Some(it) if it.state == row_state(row) => load_only.push((it.turn, row)),
                _ => changed.push(row.clone()),
            }
        }
        load_only.sort_by_key(|it| it.0);
        let load_only = load_only.into_iter().take(MAX_LOAD_ROWS);
        changed.extend(load_only.map(|it| it.1.clone()));
        let heard = |host: &HostName| rows.clone().any(|it| it.host == *host);
        RowShare {
            rows: changed,
            gone: told.keys().filter(|it| !heard(it)).cloned().collect(),
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
    pub fn acknowledge(&mut self, share: &RowShare) {
        self.turn += 1;
        if share.complete {
            self.told = None;
        }
        let told = self.told.get_or_insert_default();
        for host in &share.gone {
            told.remove(host);
        }
        for row in &share.rows {
            let it = ToldRow {
                state: row_state(row),
                load: row_load(row),
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

fn row_load(row: &TargetRow) -> RowLoad {
    let limit = u64::from(row.load.limit.max(1));
    RowLoad {
        step: u64::from(row.load.in_flight) * LOAD_STEPS / limit,
        revision: row.revision.0,
    }
}
