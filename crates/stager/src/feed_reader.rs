//! Updates an agent's copy of a store table, from an entry of its availability zone if possible and otherwise from the
//! store.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{ClockChange, FeedChange, FeedContinuity, FeedTable, StorePosition};
use platform::{WatchResponse, table_name};
use rand::seq::IteratorRandom;
use relay::{RelayRequest, TimedResponse, boot_clock};
use slog::{info, warn};

use crate::agent_shared::{AgentShared, AgentState};

/// Updates the copy of `table` and returns the changes since the last call. The request waits for a change for at most
/// `wait`.
///
/// # Errors
///
/// Returns the reason if neither an entry nor the store sends a valid response.
pub(crate) async fn refresh(
    shared: &AgentShared,
    table: FeedTable,
    wait: Duration,
) -> Result<Vec<FeedChange>, String> {
    let since = known_position(shared, table);
    for entry in live_entries(shared) {
        match follow(shared, table, entry, !wait.is_zero()).await {
            Ok(changes) => return Ok(changes),
            Err(err) => {
                info!(shared.log, "entry not followed"; "entry" => entry.to_string(), "error" => err);
                shared.state().entries.remove(&entry);
            }
        }
    }
    if let Some(since) = since {
        let sent = boot_clock::now();
        let response = shared.store.watch(table_name(table), since, wait).await;
        if let WatchResponse::Changed(page) = response.map_err(|it| it.to_string())? {
            let read = page.store_read(since.era(), sent, boot_clock::now(), wait);
            let mut state = shared.state();
            let feed = state.feeds.entry(table).or_default();
            match feed.continuity(read.position.era()) {
                FeedContinuity::Same => {
                    let change = state.store_times.record_read(&read);
                    apply_clock_change(shared, &mut state, change);
                    let changes = page.into_changes(&read, Some(since), &state.store_times, false);
                    let feed = state.feeds.entry(table).or_default();
                    return Ok(feed.apply_changes(changes, read.position));
                }
                FeedContinuity::EarlierLife => return Err(EARLIER_LIFE.to_owned()),
                FeedContinuity::NewLife => {}
            }
        }
    }
    let sent = boot_clock::now();
    let page = shared.store.read_table(table_name(table)).await;
    let page = page.map_err(|it| it.to_string())?;
    let received = boot_clock::now();
    let mut state = shared.state();
    let feed = state.feeds.entry(table).or_default();
    let copy = feed.position();
    let known_era = copy.map_or(0, StorePosition::era);
    let read = page.store_read(known_era, sent, received, Duration::ZERO);
    if feed.continuity(read.position.era()) == FeedContinuity::EarlierLife {
        return Err(EARLIER_LIFE.to_owned());
    }
    let change = state.store_times.record_read(&read);
    apply_clock_change(shared, &mut state, change);
    let changes = page.into_changes(&read, copy, &state.store_times, false);
    let feed = state.feeds.entry(table).or_default();
    Ok(feed.apply_snapshot(changes, read.position, false))
}

fn apply_clock_change(shared: &AgentShared, state: &mut AgentState, change: ClockChange) {
    if let ClockChange::Restarted { set_back } = change {
        state.declarations.set_back(set_back);
        let set_back_ms = u64::try_from(set_back.as_millis()).unwrap_or(u64::MAX);
        warn!(shared.log, "the clock of the store is not steady"; "set_back_ms" => set_back_ms);
    }
}

/// Requests changes from `entry`.
async fn follow(
    shared: &AgentShared,
    table: FeedTable,
    entry: SocketAddr,
    long_poll: bool,
) -> Result<Vec<FeedChange>, String> {
    let since = shared
        .state()
        .feeds
        .get(&table)
        .and_then(|it| it.request_since());
    let request = RelayRequest {
        table,
        since,
        long_poll,
    };
    let response = relay::fetch_changes(&shared.peer_client, entry, request).await?;
    let TimedResponse {
        response,
        sent,
        received,
    } = response.ok_or("the entry has no copy yet")?;
    if Duration::from_millis(response.age_ms.into()) > MAX_COPY_AGE {
        return Err(format!("the entry's copy is {} ms old", response.age_ms));
    }
    let mut state = shared.state();
    let change = state.store_times.record_relayed(&response, sent, received);
    apply_clock_change(shared, &mut state, change);
    let feed = state.feeds.entry(table).or_default();
    feed.apply_response(response).map_err(|it| it.to_string())
}

fn known_position(shared: &AgentShared, table: FeedTable) -> Option<StorePosition> {
    let state = shared.state();
    state.feeds.get(&table).and_then(|it| it.position())
}

/// Returns entries of the zone that have sent messages recently, in random order.
fn live_entries(shared: &AgentShared) -> Vec<SocketAddr> {
    let state = shared.state();
    let entries = state.entries.iter();
    let entries = entries.filter(|it| it.1.elapsed() < ENTRY_TIMEOUT);
    entries
        .map(|it| *it.0)
        .sample(&mut rand::rng(), MAX_ENTRY_ATTEMPTS)
}

/// Reason why a response is not applied.
const EARLIER_LIFE: &str = "the response comes from an earlier life of the store";

/// Maximum age of an entry's copy. Agents make no guarantee to clients that depends on it.
const MAX_COPY_AGE: Duration = Duration::from_millis(3000);

/// Time without a message from an entry, which sends one every 0.7 s, after which the entry is not used.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2200);

/// Maximum number of entries that are tried before the store.
const MAX_ENTRY_ATTEMPTS: usize = 2;
