//! Rows for the tests.

use std::net::SocketAddr;

use model::{
    ConfigRevision, FencingNumber, GateState, HostName, Incarnation, LoadSample, RegionName,
    ServiceName, TargetKind, TargetRow, ZoneName,
};

/// Returns an open target on `host`.
pub fn target(host: &str, incarnation: u64, sequence: u64) -> TargetRow {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    TargetRow {
        host: HostName::new(host).unwrap(),
        incarnation: Incarnation(incarnation),
        sequence,
        zone: ZoneName::new("z").unwrap(),
        region: RegionName::new("r").unwrap(),
        kind: TargetKind::Service(ServiceName::new("s").unwrap()),
        gate: address,
        peers: address,
        control: address,
        state: GateState::Open,
        serving: None,
        transfer: None,
        fencing: FencingNumber::default(),
        revision: ConfigRevision::default(),
        load: LoadSample::default(),
    }
}
