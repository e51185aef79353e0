//! A simulated replica of a language model or a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use httpio::{HeaderMap, HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use serde_json::{Value, json};

use crate::StandinRuntime;
use crate::site::replica_faults::{ReplicaCalls, ReplicaFaults, ReplicaKind, contains_part};
use crate::site::replica_responses::{
    empty_response, response_without_body, stream_events, with_request_id,
};
use crate::site::silence_switch::SilenceSwitch;
use crate::site::site_weights::SiteWeights;
use crate::site::staged_store::{LoadCheck, StagedStore};

/// An HTTP server of a replica that counts the runs of each request.
#[derive(Clone, Debug)]
pub struct SiteReplica {
    shared: Arc<ReplicaShared>,
    server: ServerHandle,
}

#[derive(Debug)]
pub(crate) struct ReplicaShared {
    id: String,
    kind: ReplicaKind,
    weights: SiteWeights,
    pub(crate) last_event: u64,
    pub(crate) event_interval: Duration,
    pub(crate) silences: BTreeMap<ReplicaCalls, SilenceSwitch>,
    /// Receives a message when a request makes the replica crash.
    crashes: Option<Sender<()>>,
    state: Mutex<ReplicaState>,
}

#[derive(Debug, Default)]
struct ReplicaState {
    faults: ReplicaFaults,
    version: u64,
    /// Number of accepted load orders. An order is rejected unless it expects this number.
    orders: u64,
    staged: StagedStore,
    /// Number of load orders for which the staged pieces did not all match the ordered version.
    mixed_loads: u64,
    /// Number of load orders with a staged piece that was missing, of another version, or corrupt for longer than the
    /// platform excuses.
    invalid_loads: u64,
    runs: BTreeMap<String, u64>,
    /// Tenant of each run by request ID, in order.
    tenants: BTreeMap<String, Vec<Option<String>>>,
    forbidden_headers: Vec<String>,
    /// Number of received calls, answered or not.
    received: BTreeMap<ReplicaCalls, u64>,
    /// When the calls that a named limit applies to were received.
    limited_calls: Vec<(ReplicaCalls, Instant)>,
}

impl SiteReplica {
    /// Starts a replica with the ID `id` at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        id: &str,
        address: SocketAddr,
        kind: ReplicaKind,
        weights: SiteWeights,
    ) -> std::io::Result<Self> {
        Self::start_with_crashes(runtime, id, address, kind, weights, None)
    }

    /// Starts a replica as [`Self::start`] does. A request that makes it crash is reported to `crashes`; whoever receives
    /// the message ends the replica by dropping its runtime.
    pub(crate) fn start_with_crashes(
        runtime: &StandinRuntime,
        id: &str,
        address: SocketAddr,
        kind: ReplicaKind,
        weights: SiteWeights,
        crashes: Option<Sender<()>>,
    ) -> std::io::Result<Self> {
        let version = match kind {
            ReplicaKind::Model { version } => version,
            ReplicaKind::Plain => 0,
        };
        let shared = Arc::new(ReplicaShared {
            id: id.to_owned(),
            kind,
            weights,
            last_event: 12,
            event_interval: Duration::from_millis(15),
            silences: ReplicaCalls::ALL
                .map(|it| (it, SilenceSwitch::default()))
                .into(),
            crashes,
            state: Mutex::new(ReplicaState {
                version,
                staged: StagedStore::with_version(weights, version),
                ..ReplicaState::default()
            }),
        });
        let server_shared = shared.clone();
        let server =
            crate::standin_runtime::serve(runtime.handle(), address, move |request, _| {
                answer_request(server_shared.clone(), request)
            })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the row that the replica writes to the store.
    pub fn row(&self, service: &str, zone: &str, state: &str) -> Value {
        let version = self.shared.lock().version;
        replica_row(self.address(), service, zone, state, version)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ReplicaFaults) {
        self.shared.lock().faults = faults;
    }

    /// Begins or ends a silence, in which `calls` are read and none of them is answered.
    pub fn set_silent(&self, calls: &[ReplicaCalls], is_silent: bool) {
        for calls in calls {
            self.shared.silences[calls].set_silent(is_silent);
        }
    }

    /// Ends a silence of `calls` in which everything received was lost.
    pub fn end_silence_with_loss(&self, calls: ReplicaCalls) {
        self.shared.silences[&calls].end_with_loss();
    }

    /// Returns the loaded version; 0 for none.
    pub fn version(&self) -> u64 {
        self.shared.lock().version
    }

    /// Returns the number of runs by request ID.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.lock().runs.clone()
    }

    /// Returns by request ID the tenants for which requests have run; `None` stands for a request without one.
    pub fn tenants(&self) -> BTreeMap<String, Vec<Option<String>>> {
        self.shared.lock().tenants.clone()
    }

    /// Returns the number of load orders for which the staged pieces did not all match the ordered version.
    pub fn mixed_loads(&self) -> u64 {
        self.shared.lock().mixed_loads
    }

    /// Returns the number of load orders with a staged piece that was missing, of another version, or corrupt for more than
    /// [`EXCUSED_CORRUPTION`](crate::EXCUSED_CORRUPTION).
    pub fn invalid_loads(&self) -> u64 {
        self.shared.lock().invalid_loads
    }

    /// Returns the number of reads of staged pieces that have begun.
    pub fn staged_reads(&self) -> u64 {
        self.shared.lock().staged.reads()
    }

    /// Sets the time in which a staged piece is returned.
    pub fn set_read_time(&self, read_time: Duration) {
        self.shared.lock().staged.set_read_time(read_time);
    }

    /// Corrupts a staged piece as soon as it has been returned `reads` times.
    pub fn corrupt_after_reads(&self, index: usize, reads: u32) {
        self.shared.lock().staged.corrupt_after_reads(index, reads);
    }

    /// Returns the number of received calls, answered or not.
    pub fn received(&self, calls: ReplicaCalls) -> u64 {
        let state = self.shared.lock();
        state.received.get(&calls).copied().unwrap_or(0)
    }

    /// Returns when clients' requests and requests for reports were received, to which a named limit applies.
    pub fn limited_calls(&self) -> Vec<Instant> {
        let state = self.shared.lock();
        state.limited_calls.iter().map(|it| it.1).collect()
    }

    /// Returns the number of clients' requests that were received since `from`.
    pub fn requests_since(&self, from: Instant) -> usize {
        let state = self.shared.lock();
        let calls = state.limited_calls.iter();
        calls
            .filter(|it| it.0 == ReplicaCalls::Requests && it.1 >= from)
            .count()
    }

    /// Returns the received headers that must not be forwarded to a replica.
    pub fn forbidden_headers(&self) -> Vec<String> {
        self.shared.lock().forbidden_headers.clone()
    }

    /// Corrupts a staged piece.
    pub fn corrupt_staged_piece(&self, index: usize) {
        self.shared.lock().staged.corrupt(index);
    }
}

/// Returns the row that a replica at `address` with `version` of the model writes to the store; version 0 is none.
pub(crate) fn replica_row(
    address: SocketAddr,
    service: &str,
    zone: &str,
    state: &str,
    version: u64,
) -> Value {
    let mut row = json!({
        "service": service, "addr": address.to_string(), "zone": zone, "version": "v1", "slots": 16,
        "state": state, "coldLeftMs": 0, "seq": 0, "born": 1,
    });
    if version > 0 {
        row["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
        row["layers"] = json!({"from": 0, "to": 16, "version": version});
    }
    row
}

impl ReplicaState {
    fn record_call(&mut self, calls: ReplicaCalls) {
        *self.received.entry(calls).or_default() += 1;
        if matches!(calls, ReplicaCalls::Requests | ReplicaCalls::Reports) {
            self.limited_calls.push((calls, Instant::now()));
        }
    }
}

impl ReplicaShared {
    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the replica lock")
    }
}

async fn answer_request(
    shared: Arc<ReplicaShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let calls = ReplicaCalls::of(request.uri().path());
    shared.lock().record_call(calls);
    if calls == ReplicaCalls::Orders && shared.lock().faults.fail_orders {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let work = handle_request(shared.clone(), request);
    let mut response = if calls == ReplicaCalls::Requests {
        let response = work.await;
        shared.silences[&calls].wait().await;
        response
    } else {
        shared.silences[&calls].handle(work).await
    };
    let faults = shared.lock().faults;
    for (name, value) in [
        ("server-limit", faults.named_limit),
        ("server-leaving", faults.leaving),
    ] {
        if let Some(value) = value {
            let value = httpio::HeaderValue::from_static(value);
            response.headers_mut().insert(name, value);
        }
    }
    response
}

async fn handle_request(
    shared: Arc<ReplicaShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let path = request.uri().path().to_owned();
    let index = form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
        .find(|(it, _)| it == "num")
        .and_then(|(_, value)| value.parse::<usize>().ok());
    if path == "/fulmarline/report" {
        return status_report(&shared);
    }
    if path.starts_with("/fulmarline/stage-get/") {
        let (piece, read_time) = shared.lock().staged.begin_read(index);
        tokio::time::sleep(read_time).await;
        if let Some(index) = index {
            shared.lock().staged.end_read(index);
        }
        return piece.map_or_else(
            || empty_response(StatusCode::NOT_FOUND),
            |it| Response::new(httpio::full(it)),
        );
    }
    let (parts, body) = request.into_parts();
    let has_body = !hyper::body::Body::is_end_stream(&body);
    if has_body && ReplicaCalls::of(&path) == ReplicaCalls::Requests {
        shared.silences[&ReplicaCalls::Requests].wait().await;
    }
    let body = httpio::read_limited(body, 1 << 22, Duration::from_secs(5))
        .await
        .unwrap_or_default();
    if path.starts_with("/fulmarline/stage-put/") && parts.method == Method::PUT {
        if let Some(index) = index {
            shared.lock().staged.put(index, body.to_vec());
        }
        return empty_response(StatusCode::OK);
    }
    if path == "/fulmarline/order" {
        return apply_load_order(&shared, &serde_json::from_slice(&body).unwrap_or_default());
    }
    serve_request(&shared, &parts.headers).await
}

fn status_report(shared: &ReplicaShared) -> Response<HttpBody> {
    let state = shared.lock();
    let mut body = json!({
        "stage": "colocated", "models": [], "busy": false, "seq": state.orders, "queued": 0, "inflight": 0,
        "kvUsed": 0, "kvTotal": 1, "handles": 0, "born": 1,
    });
    if state.version > 0 {
        body["models"] = json!([{"name": "m", "version": state.version, "adapters": []}]);
        body["layers"] = json!({"from": 0, "to": 16, "version": state.version});
    }
    Response::new(httpio::full(body.to_string()))
}

fn apply_load_order(shared: &ReplicaShared, body: &Value) -> Response<HttpBody> {
    let mut state = shared.lock();
    let version = body["version"].as_u64().unwrap_or(0);
    if body["expectRev"].as_u64() != Some(state.orders) {
        return empty_response(StatusCode::CONFLICT);
    }
    let check = state.staged.check(shared.weights, version);
    state.mixed_loads += u64::from(check != LoadCheck::Whole);
    state.invalid_loads += u64::from(check == LoadCheck::Invalid);
    state.orders += 1;
    state.version = version;
    empty_response(StatusCode::ACCEPTED)
}

/// Runs a request after the checks that the protocol requires of a replica.
async fn serve_request(shared: &Arc<ReplicaShared>, headers: &HeaderMap) -> Response<HttpBody> {
    let header = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
    let id = header("request-id").unwrap_or_default().to_owned();
    let first_event = header("last-event-id")
        .and_then(|it| it.parse::<u64>().ok())
        .unwrap_or(0)
        + 1;
    let parts = header("prefix-hash").unwrap_or_default().to_owned();
    let (truncate_after, unframed, must_crash) = {
        let mut state = shared.lock();
        let version = state.version.to_string();
        let is_misdirected = header("expect-replica").is_some_and(|it| it != shared.id)
            || header("expect-version").is_some_and(|it| it != version);
        let has_no_model = state.version == 0 && matches!(shared.kind, ReplicaKind::Model { .. });
        if is_misdirected {
            return with_request_id(empty_response(StatusCode::MISDIRECTED_REQUEST), &id);
        }
        if state.faults.full || has_no_model {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let headers = response.headers_mut();
            headers.insert("not-executed", httpio::HeaderValue::from_static("1"));
            if let Some(retry_after) = state.faults.retry_after {
                let retry_after = httpio::HeaderValue::from_static(retry_after);
                headers.insert("retry-after", retry_after);
            }
            return with_request_id(response, &id);
        }
        for name in ["authorization", "path"] {
            if headers.contains_key(name) {
                state.forbidden_headers.push(name.to_owned());
            }
        }
        *state.runs.entry(id.clone()).or_default() += 1;
        let tenant = header("tenant").map(str::to_owned);
        state.tenants.entry(id.clone()).or_default().push(tenant);
        if state.faults.drop_responses {
            return response_without_body(shared.event_interval);
        }
        let fail_status = state.faults.fail_status.map(StatusCode::from_u16);
        if let Some(Ok(status)) = fail_status {
            return with_request_id(empty_response(status), &id);
        }
        (
            state.faults.truncate_next_after.take(),
            state.faults.unframed,
            state
                .faults
                .crash_part
                .is_some_and(|it| contains_part(&parts, it)),
        )
    };
    if must_crash && let Some(crashes) = &shared.crashes {
        tokio::time::sleep(shared.event_interval).await;
        // The receiver ends the replica before it could respond.
        let _ = crashes.send(());
        return std::future::pending().await;
    }
    let mut response = match shared.kind {
        ReplicaKind::Plain => Response::new(httpio::full(format!("done {id}"))),
        ReplicaKind::Model { .. } => {
            stream_events(shared, &id, first_event, truncate_after, unframed)
        }
    };
    let route_stamp = format!("stamp.{}", shared.id);
    if let Ok(value) = httpio::HeaderValue::from_str(&route_stamp) {
        response.headers_mut().insert("route-stamp", value);
    }
    with_request_id(response, &id)
}
