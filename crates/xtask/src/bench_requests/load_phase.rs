//! One stretch of load and what came of it.

use std::collections::BTreeMap;

use serde::Serialize;
use standin::{LoadReport, LoadTotals};

/// Figures of one phase.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LoadPhase {
    /// What the phase is about.
    pub(crate) name: String,
    /// Streams asked for in a second, relative to the capacity.
    pub(crate) load: f64,
    /// Whole answers of models within their deadline, in a second.
    pub(crate) goodput_per_s: f64,
    /// Median time to the first token in milliseconds.
    pub(crate) first_token_p50_ms: f64,
    /// 95 in 100 first tokens came earlier than this, in milliseconds.
    pub(crate) first_token_p95_ms: f64,
    /// 95 in 100 token gaps were shorter than this, in milliseconds.
    pub(crate) token_gap_p95_ms: f64,
    /// Whole answers of models within their deadline in a second, by organisation.
    pub(crate) by_organisation: BTreeMap<String, f64>,
    /// Sums over all calls.
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
