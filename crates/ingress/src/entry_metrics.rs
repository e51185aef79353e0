//! Counters and histograms of an entry, as text for collectors.

use std::sync::Arc;

use httpio::{ReplyBody, Response};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::entry_shared::EntryShared;

/// Everything that an entry counts. Label values come from fixed sets.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) relayed_reads: IntCounterVec,
    pub(crate) first_event: Histogram,
    pub(crate) prediction_ratio: Histogram,
    pub(crate) pause: Histogram,
    pub(crate) replicas_ready: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) config_age: Gauge,
    pub(crate) lines_dropped: IntGauge,
}

impl EntryMetrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| -> anyhow::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| -> anyhow::Result<Histogram> {
            let histogram =
                Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> anyhow::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let config_age = Gauge::new(
            "fulmarline_config_age_seconds",
            "Time since the configuration was confirmed to be the newest.",
        )?;
        registry.register(Box::new(config_age.clone()))?;
        Ok(Self {
            requests: counters(
                "fulmarline_requests_total",
                "Requests by kind, status and reason.",
                &["kind", "status", "reason"],
            )?,
            sends: counters(
                "fulmarline_sends_total",
                "Sends to replicas by outcome; repeat tells first sends from repeats.",
                &["outcome", "repeat"],
            )?,
            store_calls: counters(
                "fulmarline_store_calls_total",
                "Calls to the store by table and outcome.",
                &["table", "outcome"],
            )?,
            relayed_reads: counters(
                "fulmarline_relayed_reads_total",
                "Readings of the store's tables through entries of the zone, by table and outcome.",
                &["table", "outcome"],
            )?,
            first_event: histogram(
                "fulmarline_first_event_seconds",
                "Time from a request's arrival to its first event.",
                &FIRST_EVENT_BUCKETS,
            )?,
            prediction_ratio: histogram(
                "fulmarline_first_event_over_predicted",
                "Observed over predicted time from a send to the first event.",
                &RATIO_BUCKETS,
            )?,
            pause: histogram(
                "fulmarline_pause_seconds",
                "Longest pause between two events of a stream.",
                &FIRST_EVENT_BUCKETS,
            )?,
            replicas_ready: gauge(
                "fulmarline_replicas_ready",
                "Replicas that take new requests.",
            )?,
            config_version: gauge(
                "fulmarline_config_version",
                "Version of the configuration in force.",
            )?,
            lines_dropped: gauge(
                "fulmarline_log_lines_dropped",
                "Log lines that were left out.",
            )?,
            config_age,
            registry,
        })
    }
}

/// Answers a collector.
pub(crate) async fn answer(shared: Arc<EntryShared>) -> Response<ReplyBody> {
    refresh(&shared);
    let mut text = Vec::new();
    let written = TextEncoder::new().encode(&shared.metrics.registry.gather(), &mut text);
    if let Err(err) = written {
        slog::error!(shared.log, "metrics cannot be encoded"; "error" => err.to_string());
    }
    Response::new(httpio::full(text))
}

fn refresh(shared: &EntryShared) {
    let state = shared.state();
    let ready = state
        .catalog
        .all()
        .filter(|it| it.state == fleet::ReplicaState::Ready)
        .count();
    let version = state.routes.as_ref().map_or(0, |it| it.version());
    let age = state.freshness.age(crate::boot_clock::now());
    let metrics = &shared.metrics;
    metrics
        .replicas_ready
        .set(i64::try_from(ready).unwrap_or(i64::MAX));
    metrics
        .config_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    let suppressed = shared.lines().suppressed_total();
    metrics
        .lines_dropped
        .set(i64::try_from(suppressed).unwrap_or(i64::MAX));
    metrics
        .config_age
        .set(age.map_or(-1.0, |it| it.as_secs_f64()));
}

/// Bounds in seconds around the objectives of 0.1 s to 0.5 s.
const FIRST_EVENT_BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0,
];

/// Bounds around a right prediction.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2.0, 4.0, 8.0];
