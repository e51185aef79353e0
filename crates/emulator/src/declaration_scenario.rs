//! Size, changes and faults of an emulation of declared weights.

use std::time::Duration;

use crate::feed_scenario::FeedScenario;

/// Delays of messages between two regions, beside those of links that are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopDelay {
    /// None.
    None,
    /// Up to [`DeclarationScenario::MAX_HOP_DELAY`], until some seconds after the last declaration.
    Both,
    /// The same, for each pair of regions in one direction only.
    OneWay,
    /// The same in both directions, until the last version takes effect.
    UntilSwitch,
}

/// What happens to some of the entries around the declarations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryTrouble {
    /// Nothing.
    None,
    /// They start after the first declaration.
    Starts,
    /// All of them start in the first seconds in which versions are declared, as after a loss of power.
    AllStart,
    /// Their hosts are suspended: their monotonic clock stands still, the clock since boot does not.
    Suspended,
    /// They handle events up to a second late.
    Starved,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTrouble {
    /// Nothing.
    None,
    /// Its calls take 60 times as long.
    Slow,
    /// Some calls remain without a response.
    Silent,
    /// It is away for a second or two after the first declaration.
    Away,
    /// As before, and it returns from a copy without this declaration, which the operator then writes again.
    Returns,
    /// Some calls remain without a response. It is away for a second or two some time after the first declaration, and
    /// returns from a copy that has it.
    ReturnsWithDeclaration,
}

/// Size, changes and faults of an emulation.
#[derive(Clone, Copy, Debug)]
pub struct DeclarationScenario {
    /// Entries, links, configurations and failing readers.
    pub feeds: FeedScenario,
    /// Time after the acknowledgement of a version from which on no request may begin on older weights.
    pub bound: Duration,
    /// Number of versions that are declared, 1 to 6 seconds apart.
    pub versions: usize,
    /// Delays of messages between regions.
    pub hop_delay: HopDelay,
    /// Share of datagrams that are lost.
    pub datagram_loss: f64,
    /// What happens to some of the entries.
    pub entry_trouble: EntryTrouble,
    /// What happens to the store.
    pub store_trouble: StoreTrouble,
}

impl DeclarationScenario {
    /// Longest delay of a message between two regions.
    pub const MAX_HOP_DELAY: Duration = Duration::from_secs(3);

    /// Time from which on versions are declared.
    pub const FIRST_DECLARATION: Duration = Duration::from_secs(5);

    /// Returns three versions beside a configuration of 36 entries that changes twice a second.
    pub fn grown() -> Self {
        Self {
            feeds: FeedScenario::grown(),
            bound: Duration::from_millis(13_400),
            versions: 3,
            hop_delay: HopDelay::None,
            datagram_loss: 0.0,
            entry_trouble: EntryTrouble::None,
            store_trouble: StoreTrouble::None,
        }
    }
}
