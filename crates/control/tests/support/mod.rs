//! Rows and seeds for the tests.
#![allow(dead_code)]

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

/// Returns the seed of one round: its upper half starts the generator, which must not be zero, and its lower half is
/// the number of bytes that the generator gives.
pub fn arbtest_seed(round: u64) -> u64 {
    (round + 1) << 32 | ENTROPY_BYTES
}

/// Bytes of randomness for one round.
const ENTROPY_BYTES: u64 = 4096;
