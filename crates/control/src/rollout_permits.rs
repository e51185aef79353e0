//! Decides which replicas may switch versions now.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    FencingNumber, FleetConfig, GateState, HostName, ModelConfig, SwitchPermit, TargetKind,
    TargetRow, VersionDigest, ZoneName,
};

/// Returns the permits that hold under `config`, with the driver's `fencing` number.
///
/// `granted` are the permits of any driver that may still be in the hands of agents: a replica that
/// holds one counts as out before its row says so, or two replicas would go where one may. The rows
/// decide the rest, so a driver that takes over needs nothing of the one before it.
pub fn rollout_permits<'a>(
    config: &FleetConfig,
    targets: impl Iterator<Item = &'a TargetRow> + Clone,
    granted: &[SwitchPermit],
    fencing: FencingNumber,
) -> Vec<SwitchPermit> {
    let mut permits = Vec::new();
    for (name, wanted) in &config.models {
        let mut zones: BTreeMap<&ZoneName, Vec<&TargetRow>> = BTreeMap::new();
        for row in targets.clone() {
            if row.kind == TargetKind::Model(name.clone()) && row.state != GateState::Leaving {
                zones.entry(&row.zone).or_default().push(row);
            }
        }
        let version = wanted.manifest.version();
        let known: BTreeSet<&HostName> = granted
            .iter()
            .filter(|it| it.version == version)
            .map(|it| &it.host)
            .collect();
        for rows in zones.values() {
            let hosts = permit_zone(wanted, version, rows, &known);
            permits.extend(hosts.into_iter().map(|host| SwitchPermit {
                host: host.clone(),
                version,
                fencing,
            }));
        }
    }
    permits
}

/// Returns the hosts of one zone that may switch.
fn permit_zone<'a>(
    wanted: &ModelConfig,
    version: VersionDigest,
    rows: &[&'a TargetRow],
    known: &BTreeSet<&HostName>,
) -> Vec<&'a HostName> {
    let behind = |it: &TargetRow| it.serving != Some(version) || it.state != GateState::Open;
    let is_out = |it: &TargetRow| it.state != GateState::Open || it.serving.is_none();
    let is_granted = |it: &TargetRow| known.contains(&it.host) && behind(it);
    let allowed = (rows.len() * usize::from(wanted.max_out_percent) / 100).max(1);
    let mut out = rows
        .iter()
        .filter(|it| is_out(it) || is_granted(it))
        .count();
    let mut hosts = Vec::new();
    for row in rows {
        let complete = row
            .transfer
            .is_some_and(|it| it.version == version && it.is_complete());
        if !complete || !behind(row) {
            continue;
        }
        // A replica that is out already takes nothing out of service by loading.
        if is_out(row) || is_granted(row) {
            hosts.push(&row.host);
            continue;
        }
        if !wanted.paused && out < allowed {
            out += 1;
            hosts.push(&row.host);
        }
    }
    hosts
}
