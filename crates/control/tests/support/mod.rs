//! Shared test rows and seeds.
#![allow(dead_code)]

use std::net::SocketAddr;

use model::{
    ConfigRevision, FencingNumber, GateState, HostName, Incarnation, LoadSample, RegionName,
    ServiceName, TargetKind, TargetRow, ZoneName,
};

/// Returns the row of a target on `host` whose gate is open.
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

/// Returns the seed of one round for `arbtest`. The upper half seeds the generator and must not be zero;
/// the lower half is the number of random bytes that the generator provides.
pub fn arbtest_seed(round: u64) -> u64 {
    (round + 1) << 32 | ENTROPY_BYTES
}

/// Number of random bytes for one round.
const ENTROPY_BYTES: u64 = 4096;
