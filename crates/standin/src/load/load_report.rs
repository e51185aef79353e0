//! Summary of a load run, with checks of the outcomes that callers observed against the runs that engines and services
//! counted.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::call_outcome::{CallKind, CallOutcome, CallRecord};
use crate::load::load_plan::LoadPlan;
use crate::run_counters::RunCounters;

/// The results of a load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// All calls in the order in which they ended.
    pub records: Vec<CallRecord>,
    /// Totals over all calls.
    pub totals: LoadTotals,
    /// Totals by kind of call.
    pub by_kind: BTreeMap<CallKind, LoadTotals>,
    /// Totals by organisation.
    pub by_organisation: BTreeMap<String, LoadTotals>,
    /// Time from the scheduled start to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between consecutive tokens, in microseconds.
    pub token_gap_us: Histogram<u64>,
    /// Time during which calls were started.
    pub duration: Duration,
}

/// Numbers of calls by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadTotals {
    /// All calls.
    pub calls: usize,
    /// Calls with a complete and correct response.
    pub answered: usize,
    /// Calls with a complete and correct response within the deadline.
    pub in_time: usize,
    /// Calls refused with a guarantee that they did not run.
    pub refused_not_run: usize,
    /// Calls that may have run.
    pub unknown: usize,
    /// Streams that ended early with an error event.
    pub error_ends: usize,
    /// Responses that ended early without an error event.
    pub cut: usize,
    /// Responses that are incorrect for their calls.
    pub wrong: usize,
    /// Responses with tokens of several versions.
    pub mixed: usize,
    /// Refusals, unknown outcomes and streams with an error event, by result code.
    pub codes: BTreeMap<u16, usize>,
}

/// The runs that engines and services counted.
#[derive(Clone, Debug, Default)]
pub struct ObservedRuns {
    /// Runs by prompt, for each engine.
    pub prompts: Vec<RunCounters>,
    /// Runs by idempotency key, for each service.
    pub keys: Vec<RunCounters>,
    /// Runs by path, for each service.
    pub paths: Vec<RunCounters>,
}

/// Upper bound of the histograms in microseconds; longer times are recorded as this value.
const MAX_HISTOGRAM_US: u64 = 600_000_000;

impl LoadReport {
    pub(crate) fn new(plan: &LoadPlan, records: Vec<CallRecord>, duration: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, 3)
                .expect("the histogram bounds are valid")
        };
        let mut report = Self {
            records: Vec::new(),
            totals: LoadTotals::default(),
            by_kind: BTreeMap::new(),
            by_organisation: BTreeMap::new(),
            first_token_us: histogram(),
            token_gap_us: histogram(),
            duration,
        };
        for record in &records {
            let name = &plan.organisations[record.organisation].name;
            let by_organisation = report.by_organisation.entry(name.clone()).or_default();
            by_organisation.record_call(record, plan.deadline);
            let by_kind = report.by_kind.entry(record.kind).or_default();
            by_kind.record_call(record, plan.deadline);
            report.totals.record_call(record, plan.deadline);
            let micros = |it: &Duration| it.as_micros() as u64;
            if let Some(first) = &record.time_to_first_token {
                report.first_token_us.saturating_record(micros(first));
            }
            for gap in &record.token_gaps {
                report.token_gap_us.saturating_record(micros(gap));
            }
        }
        report.records = records;
        report
    }

    /// Returns the calls that were refused with a guarantee that they did not run, although they ran.
    pub fn false_not_run(&self, observed: &ObservedRuns) -> Vec<&CallRecord> {
        let refused = self
            .records
            .iter()
            .filter(|it| matches!(it.outcome, CallOutcome::NotRun(_)));
        refused.filter(|it| observed.runs(it) > 0).collect()
    }

    /// Returns the number of orders that ran more than once.
    pub fn orders_run_twice(&self, observed: &ObservedRuns) -> usize {
        let orders = self.records.iter().filter(|it| it.kind == CallKind::Order);
        orders.filter(|it| observed.runs(it) > 1).count()
    }

    /// Returns the number of orders with a correct response that did not run.
    pub fn orders_answered_not_run(&self, observed: &ObservedRuns) -> usize {
        let orders = self.records.iter().filter(|it| it.kind == CallKind::Order);
        let answered = orders.filter(|it| it.outcome == CallOutcome::Correct);
        answered.filter(|it| observed.runs(it) == 0).count()
    }

    /// Returns up to `count` descriptions of truncated, incorrect or mixed-version responses.
    pub fn describe_faults(&self, count: usize) -> Vec<String> {
        let faulty = self.records.iter().filter_map(|it| match &it.outcome {
            CallOutcome::Truncated(reason) => {
                Some(format!("{:?} {}: cut: {reason}", it.kind, it.run_key))
            }
            CallOutcome::Incorrect(reason) => {
                Some(format!("{:?} {}: wrong: {reason}", it.kind, it.run_key))
            }
            CallOutcome::MixedVersions(reason) => {
                Some(format!("{:?} {}: mixed: {reason}", it.kind, it.run_key))
            }
            _ => None,
        });
        faulty.take(count).collect()
    }
}

impl ObservedRuns {
    /// Returns how many times a call ran on all engines or services.
    pub fn runs(&self, record: &CallRecord) -> u32 {
        let counts = match record.kind {
            CallKind::Stream => &self.prompts,
            CallKind::Order => &self.keys,
            CallKind::Lookup => &self.paths,
        };
        counts
            .iter()
            .map(|it| it.get(&record.run_key).started)
            .sum()
    }
}

impl LoadTotals {
    fn record_call(&mut self, record: &CallRecord, deadline: Duration) {
        self.calls += 1;
        match &record.outcome {
            CallOutcome::Correct => {
                self.answered += 1;
                self.in_time += usize::from(record.ended_at - record.scheduled_at <= deadline);
            }
            CallOutcome::NotRun(code) => {
                self.refused_not_run += 1;
                self.count_code(*code);
            }
            CallOutcome::Unknown(code) => {
                self.unknown += 1;
                self.count_code(*code);
            }
            CallOutcome::EndedWithError(code) => {
                self.error_ends += 1;
                self.count_code(*code);
            }
            CallOutcome::Truncated(_) => self.cut += 1,
            CallOutcome::Incorrect(_) => self.wrong += 1,
            CallOutcome::MixedVersions(_) => self.mixed += 1,
        }
    }

    fn count_code(&mut self, code: u16) {
        *self.codes.entry(code).or_default() += 1;
    }
}
