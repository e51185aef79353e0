//! A copy of a table of the store, from which the entries of a zone bring each other up to date.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// A table of the store that all entries follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FeedTable {
    /// The operator's rows: the configuration and the declared weights.
    Operator,
    /// The replicas' entries.
    Replicas,
}

/// A row that has changed, or the news that it is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedChange {
    /// Key within the table.
    pub key: String,
    /// Version of the store at which the row changed.
    pub version: u64,
    /// Content, or `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// When the change became known, or `None` where it may be old.
    pub known: Option<Instant>,
    /// Whether it was found when the store came back after an outage, in which entries lapse.
    pub after_outage: bool,
}

/// A change as one entry tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRow {
    key: String,
    version: u64,
    value: Option<Vec<u8>>,
    known_age_ms: Option<u32>,
    after_outage: bool,
}

/// What an entry answers to another one that follows a table through it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAnswer {
    /// Version of the store up to which the answering entry has followed the table.
    pub version: u64,
    /// Time since the store confirmed that, in milliseconds.
    pub age_ms: u32,
    /// Whether these are all rows, so that those that are missing are gone.
    pub is_whole: bool,
    /// Changes after the version that was asked for, or all rows.
    pub rows: Vec<FeedRow>,
}

/// The rows of one table and how far the table was followed.
#[derive(Clone, Debug, Default)]
pub struct FeedMirror {
    version: Option<u64>,
    /// Version since which removals are known: that of the first reading.
    removals_since: Option<u64>,
    confirmed: Option<Duration>,
    rows: BTreeMap<String, MirrorRow>,
}

#[derive(Clone, Debug)]
struct MirrorRow {
    version: u64,
    value: Option<Vec<u8>>,
    known: Option<Instant>,
    after_outage: bool,
}

impl FeedRow {
    /// Returns the change as it is known here at `now`.
    fn into_change(self, now: Instant) -> FeedChange {
        let age = self.known_age_ms.map(|it| Duration::from_millis(it.into()));
        FeedChange {
            key: self.key,
            version: self.version,
            value: self.value,
            known: age.and_then(|it| now.checked_sub(it)),
            after_outage: self.after_outage,
        }
    }
}

impl FeedMirror {
    /// Returns the version of the store up to which the table was followed, or `None` before the first reading.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the moment at which the store last confirmed the copy, counted from the start of the machine.
    pub fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Notes that the copy was complete at `moment`.
    pub fn confirm(&mut self, moment: Duration) {
        self.confirmed = self.confirmed.max(Some(moment));
    }

    /// Takes in changes up to `version`; returns those that are news, in order.
    pub fn change(&mut self, changes: Vec<FeedChange>, version: u64) -> Vec<FeedChange> {
        let mut news = Vec::new();
        for change in changes {
            let known = self.rows.get(&change.key);
            if known.is_some_and(|it| it.version >= change.version) {
                continue;
            }
            let row = MirrorRow {
                version: change.version,
                value: change.value.clone(),
                known: change.known,
                after_outage: change.after_outage,
            };
            self.rows.insert(change.key.clone(), row);
            news.push(change);
        }
        self.version = self.version.max(Some(version));
        news
    }

    /// Takes in a reading of the whole table as of `version`; returns all its rows and the removal of those that it
    /// lacks.
    ///
    /// Rows that were known before are returned as well: who uses them may have taken them for lost meanwhile.
    pub fn replace(
        &mut self,
        listed: Vec<FeedChange>,
        version: u64,
        after_outage: bool,
    ) -> Vec<FeedChange> {
        let is_missing = |key: &str| !listed.iter().any(|it| it.key == key);
        let removed = self.rows.iter().filter(|it| it.1.value.is_some());
        let removed = removed.filter(|it| is_missing(it.0)).map(|it| FeedChange {
            key: it.0.clone(),
            version,
            value: None,
            known: None,
            after_outage,
        });
        let removed: Vec<_> = removed.collect();
        let mut all = listed.clone();
        all.extend(removed.iter().cloned());
        self.change(listed, version);
        self.change(removed, version);
        self.removals_since.get_or_insert(version);
        all
    }

    /// Returns the rows that are there, by key.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let rows = self.rows.iter();
        rows.filter_map(|(key, row)| Some((key.as_str(), row.value.as_deref()?)))
    }

    /// Returns what an entry that has followed the table up to `since` needs at `now`, or `None` before the first reading;
    /// `moment` is `now` counted from the start of the machine.
    ///
    /// All rows are returned where this copy does not reach back that far, since it does not know what was removed before.
    pub fn answer(&self, since: Option<u64>, now: Instant, moment: Duration) -> Option<FeedAnswer> {
        let age = moment.saturating_sub(self.confirmed?).as_millis();
        let since = since.filter(|it| Some(*it) >= self.removals_since);
        let is_wanted = |row: &MirrorRow| since.map_or(row.value.is_some(), |it| row.version > it);
        let rows = self.rows.iter().filter(|it| is_wanted(it.1));
        let rows = rows.map(|(key, row)| FeedRow {
            key: key.clone(),
            version: row.version,
            value: row.value.clone(),
            known_age_ms: row.known.map(|it| {
                let age = now.saturating_duration_since(it).as_millis();
                u32::try_from(age).unwrap_or(u32::MAX)
            }),
            after_outage: row.after_outage,
        });
        Some(FeedAnswer {
            version: self.version?,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            is_whole: since.is_none(),
            rows: rows.collect(),
        })
    }

    /// Takes in the answer of another entry; returns what is news, or all rows where the answer has all.
    pub fn take(&mut self, answer: FeedAnswer, now: Instant) -> Vec<FeedChange> {
        let changes = answer.rows.into_iter().map(|it| it.into_change(now));
        let changes = changes.collect();
        if answer.is_whole {
            self.replace(changes, answer.version, false)
        } else {
            self.change(changes, answer.version)
        }
    }
}
