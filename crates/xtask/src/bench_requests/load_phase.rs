//! Results of one phase of load.

use std::collections::BTreeMap;

use serde::Serialize;
use standin::{LoadReport, LoadTotals};

/// Results of one phase.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadPhase {
    /// Name of the phase, unique within the report.
    pub(crate) name: String,
    /// Stream requests per second, relative to the capacity of the engines.
    pub(crate) load: f64,
    /// Model responses per second that were complete within their deadline.
    pub(crate) goodput_per_s: f64,
    /// Median time to first token in milliseconds.
    pub(crate) first_token_p50_ms: f64,
    /// 95th percentile of the time to first token in milliseconds.
    pub(crate) first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens in milliseconds.
    pub(crate) token_gap_p95_ms: f64,
    /// Responses per second that were complete within their deadline, by organisation.
    pub(crate) by_organisation: BTreeMap<String, f64>,
    /// Counts over all calls of the phase.
    pub(crate) totals: LoadTotals,
}

impl LoadPhase {
    pub(crate) fn new(name: &str, load: f64, report: &LoadReport) -> Self {
        let seconds = report.duration.as_secs_f64();
        let streams = report.by_kind.get(&standin::CallKind::Stream);
        let quantile = |histogram: &hdrhistogram::Histogram<u64>, it| {
            histogram.value_at_quantile(it) as f64 / 1_000.0
        };
        let by_organisation = report.by_organisation.iter();
        Self {
            name: name.to_owned(),
            load,
            goodput_per_s: streams.map_or(0.0, |it| it.in_time as f64 / seconds),
            first_token_p50_ms: quantile(&report.first_token_us, 0.5),
            first_token_p95_ms: quantile(&report.first_token_us, 0.95),
            token_gap_p95_ms: quantile(&report.token_gap_us, 0.95),
            by_organisation: by_organisation
                .map(|(name, it)| (name.clone(), it.in_time as f64 / seconds))
                .collect(),
            totals: report.totals.clone(),
        }
    }
}
