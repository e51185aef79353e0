//! Keeps requests in their home regions and out of evacuated zones.
//!
//! See `docs/design/homes.md` and `docs/design/evacuation.md`.

use std::time::{Duration, Instant};

use fleet::{FeedChange, FeedTable, PlacementRule};
use relay::boot_clock;
use slog::info;

use crate::client_call::ClientCall;
use crate::entry_shared::{EntryShared, EntryState};

/// Returns where `call` may be served.
pub(crate) fn rule<'a>(
    shared: &'a EntryShared,
    state: &'a EntryState,
    call: &'a ClientCall,
) -> PlacementRule<'a> {
    PlacementRule {
        regions: &shared.settings.regions,
        route_homes: &call.route.home_regions,
        tenant_homes: tenant_homes(call),
        evacuated: &state.evacuations,
    }
}

/// Returns for how long requests must wait because this entry was suspended and may not know an evacuation yet, if they must.
pub(crate) fn wait_after_suspension(state: &mut EntryState) -> Option<Duration> {
    let now = boot_clock::now();
    let confirmed = state.feed(FeedTable::Operator).confirmed_at();
    let end = state.suspension.wait_until(confirmed, now)?;
    Some(end.saturating_sub(now))
}

/// Waits until this entry knows the evacuations that may have begun while it was suspended.
pub(crate) async fn wait_until_known(shared: &EntryShared) {
    loop {
        let changed = shared.feed_changed.notified();
        let Some(wait) = wait_after_suspension(&mut shared.state()) else {
            return;
        };
        // A confirmation without a change wakes nobody.
        let _ = tokio::time::timeout(wait.min(MAX_WAIT_PAUSE), changed).await;
    }
}

/// Returns the home regions of the route of `call`, followed by those of its tenant, for logs.
pub(crate) fn home_regions(call: &ClientCall) -> Vec<&str> {
    let homes = call.route.home_regions.iter().chain(tenant_homes(call));
    homes.map(String::as_str).collect()
}

fn tenant_homes(call: &ClientCall) -> &[String] {
    call.tenant.as_ref().map_or(&[], |it| &it.home_regions)
}

/// Applies a change of the operator's row about the evacuation of `zone`.
pub(crate) fn apply_evacuation(shared: &EntryShared, zone: &str, row: &FeedChange) {
    let now = Instant::now();
    let mut state = shared.state();
    if row.value.is_some() {
        let is_new = state.evacuations.begin(zone);
        let in_flight = in_flight(&state, zone);
        drop(state);
        if is_new {
            info!(
                shared.log, "evacuation of a zone began";
                "zone" => zone,
                "position" => row.position.to_string(),
                "requests_in_flight" => in_flight,
            );
        }
    } else if state.evacuations.end(zone, row.from_copy, now) {
        drop(state);
        end_evacuation(shared, zone, "row");
    }
}

/// Ends evacuations whose rows a store has lost and that the operator has not written again.
pub(crate) fn expire(shared: &EntryShared) {
    let ended = shared.state().evacuations.expire(Instant::now());
    for zone in ended {
        end_evacuation(shared, &zone, "expiry");
    }
}

/// The replicas of a zone that is taken back may be cold, without any of them having said so yet.
fn end_evacuation(shared: &EntryShared, zone: &str, source: &str) {
    let mut state = shared.state();
    let services = state.routes.iter().flat_map(|it| it.services());
    let durations = services.filter_map(|it| Some(it.cold_start?.duration));
    let cold_time = durations.max().unwrap_or(Duration::ZERO);
    if !cold_time.is_zero() {
        let cold_time = cold_time + RETURN_RESERVE;
        state.cold.record_return(zone, cold_time, Instant::now());
    }
    drop(state);
    info!(
        shared.log, "evacuation of a zone ended";
        "zone" => zone,
        "source" => source,
        "cold_ms" => u64::try_from(cold_time.as_millis()).unwrap_or(u64::MAX),
    );
}

/// Returns the number of requests of this entry that are in flight at the replicas of `zone`.
fn in_flight(state: &EntryState, zone: &str) -> u32 {
    let replicas = state.catalog.all().filter(|it| it.zone == zone);
    replicas
        .map(|it| state.loads.load(&it.id).own.running)
        .sum()
}

/// Longest time between two looks at whether the operator's rows have been confirmed.
const MAX_WAIT_PAUSE: Duration = Duration::from_millis(20);

/// Added to the time for which replicas of a zone that is taken back count as cold: they may become cold a little later than the
/// store acknowledges it.
const RETURN_RESERVE: Duration = Duration::from_millis(500);
