//! Load orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use httpio::{HttpClient, Request, StatusCode, header};
use hyper::Uri;
use model::{ContentDigest, FencingNumber, VersionDigest, WeightManifest};
use serde::Deserialize;

use crate::engine::engine_inner::{EnginePhase, StopReason};
use crate::engine::engine_shared::EngineShared;

/// An order to load a version.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LoadOrder {
    pub(crate) manifest: WeightManifest,
    pub(crate) weights_url: String,
    pub(crate) fencing: FencingNumber,
    #[serde(default)]
    pub(crate) beside: bool,
}

/// Attempts at one range before a load fails.
const RANGE_ATTEMPTS: usize = 5;

/// Pause before a range is asked for again.
const RANGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for one range.
const RANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a connection to the weights.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Carries out load order number `load`, unless a later one overtakes it.
pub(crate) async fn run_load(shared: Arc<EngineShared>, order: LoadOrder, load: u64) {
    let result = read_weights(&order).await;
    tokio::time::sleep(shared.options().load_time).await;
    let mut inner = shared.inner();
    if inner.loads != load {
        return;
    }
    let result = match inner.faults.fail_loads {
        true => Err("the load fails on purpose".to_owned()),
        false => result,
    };
    match result {
        Ok(version) => inner.serve(version),
        Err(error) => {
            inner.phase = EnginePhase::Failed;
            inner.error = Some(error);
        }
    }
}

/// Accepts or refuses `order`; the number of the load is returned.
pub(crate) fn accept_load(
    shared: &EngineShared,
    order: &LoadOrder,
) -> Result<u64, (StatusCode, &'static str)> {
    let options = shared.options();
    let mut inner = shared.inner();
    if options.checks_fencing && order.fencing < inner.fencing {
        inner.refused_orders += 1;
        return Err((StatusCode::CONFLICT, "the fencing number is old"));
    }
    if order.beside && !options.loads_beside {
        return Err((StatusCode::BAD_REQUEST, "loading beside is not supported"));
    }
    if order.manifest.check().is_err() {
        return Err((StatusCode::BAD_REQUEST, "the manifest contradicts itself"));
    }
    inner.fencing = inner.fencing.max(order.fencing);
    inner.loads += 1;
    inner.phase = EnginePhase::Loading;
    inner.error = None;
    inner.beside = order.beside && inner.serving.is_some();
    if !inner.beside {
        inner.unload(StopReason::Unloaded);
    }
    Ok(inner.loads)
}

/// Reads all weights in ranges and computes the digest of the version that these bytes are.
async fn read_weights(order: &LoadOrder) -> Result<VersionDigest, String> {
    let uri: Uri = order
        .weights_url
        .parse()
        .map_err(|_| "the URL of the weights is malformed".to_owned())?;
    let address: SocketAddr = uri
        .authority()
        .and_then(|it| it.as_str().parse().ok())
        .ok_or("the URL of the weights names no address")?;
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    let client = HttpClient::new(None, CONNECT_TIMEOUT);
    let mut read = WeightManifest {
        chunks: Vec::with_capacity(order.manifest.chunk_count()),
        ..order.manifest.clone()
    };
    read.chunks.clear();
    let mut whole = blake3::Hasher::new();
    for idx in 0..order.manifest.chunk_count() {
        let (start, len) = order.manifest.chunk_range(idx);
        let bytes = read_range(&client, address, path, start, len).await?;
        read.chunks.push(ContentDigest::of(&bytes));
        whole.update(&bytes);
    }
    read.full_digest = ContentDigest::from_bytes(*whole.finalize().as_bytes());
    Ok(read.version())
}

async fn read_range(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    start: u64,
    len: u64,
) -> Result<bytes::Bytes, String> {
    let mut error = String::new();
    for attempt in 0..RANGE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RANGE_RETRY_DELAY).await;
        }
        match try_range(client, address, path, start, len).await {
            Ok(bytes) => return Ok(bytes),
            Err(err) => error = err,
        }
    }
    Err(error)
}

async fn try_range(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    start: u64,
    len: u64,
) -> Result<bytes::Bytes, String> {
    let request = Request::get(path)
        .header(header::RANGE, format!("bytes={start}-{}", start + len - 1))
        .body(httpio::empty())
        .map_err(|err| err.to_string())?;
    let reply = client
        .send(address, request)
        .await
        .map_err(|err| err.to_string())?;
    let status = reply.response.status();
    let response = reply
        .read(client, len as usize, RANGE_TIMEOUT)
        .await
        .map_err(|err| err.to_string())?;
    if status != StatusCode::PARTIAL_CONTENT && status != StatusCode::OK {
        return Err(format!("the weights were answered with {status}"));
    }
    if response.body().len() as u64 != len {
        return Err(format!("a range has {} bytes", response.body().len()));
    }
    Ok(response.into_body())
}
