//! Tells clients where to connect, and the platform whether this machine is ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use httpio::{Incoming, ReplyBody, Request, Response, StatusCode, header};
use platform::{DIRECTORY_PATH, DirectoryQuery, READY_PATH};

use crate::entry_shared::EntryShared;

/// Answers the platform's question whether this machine is ready.
pub(crate) async fn answer_ready(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let status = match request.uri().path() {
        READY_PATH if shared.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    bare(status)
}

/// Answers a client that asks where to connect.
pub(crate) async fn answer_directory(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    if request.uri().path() != DIRECTORY_PATH {
        return bare(StatusCode::NOT_FOUND);
    }
    let query = platform::decode_directory_query(request.uri().query().unwrap_or_default());
    let addresses = addresses(&shared, &query);
    if addresses.is_empty() {
        return bare(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = platform::directory_answer(
        &addresses,
        LIFETIME.min(shared.settings.bounds.directory_ttl),
    );
    Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(httpio::full(body))
        .expect("status and headers are valid")
}

/// Returns the entries for a client: those of its zone, or of its region and then all where these are too few.
fn addresses(shared: &EntryShared, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let own = shared.own_record();
    let state = shared.state();
    let mut serving: Vec<_> = state.peers.serving(Instant::now()).collect();
    if own.ready {
        serving.push(&own);
    }
    let near = serving.iter().filter(|it| it.zone == query.zone);
    let near: Vec<SocketAddr> = near.map(|it| it.front).collect();
    if near.len() >= MIN_NEAR_ENTRIES {
        return near;
    }
    let region = serving.iter().filter(|it| it.region == query.region);
    let region: Vec<SocketAddr> = region.map(|it| it.front).collect();
    if region.len() >= MIN_NEAR_ENTRIES {
        return region;
    }
    serving
        .iter()
        .take(MAX_ADDRESSES)
        .map(|it| it.front)
        .collect()
}

fn bare(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}

/// Time for which a client keeps the answer. Some keep it three times as long, which must fit into the grace of a stop.
const LIFETIME: Duration = Duration::from_secs(1);

/// Entries near a client that are enough to send it nowhere else.
const MIN_NEAR_ENTRIES: usize = 2;

/// Addresses that a client reads.
const MAX_ADDRESSES: usize = 64;
