//! Arbitrary datagrams and differences of rows must neither make a decoder panic nor make it reserve memory without bound.

#[path = "support/fuzz_run.rs"]
mod fuzz_run;

use std::net::SocketAddr;

use arbtest::arbitrary::{Result, Unstructured};
use fleet::{
    AgentStatus, DeclaredWeights, DepartureDigest, EntryHeartbeat, FleetMessage, LoadSample,
    LoadedModel, PackedBytes, PeerRecord, RelayScope, ReportedLimit, RowPatch, StoreInterval,
    ZoneReport,
};
use routing::{CrashDigest, LimitDigest};

fn messages() -> Vec<FleetMessage> {
    let address: SocketAddr = ([10, 1, 0, 40], 7700).into();
    let weights = vec![
        DeclaredWeights {
            model: "m".to_owned(),
            version: 7,
            declared: StoreInterval::UNKNOWN,
        };
        3
    ];
    let record = PeerRecord {
        node: "edge-a-1".to_owned(),
        incarnation: 5,
        front: address,
        inner: address,
        zone: "a".to_owned(),
        region: "north".to_owned(),
        ready: true,
        reading: None,
    };
    let load = LoadSample {
        running: 3,
        pending_prefill_tokens: 900,
    };
    let limits = LimitDigest {
        base_age_ms: 10,
        lost: vec![1, 2],
        vouched: vec![3],
        records: Vec::new(),
    };
    vec![
        FleetMessage::Entry(EntryHeartbeat {
            record: record.clone(),
            sequence: 9,
            loads: vec![(77, load); 5],
            weights: weights.clone(),
            crashes: Some(CrashDigest::default()),
            limits: Some(limits),
            departures: DepartureDigest::default(),
        }),
        FleetMessage::Agent(AgentStatus {
            replica: address,
            models: vec![LoadedModel {
                name: "m".to_owned(),
                version: 7,
            }],
            relay: RelayScope::AllZones,
            limit: ReportedLimit::default(),
            leaving: false,
        }),
        FleetMessage::Weights(weights.clone()),
        FleetMessage::Zone(ZoneReport {
            zone: "a".to_owned(),
            reporter: "edge-a-1".to_owned(),
            incarnation: 5,
            sequence: 9,
            loads: vec![(77, load); 5],
            weights,
            entries: vec![record; 2],
            crashes: None,
            limits: None,
            departures: DepartureDigest::default(),
        }),
    ]
}

/// Returns arbitrary bytes, or `valid` with up to four bytes replaced, inserted or cut off.
fn damage(u: &mut Unstructured<'_>, valid: &[u8]) -> Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return u.arbitrary();
    }
    let mut bytes = valid.to_vec();
    for _ in 0..u.int_in_range(1..=4)? {
        let position = u.int_in_range(0..=bytes.len().saturating_sub(1))?;
        match u.int_in_range(0..=3)? {
            0 => bytes.truncate(position),
            1 if !bytes.is_empty() => bytes[position] = u.arbitrary()?,
            2 if !bytes.is_empty() => bytes[position] ^= 1 << u.int_in_range(0..=7)?,
            // The prefix of a length near the limit of 32 bits.
            _ => {
                let end = bytes.len().min(position + 1);
                bytes.splice(position..end, [0xff, 0xff, 0xff, 0xff, 0x0f]);
            }
        }
    }
    Ok(bytes)
}

/// Guards against a datagram that ends or fills the process that receives it.
#[test]
fn datagrams() {
    let messages = messages();
    let encoded: Vec<_> = messages
        .iter()
        .map(|it| postcard::to_allocvec(it).unwrap())
        .collect();
    for (message, bytes) in messages.iter().zip(&encoded) {
        assert_eq!(
            postcard::from_bytes::<FleetMessage>(bytes).as_ref(),
            Ok(message)
        );
    }
    fuzz_run::run(|u| {
        let valid = u.choose(&encoded)?;
        let bytes = damage(u, valid)?;
        let _ = postcard::from_bytes::<FleetMessage>(&bytes);
        Ok(())
    });
}

/// Guards against packed rows and differences that unpack to more than a row, or ask for bytes that are not there.
#[test]
fn packed_rows() {
    let old: String = (0..300).map(|it| format!("{{\"route\":{it}}}")).collect();
    let new = old.replace("200", "no");
    let patch = RowPatch::between(old.as_bytes(), new.as_bytes()).unwrap();
    assert_eq!(patch.apply(old.as_bytes()).as_deref(), Some(new.as_bytes()));
    let patch = postcard::to_allocvec(&patch).unwrap();
    let packed = postcard::to_allocvec(&PackedBytes::pack(old.as_bytes()).unwrap()).unwrap();
    fuzz_run::run(|u| {
        if let Ok(patch) = postcard::from_bytes::<RowPatch>(&damage(u, &patch)?) {
            let applied = patch.apply(old.as_bytes());
            assert!(applied.is_none_or(|it| it == new.as_bytes()));
        }
        if let Ok(packed) = postcard::from_bytes::<PackedBytes>(&damage(u, &packed)?) {
            packed.unpack();
        }
        Ok(())
    });
}
