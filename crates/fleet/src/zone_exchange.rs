//! Selects the entries that exchange state between zones.
//!
//! Entries of a zone tell each other every change. If they told all other entries as well, the links between regions
//! would carry a message for each pair of entries. Instead, one entry of each zone reports the state of the zone to one
//! or two entries of each other zone, which pass it on inside their zones; see
//! [decision 42](../../../docs/decisions/0042-exchange-between-zones.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::peer_table::{PeerRecord, PeerTable};

/// Returns whether the entry `own` reports for `zone` and passes on the reports of other zones: it is the first live
/// entry of the zone by name.
pub fn is_zone_reporter(peers: &PeerTable, own: &str, zone: &str, now: Instant) -> bool {
    zone_rank(peers, own, zone, now) == 0
}

/// Returns the number of live entries of `zone` before the entry `own` by name.
pub fn zone_rank(peers: &PeerTable, own: &str, zone: &str, now: Instant) -> usize {
    let alive = peers.alive(now).filter(|it| it.zone == zone);
    alive.filter(|it| it.node.as_str() < own).count()
}

/// Returns up to `per_zone` entries of each zone other than `zone`, in order of preference.
///
/// These are the first live entries by name, so that the entry that passes reports on is among them. Of a zone without
/// live entries, other entries are returned in each `round`, so that the zones find each other at the start and after a
/// network partition.
pub fn report_targets(
    peers: &PeerTable,
    zone: &str,
    per_zone: usize,
    round: usize,
    now: Instant,
) -> Vec<Vec<SocketAddr>> {
    let mut alive = group_by_zone(peers.alive(now));
    let mut listed = group_by_zone(peers.all());
    listed.remove(zone);
    let of_zone = |(zone, mut listed): (&str, Vec<&PeerRecord>)| -> Vec<SocketAddr> {
        let candidates = alive.remove(zone).unwrap_or_else(|| {
            let offset = round * per_zone % listed.len();
            listed.rotate_left(offset);
            listed
        });
        let first = candidates.iter().take(per_zone);
        first.map(|it| it.inner).collect()
    };
    listed.into_iter().map(of_zone).collect()
}

fn group_by_zone<'a>(
    peers: impl Iterator<Item = &'a PeerRecord>,
) -> BTreeMap<&'a str, Vec<&'a PeerRecord>> {
    let mut zones: BTreeMap<&str, Vec<&PeerRecord>> = BTreeMap::new();
    for peer in peers {
        zones.entry(&peer.zone).or_default().push(peer);
    }
    zones
}
