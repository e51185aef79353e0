//! Cache affinity: tracks which targets probably have a prompt prefix cached.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::HostName;

/// Bounded map from prefix hashes to the hosts that computed them.
///
/// Cache events are delayed and may be lost. The table therefore also records the entry's own dispatches, expires all
/// records, and discards everything about a host after a gap in its events.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    holders: BTreeMap<u64, BTreeMap<HostName, Instant>>,
    by_time: BTreeMap<(Instant, u64), ()>,
    last_sequence: BTreeMap<HostName, u64>,
}

impl PrefixTable {
    /// Records that a request with the prefix was sent to `host`.
    pub fn on_sent(&mut self, now: Instant, prefix: u64, host: &HostName) {
        let hosts = self.holders.entry(prefix).or_default();
        hosts.insert(host.clone(), now);
        self.by_time.insert((now, prefix), ());
        while self.holders.len() > MAX_PREFIXES || self.by_time.len() > 2 * MAX_PREFIXES {
            let Some(((time, oldest), ())) = self.by_time.pop_first() else {
                return;
            };
            self.remove_older(oldest, time);
        }
    }

    /// Processes a cache event of an engine. A gap in the sequence numbers means that events were lost; `stored`
    /// distinguishes an insertion from an eviction.
    pub fn on_event(
        &mut self,
        now: Instant,
        host: &HostName,
        sequence: u64,
        prefix: u64,
        stored: bool,
    ) {
        let last = self.last_sequence.insert(host.clone(), sequence);
        if last.is_some_and(|it| sequence != it + 1) {
            self.remove_host(host);
            self.last_sequence.insert(host.clone(), sequence);
        }
        if stored {
            self.on_sent(now, prefix, host);
        } else if let Some(hosts) = self.holders.get_mut(&prefix) {
            hosts.remove(host);
        }
    }

    /// Removes all records of `host`, for example after its restart.
    pub fn remove_host(&mut self, host: &HostName) {
        self.last_sequence.remove(host);
        self.holders.retain(|_, hosts| {
            hosts.remove(host);
            !hosts.is_empty()
        });
    }

    /// Returns the hosts that probably have `prefix` cached.
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

    /// Returns the number of prefixes in the table.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn remove_older(&mut self, prefix: u64, time: Instant) {
        let Some(hosts) = self.holders.get_mut(&prefix) else {
            return;
        };
        hosts.retain(|_, since| *since > time);
        if hosts.is_empty() {
            self.holders.remove(&prefix);
        }
    }
}

/// Maximum number of prefixes in the table.
const MAX_PREFIXES: usize = 4096;

/// Age after which an engine with limited memory has probably evicted an unused prefix.
const MAX_AGE: Duration = Duration::from_secs(120);
