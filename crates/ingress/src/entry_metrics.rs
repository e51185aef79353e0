//! Metrics of an entry in the Prometheus text format.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{FeedTable, ReplicaState};
use httpio::{HttpBody, Response};
use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::entry_shared::EntryShared;
use crate::time_limit_log::NO_FENCE;
use relay::boot_clock;

/// All metrics of an entry. Label values come from fixed sets.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) relayed_reads: IntCounterVec,
    pub(crate) transferred_bytes: IntCounterVec,
    pub(crate) leaving_notices: IntCounterVec,
    pub(crate) first_event: Histogram,
    pub(crate) prediction_ratio: Histogram,
    pub(crate) longest_pause: Histogram,
    pub(crate) stream_segments: IntCounterVec,
    pub(crate) retry_denials: IntCounterVec,
    pub(crate) broken_connections: IntCounterVec,
    pub(crate) response_heads: IntCounterVec,
    pub(crate) limit_changes: IntCounterVec,
    pub(crate) limited_requests: IntCounterVec,
    pub(crate) limits: IntGauge,
    pub(crate) limit_turns: IntGaugeVec,
    pub(crate) cold_replicas: IntGauge,
    pub(crate) cold_turns: IntGaugeVec,
    pub(crate) evacuated_zones: IntGauge,
    pub(crate) excluded_requests: IntCounterVec,
    pub(crate) part_changes: IntCounterVec,
    pub(crate) parts: IntGaugeVec,
    pub(crate) predicted_first_event: Histogram,
    pub(crate) in_flight: IntGauge,
    pub(crate) replicas: IntGaugeVec,
    pub(crate) catalog_age: Gauge,
    pub(crate) retries_remaining: GaugeVec,
    pub(crate) weights_version: IntGaugeVec,
    pub(crate) weights_age: GaugeVec,
    pub(crate) declaration_width: HistogramVec,
    pub(crate) sends_by_limit: IntCounterVec,
    pub(crate) streams_ended_at_switch: IntCounterVec,
    pub(crate) switch_slack: Histogram,
    pub(crate) withdrawal_lateness: Histogram,
    pub(crate) config_version: IntGauge,
    pub(crate) config_age: Gauge,
    pub(crate) timer_lateness: Gauge,
    pub(crate) lines_dropped: IntGauge,
    pub(crate) client_connections: IntGaugeVec,
    pub(crate) client_bytes: IntGaugeVec,
    pub(crate) clients_closed: IntCounterVec,
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
        let seconds = |name: &str, help: &str| -> anyhow::Result<Gauge> {
            let gauge = Gauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let int_gauges = |name: &str, help: &str, label: &str| -> anyhow::Result<IntGaugeVec> {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok(gauges)
        };
        let gauges = |name: &str, help: &str, label: &str| -> anyhow::Result<GaugeVec> {
            let gauges = GaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok(gauges)
        };
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
            transferred_bytes: counters(
                "fulmarline_transferred_bytes_total",
                "Bytes exchanged with the store and with other processes, without headers: sent and received, by purpose.",
                &["direction", "purpose"],
            )?,
            leaving_notices: counters(
                "fulmarline_leaving_notices_total",
                "First notices that a replica leaves, by what told it.",
                &["source"],
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
            longest_pause: histogram(
                "fulmarline_pause_seconds",
                "Longest pause between two events of a stream.",
                &FIRST_EVENT_BUCKETS,
            )?,
            stream_segments: counters(
                "fulmarline_stream_segments_total",
                "Segments of streams that replicas sent, by how the end of the body is marked and how the segment ended.",
                &["framing", "end"],
            )?,
            retry_denials: counters(
                "fulmarline_retry_denials_total",
                "Requests that were not sent to another replica after a failure or a silence, by reason.",
                &["why"],
            )?,
            broken_connections: counters(
                "fulmarline_broken_connections_total",
                "Probes of replicas after a connection broke during a request, by result.",
                &["replica"],
            )?,
            response_heads: counters(
                "fulmarline_response_heads_total",
                "Heads of replicas' responses, by whether they name a limit.",
                &["limit"],
            )?,
            limit_changes: counters(
                "fulmarline_limit_changes_total",
                "Limits of replicas that began, changed or ended as this entry learned.",
                &["change"],
            )?,
            limited_requests: counters(
                "fulmarline_limited_requests_total",
                "Requests sent with a turn at a replica with a limit, sent elsewhere because one had no turn, refused for limits, or not sent because a limit began while a connection was opened.",
                &["outcome"],
            )?,
            limits: gauge("fulmarline_limits", "Replicas whose limits are in force.")?,
            limit_turns: int_gauges(
                "fulmarline_limit_turns",
                "Turns of this entry at replicas whose limits are in force: usable now, used and lapsed since the limits began.",
                "state",
            )?,
            cold_replicas: gauge(
                "fulmarline_cold_replicas",
                "Replicas that say that they are cold.",
            )?,
            cold_turns: int_gauges(
                "fulmarline_cold_turns",
                "Turns of this entry at replicas that are cold: usable now, used and lapsed since they became cold.",
                "state",
            )?,
            evacuated_zones: gauge(
                "fulmarline_evacuated_zones",
                "Availability zones that the operator has evacuated.",
            )?,
            excluded_requests: counters(
                "fulmarline_excluded_requests_total",
                "Choices without a result because all replicas were outside the home regions of the request or in evacuated zones.",
                &["rule"],
            )?,
            part_changes: counters(
                "fulmarline_part_changes_total",
                "Parts of prompts that were suspected to crash replicas, cleared, or held back by this entry.",
                &["change"],
            )?,
            parts: int_gauges(
                "fulmarline_parts",
                "Parts of prompts that are suspected to crash replicas, or held back.",
                "state",
            )?,
            predicted_first_event: histogram(
                "fulmarline_predicted_first_event_seconds",
                "Predicted time from a send to the first event, which includes the wait at the replica.",
                &FIRST_EVENT_BUCKETS,
            )?,
            in_flight: gauge(
                "fulmarline_requests_in_progress",
                "Requests of this entry at replicas.",
            )?,
            replicas: int_gauges(
                "fulmarline_replicas",
                "Replicas by state: ready, draining, or out of use after failures.",
                "state",
            )?,
            catalog_age: seconds(
                "fulmarline_catalog_age_seconds",
                "Time since the list of replicas was confirmed to be the newest.",
            )?,
            retries_remaining: gauges(
                "fulmarline_repeats_left",
                "Repeats that this entry may still send, by service.",
                "service",
            )?,
            weights_version: int_gauges(
                "fulmarline_weights_version",
                "Newest declared version, by model.",
                "model",
            )?,
            weights_age: gauges(
                "fulmarline_weights_age_seconds",
                "Longest time since the newest version was declared, by model; -1 where it is not known.",
                "model",
            )?,
            declaration_width: {
                let opts = HistogramOpts::new(
                    "fulmarline_declaration_width_seconds",
                    "Uncertainty of the time of a declaration of weights when it became known, by what told it.",
                );
                let opts = opts.buckets(DECLARATION_WIDTH_BUCKETS.to_vec());
                let widths = HistogramVec::new(opts, &["source"])?;
                registry.register(Box::new(widths.clone()))?;
                widths
            },
            sends_by_limit: {
                let sends = counters(
                    "fulmarline_sends_by_limit_total",
                    "Sends to weights that a version replaces, or may replace, by what ends the time limit of the replica; none if it ends after the switch.",
                    &["limited_by"],
                )?;
                // An alarm on the series needs it before the first such send.
                sends.with_label_values(&[NO_FENCE]);
                sends
            },
            streams_ended_at_switch: counters(
                "fulmarline_streams_ended_at_switch_total",
                "Streams that a replica ended at a switch of its weights, by what became of them.",
                &["outcome"],
            )?,
            switch_slack: histogram(
                "fulmarline_switch_slack_seconds",
                "Time left until the weights of a replica become too old, at the first event of a request there.",
                &SWITCH_SLACK_BUCKETS,
            )?,
            withdrawal_lateness: histogram(
                "fulmarline_withdrawal_lateness_seconds",
                "Time from the moment at which a request must be withdrawn to its withdrawal.",
                &LATENESS_BUCKETS,
            )?,
            config_version: gauge(
                "fulmarline_config_version",
                "Version of the configuration in force.",
            )?,
            client_connections: int_gauges(
                "fulmarline_client_connections",
                "Open connections of clients by address.",
                "address",
            )?,
            client_bytes: int_gauges(
                "fulmarline_client_bytes",
                "Memory of heads, bodies and unread responses of clients by address.",
                "address",
            )?,
            clients_closed: counters(
                "fulmarline_clients_closed_total",
                "Connections of clients that were closed or refused, by address and reason.",
                &["address", "why"],
            )?,
            lines_dropped: gauge(
                "fulmarline_log_lines_dropped",
                "Log lines that were left out.",
            )?,
            timer_lateness: seconds(
                "fulmarline_timer_lateness_seconds",
                "Worst lateness of this entry's timers in the last 10 s.",
            )?,
            config_age: seconds(
                "fulmarline_config_age_seconds",
                "Time since the configuration was confirmed to be the newest.",
            )?,
            registry,
        })
    }
}

/// Handles a scrape of the metrics.
pub(crate) async fn handle_scrape(shared: Arc<EntryShared>) -> Response<HttpBody> {
    update_gauges(&shared);
    let mut text = Vec::new();
    let written = TextEncoder::new().encode(&shared.metrics.registry.gather(), &mut text);
    if let Err(err) = written {
        slog::error!(shared.log, "encoding metrics failed"; "error" => err.to_string());
    }
    Response::new(httpio::full(text))
}

fn update_gauges(shared: &EntryShared) {
    let now = Instant::now();
    let boot_time = boot_clock::now();
    let metrics = &shared.metrics;
    let mut state = shared.state();
    let mut counts = BTreeMap::from([("ready", 0), ("draining", 0), ("out", 0)]);
    for replica in state.catalog.all() {
        let label = match replica.state {
            ReplicaState::Draining => "draining",
            ReplicaState::Ready if state.health.is_usable(&replica.id, now) => "ready",
            ReplicaState::Ready => "out",
        };
        *counts.entry(label).or_insert(0) += 1;
    }
    for (label, count) in counts {
        metrics.replicas.with_label_values(&[label]).set(count);
    }
    let limits = state.limits.states(shared.suspend_aware_now());
    metrics.limits.set(to_gauge_value(limits.len() as u64));
    for (label, count) in [
        ("usable", limits.iter().map(|it| it.turns as u64).sum()),
        ("used", limits.iter().map(|it| it.used).sum()),
        ("lapsed", limits.iter().map(|it| it.lapsed).sum()),
    ] {
        let gauge = metrics.limit_turns.with_label_values(&[label]);
        gauge.set(to_gauge_value(count));
    }
    let cold_counts = state.limits.cold_turn_counts();
    for (label, count) in ["usable", "used", "lapsed"].into_iter().zip(cold_counts) {
        let gauge = metrics.cold_turns.with_label_values(&[label]);
        gauge.set(to_gauge_value(count));
    }
    metrics
        .cold_replicas
        .set(to_gauge_value(state.cold.count(now) as u64));
    let evacuated = state.evacuations.zones().count();
    metrics
        .evacuated_zones
        .set(to_gauge_value(evacuated as u64));
    let held = state.crashes.holds(now).into_iter().filter(|it| it.is_held);
    for (label, count) in [
        ("held", held.count()),
        ("suspected", state.crashes.suspects().count()),
    ] {
        let gauge = metrics.parts.with_label_values(&[label]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
    let in_flight = state.loads.own_samples();
    let in_flight: u32 = in_flight.values().map(|it| it.running).sum();
    metrics.in_flight.set(i64::from(in_flight));
    let version = state.routes.as_ref().map_or(0, |it| it.version());
    metrics.config_version.set(to_gauge_value(version));
    // An age of -1 means that the data has not been read yet.
    let age = |it: Option<Duration>| it.map_or(-1.0, |it| it.as_secs_f64());
    metrics.config_age.set(age(state.freshness.age(boot_time)));
    let lateness = state.timer_lateness.recent(boot_time);
    metrics.timer_lateness.set(lateness.as_secs_f64());
    let confirmed = state.feed(FeedTable::Replicas).confirmed_at();
    let catalog_age = confirmed.map(|it| boot_time.saturating_sub(it));
    metrics.catalog_age.set(age(catalog_age));
    for (service, budget) in &mut state.retry_budgets {
        let left = metrics
            .retries_remaining
            .with_label_values(&[service.as_str()]);
        left.set(budget.remaining_at(now));
    }
    let latest_ms = state.store_times.clock().latest_ms(boot_time);
    for (model, version, declared) in state.versions.all() {
        // Versions are in ascending order, so the newest one is set last.
        let gauge = metrics.weights_version.with_label_values(&[model]);
        gauge.set(to_gauge_value(version));
        let known_age = latest_ms.and_then(|it| declared.max_age(it));
        metrics
            .weights_age
            .with_label_values(&[model])
            .set(age(known_age));
    }
    drop(state);
    for (address, counts) in shared.client_accounts.counts() {
        let connections = metrics.client_connections.with_label_values(&[address]);
        connections.set(to_gauge_value(counts.open as u64));
        let bytes = metrics.client_bytes.with_label_values(&[address]);
        bytes.set(to_gauge_value(counts.held_bytes as u64));
    }
    metrics
        .lines_dropped
        .set(to_gauge_value(shared.log_limiter().suppressed_total()));
}

impl EntryMetrics {
    /// Counts bytes that were received for `purpose`.
    pub(crate) fn count_received(&self, purpose: &str, bytes: usize) {
        let counter = &self.transferred_bytes;
        counter
            .with_label_values(&["received", purpose])
            .inc_by(bytes as u64);
    }

    /// Counts bytes that were sent for `purpose`.
    pub(crate) fn count_sent(&self, purpose: &str, bytes: usize) {
        let counter = &self.transferred_bytes;
        counter
            .with_label_values(&["sent", purpose])
            .inc_by(bytes as u64);
    }
}

fn to_gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Histogram bounds in seconds around the objectives of 0.1 s to 0.5 s.
const FIRST_EVENT_BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0,
];

/// Histogram bounds in seconds around the parts of a switch time that are reserved.
const DECLARATION_WIDTH_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0];

/// Histogram bounds in seconds, from the reserve to the switch time.
const SWITCH_SLACK_BUCKETS: [f64; 10] = [0.0, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Histogram bounds in seconds of how late a timer fires.
const LATENESS_BUCKETS: [f64; 9] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5];

/// Histogram bounds for the ratio of observed to predicted time, around 1.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2.0, 4.0, 8.0];
