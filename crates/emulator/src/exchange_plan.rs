//! Which entries of an emulation send each other datagrams, and how long these take.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Which entries send each other datagrams. Entries are numbered by zone in turn, so the first entry of a zone has its
/// number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangePlan {
    zones: usize,
    /// Share of lost datagrams.
    loss: f64,
}

impl ExchangePlan {
    pub(crate) fn new(zones: u64, loss: f64) -> Self {
        Self {
            zones: zones as usize,
            loss,
        }
    }

    pub(crate) fn zone_of(&self, entry: usize) -> usize {
        entry % self.zones
    }

    /// Returns whether `entry` reports for its zone and passes on the reports of others.
    pub(crate) fn is_reporter(&self, entry: usize) -> bool {
        entry < self.zones
    }

    /// Returns the other ones of `entries` entries that are in the zone of `entry`.
    pub(crate) fn peers_of(&self, entry: usize, entries: usize) -> Vec<usize> {
        let zone = self.zone_of(entry);
        let in_zone = (zone..entries).step_by(self.zones);
        in_zone.filter(|it| *it != entry).collect()
    }

    /// Returns the entries that receive the reports of `zone`: two of each other zone.
    pub(crate) fn report_targets(&self, zone: usize, entries: usize) -> Vec<usize> {
        let others = (0..self.zones).filter(|it| *it != zone);
        let targets = others.flat_map(|it| [it, it + self.zones]);
        targets.filter(|it| *it < entries).collect()
    }

    /// Returns the interval of reports, which grows with the number of zones.
    pub(crate) fn report_interval(&self) -> Duration {
        let scale = (self.zones - 1).div_ceil(ZONES_AT_MIN_INTERVAL);
        REPORT_INTERVAL * u32::try_from(scale.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the delay of a datagram, or `None` if it is lost.
    pub(crate) fn delay(&self, random: &mut StdRng) -> Option<Duration> {
        if random.random_bool(self.loss) {
            return None;
        }
        Some(Duration::from_millis(random.random_range(1..8)))
    }
}

/// Interval of heartbeats under load.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);

/// Interval of reports between few zones.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of other zones up to which reports are sent at this interval.
const ZONES_AT_MIN_INTERVAL: usize = 5;
