//! The HTTP server of the table service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use httpio::{HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::{Value, json};

use crate::http_util;
use crate::rate_limiter::RateLimiter;
use crate::standin_runtime::{self, StandinRuntime};
use crate::table::table_faults::TableFaults;
use crate::table::table_rows::{TableRows, Transaction};

/// An in-memory table service with fault injection: dropped responses, delays, rate limits and outages.
#[derive(Clone, Debug)]
pub struct TableService {
    shared: Arc<TableShared>,
    server: ServerHandle,
}

/// Operation counters of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TableCounters {
    /// Number of row reads and scans.
    pub reads: u64,
    /// Number of applied transactions.
    pub writes: u64,
    /// Number of transactions rejected because an expectation did not hold.
    pub conflicts: u64,
    /// Number of requests that failed with status 429.
    pub limited: u64,
    /// Number of requests that failed with status 503.
    pub unavailable: u64,
    /// Number of applied transactions whose responses were dropped.
    pub lost: u64,
}

#[derive(Debug)]
struct TableShared {
    inner: Mutex<TableInner>,
    reads: RateLimiter,
    writes: RateLimiter,
}

#[derive(Debug)]
struct TableInner {
    rows: TableRows,
    faults: TableFaults,
    counters: TableCounters,
    rng: StdRng,
}

/// Burst of the rate limits after an idle period, as the time in which it refills.
const LIMIT_BURST: Duration = Duration::from_secs(1);

/// Default limit of a scan, in rows.
const DEFAULT_SCAN_ROWS: usize = 1000;

impl TableService {
    /// Starts a server of an empty table.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(runtime: &StandinRuntime, address: SocketAddr) -> std::io::Result<Self> {
        let inner = TableInner {
            rows: TableRows::default(),
            faults: TableFaults::default(),
            counters: TableCounters::default(),
            rng: StdRng::seed_from_u64(0),
        };
        let shared = Arc::new(TableShared {
            inner: Mutex::new(inner),
            reads: RateLimiter::new(None, LIMIT_BURST),
            writes: RateLimiter::new(None, LIMIT_BURST),
        });
        let server_shared = shared.clone();
        let server = standin_runtime::serve(runtime.handle(), address, move |request, _| {
            let shared = server_shared.clone();
            async move { shared.handle_request(request).await }
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: TableFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the current operation counters.
    pub fn counters(&self) -> TableCounters {
        self.shared.inner().counters
    }

    /// Returns the value of a row for tests, unaffected by faults.
    pub fn row(&self, key: &str) -> Option<Value> {
        let row = self.shared.inner().rows.get(key)?;
        serde_json::to_value(row).ok()?.get("value").cloned()
    }
}

impl TableShared {
    async fn handle_request(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, http_util::FAULTS_PATH) => match http_util::read_json(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    http_util::json(StatusCode::OK, &json!({}))
                }
                Err(error_response) => *error_response,
            },
            (&Method::GET, http_util::COUNTERS_PATH) => {
                http_util::json(StatusCode::OK, &self.inner().counters)
            }
            (&Method::GET, "/table/row") => self.read(&request, read_row).await,
            (&Method::GET, "/table/scan") => self.read(&request, scan_rows).await,
            (&Method::POST, "/table/transact") => self.transact(request).await,
            _ => http_util::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn read(
        &self,
        request: &Request<Incoming>,
        read: fn(&TableRows, &Request<Incoming>) -> Response<HttpBody>,
    ) -> Response<HttpBody> {
        self.apply_delay().await;
        if let Some(error_response) = self.reject(&self.reads) {
            return error_response;
        }
        let mut inner = self.inner();
        inner.counters.reads += 1;
        read(&inner.rows, request)
    }

    async fn transact(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let transaction: Transaction = match http_util::read_json(request).await {
            Ok(it) => it,
            Err(error_response) => return *error_response,
        };
        self.apply_delay().await;
        if let Some(error_response) = self.reject(&self.writes) {
            return error_response;
        }
        let mut inner = self.inner();
        match inner.rows.transact(transaction) {
            Ok(version) => {
                inner.counters.writes += 1;
                if inner.should_drop_response() {
                    inner.counters.lost += 1;
                    return http_util::aborted();
                }
                http_util::json(StatusCode::OK, &json!({ "version": version }))
            }
            Err(failed) => {
                inner.counters.conflicts += 1;
                http_util::json(StatusCode::CONFLICT, &failed)
            }
        }
    }

    async fn apply_delay(&self) {
        loop {
            let (hang, delay_ms) = {
                let inner = self.inner();
                (inner.faults.hang, inner.faults.delay_ms)
            };
            if delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
            if !hang {
                return;
            }
            tokio::time::sleep(HANG_POLL_INTERVAL).await;
        }
    }

    fn reject(&self, limiter: &RateLimiter) -> Option<Response<HttpBody>> {
        let mut inner = self.inner();
        if inner.faults.outage {
            inner.counters.unavailable += 1;
            let response =
                http_util::text(StatusCode::SERVICE_UNAVAILABLE, "the table is unavailable");
            return Some(response);
        }
        if !limiter.try_acquire(1, Instant::now()) {
            inner.counters.limited += 1;
            let response = http_util::text(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
            return Some(response);
        }
        None
    }

    fn set_faults(&self, faults: TableFaults) {
        self.reads.set_rate(faults.reads_per_s);
        self.writes.set_rate(faults.writes_per_s);
        let mut inner = self.inner();
        if faults.seed != inner.faults.seed {
            inner.rng = StdRng::seed_from_u64(faults.seed);
        }
        inner.faults = faults;
    }

    fn inner(&self) -> MutexGuard<'_, TableInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the table lock")
    }
}

impl TableInner {
    fn should_drop_response(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        self.faults.lose_share > 0.0 && self.rng.random_bool(self.faults.lose_share.min(1.0))
    }
}

fn read_row(rows: &TableRows, request: &Request<Incoming>) -> Response<HttpBody> {
    let Some(key) = http_util::query_value(request, "key") else {
        return http_util::text(StatusCode::BAD_REQUEST, "the parameter key is missing");
    };
    match rows.get(&key) {
        Some(row) => http_util::json(StatusCode::OK, &row),
        None => http_util::text(StatusCode::NOT_FOUND, "no such row"),
    }
}

fn scan_rows(rows: &TableRows, request: &Request<Incoming>) -> Response<HttpBody> {
    let prefix = http_util::query_value(request, "prefix").unwrap_or_default();
    let after = http_util::query_value(request, "after").unwrap_or_default();
    let limit = match http_util::query_value(request, "limit").map(|it| it.parse()) {
        None => DEFAULT_SCAN_ROWS,
        Some(Ok(limit)) => limit,
        Some(Err(_)) => return http_util::text(StatusCode::BAD_REQUEST, "limit is not a number"),
    };
    let rows = rows.scan(&prefix, &after, limit);
    http_util::json(StatusCode::OK, &json!({ "rows": rows }))
}

/// Interval at which a blocked request checks whether the fault has been cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);
