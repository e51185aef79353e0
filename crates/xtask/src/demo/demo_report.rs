//! Results of the demo.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

/// Results of one demo run; `target/demo.json` contains them under these names.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DemoReport {
    /// Number of hosts, one per entry or agent.
    pub(crate) hosts: usize,
    /// Time from the acceptance of the first rollout until all engines serve it.
    pub(crate) time_to_first_n_ms: u64,
    /// Time from the acceptance of the second rollout, which runs under load, until all engines serve it.
    pub(crate) time_to_n_ms: u64,
    /// Copies of the second version that the origin sent.
    pub(crate) origin_copies: f64,
    /// Copies of the second version that the weight store sent.
    pub(crate) weight_store_copies: f64,
    /// Number of calls made.
    pub(crate) calls: usize,
    /// Calls with a complete and correct response.
    pub(crate) answered: usize,
    /// Calls refused with a guarantee that they did not run.
    pub(crate) refused_not_run: usize,
    /// Calls that may have run, because the caller received an error that says so, or no complete response.
    pub(crate) unknown: usize,
    /// Streams that ended early with an explicit error.
    pub(crate) ended_with_error: usize,
    /// Refusals, unknown outcomes and streams that ended with an explicit error, by result code.
    pub(crate) codes: BTreeMap<u16, usize>,
    /// Responses that were truncated without an error, or are incorrect for their calls.
    pub(crate) wrong_or_cut_answers: usize,
    /// Responses that mix more than one version.
    pub(crate) mixed_version_answers: usize,
    /// Orders that the services ran more than once.
    pub(crate) orders_run_twice: usize,
    /// Calls that were refused with a guarantee that they did not run, although an engine or service ran them.
    pub(crate) false_not_run: usize,
    /// Requests that reached the drained engine more than 3 s after the drain was accepted.
    pub(crate) new_work_after_leaving: usize,
    /// Requests that were cut off by the drain, the version switches or the stop of the entry.
    pub(crate) cut_by_planned_stop: usize,
    /// 95th percentile of the time to first token, in milliseconds.
    pub(crate) first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub(crate) token_gap_p95_ms: f64,
    /// Descriptions of some of the faulty responses.
    pub(crate) faults: Vec<String>,
}

impl DemoReport {
    /// Returns the names of the counts that must be zero and are not.
    pub(crate) fn violated_guarantees(&self) -> Vec<&'static str> {
        let must_be_zero = [
            ("wrong_or_cut_answers", self.wrong_or_cut_answers),
            ("mixed_version_answers", self.mixed_version_answers),
            ("orders_run_twice", self.orders_run_twice),
            ("false_not_run", self.false_not_run),
            ("new_work_after_leaving", self.new_work_after_leaving),
            ("cut_by_planned_stop", self.cut_by_planned_stop),
        ];
        let violated = must_be_zero.iter().filter(|(_, count)| *count > 0);
        violated.map(|(name, _)| *name).collect()
    }

    /// Returns the table of results that the demo prints at its end.
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
