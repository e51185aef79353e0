//! Which target gets a request.

use std::time::Duration;

use model::{HostName, LoadSample, RegionName, ZoneName};

use crate::wait_estimate::{expected_wait, has_capacity, in_flight};

/// One target that could take a request: ready, of the right kind, and not ejected.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// The target's host.
    pub host: &'a HostName,
    /// The host's availability zone.
    pub zone: &'a ZoneName,
    /// The host's region.
    pub region: &'a RegionName,
    /// The load that the gate reported last.
    pub load: LoadSample,
    /// Requests that this entry has in progress there.
    pub own_in_flight: u32,
    /// Change of load by this entry since the report.
    pub delta_since_row: i32,
}

/// Where a request stands and what draws it to a target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The entry's availability zone.
    pub zone: &'a ZoneName,
    /// The entry's region.
    pub region: &'a RegionName,
    /// Hosts that are likely to hold the request's prefix in their cache.
    pub cached_hosts: &'a [HostName],
}

/// How targets are compared; the simple ones are baselines for benches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoiceStrategy {
    /// Two random targets of each distance by expected wait, with bounded affinity.
    #[default]
    ExpectedWait,
    /// One after the other.
    RoundRobin,
    /// The lowest load that was reported, without the entry's own knowledge.
    LeastReportedLoad,
}

/// Picks the index of a target with room, or `None` when all are full.
///
/// `pick(n)` returns a uniform random index below `n`. Two random candidates of each distance are compared, so that
/// many entries with the same stale rows do not all choose the same target.
pub fn choose_target(
    candidates: &[TargetCandidate<'_>],
    request: &ChoiceRequest<'_>,
    pick: &mut dyn FnMut(usize) -> usize,
) -> Option<usize> {
    let open: Vec<usize> = (0..candidates.len())
        .filter(|&it| has_capacity(&candidates[it]))
        .collect();
    let best = [Distance::Zone, Distance::Region, Distance::Far]
        .into_iter()
        .filter_map(|distance| {
            let tier: Vec<usize> = open
                .iter()
                .copied()
                .filter(|&it| distance_to(&candidates[it], request) == distance)
                .collect();
            let idx = better_of_two(candidates, &tier, pick)?;
            Some((expected_wait(&candidates[idx]) + distance.penalty(), idx))
        })
        .min()?;
    Some(cached_choice(candidates, &open, request, best.0).unwrap_or(best.1))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    Zone,
    Region,
    Far,
}

impl Distance {
    fn penalty(self) -> Duration {
        match self {
            Self::Zone => Duration::ZERO,
            Self::Region => ZONE_PENALTY,
            Self::Far => REGION_PENALTY,
        }
    }
}

fn distance_to(candidate: &TargetCandidate<'_>, request: &ChoiceRequest<'_>) -> Distance {
    if candidate.zone == request.zone {
        Distance::Zone
    } else if candidate.region == request.region {
        Distance::Region
    } else {
        Distance::Far
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

/// Prefers a target that holds the prefix, unless it is slower by more than the prefix saves or much busier than the
/// others: a prefix that everybody asks for must not pile up on one replica.
fn cached_choice(
    candidates: &[TargetCandidate<'_>],
    open: &[usize],
    request: &ChoiceRequest<'_>,
    best_wait: Duration,
) -> Option<usize> {
    if request.cached_hosts.is_empty() {
        return None;
    }
    let total: u64 = candidates.iter().map(|it| u64::from(in_flight(it))).sum();
    let mean = total as f64 / candidates.len() as f64;
    open.iter()
        .copied()
        .filter(|&it| request.cached_hosts.contains(candidates[it].host))
        .filter(|&it| f64::from(in_flight(&candidates[it])) < mean * AFFINITY_LOAD + 1.0)
        .map(|it| {
            let distance = distance_to(&candidates[it], request);
            (expected_wait(&candidates[it]) + distance.penalty(), it)
        })
        .filter(|(wait, _)| *wait <= best_wait + AFFINITY_GAIN)
        .min()
        .map(|(_, idx)| idx)
}

/// What another zone of the region must be faster by; covers the way and keeps traffic local while it is equal.
const ZONE_PENALTY: Duration = Duration::from_millis(20);

/// What another region must be faster by; its link is narrow and shared.
const REGION_PENALTY: Duration = Duration::from_millis(60);

/// Time to the first token that a cached prefix is taken to save.
const AFFINITY_GAIN: Duration = Duration::from_millis(50);

/// Load relative to the mean up to which affinity counts.
const AFFINITY_LOAD: f64 = 1.25;
