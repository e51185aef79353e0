//! Local copy of a store table, from which other processes of the zone can be updated.

use std::cell::OnceCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::packed_bytes::PackedBytes;
use crate::row_patch::RowPatch;
use crate::store_interval::StoreInterval;
use crate::store_position::StorePosition;
use crate::store_times::StoreTimes;

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
    /// Position at which the row changed.
    pub position: StorePosition,
    /// Content, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// When the change was committed.
    pub committed: StoreInterval,
    /// Whether the change was found after an outage of the store, during which registrations can expire by mistake.
    pub after_outage: bool,
    /// Whether the row may be older than what this process knew before the store returned from a copy.
    pub from_copy: bool,
}

/// A change in the form in which one entry sends it to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRow {
    key: String,
    position: StorePosition,
    content: RowContent,
    committed: StoreInterval,
    after_outage: bool,
    from_copy: bool,
}

/// Content of a row that is sent to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RowContent {
    Removed,
    Value(Vec<u8>),
    /// A large value.
    Packed(PackedBytes),
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
    /// Position up to which the responding entry has read the table.
    pub position: StorePosition,
    /// A time on the store's clock at which a copy up to this position was complete, or 0 if none is known.
    pub complete_ms: u64,
    /// Time since the store confirmed that this position is current, in milliseconds.
    pub age_ms: u32,
    /// Whether the responding entry reads the store itself.
    pub is_reader: bool,
    /// Times that the store's clock could show when the response was created, if known.
    pub store_time: Option<StoreInterval>,
    /// Time for which the request was held until then, in milliseconds, rounded down.
    pub held_ms: u32,
    /// Whether `rows` is the complete table, so that rows missing from it were removed.
    pub is_snapshot: bool,
    /// Changes after the requested version, or all rows.
    pub rows: Vec<FeedRow>,
}

/// The rows of one table and the position up to which it was read.
#[derive(Clone, Debug, Default)]
pub struct FeedMirror {
    position: Option<StorePosition>,
    /// Position since which removals are recorded: that of the first snapshot of an era.
    removals_since: Option<StorePosition>,
    confirmed_at: Option<Duration>,
    rows: BTreeMap<String, MirrorRow>,
    /// Whether a response did not fit the copy, so that all rows must be requested.
    is_unfit: bool,
    /// Whether the last update came from the store rather than from another entry.
    is_reader: bool,
}

#[derive(Clone, Debug)]
struct MirrorRow {
    position: StorePosition,
    value: Option<Vec<u8>>,
    committed: StoreInterval,
    after_outage: bool,
    from_copy: bool,
    /// The value as it is sent, once it has been.
    packed: OnceCell<PackedBytes>,
    /// The value before this one in the same era, if both are large, with its position.
    previous: Option<(StorePosition, Vec<u8>)>,
    /// The difference from the previous value, once it has been requested; `None` in it if that is not small.
    newest_patch: OnceCell<Option<RowPatch>>,
    /// Differences between the values before, each with the position of the value that it starts from.
    older_patches: VecDeque<(StorePosition, RowPatch)>,
}

/// How a response of the store continues the copy of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedContinuity {
    /// It belongs to the same life of the store, or is the first one.
    Same,
    /// The store has returned from an older copy since, so all rows must be read.
    NewLife,
    /// It comes from an earlier life of the store, so it says nothing.
    EarlierLife,
}

impl MirrorRow {
    /// Returns the row that `change` replaces `before` by.
    fn new(change: &FeedChange, before: Option<Self>) -> Self {
        let mut row = Self {
            position: change.position,
            value: change.value.clone(),
            committed: change.committed,
            after_outage: change.after_outage,
            from_copy: change.from_copy,
            packed: OnceCell::new(),
            previous: None,
            newest_patch: OnceCell::new(),
            older_patches: VecDeque::new(),
        };
        let same_era = before.filter(|it| it.position.era() == change.position.era());
        let Some(mut before) = same_era else {
            return row;
        };
        // Differences lead from one value to the next only if each of them is known.
        let base = before.previous.take();
        if let (Some((base, _)), Some(Some(patch))) = (base, before.newest_patch.take()) {
            row.older_patches = before.older_patches;
            if row.older_patches.len() == MAX_PATCHES {
                row.older_patches.pop_front();
            }
            row.older_patches.push_back((base, patch));
        }
        let is_large = |it: &Vec<u8>| it.len() >= MIN_PATCHED_BYTES;
        row.previous = before
            .value
            .filter(is_large)
            .map(|it| (before.position, it));
        row
    }

    /// Returns the content for a receiver that has the rows as of `since`: differences from its value if they are known,
    /// or the whole value.
    fn content_since(&self, since: Option<StorePosition>) -> RowContent {
        let Some(value) = &self.value else {
            return RowContent::Removed;
        };
        let patches = since.and_then(|it| self.patches_since(it, value));
        patches.map_or_else(|| self.whole(value), RowContent::Patches)
    }

    fn patches_since(&self, since: StorePosition, value: &[u8]) -> Option<Vec<RowPatch>> {
        let (base, old) = self.previous.as_ref()?;
        let older = if *base <= since {
            Vec::new()
        } else {
            let first = self.older_patches.iter().rposition(|it| it.0 <= since)?;
            let older = self.older_patches.range(first..);
            older.map(|it| it.1.clone()).collect()
        };
        let newest = self
            .newest_patch
            .get_or_init(|| RowPatch::between(old, value));
        let newest = newest.clone()?;
        Some(older.into_iter().chain([newest]).collect())
    }

    fn whole(&self, value: &[u8]) -> RowContent {
        if value.len() < MIN_PATCHED_BYTES {
            return RowContent::Value(value.to_vec());
        }
        if let Some(packed) = self.packed.get() {
            return RowContent::Packed(packed.clone());
        }
        match PackedBytes::pack(value) {
            Some(packed) => RowContent::Packed(self.packed.get_or_init(|| packed).clone()),
            None => RowContent::Value(value.to_vec()),
        }
    }
}

impl FeedMirror {
    /// Returns the position up to which the table was read, or `None` before the first read.
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Returns how a response of `era` continues the copy.
    pub fn continuity(&self, era: u64) -> FeedContinuity {
        match self.position.map(|it| era.cmp(&it.era())) {
            None | Some(Ordering::Equal) => FeedContinuity::Same,
            Some(Ordering::Greater) => FeedContinuity::NewLife,
            Some(Ordering::Less) => FeedContinuity::EarlierLife,
        }
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

    /// Applies all changes of the same era up to `position` and returns those newer than the copy, in order.
    pub fn apply_changes(
        &mut self,
        changes: Vec<FeedChange>,
        position: StorePosition,
    ) -> Vec<FeedChange> {
        let mut applied = Vec::new();
        for change in changes {
            let existing = self.rows.get(&change.key);
            if existing.is_some_and(|it| it.position >= change.position) {
                continue;
            }
            let before = self.rows.remove(&change.key);
            let row = MirrorRow::new(&change, before);
            self.rows.insert(change.key.clone(), row);
            applied.push(change);
        }
        self.position = self.position.max(Some(position));
        applied
    }

    /// Replaces the copy by a snapshot of the whole table as of `position`. Returns all its rows that are not older than
    /// the copy, and a removal for each row that it lacks.
    ///
    /// Unchanged rows are returned as well, because the caller may have dropped them in the meantime. In a new era, rows may
    /// be missing because the store has not received them again yet, as after an outage.
    pub fn apply_snapshot(
        &mut self,
        mut snapshot: Vec<FeedChange>,
        position: StorePosition,
        after_outage: bool,
    ) -> Vec<FeedChange> {
        let is_new_life = self.continuity(position.era()) == FeedContinuity::NewLife;
        let is_missing = |key: &str| !snapshot.iter().any(|it| it.key == key);
        let rows = self.rows.iter();
        let removed = rows.filter(|(key, row)| {
            row.value.is_some() && row.position <= position && is_missing(key)
        });
        let removed = removed.map(|it| FeedChange {
            key: it.0.clone(),
            position,
            value: None,
            committed: StoreInterval::UNKNOWN,
            after_outage: after_outage || is_new_life,
            from_copy: is_new_life,
        });
        let removed: Vec<_> = removed.collect();
        snapshot.retain_mut(|it| {
            let existing = self.rows.get(&it.key);
            let known = existing.filter(|row| row.position == it.position);
            it.from_copy |= known.map_or(is_new_life, |row| row.from_copy);
            // What is read again was committed when it was first read.
            let unchanged = existing.filter(|row| row.value == it.value);
            if let Some(row) = unchanged {
                it.committed = row.committed;
            }
            existing.is_none_or(|row| row.position <= it.position)
        });
        let mut all = snapshot.clone();
        all.extend(removed.iter().cloned());
        self.apply_changes(snapshot, position);
        self.apply_changes(removed, position);
        if is_new_life || self.removals_since.is_none() {
            self.removals_since = Some(position);
        }
        all
    }

    /// Returns the rows that are not removed, ordered by key.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Returns the changes after `since`, or `None` before the first read. `times` are read at `since_boot`, after the
    /// request was held for `held`.
    ///
    /// All rows are returned if `since` is older than the first snapshot of the era, because earlier removals are not
    /// recorded.
    pub fn response_since(
        &self,
        since: Option<StorePosition>,
        held: Duration,
        times: &StoreTimes,
        since_boot: Duration,
    ) -> Option<FeedResponse> {
        let age = since_boot.saturating_sub(self.confirmed_at?).as_millis();
        let since = since.filter(|it| Some(*it) >= self.removals_since);
        let is_included =
            |row: &MirrorRow| since.map_or(row.value.is_some(), |it| row.position > it);
        let rows = self.rows.iter().filter(|it| is_included(it.1));
        let rows = rows.map(|(key, row)| FeedRow {
            key: key.clone(),
            position: row.position,
            content: row.content_since(since),
            committed: row.committed,
            after_outage: row.after_outage,
            from_copy: row.from_copy,
        });
        let position = self.position?;
        Some(FeedResponse {
            position,
            complete_ms: times.complete_ms(position),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            is_reader: self.is_reader,
            store_time: times.clock().interval(since_boot),
            held_ms: u32::try_from(held.as_millis()).unwrap_or(u32::MAX),
            is_snapshot: since.is_none(),
            rows: rows.collect(),
        })
    }

    /// Returns the position after which to request changes from another entry, or `None` to request all rows.
    pub fn request_since(&self) -> Option<StorePosition> {
        self.position.filter(|_| !self.is_unfit)
    }

    /// Applies the response of another entry; returns the new changes, or all rows if the response is a snapshot. A response
    /// of an earlier era changes nothing.
    ///
    /// # Errors
    ///
    /// [`PatchMismatch`] if the response cannot be applied; nothing has changed then, and the next request must be for
    /// [`Self::request_since`], which is for all rows.
    pub fn apply_response(
        &mut self,
        response: FeedResponse,
    ) -> Result<Vec<FeedChange>, PatchMismatch> {
        if self.continuity(response.position.era()) == FeedContinuity::EarlierLife {
            return Ok(Vec::new());
        }
        let changes = response.rows.into_iter();
        let changes = changes.map(|it| self.decode_row(it));
        let Some(changes) = changes.collect::<Option<Vec<_>>>() else {
            self.is_unfit = true;
            return Err(PatchMismatch);
        };
        if response.is_snapshot {
            self.is_unfit = false;
            Ok(self.apply_snapshot(changes, response.position, false))
        } else {
            Ok(self.apply_changes(changes, response.position))
        }
    }

    /// Converts a row to a change; returns `None` if it does not fit the copy.
    fn decode_row(&self, row: FeedRow) -> Option<FeedChange> {
        let value = match row.content {
            RowContent::Removed => None,
            RowContent::Value(value) => Some(value),
            RowContent::Packed(packed) => Some(packed.unpack()?),
            RowContent::Patches(patches) => {
                let mut value = self.rows.get(&row.key)?.value.clone()?;
                for patch in &patches {
                    value = patch.apply(&value)?;
                }
                Some(value)
            }
        };
        Some(FeedChange {
            key: row.key,
            position: row.position,
            value,
            committed: row.committed,
            after_outage: row.after_outage,
            from_copy: row.from_copy,
        })
    }
}

/// Size of a value in bytes from which on differences are sent instead of it, and a whole one is compressed.
const MIN_PATCHED_BYTES: usize = 4096;

/// Number of last values of a row from which differences are known; some seconds of a storm of changes.
const MAX_PATCHES: usize = 16;
