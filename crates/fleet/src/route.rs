//! Routes and services of the operator's configuration.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cold_table::ColdStart;
use crate::engine_profile::EngineProfile;

/// Retry semantics of the requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Requests may run more than once.
    Idempotent,
    /// Each request id runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless the route is resumable.
    Stream,
}

/// A service that a route forwards to, with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// One route: the requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Matching value of the `Host` header.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Retry semantics of its requests.
    pub kind: CallKind,
    /// Maximum time that a client waits.
    pub timeout: Duration,
    /// Latency objective: a response, or the first event of a stream, within this time earns its full payoff.
    pub objective: Duration,
    /// How urgent its requests are beside others of the same service; 0 is first.
    pub rank: u32,
    /// Longest pause between the events of a stream that is still on time.
    pub max_pause: Duration,
    /// Services behind the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of replicas that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether a stream may be resumed at another replica.
    pub resumable: bool,
    /// Regions in which the requests may be served; any if empty.
    pub home_regions: Vec<String>,
}

/// A service from the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one replica accepts from all clients together.
    pub max_connections: Option<u32>,
    /// Performance figures of the batching engine, if replicas run language models.
    pub engine: Option<EngineProfile>,
    /// The origin of weights, if the service is one.
    pub origin: Option<WeightOrigin>,
    /// What replicas bear after their start, if they become cold.
    pub cold_start: Option<ColdStart>,
}

/// A server that provides manifests and pieces of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightOrigin {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone, if configured.
    pub zone: Option<String>,
}

impl Route {
    /// Returns whether a request that may have run can be sent to another replica.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the time without an event after which another replica is asked to continue a stream as well, or `None` if
    /// none may.
    pub fn silence_timeout(&self) -> Option<Duration> {
        self.is_retryable().then_some(self.max_pause * PAUSE_FACTOR)
    }

    /// Returns the time without an event after which a client leaves a stream, also before its first event.
    pub fn client_patience(&self) -> Duration {
        MIN_PATIENCE
            .max(self.objective * PATIENCE_OBJECTIVES)
            .max(self.max_pause * PATIENCE_PAUSES)
    }

    /// Selects the service for a request by weight; `random` is uniform in 0..1.
    pub fn target(&self, random: f64) -> &str {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut remaining = random * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        self.targets.last().map_or("", |it| &it.service)
    }
}

/// Factor by which a pause may exceed the longest one that is on time. Clients give up after a few times as long.
const PAUSE_FACTOR: u32 = 3;

/// Minimum time without an event after which clients leave a stream; like the two factors below, from the platform's
/// documentation of requests.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Number of latency objectives for which clients wait for an event.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Number of longest pauses for which clients wait for an event.
const PATIENCE_PAUSES: u32 = 8;
