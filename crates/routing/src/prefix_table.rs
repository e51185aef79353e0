//! Which targets are likely to hold a prompt's prefix in their cache.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::HostName;

/// Remembers, within bounds, where prefixes were computed.
///
/// Cache events come late and with gaps, so an entry's own dispatches count as well, everything ages, and a gap makes
/// all that is known of its target doubtful.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    holders: BTreeMap<u64, BTreeMap<HostName, Instant>>,
    ages: BTreeMap<(Instant, u64), ()>,
    last_event: BTreeMap<HostName, u64>,
}

impl PrefixTable {
    /// Notes that a request with the prefix was sent to `host`.
    pub fn on_sent(&mut self, now: Instant, prefix: u64, host: &HostName) {
        let hosts = self.holders.entry(prefix).or_default();
        hosts.insert(host.clone(), now);
        self.ages.insert((now, prefix), ());
        while self.holders.len() > MAX_PREFIXES || self.ages.len() > 2 * MAX_PREFIXES {
            let Some(((age, oldest), ())) = self.ages.pop_first() else {
                return;
            };
            self.drop_older(oldest, age);
        }
    }

    /// Takes in an engine's event with its sequence number.
    pub fn on_event(&mut self, now: Instant, host: &HostName, seq: u64, prefix: u64, stored: bool) {
        let last = self.last_event.insert(host.clone(), seq);
        if last.is_some_and(|it| seq != it + 1) {
            self.remove_host(host);
            self.last_event.insert(host.clone(), seq);
        }
        if stored {
            self.on_sent(now, prefix, host);
        } else if let Some(hosts) = self.holders.get_mut(&prefix) {
            hosts.remove(host);
        }
    }

    /// Drops all that is known of `host`, as after its restart.
    pub fn remove_host(&mut self, host: &HostName) {
        self.last_event.remove(host);
        self.holders.retain(|_, hosts| {
            hosts.remove(host);
            !hosts.is_empty()
        });
    }

    /// Returns the hosts that are likely to hold `prefix`.
    pub fn hosts(&self, now: Instant, prefix: u64) -> Vec<HostName> {
        let Some(hosts) = self.holders.get(&prefix) else {
            return Vec::new();
        };
        hosts
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) < MAX_AGE)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Returns the number of prefixes that are remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn drop_older(&mut self, prefix: u64, age: Instant) {
        let Some(hosts) = self.holders.get_mut(&prefix) else {
            return;
        };
        hosts.retain(|_, since| *since > age);
        if hosts.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

/// Prefixes that are remembered at once.
const MAX_PREFIXES: usize = 4096;

/// Age at which an engine of limited memory has likely evicted a prefix that nobody asked for.
const MAX_AGE: Duration = Duration::from_secs(120);
