//! One route of the operator's configuration and the service behind it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine_profile::EngineProfile;

/// What may be repeated of the requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request id.
    NonIdempotent,
    /// A series of events; runs at most once unless the route allows it to be resumed.
    Stream,
}

/// A service that a route leads to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other targets of the route.
    pub weight: u32,
}

/// One route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that the operator gave the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Start of the path, beginning and ending with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, earns its full payoff.
    pub objective: Duration,
    /// Services behind the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may go on at another replica.
    pub resumable: bool,
}

/// A service as the operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Connections that one replica accepts from all clients together.
    pub max_connections: Option<u32>,
    /// Figures of the batching engine, where replicas run language models.
    pub engine: Option<EngineProfile>,
    /// Where weights come from, where the service is such an origin.
    pub origin: Option<WeightOrigin>,
}

/// A server that hands out manifests and pieces of weights.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightOrigin {
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone that it is in, where the configuration says so.
    pub zone: Option<String>,
}

impl Route {
    /// Says whether a request that may have run can be sent to another replica.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Returns the service for a request; `pick` is uniform in 0..1.
    pub fn target(&self, pick: f64) -> &str {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = pick * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        self.targets.last().map_or("", |it| &it.service)
    }
}
