//! State for target selection: queues, requests in flight, failures and budgets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{GateState, HostName, OrganisationName, TargetKind, TargetRow, VersionDigest};
use rand::RngExt;
use routing::{
    ChoiceRequest, ChoiceStrategy, FairQueue, HedgeTimer, InFlightTable, OutlierTable, PrefixTable,
    QueueRequest, QueueTicket, RetryBudget, TargetCandidate, has_capacity,
};
use settings::HostSettings;
use tokio::sync::oneshot;

use crate::calls::call_error::CallError;
use crate::calls::target_slot::TargetSlot;
use crate::control::ControlSnapshot;

/// Requirements and scheduling parameters of a request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) target: TargetKind,
    pub(crate) organisation: OrganisationName,
    pub(crate) weight: u32,
    pub(crate) priority: u8,
    pub(crate) cost: u32,
    pub(crate) deadline: Instant,
    pub(crate) version: Option<VersionDigest>,
    pub(crate) prefix_digest: Option<u64>,
    pub(crate) avoided_hosts: BTreeSet<HostName>,
}

/// Queued request.
#[derive(Debug)]
pub(crate) struct SlotWaiter {
    pub(crate) slot_request: SlotRequest,
    pub(crate) latest_start: Instant,
    pub(crate) sender: oneshot::Sender<Result<TargetSlot, CallError>>,
}

/// Requests that are queued for one model or service.
#[derive(Debug)]
pub(crate) struct TargetQueue {
    pub(crate) fair_queue: FairQueue,
    pub(crate) waiters: BTreeMap<QueueTicket, SlotWaiter>,
}

/// State of the [`SlotScheduler`](crate::calls::slot_scheduler::SlotScheduler), which holds it under one lock.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    pub(crate) queues: BTreeMap<TargetKind, TargetQueue>,
    pub(crate) in_flight_table: InFlightTable,
    pub(crate) outlier_table: OutlierTable,
    pub(crate) prefix_table: PrefixTable,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) hedge_timer: HedgeTimer,
    round_robin_idx: usize,
}

impl SlotRequest {
    pub(crate) fn queue_request(&self, latest_start: Instant) -> QueueRequest<'_> {
        QueueRequest {
            organisation: &self.organisation,
            weight: self.weight,
            priority: self.priority,
            cost: self.cost,
            latest_start,
        }
    }

    /// Returns the rows of the targets that can serve the request, regardless of their capacity.
    pub(crate) fn candidate_rows<'a>(&self, snapshot: &'a ControlSnapshot) -> Vec<&'a TargetRow> {
        let drains = snapshot.config.as_ref().map(|it| &it.drains);
        snapshot
            .targets
            .values()
            .map(|it| &it.row)
            .filter(|it| it.kind == self.target && it.state == GateState::Open)
            .filter(|it| drains.is_none_or(|drains| !drains.contains(&it.host)))
            .filter(|it| self.version.is_none() || it.serving == self.version)
            .filter(|it| !self.avoided_hosts.contains(&it.host))
            .collect()
    }

    /// Estimates the latest time at which the request can start and still complete before its deadline.
    pub(crate) fn latest_start(&self, rows: &[&TargetRow], now: Instant) -> Instant {
        let count = rows.len().max(1) as u32;
        let total_gap_us: u64 = rows.iter().map(|it| u64::from(it.load.token_gap_us)).sum();
        let total_first_token_ms: u64 = rows
            .iter()
            .map(|it| u64::from(it.load.first_token_ms))
            .sum();
        let mean_gap = Duration::from_micros(total_gap_us) / count;
        let mean_first_token = Duration::from_millis(total_first_token_ms) / count;
        let service_time =
            (mean_first_token + mean_gap.saturating_mul(self.cost)).mul_f64(SERVICE_TIME_MARGIN);
        self.deadline
            .checked_sub(service_time)
            .unwrap_or(now)
            .min(now + MAX_QUEUE_TIME)
    }
}

impl DispatchState {
    /// Selects a target with capacity and counts the request as in flight there.
    pub(crate) fn assign_target(
        &mut self,
        snapshot: &ControlSnapshot,
        own_host: &HostSettings,
        slot_request: &SlotRequest,
        now: Instant,
    ) -> Option<TargetRow> {
        let rows = slot_request.candidate_rows(snapshot);
        rows.iter().for_each(|it| self.in_flight_table.on_row(it));
        let hosts: Vec<&HostName> = rows.iter().map(|it| &it.host).collect();
        let eligible = self.outlier_table.eligible(now, &hosts);
        let rows: Vec<&TargetRow> = rows
            .into_iter()
            .filter(|it| eligible.contains(&&it.host))
            .filter(|it| !self.in_flight_table.is_backed_off(now, &it.host))
            .collect();
        let candidates: Vec<TargetCandidate<'_>> =
            rows.iter().map(|it| self.candidate(it)).collect();
        let cached_hosts = slot_request
            .prefix_digest
            .map(|it| self.prefix_table.hosts(now, it))
            .unwrap_or_default();
        let choice_request = ChoiceRequest {
            zone: &own_host.zone,
            region: &own_host.region,
            cached_hosts: &cached_hosts,
        };
        let idx = match choice_strategy(snapshot) {
            ChoiceStrategy::ExpectedWait => {
                let mut rng = rand::rng();
                let mut pick = |n: usize| rng.random_range(0..n);
                routing::choose_target(&candidates, &choice_request, &mut pick)
            }
            ChoiceStrategy::RoundRobin => next_with_capacity(&candidates, self.round_robin_idx),
            ChoiceStrategy::LeastReportedLoad => (0..candidates.len())
                .filter(|&it| has_capacity(&candidates[it]))
                .min_by_key(|&it| candidates[it].load.in_flight),
        }?;
        self.round_robin_idx = idx + 1;
        let row = rows[idx].clone();
        self.in_flight_table.on_sent(&row.host);
        if let Some(prefix_digest) = slot_request.prefix_digest {
            self.prefix_table.on_sent(now, prefix_digest, &row.host);
        }
        Some(row)
    }

    fn candidate<'a>(&self, row: &'a TargetRow) -> TargetCandidate<'a> {
        TargetCandidate {
            host: &row.host,
            zone: &row.zone,
            region: &row.region,
            load: row.load,
            own_in_flight: self.in_flight_table.own_in_flight(&row.host),
            delta_since_row: self.in_flight_table.delta_since_row(&row.host),
        }
    }
}

fn next_with_capacity(candidates: &[TargetCandidate<'_>], start_idx: usize) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|it| (start_idx + it) % count)
        .find(|&it| has_capacity(&candidates[it]))
}

/// Returns the strategy set by [`STRATEGY_PARAMETER`], with which benchmarks compare strategies.
fn choice_strategy(snapshot: &ControlSnapshot) -> ChoiceStrategy {
    let parameter = snapshot
        .config
        .as_ref()
        .and_then(|it| it.parameters.get(STRATEGY_PARAMETER));
    match parameter {
        Some(&1.0) => ChoiceStrategy::RoundRobin,
        Some(&2.0) => ChoiceStrategy::LeastReportedLoad,
        _ => ChoiceStrategy::ExpectedWait,
    }
}

/// Configuration parameter for the strategy: 0 or absent for the expected wait, 1 for round robin, 2 for the least
/// reported load.
const STRATEGY_PARAMETER: &str = "choice_strategy";

/// Maximum queueing time, even if the deadline allows more.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(10);

/// Factor applied to the estimated service time, because targets may slow down while a request is queued.
const SERVICE_TIME_MARGIN: f64 = 1.25;
