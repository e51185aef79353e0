//! The store of an emulation: rows, lives and calls that it holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::StorePosition;

/// A request for changes, to the store or to another entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedRequest {
    pub(crate) from: usize,
    /// Number of the call, by which an answer that is no longer awaited is dropped.
    pub(crate) call: u64,
    pub(crate) since: Option<StorePosition>,
    pub(crate) wait: Duration,
    /// When it arrived where it is held.
    pub(crate) arrived: Duration,
}

/// A version of a row.
#[derive(Clone, Debug)]
pub(crate) struct StoreRow {
    pub(crate) key: String,
    pub(crate) position: StorePosition,
    pub(crate) acked: Duration,
    pub(crate) value: Arc<Vec<u8>>,
}

/// Rows that the store sends.
#[derive(Debug)]
pub(crate) struct StorePage {
    pub(crate) rows: Vec<StoreRow>,
    pub(crate) position: StorePosition,
    pub(crate) is_snapshot: bool,
    /// Time on the store's clock.
    pub(crate) store_ms: u64,
}

/// All versions of all rows, and the calls that wait for the next one.
#[derive(Debug, Default)]
pub(crate) struct SimulatedStore {
    era: u64,
    version: u64,
    pub(crate) rows: Vec<StoreRow>,
    pub(crate) held: Vec<FeedRequest>,
    pub(crate) is_away: bool,
    /// Whether it lacks rows that the operator will write again.
    pub(crate) is_behind: bool,
}

impl SimulatedStore {
    pub(crate) fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.version)
    }

    pub(crate) fn write(&mut self, now: Duration, key: &str, value: Arc<Vec<u8>>) {
        self.version += 1;
        self.rows.push(StoreRow {
            key: key.to_owned(),
            position: self.position(),
            acked: now,
            value,
        });
    }

    /// Returns the changes after `since`, or the newest version of each row.
    pub(crate) fn page(&self, since: Option<StorePosition>, now: Duration) -> StorePage {
        let rows = match since {
            Some(since) => {
                let changes = self.rows.iter().filter(|it| it.position > since);
                changes.cloned().collect()
            }
            None => {
                let newest: BTreeMap<_, _> = self.rows.iter().map(|it| (&it.key, it)).collect();
                newest.into_values().cloned().collect()
            }
        };
        StorePage {
            rows,
            position: self.position(),
            is_snapshot: since.is_none(),
            store_ms: u64::try_from((CLOCK_START + now).as_millis()).unwrap_or_default(),
        }
    }

    /// Begins a new life from a copy as of `copied`; returns what it lacks.
    pub(crate) fn return_from_copy(&mut self, copied: Duration) -> Vec<StoreRow> {
        let kept = self.rows.partition_point(|it| it.acked <= copied);
        let lost = self.rows.split_off(kept);
        self.era += 1;
        // Rows keep their versions, and a reader takes them for versions of the life in which it reads them.
        for row in &mut self.rows {
            row.position = StorePosition::new(self.era, row.position.version_in_era());
        }
        self.version = self
            .rows
            .last()
            .map_or(0, |it| it.position.version_in_era());
        lost
    }

    /// Removes a call that is held, if it still is.
    pub(crate) fn release(held: &mut Vec<FeedRequest>, request: &FeedRequest) -> bool {
        let is_same = |it: &FeedRequest| (it.from, it.call) == (request.from, request.call);
        let index = held.iter().position(is_same);
        index.map(|it| held.remove(it)).is_some()
    }
}

/// Time on the store's clock at the start of an emulation.
const CLOCK_START: Duration = Duration::from_secs(77_000);
