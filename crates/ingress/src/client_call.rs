//! A client's request: its route, tenant, deadline and complete body.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{ApiTenant, CallKind, KeyDenial, Route, RouteTable};
use httpio::{BufferShare, ClientHandle, HeaderMap, Incoming, Method, Request, header};
use hyper::body::Body;
use platform::RequestMetadata;
use rand::RngExt;
use relay::boot_clock;
use routing::{PartId, PoolId};

use crate::client_accounts;
use crate::crash_guard::TrialGuard;
use crate::entry_shared::EntryShared;
use crate::refusal::Refusal;

/// A client's request, read completely.
#[derive(Debug)]
pub(crate) struct ClientCall {
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) metadata: RequestMetadata,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    /// The pool of the service's replicas, to which evidence about crashes applies.
    pub(crate) pool: PoolId,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// The tenant that held the request's key when the request arrived. It stays the same for all sends, since the segments
    /// of a stream must belong to one tenant.
    pub(crate) tenant: Option<Arc<ApiTenant>>,
    /// Age of the configuration when the request arrived.
    pub(crate) config_age: Option<Duration>,
    pub(crate) method: Method,
    pub(crate) target: http::Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The connection of the client, if what is held for it is bounded.
    pub(crate) client: Option<ClientHandle>,
    /// The memory of the head and the body, which is held until the request ends.
    _shares: [BufferShare; 2],
    sends: AtomicU32,
    trial: OnceLock<TrialGuard>,
}

impl ClientCall {
    /// Returns the request id for logs, or an empty string if the client sent none.
    pub(crate) fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("")
    }

    /// Returns the name of the tenant that is passed on to replicas.
    pub(crate) fn tenant_name(&self) -> Option<&str> {
        self.tenant.as_ref().map(|it| it.name.as_str())
    }

    /// Returns how urgent the request is beside others of its service; 0 is first.
    pub(crate) fn rank(&self) -> u32 {
        let tenant = self.tenant.as_ref().and_then(|it| it.rank);
        tenant.unwrap_or(self.route.rank)
    }

    /// Returns the shared parts of the prompt for logs, separated by commas.
    pub(crate) fn shared_parts(&self) -> String {
        let parts = self.parts.iter();
        parts.map(ToString::to_string).collect::<Vec<_>>().join(",")
    }

    /// Returns the time until the deadline set by the client or the route.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the number of times that the request was sent to a replica.
    pub(crate) fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Increments the number of sends.
    pub(crate) fn record_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes the request the only one with a suspected or held part until it ends.
    pub(crate) fn begin_trial(&self, guard: TrialGuard) {
        // A request is admitted once.
        let _ = self.trial.set(guard);
    }

    /// Returns the suspected or held part that this request is the only one with.
    pub(crate) fn trial(&self) -> Option<&TrialGuard> {
        self.trial.get()
    }

    /// Returns whether the client has already waited so long, for example in earlier attempts, that the request can no
    /// longer meet its objective.
    ///
    /// Clients usually allow the route's timeout, so the part that is missing from the request's own timeout has
    /// already passed.
    pub(crate) fn is_late(&self) -> bool {
        let time_limit = self.metadata.time_limit.unwrap_or(self.route.timeout);
        self.route.timeout.saturating_sub(time_limit) > self.route.objective / 2
    }
}

/// Resolves the route and the tenant of a request and reads its body.
pub(crate) async fn read_call(
    shared: &EntryShared,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<ClientCall, Refusal> {
    let metadata = platform::decode_request_headers(request.headers());
    let (table, freshness, now) = {
        let state = shared.state();
        let table = state.routes.clone().ok_or(Refusal::NoConfig)?;
        (table, state.freshness, boot_clock::now())
    };
    let config_age = freshness.age(now);
    let is_current = config_age.is_some_and(|it| it < MAX_CURRENT_AGE);
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|it| it.to_str().ok())
        .unwrap_or_default();
    let path = request.uri().path();
    // A permanent error (404, 401) requires a configuration that was recently confirmed to be the newest.
    let unless_outdated = |refusal| {
        if is_current {
            refusal
        } else {
            Refusal::NoConfig
        }
    };
    let route = table
        .find(host, path)
        .ok_or_else(|| unless_outdated(Refusal::NoRoute))?
        .clone();
    let key = metadata.api_key.as_deref();
    let keys = table.keys();
    let tenant = keys.identify(key, route.public, &freshness, now);
    let tenant = tenant.map_err(|denial| match denial {
        KeyDenial::Outdated => Refusal::NoConfig,
        KeyDenial::Unknown => unless_outdated(Refusal::UnknownKey),
    })?;
    let tenant = tenant.cloned();
    let (parts, body) = request.into_parts();
    let time_limit = metadata
        .time_limit
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = arrived + time_limit;
    let max_bytes = table.limits().max_body_bytes;
    let client = parts.extensions.get::<ClientHandle>().cloned();
    let client = client.filter(|_| shared.client_limits.memory.is_some());
    let share = || {
        let share = shared.request_budget.share_without_wait();
        share.for_client(client.clone())
    };
    let (mut head_share, mut body_share) = (share(), share());
    if client.is_some()
        && !head_share
            .extend_to(client_accounts::head_bytes(&parts.headers))
            .await
    {
        return Err(Refusal::OutOfMemory);
    }
    if let Some(client) = client.as_ref().filter(|_| !body.is_end_stream()) {
        client.set_busy(false);
    }
    let body = httpio::read_into_share(body, max_bytes, time_limit, &mut body_share)
        .await
        .map_err(|it| match it.kind() {
            std::io::ErrorKind::InvalidData => Refusal::TooLarge,
            std::io::ErrorKind::TimedOut => Refusal::Expired,
            std::io::ErrorKind::QuotaExceeded => Refusal::OutOfMemory,
            _ => Refusal::BadBody,
        })?;
    if let Some(client) = &client {
        client.set_busy(true);
    }
    let service = route.target(rand::rng().random()).to_owned();
    let pool = PoolId::new(&service);
    let part = |digest: &u64| PartId {
        pool,
        digest: *digest,
    };
    Ok(ClientCall {
        pool,
        parts: metadata.shared_parts.iter().map(part).collect(),
        arrived,
        deadline,
        metadata,
        service,
        tenant,
        config_age,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        client,
        _shares: [head_share, body_share],
        table,
        route,
        sends: AtomicU32::new(0),
        trial: OnceLock::new(),
    })
}

/// Returns the value of the `kind` label in logs and metrics.
pub(crate) fn kind_label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Idempotent => "idempotent",
        CallKind::NonIdempotent => "non_idempotent",
        CallKind::Stream => "stream",
    }
}

/// Age of the configuration below which a route or key that it lacks is reported to the client as nonexistent.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(3000);
