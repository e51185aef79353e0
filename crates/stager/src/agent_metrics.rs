//! Prometheus metrics of an agent.

use std::sync::Arc;

use httpio::{HttpBody, Response};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::agent_shared::AgentShared;

/// Metrics of an agent. Label values come from fixed sets, which bounds the number of time series.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    registry: Registry,
    pub(crate) pieces: IntCounterVec,
    pub(crate) orders: IntCounterVec,
    pub(crate) prior_orders: IntCounterVec,
    pub(crate) replica_calls: IntCounterVec,
    pub(crate) version: IntGauge,
    pub(crate) verification_age: Histogram,
    pub(crate) manifests_replaced: IntCounter,
}

impl AgentMetrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let pieces = IntCounterVec::new(
            Opts::new(
                "fulmarline_pieces_total",
                "Pieces of weights by source and outcome.",
            ),
            &["source", "outcome"],
        )?;
        let orders = IntCounterVec::new(
            Opts::new(
                "fulmarline_load_orders_total",
                "Orders to the replica by outcome.",
            ),
            &["outcome"],
        )?;
        let prior_orders = IntCounterVec::new(
            Opts::new(
                "fulmarline_prior_orders_total",
                "Searches for a load that an earlier process of the agent may have ordered, by finding.",
            ),
            &["finding"],
        )?;
        let replica_calls = IntCounterVec::new(
            Opts::new(
                "fulmarline_replica_calls_total",
                "Requests for the replica's report and orders to it, by whether the replica names a limit.",
            ),
            &["call", "limited"],
        )?;
        let version = IntGauge::new(
            "fulmarline_weights_version",
            "Version that the replica serves.",
        )?;
        let verification_age = Histogram::with_opts(
            HistogramOpts::new(
                "fulmarline_order_verification_age_seconds",
                "Age of the oldest verification of a staged piece when the replica was ordered to load it.",
            )
            .buckets(AGE_BUCKETS.to_vec()),
        )?;
        let manifests_replaced = IntCounter::new(
            "fulmarline_manifests_replaced_total",
            "Manifests that were wrong and have been fetched again.",
        )?;
        registry.register(Box::new(manifests_replaced.clone()))?;
        registry.register(Box::new(verification_age.clone()))?;
        registry.register(Box::new(pieces.clone()))?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(prior_orders.clone()))?;
        registry.register(Box::new(replica_calls.clone()))?;
        registry.register(Box::new(version.clone()))?;
        Ok(Self {
            registry,
            pieces,
            orders,
            prior_orders,
            replica_calls,
            version,
            verification_age,
            manifests_replaced,
        })
    }
}

/// Handles a scrape request.
pub(crate) async fn handle_scrape(shared: Arc<AgentShared>) -> Response<HttpBody> {
    let state = shared.state();
    let serving = state.serving.as_ref().and_then(|it| it.first());
    let version = serving.map_or(0, |it| it.version);
    shared
        .metrics
        .version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    let mut text = Vec::new();
    let written = TextEncoder::new().encode(&shared.metrics.registry.gather(), &mut text);
    if let Err(err) = written {
        slog::error!(shared.log, "metrics cannot be encoded"; "error" => err.to_string());
    }
    Response::new(httpio::full(text))
}

/// Bounds of the buckets of ages, in seconds.
const AGE_BUCKETS: [f64; 7] = [0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 3.0];
