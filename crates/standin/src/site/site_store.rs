//! A simulated store of the platform: rows in tables, with a change feed.

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
use crate::site::silence_switch::SilenceSwitch;

/// An HTTP server of an in-memory store with fault injection.
#[derive(Clone, Debug)]
pub struct SiteStore {
    shared: Arc<StoreShared>,
    server: ServerHandle,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Notify,
    silence: SilenceSwitch,
}

/// Content of the store at some time.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    version: u64,
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Changes in commit order: version, table, key, and the value, or `None` for a removal.
    history: VecDeque<(u64, String, String, Option<String>)>,
    /// Oldest version from which the feed can continue.
    history_start: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreCopy,
    /// Number of times that the store has returned from a copy; sent in all responses.
    era: u64,
    /// Number of times at which pending feed calls were silenced.
    silences: u64,
    down: bool,
    calls: u64,
    /// Number of received requests for changes by table.
    feed_calls: BTreeMap<String, u64>,
}

impl SiteStore {
    /// Starts a server of an empty store.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no port can be bound.
    pub fn start(runtime: &StandinRuntime) -> std::io::Result<Self> {
        let shared = Arc::<StoreShared>::default();
        let server_shared = shared.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server =
            crate::standin_runtime::serve(runtime.handle(), address, move |request, _| {
                let shared = server_shared.clone();
                async move {
                    shared.lock().count_call(&request);
                    let work = handle_request(shared.clone(), request);
                    let mut response = shared.silence.handle(work).await;
                    let era = shared.lock().era;
                    response.headers_mut().insert("store-era", era.into());
                    response
                }
            })?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row, as an operator or a replica would.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.shared
            .lock()
            .content
            .put(table, key, Some(STANDARD.encode(value.to_string())));
        self.shared.changed.notify_waiters();
    }

    /// Writes a row whose value is not valid JSON, as a faulty writer could.
    pub fn put_malformed(&self, table: &str, key: &str) {
        self.put_bytes(table, key, &[1, 2, 3]);
    }

    /// Writes a row with any content.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.shared.lock();
        state.content.put(table, key, Some(STANDARD.encode(value)));
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.lock().content.put(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Returns a copy of the content, from which the store can return.
    pub fn copy(&self) -> StoreCopy {
        self.shared.lock().content.clone()
    }

    /// Returns from a copy: what was written since is lost, and its versions are given out again.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut state = self.shared.lock();
        state.content = copy.clone();
        state.era += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns the keys of the rows of `table`.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state.content.rows.keys();
        let of_table = keys.filter(|it| it.0 == table);
        of_table.map(|it| it.1.clone()).collect()
    }

    /// Sets whether every request fails with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.lock().down = down;
        self.shared.changed.notify_waiters();
    }

    /// Begins or ends a silence, in which requests are read and none is answered. Rows can still be written with
    /// [`SiteStore::put`].
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.silence.set_silent(is_silent);
    }

    /// Ends a silence in which everything received was lost.
    pub fn end_silence_with_loss(&self) {
        self.shared.silence.end_with_loss();
    }

    /// Discards the change history, so that feeds fail with status 410 until the client has read all rows again.
    pub fn truncate_history(&self) {
        let mut state = self.shared.lock();
        let content = &mut state.content;
        // The new version makes feeds fail that continue from the current one.
        content.version += 1;
        content.history.clear();
        content.history_start = content.version;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Leaves the feed calls that are pending now without a response, as on connections that have silently failed. New
    /// calls are served.
    pub fn silence_pending_feeds(&self) {
        self.shared.lock().silences += 1;
    }

    /// Returns the number of received requests.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the number of received requests for changes of `table`.
    pub fn feed_calls(&self, table: &str) -> u64 {
        let state = self.shared.lock();
        state.feed_calls.get(table).copied().unwrap_or(0)
    }
}

impl StoreShared {
    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the store lock")
    }
}

impl StoreState {
    fn count_call(&mut self, request: &Request<Incoming>) {
        self.calls += 1;
        if request.uri().path() == "/fulmarline/rows-feed" {
            let table = query_fields(request).remove("table").unwrap_or_default();
            *self.feed_calls.entry(table).or_default() += 1;
        }
    }
}

impl StoreCopy {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row_key = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(row_key, (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&row_key);
            }
        }
        self.history
            .push_back((self.version, table.to_owned(), key.to_owned(), value));
    }

    fn rows_page(&self, table: &str, from: &str) -> Value {
        let rows: Vec<Value> = self
            .rows
            .iter()
            .filter(|((it, key), _)| it == table && key.as_str() >= from)
            .map(|((_, key), (value, ver))| json!({"table": table, "part": "", "key": key, "value": value, "ver": ver}))
            .collect();
        json!({"rows": rows, "hasMore": false, "ver": self.version, "nowMs": now_ms()})
    }

    fn changes_since(&self, table: &str, since: u64) -> Option<Vec<Value>> {
        if since < self.history_start || since > self.version {
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

async fn handle_request(
    shared: Arc<StoreShared>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    {
        let state = shared.lock();
        if state.down {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    let query = query_fields(&request);
    let param = |name: &str| query.get(name).cloned().unwrap_or_default();
    match request.uri().path() {
        "/fulmarline/rows-get" => {
            let page = shared
                .lock()
                .content
                .rows_page(&param("table"), &param("from"));
            json_response(&page)
        }
        "/fulmarline/rows-feed" => {
            let since = param("sinceRev").parse().unwrap_or(0);
            let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
            wait_for_changes(&shared, &param("table"), since, wait).await
        }
        "/fulmarline/rows-tx" => {
            let body =
                httpio::read_limited(request.into_body(), 1 << 20, Duration::from_secs(5)).await;
            match body.ok().and_then(|it| serde_json::from_slice(&it).ok()) {
                Some(body) => apply_transaction(&shared, &body),
                None => empty_response(StatusCode::BAD_REQUEST),
            }
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn query_fields(request: &Request<Incoming>) -> BTreeMap<String, String> {
    form_urlencoded::parse(request.uri().query().unwrap_or_default().as_bytes())
        .into_owned()
        .collect()
}

async fn wait_for_changes(
    shared: &StoreShared,
    table: &str,
    since: u64,
    wait: Duration,
) -> Response<HttpBody> {
    let deadline = tokio::time::Instant::now() + wait;
    let silences = shared.lock().silences;
    loop {
        let changed = shared.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        if shared.lock().silences != silences {
            std::future::pending::<()>().await;
        }
        {
            let state = shared.lock();
            if state.down {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
            match state.content.changes_since(table, since) {
                None => return empty_response(StatusCode::GONE),
                Some(rows) if !rows.is_empty() || tokio::time::Instant::now() >= deadline => {
                    return json_response(
                        &json!({"rows": rows, "ver": state.content.version, "nowMs": now_ms()}),
                    );
                }
                Some(_) => {}
            }
        }
        // The next iteration checks the deadline.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

fn apply_transaction(shared: &StoreShared, body: &Value) -> Response<HttpBody> {
    let array = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let string_field =
        |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let mut state = shared.lock();
    let content = &mut state.content;
    let version_of = |entry: &Value| {
        let key = (string_field(entry, "table"), string_field(entry, "key"));
        content.rows.get(&key).map_or(0, |it| it.1)
    };
    let expected = array("expectRev");
    if expected.iter().any(|it| it["ver"] != version_of(it)) {
        return empty_response(StatusCode::PRECONDITION_FAILED);
    }
    for entry in array("puts") {
        content.put(
            &string_field(&entry, "table"),
            &string_field(&entry, "key"),
            Some(string_field(&entry, "value")),
        );
    }
    for entry in array("remove") {
        content.put(
            &string_field(&entry, "table"),
            &string_field(&entry, "key"),
            None,
        );
    }
    let version = content.version;
    drop(state);
    shared.changed.notify_waiters();
    json_response(&json!({"ver": version, "nowMs": now_ms()}))
}

/// Returns the time stated in responses. Clients use only differences between these times.
fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

fn json_response(body: &Value) -> Response<HttpBody> {
    Response::new(httpio::full(body.to_string()))
}

fn empty_response(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = status;
    response
}
