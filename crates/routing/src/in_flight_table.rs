//! What an entry itself has in progress at each target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::{HostName, Incarnation, TargetRow};

/// Counts the entry's own requests, so that rows which are a heartbeat old do not mislead it.
#[derive(Clone, Debug, Default)]
pub struct InFlightTable {
    flights: BTreeMap<HostName, TargetFlight>,
}

#[derive(Clone, Debug, Default)]
struct TargetFlight {
    row: (Incarnation, u64),
    in_flight: u32,
    delta_since_row: i32,
    full_until: Option<Instant>,
}

impl InFlightTable {
    /// Notes that a request was sent to `host`.
    pub fn on_sent(&mut self, host: &HostName) {
        let flight = self.flights.entry(host.clone()).or_default();
        flight.in_flight += 1;
        flight.delta_since_row += 1;
    }

    /// Notes that a request at `host` came to its end, whatever the end was.
    pub fn on_finished(&mut self, host: &HostName) {
        let Some(flight) = self.flights.get_mut(host) else {
            return;
        };
        flight.in_flight = flight.in_flight.saturating_sub(1);
        flight.delta_since_row -= 1;
        flight.full_until = None;
    }

    /// Notes that `host` refused a request at its limit, whatever its row says.
    pub fn on_limit_refusal(&mut self, now: Instant, host: &HostName) {
        self.on_finished(host);
        let flight = self.flights.entry(host.clone()).or_default();
        flight.full_until = Some(now + FULL_TIME);
    }

    /// Tells whether `host` refused so lately that it need not be asked again.
    pub fn is_backed_off(&self, now: Instant, host: &HostName) -> bool {
        let flight = self.flights.get(host);
        flight
            .and_then(|it| it.full_until)
            .is_some_and(|it| it > now)
    }

    /// Forgets what a newer `row` already contains.
    pub fn on_row(&mut self, row: &TargetRow) {
        let Some(flight) = self.flights.get_mut(&row.host) else {
            return;
        };
        let version = (row.incarnation, row.sequence);
        if flight.row != version {
            flight.row = version;
            flight.delta_since_row = 0;
        }
        if flight.in_flight == 0 && flight.delta_since_row == 0 {
            self.flights.remove(&row.host);
        }
    }

    /// Returns the requests that the entry has in progress at `host`.
    pub fn own_in_flight(&self, host: &HostName) -> u32 {
        self.flights.get(host).map_or(0, |it| it.in_flight)
    }

    /// Returns by how many requests the entry has changed the load of `host` since the last row.
    pub fn delta_since_row(&self, host: &HostName) -> i32 {
        self.flights.get(host).map_or(0, |it| it.delta_since_row)
    }
}

/// Time after a refusal in which a target is not asked, unless one of the entry's own requests ends there.
const FULL_TIME: Duration = Duration::from_millis(50);
