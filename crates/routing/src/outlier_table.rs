//! Targets that fail too often to be tried.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::HostName;

/// Leaves out targets after repeated failures, longer each time, but never more than half of a group.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    records: BTreeMap<HostName, FailureRecord>,
}

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    in_a_row: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl OutlierTable {
    /// Notes a lost connection, a cut answer or a failure of the target itself; refusals are no failures.
    pub fn on_failure(&mut self, now: Instant, host: &HostName) {
        let record = self.records.entry(host.clone()).or_default();
        record.in_a_row += 1;
        if record.in_a_row < FAILURES_TO_EJECT || record.until.is_some_and(|it| it > now) {
            return;
        }
        let time = FIRST_EJECTION * 2u32.pow(record.ejections.min(MAX_DOUBLINGS));
        record.until = Some(now + time);
        record.ejections += 1;
        record.in_a_row = FAILURES_TO_EJECT - 1;
    }

    /// Notes a whole answer, which clears the target.
    pub fn on_success(&mut self, host: &HostName) {
        self.records.remove(host);
    }

    /// Keeps the hosts of `group` that may be tried, in their order.
    ///
    /// When more than half are ejected, those whose time ends first are kept as well: with most of a group failing the
    /// cause is elsewhere, and an empty group would turn a fault into an outage.
    pub fn eligible<'a>(&self, now: Instant, group: &[&'a HostName]) -> Vec<&'a HostName> {
        let min_kept = group.len().div_ceil(2);
        let mut ends: Vec<(Option<Instant>, usize)> = group
            .iter()
            .enumerate()
            .map(|(idx, host)| (self.ejected_until(now, host), idx))
            .collect();
        ends.sort();
        let mut kept: Vec<usize> = ends
            .iter()
            .enumerate()
            .filter(|(rank, (until, _))| until.is_none() || *rank < min_kept)
            .map(|(_, (_, idx))| *idx)
            .collect();
        kept.sort_unstable();
        kept.into_iter().map(|it| group[it]).collect()
    }

    /// Returns when the ejection of `host` ends, or `None` when it is not ejected.
    pub fn ejected_until(&self, now: Instant, host: &HostName) -> Option<Instant> {
        self.records.get(host)?.until.filter(|it| *it > now)
    }

    /// Forgets hosts that are gone.
    pub fn retain(&mut self, mut known: impl FnMut(&HostName) -> bool) {
        self.records.retain(|host, _| known(host));
    }
}

/// Failures in a row after which a target is left out.
const FAILURES_TO_EJECT: u32 = 3;

/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Doublings of the ejection at most: 32 s.
const MAX_DOUBLINGS: u32 = 5;
