//! The targets that an entry knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{HostName, TargetRow};

use crate::peer_sync::TargetUpdate;

/// Silence after which a target that an entry heard itself counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// A target's newest row and who stands for its being alive.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The newest row.
    pub row: TargetRow,
    /// When this entry, or one that vouches for the target, last spoke of it.
    pub last_seen: Instant,
    /// When the agent itself last spoke to this entry.
    pub last_heartbeat: Option<Instant>,
    /// Entries that hear the agent themselves.
    pub reported_by: BTreeSet<HostName>,
}

impl KnownTarget {
    /// Tells whether this entry hears the agent itself.
    pub fn is_direct(&self) -> bool {
        self.last_heartbeat.is_some()
    }
}

/// Every target that an entry hears itself or that another entry vouches for.
///
/// A target lives as long as one entry hears it: its agent speaks to two or three, so that one of
/// them can go. An entry vouches only for what it hears itself, so that no two entries keep a dead
/// target alive for each other.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    // Shared with the snapshots of other threads, so that a snapshot copies no rows.
    targets: BTreeMap<HostName, Arc<KnownTarget>>,
}

/// A process under a host name that another process has claimed lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostConflict {
    /// The host.
    pub host: HostName,
}

impl TargetView {
    /// Returns the targets.
    pub fn targets(&self) -> &BTreeMap<HostName, Arc<KnownTarget>> {
        &self.targets
    }

    /// Takes a heartbeat; returns a claim when a second process speaks under a name that is alive.
    ///
    /// The higher incarnation wins, whichever speaks last.
    pub fn apply_heartbeat(&mut self, row: TargetRow, now: Instant) -> Option<HostConflict> {
        let host = row.host.clone();
        let known = self.targets.get(&host);
        let rival = known.is_some_and(|it| it.row.incarnation != row.incarnation && it.is_direct());
        let outdated = known.is_some_and(|it| it.row.incarnation > row.incarnation);
        if !outdated {
            let target = self.take_row(row, now);
            target.last_heartbeat = Some(now);
        }
        rival.then_some(HostConflict { host })
    }

    /// Takes what the entry `home` tells about the targets that it hears.
    pub fn apply_update(&mut self, home: &HostName, share: TargetUpdate, now: Instant) {
        let listed: BTreeSet<_> = share.rows.iter().map(|it| it.host.clone()).collect();
        for (host, target) in &mut self.targets {
            let gone = share.removed.contains(host) || share.complete && !listed.contains(host);
            if !target.reported_by.contains(home) {
                continue;
            }
            let target = Arc::make_mut(target);
            if gone {
                target.reported_by.remove(home);
            } else {
                target.last_seen = now;
            }
        }
        for it in share.revisions {
            let known = self.targets.get_mut(&it.host);
            let same = known.filter(|known| known.row.incarnation == it.incarnation);
            if let Some(target) = same.filter(|known| known.row.revision < it.revision) {
                Arc::make_mut(target).row.revision = it.revision;
            }
        }
        for row in share.rows {
            let target = self.take_row(row, now);
            target.reported_by.insert(home.clone());
        }
    }

    /// Forgets targets for which nobody stands any more; `is_live` tells which entries live.
    pub fn remove_expired(&mut self, now: Instant, is_live: impl Fn(&HostName) -> bool) {
        self.targets.retain(|_, it| {
            let silent = |heard: Instant| now.saturating_duration_since(heard) >= DEAD_AFTER;
            if it.last_heartbeat.is_some_and(silent) {
                Arc::make_mut(it).last_heartbeat = None;
            }
            if !it.reported_by.iter().all(&is_live) {
                Arc::make_mut(it).reported_by.retain(&is_live);
            }
            it.is_direct() || !it.reported_by.is_empty()
        });
    }

    /// Keeps the newer of the known row and `row`.
    fn take_row(&mut self, row: TargetRow, now: Instant) -> &mut KnownTarget {
        let stamp = |it: &TargetRow| (it.incarnation, it.sequence);
        let target = self.targets.entry(row.host.clone()).or_insert_with(|| {
            Arc::new(KnownTarget {
                row: row.clone(),
                last_seen: now,
                last_heartbeat: None,
                reported_by: BTreeSet::new(),
            })
        });
        let target = Arc::make_mut(target);
        if stamp(&target.row) < stamp(&row) {
            target.row = row;
        }
        target.last_seen = now;
        target
    }
}
