//! A simulated object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http_util;
use crate::standin_runtime::{self, StandinRuntime};

/// An HTTP server of an in-memory object store.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    shared: Arc<Mutex<StoreInner>>,
    server: ServerHandle,
}

/// Faults injected into the object store. The default is no faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every request fails with status 503.
    pub outage: bool,
    /// Delay of every request, in milliseconds.
    pub delay_ms: u64,
}

/// Operation counters of the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StoreCounters {
    /// Number of read requests.
    pub reads: u64,
    /// Number of written objects.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct StoreInner {
    objects: BTreeMap<String, Bytes>,
    faults: StoreFaults,
    counters: StoreCounters,
}

impl ObjectStore {
    /// Starts a server of an empty store.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(runtime: &StandinRuntime, address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::<Mutex<StoreInner>>::default();
        let server_shared = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = server_shared.clone();
            async move { handle_request(&shared, request).await }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Returns the current operation counters.
    pub fn counters(&self) -> StoreCounters {
        lock(&self.shared).counters
    }
}

async fn handle_request(
    shared: &Mutex<StoreInner>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    if request.uri().path() == http_util::FAULTS_PATH {
        return match http_util::read_json(request).await {
            Ok(faults) => {
                lock(shared).faults = faults;
                http_util::json(StatusCode::OK, &json!({}))
            }
            Err(error_response) => *error_response,
        };
    }
    if request.uri().path() == http_util::COUNTERS_PATH {
        return http_util::json(StatusCode::OK, &lock(shared).counters);
    }
    let faults = lock(shared).faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.outage {
        return http_util::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "the object store is unavailable",
        );
    }
    let Some(key) = request.uri().path().strip_prefix("/objects/") else {
        return http_util::text(StatusCode::NOT_FOUND, "no such path");
    };
    let key = key.to_owned();
    match *request.method() {
        Method::PUT => match http_util::read_body(request).await {
            Ok(bytes) => {
                let mut inner = lock(shared);
                inner.counters.writes += 1;
                inner.objects.insert(key, bytes);
                http_util::json(StatusCode::OK, &json!({}))
            }
            Err(err) => http_util::text(StatusCode::BAD_REQUEST, &err.to_string()),
        },
        Method::GET => {
            let object = {
                let mut inner = lock(shared);
                inner.counters.reads += 1;
                inner.objects.get(&key).cloned()
            };
            read_object(&request, object)
        }
        _ => http_util::text(
            StatusCode::METHOD_NOT_ALLOWED,
            "only GET and PUT are supported",
        ),
    }
}

fn read_object(request: &Request<Incoming>, object: Option<Bytes>) -> Response<HttpBody> {
    let Some(object) = object else {
        return http_util::text(StatusCode::NOT_FOUND, "no such object");
    };
    let total = object.len() as u64;
    let Some(range) = http_util::byte_range(request, total) else {
        return http_util::text(
            StatusCode::RANGE_NOT_SATISFIABLE,
            "the range is not satisfiable",
        );
    };
    let body = object.slice(range.start as usize..(range.start + range.len) as usize);
    let mut response = Response::new(httpio::full(body));
    range.set_headers(total, &mut response);
    response
}

fn lock(shared: &Mutex<StoreInner>) -> MutexGuard<'_, StoreInner> {
    shared
        .lock()
        .expect("no thread panics while it holds the object store lock")
}
