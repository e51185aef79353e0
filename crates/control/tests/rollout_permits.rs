//! Tests that rollout permits never take more replicas out of service than allowed.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use control::rollout_permits;
use model::{
    CommandId, ConfigRevision, FencingNumber, FleetConfig, GateState, HostName, Incarnation,
    LoadSample, ModelConfig, ModelName, RegionName, SwitchPermit, TargetKind, TargetRow,
    TransferState, VersionDigest, VersionLabel, WeightManifest, ZoneName,
};

fn model() -> ModelName {
    ModelName::new("m").unwrap()
}

fn manifest(label: &str) -> WeightManifest {
    let label = VersionLabel::new(label).unwrap();
    WeightManifest::from_data(model(), label.clone(), 4, label.as_str().as_bytes())
}

fn config(max_out_percent: u8, paused: bool) -> FleetConfig {
    let model_config = ModelConfig {
        manifest: manifest("v2"),
        rollout: CommandId::new("c").unwrap(),
        paused,
        previous: None,
        max_out_percent,
    };
    FleetConfig {
        models: BTreeMap::from([(model(), model_config)]),
        ..FleetConfig::default()
    }
}

fn row(idx: usize, serving: Option<VersionDigest>, complete: bool) -> TargetRow {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    TargetRow {
        host: HostName::new(format!("h{idx}")).unwrap(),
        incarnation: Incarnation::default(),
        sequence: 0,
        zone: ZoneName::new("z").unwrap(),
        region: RegionName::new("r").unwrap(),
        kind: TargetKind::Model(model()),
        gate: address,
        peers: address,
        control: address,
        state: if serving.is_some() {
            GateState::Open
        } else {
            GateState::Starting
        },
        serving,
        transfer: Some(TransferState {
            version: manifest("v2").version(),
            have_chunks: u32::from(complete),
            total_chunks: 1,
        }),
        fencing: FencingNumber::default(),
        revision: ConfigRevision::default(),
        load: LoadSample::default(),
    }
}

fn hosts(permits: &[SwitchPermit]) -> Vec<&str> {
    permits.iter().map(|it| it.host.as_str()).collect()
}

#[test]
fn a_granted_replica_counts_as_out_before_its_row_shows_it() {
    let old = Some(manifest("v1").version());
    let granted = SwitchPermit {
        host: HostName::new("h1").unwrap(),
        version: manifest("v2").version(),
        fencing: FencingNumber(1),
    };
    let rows = [row(0, old, true), row(1, old, true), row(2, old, true)];
    let permits = rollout_permits(
        &config(25, false),
        rows.iter(),
        &[granted],
        FencingNumber(2),
    );
    assert_eq!(hosts(&permits), ["h1"]);
}

#[test]
fn a_pause_stops_switches_but_not_loads_of_replicas_out_of_service() {
    let old = Some(manifest("v1").version());
    let rows = [row(0, old, true), row(1, None, true), row(2, None, false)];
    let permits = rollout_permits(&config(100, true), rows.iter(), &[], FencingNumber(1));
    assert_eq!(hosts(&permits), ["h1"]);
}

/// Runs random sequences in which agents see permits late, rows arrive late, and new drivers know
/// previous permits only from the other entries, which still pass them on.
#[test]
fn replicas_out_of_service_never_exceed_the_limit() {
    for seed in 0..300 {
        arbtest::arbtest(|u| {
            let replica_count = u.int_in_range(1..=8_usize)?;
            let percent = u.int_in_range(1..=100)?;
            let max_out = (replica_count * usize::from(percent) / 100).max(1);
            let old = Some(manifest("v1").version());
            let new = manifest("v2").version();
            let mut actual: Vec<_> = (0..replica_count).map(|idx| row(idx, old, false)).collect();
            let mut reported = actual.clone();
            let mut granted: Vec<SwitchPermit> = Vec::new();
            for _ in 0..u.int_in_range(0..=60)? {
                let idx = u.choose_index(replica_count)?;
                let permitted = granted.iter().any(|it| it.host == actual[idx].host);
                match u.int_in_range(0..=4)? {
                    0 => actual[idx].transfer.as_mut().unwrap().have_chunks = 1,
                    1 if permitted && actual[idx].serving == old => {
                        actual[idx].state = GateState::Switching;
                    }
                    2 if actual[idx].state == GateState::Switching => {
                        actual[idx].serving = Some(new);
                        actual[idx].state = GateState::Open;
                    }
                    3 => reported[idx] = actual[idx].clone(),
                    _ => {
                        let fencing = FencingNumber(u.int_in_range(1..=9)?);
                        granted = rollout_permits(
                            &config(percent, false),
                            reported.iter(),
                            &granted,
                            fencing,
                        );
                    }
                }
                let out = actual
                    .iter()
                    .filter(|it| it.state != GateState::Open)
                    .count();
                assert!(
                    out <= max_out,
                    "{out} of {replica_count} out, {max_out} allowed"
                );
            }
            Ok(())
        })
        .seed(support::arbtest_seed(seed));
    }
}
