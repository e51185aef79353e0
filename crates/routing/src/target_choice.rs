//! Load balancing: selects the target of a request.

use std::time::Duration;

use model::{HostName, LoadSample, RegionName, ZoneName};

use crate::wait_estimate::{expected_wait, has_capacity, in_flight};

/// Target that is ready, of the requested kind and not ejected.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// Host of the target.
    pub host: &'a HostName,
    /// Availability zone of the host.
    pub zone: &'a ZoneName,
    /// Region of the host.
    pub region: &'a RegionName,
    /// Load in the gate's latest report.
    pub load: LoadSample,
    /// Requests of this entry in flight at the target.
    pub own_in_flight: u32,
    /// Requests that this entry started, minus those that it finished, since the latest report.
    pub delta_since_row: i32,
}

/// Properties of a request that affect the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Availability zone of the entry.
    pub zone: &'a ZoneName,
    /// Region of the entry.
    pub region: &'a RegionName,
    /// Hosts that probably have the request's prefix cached.
    pub cached_hosts: &'a [HostName],
}

/// Load balancing strategy; all but the default are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoiceStrategy {
    /// Power of two choices per distance by expected wait, with bounded cache affinity.
    #[default]
    ExpectedWait,
    /// Cycles through the targets.
    RoundRobin,
    /// Lowest reported load, ignoring the entry's own requests since the report.
    LeastReportedLoad,
}

/// Returns the index of a target with free capacity, or `None` if all targets are at their limit.
///
/// `pick(n)` returns a uniformly distributed index below `n`. Comparing two random candidates of each distance prevents
/// herding, in which many entries with the same stale load reports all select the same target.
pub fn choose_target(
    candidates: &[TargetCandidate<'_>],
    request: &ChoiceRequest<'_>,
    pick: &mut dyn FnMut(usize) -> usize,
) -> Option<usize> {
    let available: Vec<usize> = (0..candidates.len())
        .filter(|&it| has_capacity(&candidates[it]))
        .collect();
    let best = [
        Distance::SameZone,
        Distance::SameRegion,
        Distance::OtherRegion,
    ]
    .into_iter()
    .filter_map(|distance| {
        let tier: Vec<usize> = available
            .iter()
            .copied()
            .filter(|&it| distance_to(&candidates[it], request) == distance)
            .collect();
        let idx = better_of_two(candidates, &tier, pick)?;
        Some((expected_wait(&candidates[idx]) + distance.penalty(), idx))
    })
    .min()?;
    Some(cached_choice(candidates, &available, request, best.0).unwrap_or(best.1))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    fn penalty(self) -> Duration {
        match self {
            Self::SameZone => Duration::ZERO,
            Self::SameRegion => ZONE_PENALTY,
            Self::OtherRegion => REGION_PENALTY,
        }
    }
}

fn distance_to(candidate: &TargetCandidate<'_>, request: &ChoiceRequest<'_>) -> Distance {
    if candidate.zone == request.zone {
        Distance::SameZone
    } else if candidate.region == request.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

fn better_of_two(
    candidates: &[TargetCandidate<'_>],
    tier: &[usize],
    pick: &mut dyn FnMut(usize) -> usize,
) -> Option<usize> {
    if tier.len() < 2 {
        return tier.first().copied();
    }
    let first = pick(tier.len());
    let mut second = pick(tier.len() - 1);
    if second >= first {
        second += 1;
    }
    [tier[first], tier[second]]
        .into_iter()
        .min_by_key(|&it| (expected_wait(&candidates[it]), in_flight(&candidates[it])))
}

/// Returns the best target with the prefix cached, unless it is slower by more than the cached prefix saves or its load
/// is far above the mean: a hot prefix must not overload one replica.
fn cached_choice(
    candidates: &[TargetCandidate<'_>],
    available: &[usize],
    request: &ChoiceRequest<'_>,
    best_wait: Duration,
) -> Option<usize> {
    if request.cached_hosts.is_empty() {
        return None;
    }
    let total: u64 = candidates.iter().map(|it| u64::from(in_flight(it))).sum();
    let mean = total as f64 / candidates.len() as f64;
    available
        .iter()
        .copied()
        .filter(|&it| request.cached_hosts.contains(candidates[it].host))
        .filter(|&it| f64::from(in_flight(&candidates[it])) < mean * MAX_AFFINITY_LOAD + 1.0)
        .map(|it| {
            let distance = distance_to(&candidates[it], request);
            (expected_wait(&candidates[it]) + distance.penalty(), it)
        })
        .filter(|(wait, _)| *wait <= best_wait + AFFINITY_BENEFIT)
        .min()
        .map(|(_, idx)| idx)
}

/// Cost of crossing zones within a region: covers network latency and keeps traffic local between equal targets.
const ZONE_PENALTY: Duration = Duration::from_millis(20);

/// Cost of crossing regions, whose links are narrow and shared.
const REGION_PENALTY: Duration = Duration::from_millis(60);

/// Assumed reduction of the time to first token by a cached prefix.
const AFFINITY_BENEFIT: Duration = Duration::from_millis(50);

/// Maximum load relative to the mean up to which cache affinity applies.
const MAX_AFFINITY_LOAD: f64 = 1.25;
