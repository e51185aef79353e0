//! An entry's own requests in flight at each target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{HostName, Incarnation, TargetRow};

/// Counts the entry's own requests, to correct the rows of targets. A row is the load report of a gate and may be one
/// heartbeat old.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    targets: BTreeMap<HostName, TargetInFlight>,
}

#[derive(Clone, Debug, Default)]
struct TargetInFlight {
    row_version: (Incarnation, u64),
    in_flight: u32,
    delta_since_row: i32,
    backoff_until: Option<Instant>,
}

impl InFlightTable {
    /// Records that a request was sent to `host`.
    pub fn on_sent(&mut self, host: &HostName) {
        let target = self.targets.entry(host.clone()).or_default();
        target.in_flight += 1;
        target.delta_since_row += 1;
    }

    /// Records that a request at `host` ended, successfully or not.
    pub fn on_finished(&mut self, host: &HostName) {
        let Some(target) = self.targets.get_mut(host) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.delta_since_row -= 1;
        target.backoff_until = None;
    }

    /// Records that `host` refused a request because of its limit, and starts a backoff whatever load its row shows.
    pub fn on_limit_refusal(&mut self, now: Instant, host: &HostName) {
        self.on_finished(host);
        let target = self.targets.entry(host.clone()).or_default();
        target.backoff_until = Some(now + LIMIT_BACKOFF);
    }

    /// Returns whether `host` is in a backoff after a refusal.
    pub fn is_backed_off(&self, now: Instant, host: &HostName) -> bool {
        let target = self.targets.get(host);
        target
            .and_then(|it| it.backoff_until)
            .is_some_and(|it| it > now)
    }

    /// Resets the change in load if `row` is newer than the last one, because it already includes the change.
    pub fn on_row(&mut self, row: &TargetRow) {
        let Some(target) = self.targets.get_mut(&row.host) else {
            return;
        };
        let version = (row.incarnation, row.sequence);
        if target.row_version != version {
            target.row_version = version;
            target.delta_since_row = 0;
        }
        if target.in_flight == 0 && target.delta_since_row == 0 {
            self.targets.remove(&row.host);
        }
    }

    /// Returns the number of this entry's requests in flight at `host`.
    pub fn own_in_flight(&self, host: &HostName) -> u32 {
        self.targets.get(host).map_or(0, |it| it.in_flight)
    }

    /// Returns the number of requests that the entry started at `host`, minus those that ended, since the last row.
    pub fn delta_since_row(&self, host: &HostName) -> i32 {
        self.targets.get(host).map_or(0, |it| it.delta_since_row)
    }
}

/// Backoff after a refusal; it ends early when one of the entry's own requests at the target ends.
const LIMIT_BACKOFF: Duration = Duration::from_millis(50);
