//! An entry's membership view of the targets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{HostName, TargetRow};

use crate::peer_sync::TargetUpdate;

/// Time without a heartbeat after which an entry considers a target dead unless other entries report
/// it as alive.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// The newest row of a target and the evidence that it is alive.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The newest row.
    pub row: TargetRow,
    /// When a heartbeat or an update from an entry in `reported_by` last showed the target alive.
    pub last_seen: Instant,
    /// When this entry last received a heartbeat of the agent; `None` if none arrived within
    /// `HEARTBEAT_TIMEOUT`.
    pub last_heartbeat: Option<Instant>,
    /// Other entries that report receiving the agent's heartbeats.
    pub reported_by: BTreeSet<HostName>,
}

impl KnownTarget {
    /// Returns whether this entry receives the agent's heartbeats itself.
    pub fn is_direct(&self) -> bool {
        self.last_heartbeat.is_some()
    }
}

/// All targets that send heartbeats to this entry or that another entry reports as alive.
///
/// A target counts as alive while at least one entry receives its heartbeats. Each agent sends them
/// to two or three entries, so that one of these can fail. Entries report only targets whose
/// heartbeats they receive themselves; otherwise two entries could keep a dead target alive by
/// reporting it to each other.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    // `Arc` allows other threads to take snapshots without copying the rows.
    targets: BTreeMap<HostName, Arc<KnownTarget>>,
}

/// A host name under which two processes recently sent heartbeats to this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostConflict {
    /// The host name.
    pub host: HostName,
}

impl TargetView {
    /// Returns all targets by host name.
    pub fn targets(&self) -> &BTreeMap<HostName, Arc<KnownTarget>> {
        &self.targets
    }

    /// Applies a heartbeat. Returns a conflict if another process with the same host name also sent a
    /// heartbeat to this entry within `HEARTBEAT_TIMEOUT`.
    ///
    /// The row with the higher incarnation is kept, whichever arrives last.
    pub fn apply_heartbeat(&mut self, row: TargetRow, now: Instant) -> Option<HostConflict> {
        let host = row.host.clone();
        let known = self.targets.get(&host);
        let is_conflict =
            known.is_some_and(|it| it.row.incarnation != row.incarnation && it.is_direct());
        let is_stale = known.is_some_and(|it| it.row.incarnation > row.incarnation);
        if !is_stale {
            let target = self.merge_row(row, now);
            target.last_heartbeat = Some(now);
        }
        is_conflict.then_some(HostConflict { host })
    }

    /// Applies an update from the entry `sender` about the targets whose heartbeats it receives.
    pub fn apply_update(&mut self, sender: &HostName, update: TargetUpdate, now: Instant) {
        let listed: BTreeSet<_> = update.rows.iter().map(|it| it.host.clone()).collect();
        for (host, target) in &mut self.targets {
            let is_removed =
                update.removed.contains(host) || update.complete && !listed.contains(host);
            if !target.reported_by.contains(sender) {
                continue;
            }
            let target = Arc::make_mut(target);
            if is_removed {
                target.reported_by.remove(sender);
            } else {
                target.last_seen = now;
            }
        }
        for it in update.revisions {
            let known = self.targets.get_mut(&it.host);
            let same_incarnation = known.filter(|known| known.row.incarnation == it.incarnation);
            if let Some(target) = same_incarnation.filter(|known| known.row.revision < it.revision)
            {
                Arc::make_mut(target).row.revision = it.revision;
            }
        }
        for row in update.rows {
            let target = self.merge_row(row, now);
            target.reported_by.insert(sender.clone());
        }
    }

    /// Removes targets that no live entry receives heartbeats from. `is_live` returns whether another
    /// entry is alive.
    pub fn remove_expired(&mut self, now: Instant, is_live: impl Fn(&HostName) -> bool) {
        self.targets.retain(|_, it| {
            let timed_out =
                |last: Instant| now.saturating_duration_since(last) >= HEARTBEAT_TIMEOUT;
            if it.last_heartbeat.is_some_and(timed_out) {
                Arc::make_mut(it).last_heartbeat = None;
            }
            if !it.reported_by.iter().all(&is_live) {
                Arc::make_mut(it).reported_by.retain(&is_live);
            }
            it.is_direct() || !it.reported_by.is_empty()
        });
    }

    /// Inserts `row`, or replaces the known row if `row` is newer.
    fn merge_row(&mut self, row: TargetRow, now: Instant) -> &mut KnownTarget {
        let row_version = |it: &TargetRow| (it.incarnation, it.sequence);
        let target = self.targets.entry(row.host.clone()).or_insert_with(|| {
            Arc::new(KnownTarget {
                row: row.clone(),
                last_seen: now,
                last_heartbeat: None,
                reported_by: BTreeSet::new(),
            })
        });
        let target = Arc::make_mut(target);
        if row_version(&target.row) < row_version(&row) {
            target.row = row;
        }
        target.last_seen = now;
        target
    }
}
