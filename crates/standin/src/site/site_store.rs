//! The platform's store: rows in tables with a feed of changes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use httpio::{HttpBody, Incoming, Request, Response, ServerHandle, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::StandinRuntime;

/// A store with switches for what may go wrong with it.
#[derive(Clone, Debug)]
pub struct SiteStore {
    shared: Arc<StoreShared>,
    server: ServerHandle,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Changes in order: version, table, key, and the value unless the row was removed.
    history: VecDeque<(u64, String, String, Option<String>)>,
    /// Oldest version that the feed still knows of.
    history_from: u64,
    down: bool,
    calls: u64,
}

impl SiteStore {
    /// Starts a store on the runtime.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when no port can be bound.
    pub fn start(runtime: &StandinRuntime) -> std::io::Result<Self> {
        let shared = Arc::<StoreShared>::default();
        let for_server = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server =
            crate::standin_runtime::serve(runtime.handle(), address, move |request, _| {
                answer(for_server.clone(), request)
            })?;
        Ok(Self { shared, server })
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.shared
            .lock()
            .put(table, key, Some(STANDARD.encode(value.to_string())));
        self.shared.changed.notify_waiters();
    }

    /// Writes bytes that are no document, as another writer may.
    pub fn put_malformed(&self, table: &str, key: &str) {
        self.shared
            .lock()
            .put(table, key, Some(STANDARD.encode([1, 2, 3])));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.lock().put(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Lets every call fail with 503 from now on, or serves again.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
        self.shared.changed.notify_waiters();
    }

    /// Forgets the history of changes, so that the feed answers 410 until all is read again.
    pub fn truncate_history(&self) {
        let mut state = self.shared.lock();
        state.version += 1;
        state.history.clear();
        state.history_from = state.version;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl StoreShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .expect("no holder of the store's lock panics")
    }
}

impl StoreState {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let place = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(place, (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.history
            .push_back((self.version, table.to_owned(), key.to_owned(), value));
    }

    fn page(&self, table: &str, from: &str) -> Value {
        let rows: Vec<Value> = self
            .rows
            .iter()
            .filter(|((it, key), _)| it == table && key.as_str() >= from)
            .map(|((_, key), (value, ver))| json!({"table": table, "part": "", "key": key, "value": value, "ver": ver}))
            .collect();
        json!({"rows": rows, "hasMore": false, "ver": self.version, "nowMs": now_ms()})
    }

    fn changes(&self, table: &str, since: u64) -> Option<Vec<Value>> {
        if since < self.history_from {
            return None;
        }
        let rows = self
            .history
            .iter()
            .filter(|it| it.0 > since && it.1 == table);
        let rows = rows.map(|(ver, _, key, value)| match value {
            Some(value) => {
                json!({"table": table, "part": "", "key": key, "value": value, "ver": ver})
            }
            None => json!({"table": table, "part": "", "key": key, "removed": true, "ver": ver}),
        });
        Some(rows.collect())
    }
}

async fn answer(shared: Arc<StoreShared>, request: Request<Incoming>) -> Response<HttpBody> {
    {
        let mut state = shared.lock();
        state.calls += 1;
        if state.down {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    let query: BTreeMap<String, String> =
        form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
            .into_owned()
            .collect();
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    match request.uri().path() {
        "/fulmarline/rows-get" => {
            let page = shared.lock().page(&field("table"), &field("from"));
            document(&page)
        }
        "/fulmarline/rows-feed" => {
            let since = field("sinceRev").parse().unwrap_or(0);
            let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
            feed(&shared, &field("table"), since, wait).await
        }
        "/fulmarline/rows-tx" => {
            let body =
                httpio::read_limited(request.into_body(), 1 << 20, Duration::from_secs(5)).await;
            match body.ok().and_then(|it| serde_json::from_slice(&it).ok()) {
                Some(body) => transaction(&shared, &body),
                None => status(StatusCode::BAD_REQUEST),
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn feed(shared: &StoreShared, table: &str, since: u64, wait: Duration) -> Response<HttpBody> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        {
            let state = shared.lock();
            if state.down {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            match state.changes(table, since) {
                None => return status(StatusCode::GONE),
                Some(rows) if !rows.is_empty() || tokio::time::Instant::now() >= deadline => {
                    return document(
                        &json!({"rows": rows, "ver": state.version, "nowMs": now_ms()}),
                    );
                }
                Some(_) => {}
            }
        }
        // The end of the wait is seen at the top.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

fn transaction(shared: &StoreShared, body: &Value) -> Response<HttpBody> {
    let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let mut state = shared.lock();
    for entry in entries("puts") {
        state.put(
            &text(&entry, "table"),
            &text(&entry, "key"),
            Some(text(&entry, "value")),
        );
    }
    for entry in entries("remove") {
        state.put(&text(&entry, "table"), &text(&entry, "key"), None);
    }
    let version = state.version;
    drop(state);
    shared.changed.notify_waiters();
    document(&json!({"ver": version, "nowMs": now_ms()}))
}

/// Returns the time that answers state; only its differences count.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

fn document(body: &Value) -> Response<HttpBody> {
    Response::new(httpio::full(body.to_string()))
}

fn status(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}
