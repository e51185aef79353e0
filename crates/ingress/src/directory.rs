//! Service discovery for clients, and the readiness check of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::PeerRecord;
use httpio::{HttpBody, Incoming, Request, Response, StatusCode, header};
use platform::{DIRECTORY_PATH, DirectoryQuery, READY_PATH};

use crate::entry_shared::EntryShared;

/// Handles the platform's readiness check.
pub(crate) async fn handle_ready(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let status = match request.uri().path() {
        READY_PATH if shared.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    empty_response(status)
}

/// Handles a client's request for the addresses of entries.
pub(crate) async fn handle_directory(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    if request.uri().path() != DIRECTORY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = platform::decode_directory_query(request.uri().query().unwrap_or_default());
    let addresses = addresses(&shared, &query);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = platform::encode_directory_response(
        &addresses,
        RESPONSE_TTL.min(shared.settings.bounds.directory_ttl),
    );
    Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .body(httpio::full(body))
        .expect("the status and headers are valid")
}

/// Returns the entries that a client should use: those of its zone, or those of its region if there are too few, or else those of the
/// home regions of the host's routes or all.
fn addresses(shared: &EntryShared, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let own = shared.own_record();
    let state = shared.state();
    let mut serving: Vec<_> = state.peers.serving(Instant::now()).collect();
    if own.ready {
        serving.push(&own);
    }
    let in_zone = serving.iter().filter(|it| it.zone == query.zone);
    let in_zone: Vec<SocketAddr> = in_zone.map(|it| it.front).collect();
    if in_zone.len() >= MIN_NEARBY_ENTRIES {
        return in_zone;
    }
    let in_region = serving.iter().filter(|it| it.region == query.region);
    let in_region: Vec<SocketAddr> = in_region.map(|it| it.front).collect();
    if in_region.len() >= MIN_NEARBY_ENTRIES {
        return in_region;
    }
    let homes = state.routes.as_ref().map(|it| it.home_regions(&query.host));
    let homes = homes.unwrap_or_default();
    let is_home =
        |it: &&&PeerRecord| homes.contains(it.region.as_str()) || it.region == query.region;
    let in_homes = serving.iter().filter(is_home).take(MAX_ADDRESSES);
    let in_homes: Vec<SocketAddr> = in_homes.map(|it| it.front).collect();
    if !homes.is_empty() && !in_homes.is_empty() {
        return in_homes;
    }
    let all = serving.iter().take(MAX_ADDRESSES);
    all.map(|it| it.front).collect()
}

fn empty_response(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}

/// Time for which a client may cache the response. Some clients cache it three times as long, which must fit into the
/// grace period of a stop.
const RESPONSE_TTL: Duration = Duration::from_secs(1);

/// Number of entries in the client's zone, or else region, from which on the client is sent to these only.
const MIN_NEARBY_ENTRIES: usize = 2;

/// Maximum number of addresses that a client reads.
const MAX_ADDRESSES: usize = 64;
