//! What callers saw, held against what engines and services counted.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::call_outcome::{CallKind, CallOutcome, CallRecord};
use crate::load::load_plan::LoadPlan;
use crate::run_counters::RunCounters;

/// All calls of a run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Every call, in the order in which they ended.
    pub records: Vec<CallRecord>,
    /// Sums over all calls.
    pub totals: LoadTotals,
    /// Sums by kind of call.
    pub by_kind: BTreeMap<CallKind, LoadTotals>,
    /// Sums by organisation.
    pub by_organisation: BTreeMap<String, LoadTotals>,
    /// Time from the planned start to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_gap_us: Histogram<u64>,
    /// How long calls arrived.
    pub duration: Duration,
}

/// Numbers of calls by how they ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadTotals {
    /// Calls that were made.
    pub calls: usize,
    /// Answered whole and right.
    pub answered: usize,
    /// Answered whole and right within the deadline.
    pub in_time: usize,
    /// Refused as not run.
    pub refused_not_run: usize,
    /// Ended with an unknown outcome.
    pub unknown: usize,
    /// Streams that ended early and said so.
    pub error_ends: usize,
    /// Answers that broke off without a word.
    pub cut: usize,
    /// Answers that are not the ones to their calls.
    pub wrong: usize,
    /// Answers of more than one version.
    pub mixed: usize,
    /// Refusals, unknown outcomes and early ends by code.
    pub codes: BTreeMap<u16, usize>,
}

/// What engines and services counted.
#[derive(Clone, Debug, Default)]
pub struct ObservedRuns {
    /// Runs by prompt, of each engine.
    pub prompts: Vec<RunCounters>,
    /// Runs by idempotency key, of each service.
    pub keys: Vec<RunCounters>,
    /// Runs by path, of each service.
    pub paths: Vec<RunCounters>,
}

/// Largest time that the histograms hold, in microseconds.
const MAX_HISTOGRAM_US: u64 = 600_000_000;

impl LoadReport {
    pub(crate) fn new(plan: &LoadPlan, records: Vec<CallRecord>, lasted: Duration) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, 3)
                .expect("the bounds of the histogram are valid")
        };
        let mut report = Self {
            records: Vec::new(),
            totals: LoadTotals::default(),
            by_kind: BTreeMap::new(),
            by_organisation: BTreeMap::new(),
            first_token_us: histogram(),
            token_gap_us: histogram(),
            duration: lasted,
        };
        for record in &records {
            let name = &plan.organisations[record.organisation].name;
            let by_organisation = report.by_organisation.entry(name.clone()).or_default();
            by_organisation.add(record, plan.deadline);
            let by_kind = report.by_kind.entry(record.kind).or_default();
            by_kind.add(record, plan.deadline);
            report.totals.add(record, plan.deadline);
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

    /// Returns the calls that were refused as not run although they ran.
    pub fn false_not_run(&self, evidence: &ObservedRuns) -> Vec<&CallRecord> {
        let refused = self
            .records
            .iter()
            .filter(|it| matches!(it.outcome, CallOutcome::NotRun(_)));
        refused.filter(|it| evidence.runs(it) > 0).collect()
    }

    /// Returns the number of orders that ran more than once.
    pub fn orders_run_twice(&self, evidence: &ObservedRuns) -> usize {
        let orders = self.records.iter().filter(|it| it.kind == CallKind::Order);
        orders.filter(|it| evidence.runs(it) > 1).count()
    }

    /// Returns the orders that were answered whole although they did not run.
    pub fn orders_answered_not_run(&self, evidence: &ObservedRuns) -> usize {
        let orders = self.records.iter().filter(|it| it.kind == CallKind::Order);
        let answered = orders.filter(|it| it.outcome == CallOutcome::Correct);
        answered.filter(|it| evidence.runs(it) == 0).count()
    }

    /// Returns at most `count` descriptions of answers that are cut, wrong or mixed.
    pub fn describe_faults(&self, count: usize) -> Vec<String> {
        let faulty = self.records.iter().filter_map(|it| match &it.outcome {
            CallOutcome::Truncated(why) => {
                Some(format!("{:?} {}: cut: {why}", it.kind, it.run_key))
            }
            CallOutcome::Incorrect(why) => {
                Some(format!("{:?} {}: wrong: {why}", it.kind, it.run_key))
            }
            CallOutcome::MixedVersions(why) => {
                Some(format!("{:?} {}: mixed: {why}", it.kind, it.run_key))
            }
            _ => None,
        });
        faulty.take(count).collect()
    }
}

impl ObservedRuns {
    /// Returns how often a call ran.
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
    fn add(&mut self, record: &CallRecord, deadline: Duration) {
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
