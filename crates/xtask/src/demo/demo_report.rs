//! What the demo found.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

/// The figures of one demo; `target/demo.json` holds them under these names.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DemoReport {
    /// Hosts of entries and agents.
    pub(crate) hosts: usize,
    /// From accepting the first rollout to the last engine that serves it.
    pub(crate) time_to_first_n_ms: u64,
    /// From accepting the second rollout to the last engine that serves it, under load.
    pub(crate) time_to_n_ms: u64,
    /// Copies of the second version that left the origin.
    pub(crate) origin_copies: f64,
    /// Copies of the second version that left the weight store.
    pub(crate) weight_store_copies: f64,
    /// Calls that were made.
    pub(crate) calls: usize,
    /// Calls answered whole and right.
    pub(crate) answered: usize,
    /// Calls refused as not run.
    pub(crate) refused_not_run: usize,
    /// Calls whose outcome nobody knows, and told so.
    pub(crate) unknown: usize,
    /// Streams that ended early with an explicit error.
    pub(crate) ended_with_error: usize,
    /// Codes of all calls that were not answered.
    pub(crate) codes: BTreeMap<u16, usize>,
    /// Answers that broke off without a word, or are not the ones to their calls.
    pub(crate) wrong_or_cut_answers: usize,
    /// Answers of more than one version.
    pub(crate) mixed_version_answers: usize,
    /// Orders that a service ran more than once.
    pub(crate) orders_run_twice: usize,
    /// Calls refused as not run that an engine or service ran.
    pub(crate) false_not_run: usize,
    /// Requests that the drained engine got later than 3 s after the drain was accepted.
    pub(crate) new_work_after_leaving: usize,
    /// Requests that the drain, the version switches or the stop of the entry cut off.
    pub(crate) cut_by_planned_stop: usize,
    /// Time to the first token for 95 in 100 streams, in milliseconds.
    pub(crate) first_token_p95_ms: f64,
    /// Time between tokens for 95 in 100, in milliseconds.
    pub(crate) token_gap_p95_ms: f64,
    /// Descriptions of some wrong or cut answers.
    pub(crate) faults: Vec<String>,
}

impl DemoReport {
    /// Returns the names of the figures that must be zero and are not.
    pub(crate) fn broken_promises(&self) -> Vec<&'static str> {
        let zeros = [
            ("wrong_or_cut_answers", self.wrong_or_cut_answers),
            ("mixed_version_answers", self.mixed_version_answers),
            ("orders_run_twice", self.orders_run_twice),
            ("false_not_run", self.false_not_run),
            ("new_work_after_leaving", self.new_work_after_leaving),
            ("cut_by_planned_stop", self.cut_by_planned_stop),
        ];
        let broken = zeros.iter().filter(|(_, count)| *count > 0);
        broken.map(|(name, _)| *name).collect()
    }

    /// Returns the closing table.
    pub(crate) fn table(&self) -> String {
        let mut text = String::from("\n");
        let rows = [
            ("hosts", self.hosts.to_string()),
            (
                "time to N, first rollout",
                format!("{} ms", self.time_to_first_n_ms),
            ),
            ("time to N, under load", format!("{} ms", self.time_to_n_ms)),
            ("origin copies", format!("{:.2}", self.origin_copies)),
            (
                "weight store copies",
                format!("{:.2}", self.weight_store_copies),
            ),
            ("calls", self.calls.to_string()),
            ("answered", self.answered.to_string()),
            ("refused, not run", self.refused_not_run.to_string()),
            ("unknown", self.unknown.to_string()),
            ("ended with an error", self.ended_with_error.to_string()),
            (
                "wrong or cut answers",
                self.wrong_or_cut_answers.to_string(),
            ),
            (
                "mixed-version answers",
                self.mixed_version_answers.to_string(),
            ),
            ("orders run twice", self.orders_run_twice.to_string()),
            ("false \"not run\"", self.false_not_run.to_string()),
            (
                "new work after leaving",
                self.new_work_after_leaving.to_string(),
            ),
            ("cut by planned stop", self.cut_by_planned_stop.to_string()),
            (
                "first token p95",
                format!("{:.1} ms", self.first_token_p95_ms),
            ),
            ("token gap p95", format!("{:.1} ms", self.token_gap_p95_ms)),
        ];
        for (name, value) in rows {
            let _ = writeln!(text, "{name:<26} {value:>12}");
        }
        for fault in &self.faults {
            let _ = writeln!(text, "  {fault}");
        }
        text
    }
}
