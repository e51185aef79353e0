//! Size, changes and faults of an emulation of feeds.

use std::time::Duration;

/// What happens to the first readers of the store in each zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderFault {
    /// Nothing.
    None,
    /// It ends and does not start again.
    Killed,
    /// It does not run for some seconds.
    Frozen,
    /// The store does not answer it any more.
    CutOff,
    /// The store refuses the calls of the first entries of each zone, and of others at random.
    TurnedAway,
    /// The store does not answer the same entries as with [`Self::TurnedAway`].
    Unheard,
}

impl ReaderFault {
    /// Returns whether the fault concerns only the calls of more than the first entries to the store, so that all entries
    /// remain in touch with others.
    pub(crate) fn is_at_store(self) -> bool {
        matches!(self, Self::TurnedAway | Self::Unheard)
    }
}

/// Size, changes and faults of an emulation.
#[derive(Clone, Copy, Debug)]
pub struct FeedScenario {
    /// Number of availability zones, each in a region of its own; the store is in the first one.
    pub zones: usize,
    /// Number of entries in each zone.
    pub entries: usize,
    /// Number of routes of the configuration.
    pub routes: usize,
    /// Time between two versions of the configuration.
    pub gap: Duration,
    /// Rate of a link between two regions, in Mbit/s.
    pub region_mbps: f64,
    /// Rate of the link of an entry, in Mbit/s.
    pub entry_mbps: f64,
    /// Divisor of the rates of all links for [`Self::SQUEEZE`].
    pub squeeze: f64,
    /// What happens to the first readers.
    pub fault: ReaderFault,
    /// Time within which a configuration must be in force.
    pub bound: Duration,
}

impl FeedScenario {
    /// When links are narrowed, and for how long.
    pub const SQUEEZE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(5));

    /// When readers fail, and for how long a frozen one does not run.
    pub const FAULT: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(3));

    /// Number of entries of each zone that the store turns away, and the share of the others.
    pub const TURNED_AWAY: (usize, f64) = (3, 1.0 / 3.0);

    /// Emulated time in which the configuration changes.
    pub const DURATION: Duration = Duration::from_secs(14);

    /// Returns 36 entries in 3 zones, and two versions a second of a configuration with 659 routes.
    pub fn grown() -> Self {
        Self {
            zones: 3,
            entries: 12,
            routes: 659,
            gap: Duration::from_millis(500),
            region_mbps: 24.0,
            entry_mbps: 200.0,
            squeeze: 1.0,
            fault: ReaderFault::None,
            bound: Duration::from_secs(3),
        }
    }
}
