//! Local copy of a store table, from which other processes of the zone can be updated.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::row_patch::RowPatch;

/// A store table that all entries keep a copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FeedTable {
    /// The operator's rows: the configuration and the declared versions of weights.
    Operator,
    /// The registrations of replicas.
    Replicas,
}

/// An update or a removal of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedChange {
    /// Key within the table.
    pub key: String,
    /// Store version at which the row changed.
    pub version: u64,
    /// Content, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Time at which the change became known, or `None` if the change may be arbitrarily old.
    pub known_since: Option<Instant>,
    /// Whether the change was found after an outage of the store, during which registrations can expire by mistake.
    pub after_outage: bool,
}

/// A change in the form in which one entry sends it to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRow {
    key: String,
    version: u64,
    content: RowContent,
    known_age_ms: Option<u32>,
    after_outage: bool,
}

/// Content of a row that is sent to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RowContent {
    Removed,
    Value(Vec<u8>),
    /// Differences that lead to the value one after the other, from the value that the receiver has.
    Patches(Vec<RowPatch>),
}

/// A response contains differences from values that the receiver does not have, so it must request all rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PatchMismatch;

impl fmt::Display for PatchMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("differences do not fit the copy")
    }
}

impl std::error::Error for PatchMismatch {}

/// Response of an entry to a process that follows a table through it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedResponse {
    /// Store version up to which the responding entry has read the table.
    pub version: u64,
    /// Time since the store confirmed that this version is current, in milliseconds.
    pub age_ms: u32,
    /// Whether the responding entry reads the store itself.
    pub is_reader: bool,
    /// Whether `rows` is the complete table, so that rows missing from it were removed.
    pub is_snapshot: bool,
    /// Changes after the requested version, or all rows.
    pub rows: Vec<FeedRow>,
}

/// The rows of one table and the store version up to which it was read.
#[derive(Clone, Debug, Default)]
pub struct FeedMirror {
    version: Option<u64>,
    /// Version since which removals are recorded: the version of the first snapshot.
    removals_since: Option<u64>,
    confirmed_at: Option<Duration>,
    rows: BTreeMap<String, MirrorRow>,
    /// Whether a response did not fit the copy, so that all rows must be requested.
    is_unfit: bool,
    /// Whether the last update came from the store rather than from another entry.
    is_reader: bool,
}

#[derive(Clone, Debug)]
struct MirrorRow {
    version: u64,
    value: Option<Vec<u8>>,
    known_since: Option<Instant>,
    after_outage: bool,
    /// Differences between the last values, each with the version of the value that it starts from.
    patches: VecDeque<(u64, RowPatch)>,
}

impl MirrorRow {
    /// Returns the content for a receiver that has the rows as of version `since`: differences from its value if they
    /// are known, or the whole value.
    fn content_since(&self, since: Option<u64>) -> RowContent {
        let Some(value) = &self.value else {
            return RowContent::Removed;
        };
        let newest = |since: u64| self.patches.iter().rposition(|it| it.0 <= since);
        match since.and_then(newest) {
            Some(first) => {
                let patches = self.patches.range(first..).map(|it| it.1.clone());
                RowContent::Patches(patches.collect())
            }
            None => RowContent::Value(value.clone()),
        }
    }

    /// Returns the differences that lead to `value`, which replaces the row.
    fn next_patches(&self, value: Option<&[u8]>) -> VecDeque<(u64, RowPatch)> {
        let (Some(old), Some(new)) = (&self.value, value) else {
            return VecDeque::new();
        };
        let is_large = old.len() >= MIN_PATCHED_BYTES;
        let patch = is_large.then(|| RowPatch::between(old, new)).flatten();
        let Some(patch) = patch else {
            return VecDeque::new();
        };
        let mut patches = self.patches.clone();
        if patches.len() == MAX_PATCHES {
            patches.pop_front();
        }
        patches.push_back((self.version, patch));
        patches
    }
}

impl FeedMirror {
    /// Returns the store version up to which the table was read, or `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the time since boot at which the store last confirmed that the copy is current.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Records that the copy was current at `since_boot`, by the store itself or by another entry.
    pub fn confirm(&mut self, since_boot: Duration, is_from_store: bool) {
        self.confirmed_at = self.confirmed_at.max(Some(since_boot));
        self.is_reader = is_from_store;
    }

    /// Applies all changes up to `version` and returns those newer than the copy, in order.
    pub fn apply_changes(&mut self, changes: Vec<FeedChange>, version: u64) -> Vec<FeedChange> {
        let mut applied = Vec::new();
        for change in changes {
            let existing = self.rows.get(&change.key);
            if existing.is_some_and(|it| it.version >= change.version) {
                continue;
            }
            let patches = existing.map(|it| it.next_patches(change.value.as_deref()));
            let row = MirrorRow {
                version: change.version,
                value: change.value.clone(),
                known_since: change.known_since,
                after_outage: change.after_outage,
                patches: patches.unwrap_or_default(),
            };
            self.rows.insert(change.key.clone(), row);
            applied.push(change);
        }
        self.version = self.version.max(Some(version));
        applied
    }

    /// Replaces the copy by a snapshot of the whole table as of `version`. Returns all its rows, and a removal for each
    /// row that it lacks.
    ///
    /// Unchanged rows are returned as well, because the caller may have dropped them in the meantime.
    pub fn apply_snapshot(
        &mut self,
        snapshot: Vec<FeedChange>,
        version: u64,
        after_outage: bool,
    ) -> Vec<FeedChange> {
        let is_missing = |key: &str| !snapshot.iter().any(|it| it.key == key);
        let removed = self.rows.iter().filter(|it| it.1.value.is_some());
        let removed = removed.filter(|it| is_missing(it.0)).map(|it| FeedChange {
            key: it.0.clone(),
            version,
            value: None,
            known_since: None,
            after_outage,
        });
        let removed: Vec<_> = removed.collect();
        let mut all = snapshot.clone();
        all.extend(removed.iter().cloned());
        self.apply_changes(snapshot, version);
        self.apply_changes(removed, version);
        self.removals_since.get_or_insert(version);
        all
    }

    /// Returns the rows that are not removed, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Returns the changes after version `since`, or `None` before the first read. `since_boot` is `now` as time since
    /// boot.
    ///
    /// All rows are returned if `since` is older than the first snapshot, because earlier removals are not recorded.
    pub fn response_since(
        &self,
        since: Option<u64>,
        now: Instant,
        since_boot: Duration,
    ) -> Option<FeedResponse> {
        let age = since_boot.saturating_sub(self.confirmed_at?).as_millis();
        let since = since.filter(|it| Some(*it) >= self.removals_since);
        let is_included =
            |row: &MirrorRow| since.map_or(row.value.is_some(), |it| row.version > it);
        let rows = self.rows.iter().filter(|it| is_included(it.1));
        let rows = rows.map(|(key, row)| FeedRow {
            key: key.clone(),
            version: row.version,
            content: row.content_since(since),
            known_age_ms: row.known_since.map(|it| {
                let age = now.saturating_duration_since(it).as_millis();
                u32::try_from(age).unwrap_or(u32::MAX)
            }),
            after_outage: row.after_outage,
        });
        Some(FeedResponse {
            version: self.version?,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            is_reader: self.is_reader,
            is_snapshot: since.is_none(),
            rows: rows.collect(),
        })
    }

    /// Returns the version after which to request changes from another entry, or `None` to request all rows.
    pub fn request_since(&self) -> Option<u64> {
        self.version.filter(|_| !self.is_unfit)
    }

    /// Applies the response of another entry; returns the new changes, or all rows if the response is a snapshot.
    ///
    /// # Errors
    ///
    /// [`PatchMismatch`] if the response cannot be applied; nothing has changed then, and the next request must be for
    /// [`Self::request_since`], which is for all rows.
    pub fn apply_response(
        &mut self,
        response: FeedResponse,
        now: Instant,
    ) -> Result<Vec<FeedChange>, PatchMismatch> {
        let changes = response.rows.into_iter();
        let changes = changes.map(|it| self.decode_row(it, now));
        let Some(changes) = changes.collect::<Option<Vec<_>>>() else {
            self.is_unfit = true;
            return Err(PatchMismatch);
        };
        if response.is_snapshot {
            self.is_unfit = false;
            Ok(self.apply_snapshot(changes, response.version, false))
        } else {
            Ok(self.apply_changes(changes, response.version))
        }
    }

    /// Converts a row to a change, with its age relative to `now`; returns `None` if it does not fit the copy.
    fn decode_row(&self, row: FeedRow, now: Instant) -> Option<FeedChange> {
        let value = match row.content {
            RowContent::Removed => None,
            RowContent::Value(value) => Some(value),
            RowContent::Patches(patches) => {
                let mut value = self.rows.get(&row.key)?.value.clone()?;
                for patch in &patches {
                    value = patch.apply(&value)?;
                }
                Some(value)
            }
        };
        let age = row.known_age_ms.map(|it| Duration::from_millis(it.into()));
        Some(FeedChange {
            key: row.key,
            version: row.version,
            value,
            known_since: age.and_then(|it| now.checked_sub(it)),
            after_outage: row.after_outage,
        })
    }
}

/// Size of a value in bytes from which on differences are sent instead of it.
const MIN_PATCHED_BYTES: usize = 4096;

/// Number of last values of a row from which differences are known; some seconds of a storm of changes.
const MAX_PATCHES: usize = 16;
