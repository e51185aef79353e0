//! Outlier detection: ejects targets that fail several times in a row.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::HostName;

/// Ejects targets after consecutive failures with exponentially increasing durations, but at most half of a group.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    records: BTreeMap<HostName, FailureRecord>,
}

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl OutlierTable {
    /// Records a lost connection, a truncated response or an error of the target; refusals do not count as failures.
    pub fn on_failure(&mut self, now: Instant, host: &HostName) {
        let record = self.records.entry(host.clone()).or_default();
        record.consecutive_failures += 1;
        if record.consecutive_failures < FAILURES_TO_EJECT
            || record.ejected_until.is_some_and(|it| it > now)
        {
            return;
        }
        let duration = FIRST_EJECTION * 2u32.pow(record.ejections.min(MAX_DOUBLINGS));
        record.ejected_until = Some(now + duration);
        record.ejections += 1;
        record.consecutive_failures = FAILURES_TO_EJECT - 1;
    }

    /// Records a complete response, which resets the target's failures and ejections.
    pub fn on_success(&mut self, host: &HostName) {
        self.records.remove(host);
    }

    /// Returns the hosts of `group` that may receive requests, in their original order.
    ///
    /// If more than half are ejected, those whose ejections end first are included until half of the group is eligible:
    /// when most of a group fails the cause is elsewhere, and an empty group would turn a fault into an outage.
    pub fn eligible<'a>(&self, now: Instant, group: &[&'a HostName]) -> Vec<&'a HostName> {
        let min_eligible = group.len().div_ceil(2);
        let mut ends: Vec<(Option<Instant>, usize)> = group
            .iter()
            .enumerate()
            .map(|(idx, host)| (self.ejected_until(now, host), idx))
            .collect();
        ends.sort();
        let mut eligible: Vec<usize> = ends
            .iter()
            .enumerate()
            .filter(|(rank, (until, _))| until.is_none() || *rank < min_eligible)
            .map(|(_, (_, idx))| *idx)
            .collect();
        eligible.sort_unstable();
        eligible.into_iter().map(|it| group[it]).collect()
    }

    /// Returns the end of the ejection of `host`, or `None` if it is not ejected.
    pub fn ejected_until(&self, now: Instant, host: &HostName) -> Option<Instant> {
        self.records.get(host)?.ejected_until.filter(|it| *it > now)
    }

    /// Removes the records of hosts for which `known` returns `false`.
    pub fn retain(&mut self, mut known: impl FnMut(&HostName) -> bool) {
        self.records.retain(|host, _| known(host));
    }
}

/// Consecutive failures that eject a target.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection; each further ejection doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum number of doublings, which limits an ejection to 32 s.
const MAX_DOUBLINGS: u32 = 5;
