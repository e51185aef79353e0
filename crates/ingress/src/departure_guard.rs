//! Keeps requests from replicas that leave: what they say in responses, and what other processes have heard.
//!
//! Departures are those of [`fleet::ReplicaCatalog`]; see `docs/decisions/0048-lives-of-the-store.md`.

use std::time::{Duration, Instant};

use fleet::{DepartureDigest, DepartureRecord};
use routing::LifetimeId;

use crate::entry_shared::{EntryShared, EntryState};
use crate::replica_rows;

/// Records that a replica says in a response, or in a report to its agent, that it leaves.
pub(crate) fn record_said(shared: &EntryShared, replica: LifetimeId, source: &str) {
    let change = shared
        .state()
        .catalog
        .record_leaving(replica, Instant::now());
    let Some(change) = change else {
        return;
    };
    tell_others(&mut shared.state());
    shared.urgent_change.notify_one();
    replica_rows::handle_change(shared, &change, source);
}

/// Adds departures that another entry has told.
pub(crate) fn merge(shared: &EntryShared, records: &[DepartureRecord]) {
    for record in records {
        let change = shared
            .state()
            .catalog
            .record_departure(*record, Instant::now());
        if let Some(change) = change {
            // The entries of the zone have received the message, or it is passed on to them.
            shared.state().report_digest.record_change();
            replica_rows::handle_change(shared, &change, "entry");
        }
    }
}

/// Records that an entry was discovered, which has to learn all departures: the store may list these replicas as ready.
pub(crate) fn record_discovery(state: &mut EntryState, now: Instant) {
    state.tells_departures_until = Some(now + DISCOVERY_TIME);
}

/// Returns what this entry tells others: recent news, or all that it knows if one of them has just been discovered.
pub(crate) fn digest(state: &EntryState, now: Instant) -> DepartureDigest {
    let is_complete = state.tells_departures_until.is_some_and(|it| now < it);
    let records = if is_complete {
        state.catalog.known_departures()
    } else {
        state.catalog.departure_news(now)
    };
    DepartureDigest {
        records,
        is_complete,
    }
}

fn tell_others(state: &mut EntryState) {
    state.heartbeat_digest.record_change();
    state.report_digest.record_change();
}

/// Time for which an entry that was discovered is told all departures; the time of a few heartbeats or zone reports.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
