//! Handling of load orders: validation, fetching of the weights and the change of the served version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use httpio::{HttpClient, Request, StatusCode, header};
use hyper::Uri;
use model::{ContentDigest, FencingNumber, VersionDigest, WeightManifest};
use serde::Deserialize;

use crate::engine::engine_inner::{EnginePhase, StopReason};
use crate::engine::engine_shared::EngineShared;

/// An order to load a version of the weights.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LoadOrder {
    pub(crate) manifest: WeightManifest,
    pub(crate) weights_url: String,
    pub(crate) fencing: FencingNumber,
    /// Whether the served version keeps serving until the new one is ready.
    #[serde(default)]
    pub(crate) beside: bool,
}

/// Number of attempts at one range before the load fails.
const RANGE_ATTEMPTS: usize = 5;

/// Delay before a range is requested again.
const RANGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for the body of one range.
const RANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for connecting to the source of the weights.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Executes a load order. The result is discarded if a later load order or a crash has advanced the load generation
/// beyond `generation`.
pub(crate) async fn run_load(shared: Arc<EngineShared>, order: LoadOrder, generation: u64) {
    let result = fetch_weights(&order).await;
    tokio::time::sleep(shared.options().load_time).await;
    let mut inner = shared.inner();
    if inner.load_generation != generation {
        return;
    }
    let result = match inner.faults.fail_loads {
        true => Err("load failed by an injected fault".to_owned()),
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

/// Validates `order` and starts the load phase. Returns the generation of the load, or the status and reason of the
/// refusal.
pub(crate) fn accept_load(
    shared: &EngineShared,
    order: &LoadOrder,
) -> Result<u64, (StatusCode, &'static str)> {
    let options = shared.options();
    let mut inner = shared.inner();
    if options.checks_fencing && order.fencing < inner.fencing {
        inner.refused_orders += 1;
        return Err((StatusCode::CONFLICT, "the fencing number is outdated"));
    }
    if order.beside && !options.loads_beside {
        return Err((
            StatusCode::BAD_REQUEST,
            "loading while another version serves is not supported",
        ));
    }
    if order.manifest.validate().is_err() {
        return Err((StatusCode::BAD_REQUEST, "the manifest is inconsistent"));
    }
    inner.fencing = inner.fencing.max(order.fencing);
    inner.load_generation += 1;
    inner.phase = EnginePhase::Loading;
    inner.error = None;
    inner.beside = order.beside && inner.serving.is_some();
    if !inner.beside {
        inner.unload(StopReason::Unloaded);
    }
    Ok(inner.load_generation)
}

/// Fetches the weights in ranges and computes the version digest from the bytes received.
///
/// The expected digests are not checked: corrupted weights are served under a different version digest.
async fn fetch_weights(order: &LoadOrder) -> Result<VersionDigest, String> {
    let uri: Uri = order
        .weights_url
        .parse()
        .map_err(|_| "the weights URL is malformed".to_owned())?;
    let address: SocketAddr = uri
        .authority()
        .and_then(|it| it.as_str().parse().ok())
        .ok_or("the weights URL contains no socket address")?;
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    let client = HttpClient::new(None, CONNECT_TIMEOUT);
    let mut computed = WeightManifest {
        chunks: Vec::with_capacity(order.manifest.chunk_count()),
        ..order.manifest.clone()
    };
    computed.chunks.clear();
    let mut weights_hasher = blake3::Hasher::new();
    for idx in 0..order.manifest.chunk_count() {
        let (start, len) = order.manifest.chunk_range(idx);
        let bytes = fetch_range(&client, address, path, start, len).await?;
        computed.chunks.push(ContentDigest::of(&bytes));
        weights_hasher.update(&bytes);
    }
    computed.full_digest = ContentDigest::from_bytes(*weights_hasher.finalize().as_bytes());
    Ok(computed.version())
}

async fn fetch_range(
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
        match fetch_range_once(client, address, path, start, len).await {
            Ok(bytes) => return Ok(bytes),
            Err(err) => error = err,
        }
    }
    Err(error)
}

async fn fetch_range_once(
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
    let pooled_response = client
        .send(address, request)
        .await
        .map_err(|err| err.to_string())?;
    let status = pooled_response.response.status();
    let response = pooled_response
        .read(client, len as usize, RANGE_TIMEOUT)
        .await
        .map_err(|err| err.to_string())?;
    if status != StatusCode::PARTIAL_CONTENT && status != StatusCode::OK {
        return Err(format!("the weights request returned status {status}"));
    }
    if response.body().len() as u64 != len {
        return Err(format!(
            "a range has an unexpected length of {} bytes",
            response.body().len()
        ));
    }
    Ok(response.into_body())
}
