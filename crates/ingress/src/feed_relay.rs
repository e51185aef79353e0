//! Serves the changes of followed store tables to other entries and to agents of the zone, and the configuration in force to
//! entries that are behind.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedResponse, FeedTable, PackedBytes};
use httpio::{HttpBody, Incoming, Request, Response, StatusCode};
use relay::{RelayRequest, boot_clock};

use crate::entry_shared::EntryShared;
use crate::feed_loop::change_bound;

/// Handles a request of another process of the zone for the changes of a table.
pub(crate) async fn handle(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    if let Some(version) = relay::parse_config_path(request.uri().path()) {
        return config_response(&shared, version);
    }
    let mut response = Response::new(httpio::empty());
    let Some(feed_request) = RelayRequest::parse(request.uri().path()) else {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    match wait_for_changes(&shared, feed_request).await {
        Some(feed_response) => {
            let bytes =
                postcard::to_allocvec(&feed_response).expect("encoding changes cannot fail");
            let purpose = match feed_request.table {
                FeedTable::Operator => "relayed_op",
                FeedTable::Replicas => "relayed_servers",
            };
            shared.metrics.count_sent(purpose, bytes.len());
            response.map(|_| httpio::full(bytes))
        }
        None => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

/// Responds with the configuration in force if it is newer than `version`.
fn config_response(shared: &EntryShared, version: u64) -> Response<HttpBody> {
    let state = shared.state();
    let is_newer = state
        .routes
        .as_ref()
        .is_some_and(|it| it.version() > version);
    let document = state.config_document.clone().filter(|_| is_newer);
    drop(state);
    let packed = document.and_then(|it| PackedBytes::pack(&it));
    let Some(packed) = packed else {
        let mut response = Response::new(httpio::empty());
        *response.status_mut() = StatusCode::NO_CONTENT;
        return response;
    };
    let bytes = postcard::to_allocvec(&packed).expect("encoding bytes cannot fail");
    shared.metrics.count_sent("config", bytes.len());
    Response::new(httpio::full(bytes))
}

async fn wait_for_changes(
    shared: &EntryShared,
    feed_request: RelayRequest,
) -> Option<FeedResponse> {
    let max_wait = if feed_request.long_poll {
        relay::LONG_POLL_TIMEOUT
    } else {
        Duration::ZERO
    };
    let arrived = boot_clock::now();
    let began = Instant::now();
    loop {
        let changed = shared.feed_changed.notified();
        let feed_response = current_response(shared, feed_request, arrived);
        let is_cut_off = !shared.state().cut_off_feeds.is_empty();
        let max_wait = fleet::relay_wait(max_wait, is_cut_off);
        let time_remaining = max_wait.saturating_sub(began.elapsed());
        let table = feed_request.table;
        let stale_age = fleet::stale_age(table, change_bound(shared, table));
        // Without a copy, the entry waits for its own first read.
        let age = feed_response.as_ref().map_or(0, |it| it.age_ms);
        let until_stale = stale_age.saturating_sub(Duration::from_millis(age.into()));
        let has_rows = feed_response.as_ref().is_some_and(|it| !it.rows.is_empty());
        if has_rows || time_remaining.is_zero() || until_stale.is_zero() {
            return feed_response;
        }
        // The next iteration distinguishes between a change and the end of the wait.
        let _ = tokio::time::timeout(time_remaining.min(until_stale), changed).await;
    }
}

fn current_response(
    shared: &EntryShared,
    feed_request: RelayRequest,
    arrived: Duration,
) -> Option<FeedResponse> {
    let now = boot_clock::now();
    let held = now.saturating_sub(arrived);
    let mut state = shared.state();
    let (feed, times) = state.feed_and_times(feed_request.table);
    feed.response_since(feed_request.since, held, times, now)
}
