//! Selects the entries of a zone that read the store; the others follow them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::peer_table::PeerTable;

/// Where an entry reads changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// The store; other entries of the zone may follow this one.
    Store {
        /// Whether the zone has entries that do not read the store themselves.
        has_followers: bool,
    },
    /// An entry of the zone that reads the store.
    Entry {
        /// Address that serves its copy.
        address: SocketAddr,
        /// Whether it is a backup that reads the store only while the regular readers fail.
        is_backup: bool,
        /// Whether this is the last entry to try before the store is read directly.
        is_last: bool,
    },
}

/// Returns where the entry `own` of `zone` reads changes from; `attempt` counts the readers that have failed.
///
/// The first [`READERS`] entries of a zone by name read the store, so that the load of the store and the traffic
/// between regions grow with the number of zones rather than entries. There is more than one reader because one may
/// fail or be partitioned.
pub fn feed_source(
    peers: &PeerTable,
    own: &str,
    zone: &str,
    attempt: usize,
    now: Instant,
) -> FeedSource {
    let of_zone = peers.alive(now).filter(|it| it.zone == zone);
    let mut others: Vec<_> = of_zone.map(|it| (it.node.as_str(), it.inner)).collect();
    others.sort_unstable();
    let before = others.iter().filter(|it| it.0 < own).count();
    let is_small = others.len() < MIN_ENTRIES_FOR_FOLLOWERS;
    if is_small || before < READERS {
        return FeedSource::Store {
            has_followers: !is_small,
        };
    }
    // Followers are spread over the readers by their position. If all readers fail, one backup reads the store for all
    // followers: it is the same one for all of them and follows only the readers itself.
    let sources = if before > READERS {
        READERS + 1
    } else {
        READERS
    };
    let index = match attempt % sources {
        READERS => READERS,
        attempt => (before + attempt) % READERS,
    };
    FeedSource::Entry {
        address: others[index].1,
        is_backup: index == READERS,
        is_last: attempt % sources + 1 == sources,
    }
}

/// Returns the maximum age of a reader's copy; an older one is not followed.
///
/// The store holds a reader's long-polling request for up to `wait`, and the reader sends the next one after `pause`.
pub fn max_reader_age(wait: Duration, pause: Duration) -> Duration {
    wait + pause + TRANSFER_MARGIN
}

/// Number of entries of a zone that read the store.
const READERS: usize = 2;

/// Minimum number of other entries in a zone for which only some of its entries read the store. A reader with followers
/// sends about three times as many requests, so followers reduce the number of requests only in larger zones.
const MIN_ENTRIES_FOR_FOLLOWERS: usize = 6;

/// Transfer time of a response of 100 KB over a link with other traffic. If followers read the store directly whenever
/// a response is late, they add load to the link that delays it.
const TRANSFER_MARGIN: Duration = Duration::from_millis(650);
