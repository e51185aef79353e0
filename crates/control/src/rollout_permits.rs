//! Decides which replicas may switch to the wanted version now.

use std::collections::{BTreeMap, BTreeSet};

use model::{
    FencingNumber, FleetConfig, GateState, HostName, ModelConfig, SwitchPermit, TargetKind,
    TargetRow, VersionDigest, ZoneName,
};

/// Returns the permits to grant under `config`, each with the rollout driver's `fencing` number.
///
/// `granted` are the permits of any driver that agents may still act on. A replica with such a
/// permit counts as out of service before its row shows it; otherwise two replicas could go out of
/// service where only one may. Everything else follows from the rows, so a new driver needs no state
/// from its predecessor.
pub fn rollout_permits<'a>(
    config: &FleetConfig,
    targets: impl Iterator<Item = &'a TargetRow> + Clone,
    granted: &[SwitchPermit],
    fencing: FencingNumber,
) -> Vec<SwitchPermit> {
    let mut permits = Vec::new();
    for (name, model_config) in &config.models {
        let mut zones: BTreeMap<&ZoneName, Vec<&TargetRow>> = BTreeMap::new();
        for row in targets.clone() {
            if row.kind == TargetKind::Model(name.clone()) && row.state != GateState::Leaving {
                zones.entry(&row.zone).or_default().push(row);
            }
        }
        let version = model_config.manifest.version();
        let granted_hosts: BTreeSet<&HostName> = granted
            .iter()
            .filter(|it| it.version == version)
            .map(|it| &it.host)
            .collect();
        for rows in zones.values() {
            let hosts = hosts_to_switch(model_config, version, rows, &granted_hosts);
            permits.extend(hosts.into_iter().map(|host| SwitchPermit {
                host: host.clone(),
                version,
                fencing,
            }));
        }
    }
    permits
}

/// Returns the hosts in one zone that may switch.
fn hosts_to_switch<'a>(
    model_config: &ModelConfig,
    version: VersionDigest,
    rows: &[&'a TargetRow],
    granted_hosts: &BTreeSet<&HostName>,
) -> Vec<&'a HostName> {
    let needs_switch = |it: &TargetRow| it.serving != Some(version) || it.state != GateState::Open;
    let is_out = |it: &TargetRow| it.state != GateState::Open || it.serving.is_none();
    let is_granted = |it: &TargetRow| granted_hosts.contains(&it.host) && needs_switch(it);
    let max_out = (rows.len() * usize::from(model_config.max_out_percent) / 100).max(1);
    let mut out_count = rows
        .iter()
        .filter(|it| is_out(it) || is_granted(it))
        .count();
    let mut hosts = Vec::new();
    for row in rows {
        let is_fetched = row
            .transfer
            .is_some_and(|it| it.version == version && it.is_complete());
        if !is_fetched || !needs_switch(row) {
            continue;
        }
        // A replica that is already out of service may load at any time: this does not reduce capacity.
        if is_out(row) || is_granted(row) {
            hosts.push(&row.host);
            continue;
        }
        if !model_config.paused && out_count < max_out {
            out_count += 1;
            hosts.push(&row.host);
        }
    }
    hosts
}
