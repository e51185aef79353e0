//! Brings an agent's copy of a table of the store up to date, through entries of its zone where they answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{FeedChange, FeedTable};
use platform::{RowChange, table_name};
use rand::seq::IteratorRandom;
use relay::RelayRequest;
use slog::info;

use crate::agent_shared::AgentShared;

/// Returns the changes of `table` since the last call; the store is asked to wait for one for at most `wait`.
///
/// # Errors
///
/// Says why neither an entry nor the store gave a usable answer.
pub(crate) async fn refresh(
    shared: &AgentShared,
    table: FeedTable,
    wait: Duration,
) -> Result<Vec<FeedChange>, String> {
    let since = version(shared, table);
    for entry in heard_entries(shared) {
        let question = RelayRequest {
            table,
            since,
            long_poll: !wait.is_zero(),
        };
        match relay::fetch_changes(&shared.sources, entry, question, MAX_COPY_AGE).await {
            Ok(answer) => {
                let mut state = shared.state();
                let feed = state.feeds.entry(table).or_default();
                return Ok(feed.apply_response(answer, Instant::now()));
            }
            Err(why) => {
                info!(shared.log, "entry not followed"; "entry" => entry.to_string(), "error" => why);
                shared.state().entries.remove(&entry);
            }
        }
    }
    let page = match since {
        Some(since) => match shared.store.follow(table_name(table), since, wait).await {
            Ok(RowChange::Changed(page)) => Some(page),
            Ok(RowChange::HistoryGone) => None,
            Err(err) => return Err(err.to_string()),
        },
        None => None,
    };
    if let Some(page) = page {
        let version = page.version;
        let changes = page.into_changes(None, false);
        let mut state = shared.state();
        let feed = state.feeds.entry(table).or_default();
        return Ok(feed.apply_changes(changes, version));
    }
    let page = shared.store.read_table(table_name(table)).await;
    let page = page.map_err(|it| it.to_string())?;
    let version = page.version;
    let changes = page.into_changes(None, false);
    let mut state = shared.state();
    let feed = state.feeds.entry(table).or_default();
    Ok(feed.apply_snapshot(changes, version, false))
}

fn version(shared: &AgentShared, table: FeedTable) -> Option<u64> {
    shared.state().feeds.get(&table).and_then(|it| it.version())
}

fn heard_entries(shared: &AgentShared) -> Vec<SocketAddr> {
    let state = shared.state();
    let heard = state.entries.iter();
    let heard = heard.filter(|it| it.1.elapsed() < HEARD_LIFETIME);
    heard.map(|it| *it.0).sample(&mut rand::rng(), MAX_ENTRIES)
}

/// Age of an entry's copy up to which an agent uses it; agents promise no client anything about its age.
const MAX_COPY_AGE: Duration = Duration::from_millis(3000);

/// Time since an entry's last message, sent every 0.7 s, after which it is not asked.
const HEARD_LIFETIME: Duration = Duration::from_millis(2200);

/// Entries that are asked before the store.
const MAX_ENTRIES: usize = 2;
