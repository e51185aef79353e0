//! Entries that read the store pass its changes on to the other entries of their zone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedResponse, FeedTable};
use httpio::{Incoming, ReplyBody, Request, Response, StatusCode};
use platform::NodeBounds;
use relay::RelayRequest;

use crate::boot_clock;
use crate::entry_shared::EntryShared;
use crate::feed_loop::{feed_wait, gather_time};

/// Answers a process of the zone that follows a table through this entry.
pub(crate) async fn answer(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let mut response = Response::new(httpio::empty());
    let Some(question) = RelayRequest::parse(request.uri().path()) else {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    match wait_for_changes(&shared, question).await {
        Some(answer) => {
            let bytes = postcard::to_allocvec(&answer).expect("an answer is always encodable");
            response.map(|_| httpio::full(bytes))
        }
        None => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

async fn wait_for_changes(shared: &EntryShared, question: RelayRequest) -> Option<FeedResponse> {
    let hold = if question.long_poll {
        relay::LONG_POLL_TIMEOUT
    } else {
        Duration::ZERO
    };
    let deadline = Instant::now() + hold;
    loop {
        let changed = shared.feed_changed.notified();
        let answer = current(shared, question)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let age = Duration::from_millis(answer.age_ms.into());
        let stale_age = stale_age(&shared.settings.bounds, question.table);
        let until_stale = stale_age.saturating_sub(age);
        if !answer.rows.is_empty() || left.is_zero() || until_stale.is_zero() {
            return Some(answer);
        }
        // Whether it is a change or the end of the wait is seen in the next round.
        let _ = tokio::time::timeout(left.min(until_stale), changed).await;
    }
}

fn current(shared: &EntryShared, question: RelayRequest) -> Option<FeedResponse> {
    let mut state = shared.state();
    let feed = state.feed(question.table);
    feed.response_since(question.since, Instant::now(), boot_clock::now())
}

/// Returns the age of a reader's copy beyond which it is not followed.
pub(crate) fn stale_age(bounds: &NodeBounds, table: FeedTable) -> Duration {
    fleet::max_reader_age(feed_wait(bounds, table, true), gather_time(table))
}
