//! A replica: a language model's or a plain service's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use httpio::{HeaderMap, HttpBody, Incoming, Method, Request, Response, ServerHandle, StatusCode};
use serde_json::{Value, json};

use crate::StandinRuntime;
use crate::site::site_weights::SiteWeights;

/// What a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaKind {
    /// Streams of events from a model of which `version` is loaded at the start; 0 for none.
    Model {
        /// Version that is loaded at the start.
        version: u64,
    },
    /// Short answers.
    Plain,
}

/// What may go wrong with a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaFaults {
    /// Breaks the next stream off after this many events, in the middle of one.
    pub truncate_next_after: Option<u64>,
    /// Runs requests and closes the connection without an answer.
    pub drop_responses: bool,
    /// Refuses requests as if it were full.
    pub full: bool,
}

/// A replica with counters of what ran.
#[derive(Clone, Debug)]
pub struct SiteReplica {
    shared: Arc<ReplicaShared>,
    server: ServerHandle,
}

#[derive(Debug)]
struct ReplicaShared {
    id: String,
    kind: ReplicaKind,
    weights: SiteWeights,
    events: u64,
    event_pause: Duration,
    state: Mutex<ReplicaState>,
}

#[derive(Debug, Default)]
struct ReplicaState {
    faults: ReplicaFaults,
    version: u64,
    orders: u64,
    staged: BTreeMap<usize, Vec<u8>>,
    /// Loads whose staged pieces were not all of the ordered version.
    mixed_loads: u64,
    runs: BTreeMap<String, u64>,
    foreign_headers: Vec<String>,
}

impl SiteReplica {
    /// Starts a replica with `id` at `address`, port 0 for any.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        id: &str,
        address: SocketAddr,
        kind: ReplicaKind,
        weights: SiteWeights,
    ) -> std::io::Result<Self> {
        let version = match kind {
            ReplicaKind::Model { version } => version,
            ReplicaKind::Plain => 0,
        };
        let staged = (0..weights.pieces).filter(|_| version > 0);
        let shared = Arc::new(ReplicaShared {
            id: id.to_owned(),
            kind,
            weights,
            events: 12,
            event_pause: Duration::from_millis(15),
            state: Mutex::new(ReplicaState {
                version,
                staged: staged.map(|it| (it, weights.piece(version, it))).collect(),
                ..ReplicaState::default()
            }),
        });
        let for_server = shared.clone();
        let server =
            crate::standin_runtime::serve(runtime.handle(), address, move |request, _| {
                answer(for_server.clone(), request)
            })?;
        Ok(Self { shared, server })
    }

    /// Returns where the replica listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the entry that the replica writes into the store.
    pub fn row(&self, service: &str, zone: &str, state: &str) -> Value {
        let version = self.shared.lock().version;
        let mut row = json!({
            "service": service, "addr": self.address().to_string(), "zone": zone, "version": "v1", "slots": 16,
            "state": state, "coldLeftMs": 0, "seq": 0, "born": 1,
        });
        if version > 0 {
            row["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
            row["layers"] = json!({"from": 0, "to": 16, "version": version});
        }
        row
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: ReplicaFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the version that is loaded.
    pub fn version(&self) -> u64 {
        self.shared.lock().version
    }

    /// Returns how often each request ran, by its id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of loads from pieces that were not all of the ordered version.
    pub fn mixed_loads(&self) -> u64 {
        self.shared.lock().mixed_loads
    }

    /// Returns headers that a replica must never see.
    pub fn forbidden_headers(&self) -> Vec<String> {
        self.shared.lock().foreign_headers.clone()
    }

    /// Spoils a staged piece.
    pub fn corrupt_staged_piece(&self, index: usize) {
        if let Some(byte) = self
            .shared
            .lock()
            .staged
            .get_mut(&index)
            .and_then(|it| it.first_mut())
        {
            *byte ^= 1;
        }
    }
}

impl ReplicaShared {
    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state
            .lock()
            .expect("no holder of the replica's lock panics")
    }
}

async fn answer(shared: Arc<ReplicaShared>, request: Request<Incoming>) -> Response<HttpBody> {
    let path = request.uri().path().to_owned();
    let index = form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
        .find(|(it, _)| it == "num")
        .and_then(|(_, value)| value.parse::<usize>().ok());
    if path == "/fulmarline/report" {
        return report(&shared);
    }
    if path.starts_with("/fulmarline/stage-get/") {
        let piece = index.and_then(|it| shared.lock().staged.get(&it).cloned());
        return piece.map_or_else(
            || bare(StatusCode::NOT_FOUND),
            |it| Response::new(httpio::full(it)),
        );
    }
    let (parts, body) = request.into_parts();
    let body = httpio::read_limited(body, 1 << 22, Duration::from_secs(5))
        .await
        .unwrap_or_default();
    if path.starts_with("/fulmarline/stage-put/") && parts.method == Method::PUT {
        if let Some(index) = index {
            shared.lock().staged.insert(index, body.to_vec());
        }
        return bare(StatusCode::OK);
    }
    if path == "/fulmarline/order" {
        return order(&shared, &serde_json::from_slice(&body).unwrap_or_default());
    }
    work(&shared, &parts.headers).await
}

fn report(shared: &ReplicaShared) -> Response<HttpBody> {
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

fn order(shared: &ReplicaShared, body: &Value) -> Response<HttpBody> {
    let mut state = shared.lock();
    let version = body["version"].as_u64().unwrap_or(0);
    if body["expectRev"].as_u64() != Some(state.orders) {
        return bare(StatusCode::CONFLICT);
    }
    let whole = (0..shared.weights.pieces)
        .all(|it| state.staged.get(&it) == Some(&shared.weights.piece(version, it)));
    state.mixed_loads += u64::from(!whole);
    state.orders += 1;
    state.version = version;
    bare(StatusCode::ACCEPTED)
}

/// Runs a request after the checks that any replica makes.
async fn work(shared: &Arc<ReplicaShared>, headers: &HeaderMap) -> Response<HttpBody> {
    let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
    let id = text("request-id").unwrap_or_default().to_owned();
    let first = text("last-event-id")
        .and_then(|it| it.parse::<u64>().ok())
        .unwrap_or(0)
        + 1;
    let cut = {
        let mut state = shared.lock();
        let version = state.version.to_string();
        let is_misdirected = text("expect-replica").is_some_and(|it| it != shared.id)
            || text("expect-version").is_some_and(|it| it != version);
        let is_empty = state.version == 0 && matches!(shared.kind, ReplicaKind::Model { .. });
        if is_misdirected {
            return bare(StatusCode::MISDIRECTED_REQUEST);
        }
        if state.faults.full || is_empty {
            let mut response = bare(StatusCode::SERVICE_UNAVAILABLE);
            response
                .headers_mut()
                .insert("not-executed", httpio::HeaderValue::from_static("1"));
            return response;
        }
        for name in ["authorization", "path"] {
            if headers.contains_key(name) {
                state.foreign_headers.push(name.to_owned());
            }
        }
        *state.runs.entry(id.clone()).or_default() += 1;
        if state.faults.drop_responses {
            // A body that fails before its first byte closes the connection.
            return lost();
        }
        state.faults.truncate_next_after.take()
    };
    let mut response = match shared.kind {
        ReplicaKind::Plain => Response::new(httpio::full(format!("done {id}"))),
        ReplicaKind::Model { .. } => stream(shared, &id, first, cut),
    };
    let stamp = format!("stamp.{}", shared.id);
    for (name, value) in [("request-id", id.as_str()), ("route-stamp", stamp.as_str())] {
        if let Ok(value) = httpio::HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Streams events from number `first` on; `cut` breaks off after so many, in the middle of the next one.
fn stream(
    shared: &Arc<ReplicaShared>,
    id: &str,
    first: u64,
    cut: Option<u64>,
) -> Response<HttpBody> {
    let (sender, body) = httpio::stream(4);
    let (shared, id) = (shared.clone(), id.to_owned());
    tokio::spawn(async move {
        for number in first..=shared.events {
            tokio::time::sleep(shared.event_pause).await;
            let event = format!("id: {number}\ndata: {id}/{number}\n\n");
            let is_cut = cut.is_some_and(|it| number >= first + it);
            let bytes = if is_cut {
                event[..event.len() / 2].to_owned()
            } else {
                event
            };
            let frame = hyper::body::Frame::data(bytes::Bytes::from(bytes));
            if sender.send(Ok(frame)).await.is_err() {
                return;
            }
            if is_cut {
                // The reader may be gone, and then there is nobody to tell.
                let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                return;
            }
        }
    });
    Response::new(body)
}

fn lost() -> Response<HttpBody> {
    let (sender, body) = httpio::stream(1);
    tokio::spawn(async move {
        // The reader may be gone, and then there is nobody to tell.
        let _ = sender.send(Err(std::io::Error::other("lost"))).await;
    });
    Response::new(body)
}

fn bare(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}
