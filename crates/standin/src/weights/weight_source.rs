//! A simulated HTTP source of weights.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::{
    BodySender, HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode, header,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::json;

use crate::http_util;
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::{self, StandinRuntime};
use crate::weights::weight_catalog::{CatalogEntry, WeightCatalog};
use crate::weights::weight_faults::WeightFaults;

/// The origin or the weight store. It serves manifests and ranges of weights, and all connections share its bandwidth.
#[derive(Clone, Debug)]
pub struct WeightSource {
    shared: Arc<SourceShared>,
    server: ServerHandle,
}

/// Counters of a source for one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SourceCounters {
    /// Bytes of weights handed to the network, whether or not the client received them.
    pub bytes: u64,
    /// Number of requests for weights.
    pub requests: u64,
    /// Number of requests for the manifest.
    pub manifests: u64,
}

#[derive(Debug)]
struct SourceShared {
    inner: Mutex<SourceInner>,
    bytes: RateLimiter,
    requests: RateLimiter,
}

#[derive(Debug)]
struct SourceInner {
    catalog: WeightCatalog,
    faults: WeightFaults,
    served: BTreeMap<String, SourceCounters>,
    throttled: u64,
    rng: StdRng,
}

/// The random faults of one response: offsets of the corrupted byte and of the end.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseFaults {
    corrupt_at: Option<u64>,
    truncate_at: Option<u64>,
}

impl WeightSource {
    /// Starts a source that serves `catalog`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        catalog: WeightCatalog,
    ) -> std::io::Result<Self> {
        let inner = SourceInner {
            catalog,
            faults: WeightFaults::default(),
            served: BTreeMap::new(),
            throttled: 0,
            rng: StdRng::seed_from_u64(0),
        };
        let shared = Arc::new(SourceShared {
            inner: Mutex::new(inner),
            bytes: RateLimiter::new(None, BYTE_BURST),
            requests: RateLimiter::new(None, REQUEST_BURST),
        });
        let source = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = source.clone();
            async move { shared.handle_request(request).await }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address on which the source listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults and the rate limits.
    pub fn set_faults(&self, faults: WeightFaults) {
        self.shared.set_faults(faults);
    }

    /// Replaces the versions that the source serves.
    pub fn set_catalog(&self, catalog: WeightCatalog) {
        self.shared.inner().catalog = catalog;
    }

    /// Returns the counters of each version, by `MODEL/LABEL`.
    pub fn served(&self) -> BTreeMap<String, SourceCounters> {
        self.shared.inner().served.clone()
    }

    /// Returns the bytes sent of a version, as a multiple of its size.
    pub fn served_copies(&self, model: &str, label: &str) -> f64 {
        let inner = self.shared.inner();
        let Some(entry) = inner.catalog.get(model, label) else {
            return 0.0;
        };
        let served = inner.served.get(&format!("{model}/{label}"));
        served.map_or(0, |it| it.bytes) as f64 / entry.manifest.total_bytes as f64
    }

    /// Returns the number of requests answered with status 429.
    pub fn throttled(&self) -> u64 {
        self.shared.inner().throttled
    }
}

impl SourceShared {
    async fn handle_request(self: &Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, http_util::FAULTS_PATH) => match http_util::read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    http_util::json(StatusCode::OK, &json!({}))
                }
                Err(error_response) => *error_response,
            },
            (&Method::GET, http_util::COUNTERS_PATH) => {
                http_util::json(StatusCode::OK, &self.inner().served)
            }
            (&Method::GET, _) => self.serve_weights(&request).await,
            _ => http_util::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is supported"),
        }
    }

    async fn serve_weights(self: &Arc<Self>, request: &Request<Incoming>) -> Response<HttpBody> {
        let faults = self.inner().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return http_util::text(StatusCode::SERVICE_UNAVAILABLE, "the source is unavailable");
        }
        if !self.requests.try_acquire(1, Instant::now()) {
            self.inner().throttled += 1;
            let mut response = http_util::text(
                StatusCode::TOO_MANY_REQUESTS,
                "the request rate limit is exceeded",
            );
            let seconds = header::HeaderValue::from_static("1");
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
            return response;
        }
        let path: Vec<&str> = request.uri().path().split('/').collect();
        let ["", "weights", model, label, resource] = path[..] else {
            return http_util::text(StatusCode::NOT_FOUND, "unknown path");
        };
        let Some(entry) = self.inner().catalog.get(model, label).cloned() else {
            return http_util::text(StatusCode::NOT_FOUND, "unknown version");
        };
        let version_key = format!("{model}/{label}");
        match resource {
            "manifest" => {
                self.inner()
                    .served
                    .entry(version_key)
                    .or_default()
                    .manifests += 1;
                http_util::json(StatusCode::OK, &entry.manifest)
            }
            "data" => self.serve_data(request, version_key, &entry),
            _ => http_util::text(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn serve_data(
        self: &Arc<Self>,
        request: &Request<Incoming>,
        version_key: String,
        entry: &CatalogEntry,
    ) -> Response<HttpBody> {
        let total = entry.manifest.total_bytes;
        let Some(range) = http_util::byte_range(request, total) else {
            return http_util::text(
                StatusCode::RANGE_NOT_SATISFIABLE,
                "the range is outside of the weights",
            );
        };
        let content = entry
            .data
            .slice(range.start as usize..(range.start + range.len) as usize);
        let response_faults = {
            let mut inner = self.inner();
            inner
                .served
                .entry(version_key.clone())
                .or_default()
                .requests += 1;
            inner.draw_faults(range.len)
        };
        let (sender, body) = httpio::stream(1);
        tokio::spawn(send_content(
            self.clone(),
            sender,
            version_key,
            content,
            response_faults,
        ));
        let mut response = Response::new(body);
        range.set_headers(total, &mut response);
        response
    }

    fn set_faults(&self, faults: WeightFaults) {
        self.bytes.set_rate(faults.bytes_per_s);
        self.requests.set_rate(faults.requests_per_s);
        let mut inner = self.inner();
        if faults.seed != inner.faults.seed {
            inner.rng = StdRng::seed_from_u64(faults.seed);
        }
        inner.faults = faults;
    }

    fn inner(&self) -> MutexGuard<'_, SourceInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the source lock")
    }
}

impl SourceInner {
    /// Draws the random faults of a response of `len` bytes.
    fn draw_faults(&mut self, len: u64) -> ResponseFaults {
        let mut response_faults = ResponseFaults::default();
        if self.faults.corrupt_share > 0.0 && self.rng.random_bool(self.faults.corrupt_share) {
            response_faults.corrupt_at = Some(self.rng.random_range(0..len.max(1)));
        }
        if self.faults.cut_share > 0.0 && self.rng.random_bool(self.faults.cut_share) {
            response_faults.truncate_at = Some(self.rng.random_range(0..len.max(1)));
        }
        response_faults
    }
}

/// Sends `content` frame by frame within the shared bandwidth, so that a client that disconnects stops using bandwidth.
async fn send_content(
    shared: Arc<SourceShared>,
    sender: BodySender,
    version_key: String,
    content: Bytes,
    response_faults: ResponseFaults,
) {
    let mut sent = 0;
    while sent < content.len() {
        let mut end = (sent + FRAME_BYTES).min(content.len());
        if let Some(truncate_at) = response_faults.truncate_at {
            end = end.min(truncate_at as usize);
        }
        if end == sent {
            return;
        }
        let frame = corrupt_frame(content.slice(sent..end), sent, response_faults.corrupt_at);
        while shared.inner().faults.stall {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        let ready = shared.bytes.reserve(frame.len() as u64, Instant::now());
        tokio::time::sleep_until(ready.into()).await;
        let len = frame.len();
        if sender.send(frame).await.is_err() {
            return;
        }
        let mut inner = shared.inner();
        inner.served.entry(version_key.clone()).or_default().bytes += len as u64;
        sent = end;
    }
    sender.finish();
}

/// Flips a bit of the byte at `corrupt_at` if `frame`, which begins at offset `start`, contains it.
fn corrupt_frame(frame: Bytes, start: usize, corrupt_at: Option<u64>) -> Bytes {
    let Some(offset) = corrupt_at.and_then(|it| (it as usize).checked_sub(start)) else {
        return frame;
    };
    if offset >= frame.len() {
        return frame;
    }
    let mut bytes = frame.to_vec();
    bytes[offset] ^= 1;
    bytes.into()
}

/// Maximum size of a body frame in bytes.
const FRAME_BYTES: usize = 64 * 1024;

/// Burst that the bandwidth limit allows after an idle period, as a time at the full rate.
const BYTE_BURST: Duration = Duration::from_millis(20);

/// Burst that the request rate limit allows after an idle period, as a time at the full rate.
const REQUEST_BURST: Duration = Duration::from_millis(200);

/// Interval at which a stalled response checks whether the fault has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
