//! A source of weights over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use httpio::{
    BodySender, HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode, header,
};
use hyper::body::Frame;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::json;

use crate::answers;
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::{self, StandinRuntime};
use crate::weights::weight_catalog::{CatalogEntry, WeightCatalog};
use crate::weights::weight_faults::WeightFaults;

/// The origin or the weight store: serves manifests and ranges of weights at a shared rate.
#[derive(Clone, Debug)]
pub struct WeightSource {
    shared: Arc<SourceShared>,
    server: ServerHandle,
}

/// What a source has served of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SourceCounters {
    /// Bytes of weights that were handed to the network.
    pub bytes: u64,
    /// Requests for weights.
    pub requests: u64,
    /// Requests for the manifest.
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
    limited: u64,
    dice: StdRng,
}

/// What was drawn for one answer.
#[derive(Clone, Copy, Debug, Default)]
struct DrawnFaults {
    corrupt_at: Option<u64>,
    cut_at: Option<u64>,
}

impl WeightSource {
    /// Starts a source that holds `catalog`.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        catalog: WeightCatalog,
    ) -> std::io::Result<Self> {
        let inner = SourceInner {
            catalog,
            faults: WeightFaults::default(),
            served: BTreeMap::new(),
            limited: 0,
            dice: StdRng::seed_from_u64(0),
        };
        let shared = Arc::new(SourceShared {
            inner: Mutex::new(inner),
            bytes: RateLimiter::new(None, BYTE_BURST),
            requests: RateLimiter::new(None, REQUEST_BURST),
        });
        let served = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = served.clone();
            async move { shared.answer(request).await }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the source.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults and rates.
    pub fn set_faults(&self, faults: WeightFaults) {
        self.shared.set_faults(faults);
    }

    /// Replaces the versions that the source holds.
    pub fn set_catalog(&self, catalog: WeightCatalog) {
        self.shared.inner().catalog = catalog;
    }

    /// Returns what was served of each version, by `MODEL/LABEL`.
    pub fn served(&self) -> BTreeMap<String, SourceCounters> {
        self.shared.inner().served.clone()
    }

    /// Returns how many copies of `MODEL/LABEL` the bytes served amount to.
    pub fn served_copies(&self, model: &str, label: &str) -> f64 {
        let inner = self.shared.inner();
        let Some(entry) = inner.catalog.get(model, label) else {
            return 0.0;
        };
        let served = inner.served.get(&format!("{model}/{label}"));
        served.map_or(0, |it| it.bytes) as f64 / entry.manifest.total_bytes as f64
    }

    /// Returns the number of requests answered with 429.
    pub fn throttled(&self) -> u64 {
        self.shared.inner().limited
    }
}

impl SourceShared {
    async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, answers::FAULTS_PATH) => match answers::read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    answers::json(StatusCode::OK, &json!({}))
                }
                Err(refusal) => *refusal,
            },
            (&Method::GET, answers::COUNTERS_PATH) => {
                answers::json(StatusCode::OK, &self.inner().served)
            }
            (&Method::GET, _) => self.weights(&request).await,
            _ => answers::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is known"),
        }
    }

    async fn weights(self: &Arc<Self>, request: &Request<Incoming>) -> Response<HttpBody> {
        let faults = self.inner().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return answers::text(StatusCode::SERVICE_UNAVAILABLE, "the source is down");
        }
        if !self.requests.try_acquire(1, Instant::now()) {
            self.inner().limited += 1;
            let mut response = answers::text(StatusCode::TOO_MANY_REQUESTS, "come back later");
            let seconds = header::HeaderValue::from_static("1");
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
            return response;
        }
        let path: Vec<&str> = request.uri().path().split('/').collect();
        let ["", "weights", model, label, what] = path[..] else {
            return answers::text(StatusCode::NOT_FOUND, "no such path");
        };
        let Some(entry) = self.inner().catalog.get(model, label).cloned() else {
            return answers::text(StatusCode::NOT_FOUND, "no such version");
        };
        let name = format!("{model}/{label}");
        match what {
            "manifest" => {
                self.inner().served.entry(name).or_default().manifests += 1;
                answers::json(StatusCode::OK, &entry.manifest)
            }
            "data" => self.data(request, name, &entry),
            _ => answers::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn data(
        self: &Arc<Self>,
        request: &Request<Incoming>,
        name: String,
        entry: &CatalogEntry,
    ) -> Response<HttpBody> {
        let total = entry.manifest.total_bytes;
        let Some(range) = answers::byte_range(request, total) else {
            return answers::text(StatusCode::RANGE_NOT_SATISFIABLE, "the range is not there");
        };
        let part = entry
            .data
            .slice(range.start as usize..(range.start + range.len) as usize);
        let drawn = {
            let mut inner = self.inner();
            inner.served.entry(name.clone()).or_default().requests += 1;
            inner.draw(range.len)
        };
        let (sender, body) = httpio::stream(1);
        tokio::spawn(send_part(self.clone(), sender, name, part, drawn));
        let mut response = Response::new(body);
        range.describe(total, &mut response);
        response
    }

    fn set_faults(&self, faults: WeightFaults) {
        self.bytes.set_rate(faults.bytes_per_s);
        self.requests.set_rate(faults.requests_per_s);
        let mut inner = self.inner();
        if faults.seed != inner.faults.seed {
            inner.dice = StdRng::seed_from_u64(faults.seed);
        }
        inner.faults = faults;
    }

    fn inner(&self) -> MutexGuard<'_, SourceInner> {
        self.inner
            .lock()
            .expect("no holder of the source's lock panics")
    }
}

impl SourceInner {
    fn draw(&mut self, len: u64) -> DrawnFaults {
        let mut drawn = DrawnFaults::default();
        if self.faults.corrupt_share > 0.0 && self.dice.random_bool(self.faults.corrupt_share) {
            drawn.corrupt_at = Some(self.dice.random_range(0..len.max(1)));
        }
        if self.faults.cut_share > 0.0 && self.dice.random_bool(self.faults.cut_share) {
            drawn.cut_at = Some(self.dice.random_range(0..len.max(1)));
        }
        drawn
    }
}

/// Sends the bytes piece by piece at the shared rate, so that a reader who goes away costs the origin nothing more.
async fn send_part(
    shared: Arc<SourceShared>,
    sender: BodySender,
    name: String,
    part: Bytes,
    drawn: DrawnFaults,
) {
    let mut sent = 0;
    while sent < part.len() {
        let mut end = (sent + PIECE_BYTES).min(part.len());
        if let Some(cut_at) = drawn.cut_at {
            end = end.min(cut_at as usize);
        }
        if end == sent {
            let error = std::io::Error::other("the answer is cut on purpose");
            let _ = sender.send(Err(error)).await;
            return;
        }
        let piece = corrupted(part.slice(sent..end), sent, drawn.corrupt_at);
        while shared.inner().faults.stall {
            tokio::time::sleep(STALL_POLL).await;
        }
        let ready = shared.bytes.reserve(piece.len() as u64, Instant::now());
        tokio::time::sleep_until(ready.into()).await;
        let len = piece.len();
        if sender.send(Ok(Frame::data(piece))).await.is_err() {
            return;
        }
        let mut inner = shared.inner();
        inner.served.entry(name.clone()).or_default().bytes += len as u64;
        sent = end;
    }
}

fn corrupted(piece: Bytes, start: usize, corrupt_at: Option<u64>) -> Bytes {
    let Some(offset) = corrupt_at.and_then(|it| (it as usize).checked_sub(start)) else {
        return piece;
    };
    if offset >= piece.len() {
        return piece;
    }
    let mut bytes = piece.to_vec();
    bytes[offset] ^= 1;
    bytes.into()
}

/// Bytes that are sent at once.
const PIECE_BYTES: usize = 64 * 1024;

/// Time whose worth of bytes may be sent at once after a pause.
const BYTE_BURST: Duration = Duration::from_millis(20);

/// Time whose worth of requests may be answered at once after a pause.
const REQUEST_BURST: Duration = Duration::from_millis(200);

/// How often a standing answer looks whether the fault has ended.
const STALL_POLL: Duration = Duration::from_millis(20);
