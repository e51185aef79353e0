//! Which entries of a zone read the store, and whom the others follow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::peer_table::PeerTable;

/// Where an entry learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// The store, which other entries of the zone may be following through this one.
    Store {
        /// Whether the zone has entries that do not read the store themselves.
        has_followers: bool,
    },
    /// An entry of the zone that reads the store.
    Entry {
        /// Where it answers.
        address: SocketAddr,
        /// Whether it only reads the store while the usual readers fail.
        stands_in: bool,
        /// Whether the store is to be read when this one fails as well.
        is_last: bool,
    },
}

/// Returns where the entry `own` of `zone` learns of changes; `attempt` counts readers that failed it.
///
/// The first few entries of a zone by name read the store, so that its calls, and the bytes between regions, grow with the
/// number of zones and not of entries. More than one of them does, since each may be lost or cut off.
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
    let is_small = others.len() < SMALL_ZONE;
    if is_small || before < READERS {
        return FeedSource::Store {
            has_followers: !is_small,
        };
    }
    // Followers are spread over the readers by their place. Where these fail, one more reads the store for all: it is the
    // same one for all followers, and has no other to ask than the readers.
    let sources = if before > READERS {
        READERS + 1
    } else {
        READERS
    };
    let place = match attempt % sources {
        READERS => READERS,
        attempt => (before + attempt) % READERS,
    };
    FeedSource::Entry {
        address: others[place].1,
        stands_in: place == READERS,
        is_last: attempt % sources + 1 == sources,
    }
}

/// Returns the age of a reader's copy beyond which it is not followed.
///
/// The store holds a reader's question for `wait`, and the reader asks again after `pause`.
pub fn stale_age(wait: Duration, pause: Duration) -> Duration {
    wait + pause + STALE_RESERVE
}

/// Entries of a zone that read the store.
const READERS: usize = 2;

/// Entries of a zone up to which all of them read the store. A reader that others follow asks about three times as often,
/// so that fewer calls are made only in larger zones.
const SMALL_ZONE: usize = 6;

/// The way of an answer of 100 KB over a link that carries other traffic. If others read the store themselves as soon as
/// one answer is late, they fill the link that makes it late.
const STALE_RESERVE: Duration = Duration::from_millis(650);
