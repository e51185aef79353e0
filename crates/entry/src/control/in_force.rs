//! Counts the hosts on which a revision is in force.

use model::{ConfigRevision, HostName};
use serde::Serialize;

use crate::control::control_snapshot::ControlSnapshot;

/// How far a revision has spread, according to the revisions that the hosts report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct InForce {
    /// Number of hosts on which the revision or a higher one is in force.
    pub(crate) count: usize,
    /// Number of live hosts, entries and targets together.
    pub(crate) of: usize,
    /// The host with the lowest revision, if any host has a lower one.
    pub(crate) slowest: Option<HostName>,
}

/// Counts the hosts in `snapshot` on which `revision` is in force.
pub(crate) fn count_in_force(snapshot: &ControlSnapshot, revision: ConfigRevision) -> InForce {
    let targets = snapshot
        .targets
        .values()
        .map(|it| (&it.row.host, it.row.revision));
    let entries = snapshot.entries.values().map(|it| &it.row);
    let entries = entries
        .chain(&snapshot.own)
        .map(|it| (&it.host, it.revision));
    let hosts: Vec<_> = targets.chain(entries).collect();
    let lagging = hosts.iter().filter(|it| it.1 < revision);
    InForce {
        count: hosts.len() - lagging.clone().count(),
        of: hosts.len(),
        slowest: lagging.min_by_key(|it| it.1).map(|it| it.0.clone()),
    }
}
