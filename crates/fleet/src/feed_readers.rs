//! Selects the entries that read the store; the others follow them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::feed_mirror::FeedTable;
use crate::peer_table::{PeerRecord, PeerTable};

/// Where an entry reads changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// The store; other entries may follow this one.
    Store {
        /// Whether there are entries that do not read the store themselves.
        has_followers: bool,
    },
    /// An entry of the zone nearest to the store, which reads it. The entries of the own zone follow this entry.
    HomeReader(SocketAddr),
    /// Any entry that the store serves, since it does not serve this one, which would read it.
    ServedEntry(SocketAddr),
    /// An entry of the own zone.
    Entry {
        /// Address that serves its copy.
        address: SocketAddr,
        /// Whether it is a backup that reads the store only while the regular readers fail.
        is_backup: bool,
        /// Position of this entry behind the backup. The backup itself has none.
        rank: Option<usize>,
    },
}

/// Returns where the entry `own` reads changes of `table` from; `attempt` counts the readers that have failed.
///
/// The [`READERS`] entries of a zone with the fastest links read for the others, so that the load of the store and the traffic
/// between regions grow with the number of zones rather than entries. There is more than one reader because one may
/// fail or be partitioned. The operator's table has large rows, so only the readers of the zone nearest to the store read
/// it there, and those of other zones follow these. An entry that the store does not serve hands its part to the next one
/// and follows like the others; if that concerns its whole zone, it follows an entry of another one.
pub fn feed_source(
    peers: &PeerTable,
    own: &PeerRecord,
    table: FeedTable,
    attempt: usize,
    now: Instant,
) -> FeedSource {
    let in_zone = |zone: &str| {
        let of_zone = peers.alive(now).filter(|it| it.zone == zone);
        let of_zone = of_zone.filter(|it| it.node != own.node);
        let mut others: Vec<_> = of_zone.map(|it| (reading_order(it), it.inner)).collect();
        others.sort_unstable();
        others
    };
    let others = in_zone(&own.zone);
    let own_order = reading_order(own);
    let before = others.iter().filter(|it| it.0 < own_order).count();
    let is_small = others.len() < MIN_ENTRIES_FOR_FOLLOWERS;
    if is_small || before < READERS {
        if let Some(address) = served_entry(peers, own, attempt, now) {
            return FeedSource::ServedEntry(address);
        }
        let home_zone = home_zone(peers, own, now).filter(|_| table == FeedTable::Operator);
        let is_home = home_zone == Some(own.zone.as_str());
        let far_home = home_zone.filter(|_| !is_small && !is_home);
        let home_readers = far_home.map(in_zone).unwrap_or_default();
        let served = home_readers.iter().take_while(|it| !it.0.0).count();
        let count = if served > 0 {
            served
        } else {
            home_readers.len()
        };
        let readers = &home_readers[..count.min(READERS)];
        return match readers.get(before % readers.len().max(1)) {
            Some((_, address)) => FeedSource::HomeReader(*address),
            None => FeedSource::Store {
                has_followers: !is_small
                    || is_home && before < READERS && has_large_zone(peers, now),
            },
        };
    }
    // Followers are spread over the readers by their position. If all readers fail, one backup reads the store for all
    // followers: it is the same one for all of them and follows only the readers itself.
    let rank = before.checked_sub(READERS + 1);
    let sources = READERS + usize::from(rank.is_some());
    let index = match attempt % sources {
        READERS => READERS,
        attempt => (before + attempt) % READERS,
    };
    FeedSource::Entry {
        address: others[index].1,
        is_backup: index == READERS,
        rank,
    }
}

/// Returns whether the entry `own` reads the operator's table several times a second, so that the time of a change is known
/// well: a change may be as old as the response before it.
///
/// It is the first reader of the zone nearest to the store, and the others learn the time from it, since each read has a
/// cost.
pub fn is_timekeeper(peers: &PeerTable, own: &PeerRecord, now: Instant) -> bool {
    let in_zone = peers.alive(now).filter(|it| it.zone == own.zone);
    let is_first = in_zone.min_by_key(|it| reading_order(it));
    let is_first = is_first.is_none_or(|it| reading_order(own) <= reading_order(it));
    is_first && home_zone(peers, own, now) == Some(own.zone.as_str())
}

/// Returns whether `own`, which the store does not serve, would be a reader otherwise.
pub(crate) fn would_read_store(peers: &PeerTable, own: &PeerRecord, now: Instant) -> bool {
    let in_zone = peers.alive(now).filter(|it| it.zone == own.zone);
    let others: Vec<_> = in_zone.filter(|it| it.node != own.node).collect();
    let own_order = link_order(own);
    let before = others.iter().filter(|it| link_order(it) < own_order);
    others.len() < MIN_ENTRIES_FOR_FOLLOWERS || before.count() < READERS
}

/// Returns an entry that the store serves, of the own zone or else one near the store, if it does not serve `own`.
fn served_entry(
    peers: &PeerTable,
    own: &PeerRecord,
    attempt: usize,
    now: Instant,
) -> Option<SocketAddr> {
    if !is_cut_off(own) {
        return None;
    }
    let served = peers.alive(now).filter(|it| !is_cut_off(it));
    let mut served: Vec<_> = served.filter(|it| it.node != own.node).collect();
    served.sort_by_key(|it| {
        let store_delay = it.reading.and_then(|it| it.store_delay_us);
        let store_delay = store_delay.unwrap_or(u32::MAX);
        (it.zone != own.zone, store_delay, reading_order(it))
    });
    let index = attempt.checked_rem(served.len())?;
    Some(served[index].inner)
}

/// Returns whether the store does not serve `entry`.
fn is_cut_off(entry: &PeerRecord) -> bool {
    entry.reading.is_some_and(|it| it.is_cut_off)
}

/// Returns the key by which the entries of a zone are ordered: of those that the store serves, the ones with the fastest
/// links send to the others.
fn reading_order(entry: &PeerRecord) -> (bool, (Reverse<u32>, &str)) {
    (is_cut_off(entry), link_order(entry))
}

fn link_order(entry: &PeerRecord) -> (Reverse<u32>, &str) {
    let link_mbps = entry.reading.map_or(0, |it| it.link_mbps);
    (Reverse(link_mbps), &entry.node)
}

/// Returns the zone with the shortest calls to the store, among those of `own` and all live entries. A zone in which the store
/// serves nobody is one only if that is so everywhere.
fn home_zone<'a>(peers: &'a PeerTable, own: &'a PeerRecord, now: Instant) -> Option<&'a str> {
    let entries = peers.alive(now).chain([own]);
    let delays = entries.filter_map(|it| {
        let store_delay = it.reading?.store_delay_us?;
        Some((is_cut_off(it), store_delay, it.zone.as_str()))
    });
    delays.min().map(|it| it.2)
}

/// Returns whether some zone is so large that its readers follow those of another one.
fn has_large_zone(peers: &PeerTable, now: Instant) -> bool {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for peer in peers.alive(now) {
        *counts.entry(&peer.zone).or_default() += 1;
    }
    counts.values().any(|it| *it > MIN_ENTRIES_FOR_FOLLOWERS)
}

/// Returns the maximum age of a reader's copy; an older one is not followed.
///
/// The store holds a reader's long-polling request for up to `wait`, and the reader sends the next one after `pause`.
pub fn max_reader_age(wait: Duration, pause: Duration) -> Duration {
    wait + pause + TRANSFER_MARGIN
}

/// Number of entries of a zone that read for the others.
pub(crate) const READERS: usize = 2;

/// Minimum number of other entries in a zone for which only some of its entries read the store. A reader with followers
/// sends about three times as many requests, so followers reduce the number of requests only in larger zones.
const MIN_ENTRIES_FOR_FOLLOWERS: usize = 6;

/// Transfer time of a response of 100 KB over a link with other traffic. If followers read the store directly whenever
/// a response is late, they add load to the link that delays it.
const TRANSFER_MARGIN: Duration = Duration::from_millis(650);
