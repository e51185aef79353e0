//! Replica selection for a request, with refusal under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::engine_profile::{BatchLoad, EngineProfile, RequestSize};
use crate::load_table::LoadTable;
use crate::placement_rule::{PlacementRule, ZoneExclusion};
use crate::replica::{LoadedModel, Replica};
use crate::replica_catalog::ReplicaCatalog;
use crate::replica_health::HealthTable;
use crate::route::Route;
use crate::version_table::VersionRequirement;

/// How many replicas an entry compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleRule {
    /// The number of replicas divided by the root of the number of entries, and all if none of these is fast enough.
    All,
    /// The number of replicas divided by the number of entries, and by its root if none of these is fast enough. Views of the
    /// load are old: if all entries compared all replicas, those that seem idle to all would get a queue, which makes
    /// long prompts late first.
    Bounded,
}

/// Parameters of a replica selection, apart from the state of the replicas.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// Requested service.
    pub service: &'a str,
    /// Performance figures of its engine, if it has one.
    pub engine: Option<&'a EngineProfile>,
    /// Availability zone of this process.
    pub zone: &'a str,
    /// Size of the request for an engine.
    pub size: RequestSize,
    /// Versions of the weights that may serve it.
    pub version_requirement: Option<VersionRequirement>,
    /// Time left until a version that is not known yet can take effect, if it is bounded.
    pub time_to_unknown_switch: Option<Duration>,
    /// Zones whose replicas may serve it.
    pub placement: PlacementRule<'a>,
    /// Ids of replicas that were already tried.
    pub tried: &'a [String],
    /// Maximum predicted time to the first event for which the request is sent, in milliseconds.
    pub max_first_event_ms: f64,
    /// Predicted delay due to other requests, in milliseconds, up to which the request is sent even if its own prompt
    /// makes it exceed `max_first_event_ms`.
    pub tolerated_delay_ms: f64,
    /// Uniform in 0..1; breaks ties between entries with the same view.
    pub random: f64,
    /// Number of entries that select replicas concurrently, including this one.
    pub entries: usize,
    /// How many replicas are compared.
    pub sample_rule: SampleRule,
    /// Time after which no replica starts the request any more, if its start cannot be observed: it cannot be withdrawn
    /// when the weights become too old, because it may have started. `None` if it can be.
    pub latest_start: Option<Duration>,
    /// Whether another replica may continue the response if the one that serves it ends it.
    pub is_resumable: bool,
    /// Ids of the replicas that have a limit for all entries together, and whether this entry may send a request to
    /// each of them now.
    pub turns: &'a BTreeMap<String, bool>,
}

/// The replica selected for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenReplica {
    /// The replica.
    pub replica: Replica,
    /// Predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// Weights that it is listed with, if its service has a model.
    pub weights: Option<LoadedModel>,
    /// Version of the weights that the replica must have loaded, if a version is required.
    pub expect_version: Option<u64>,
    /// Time within which the replica must start the request, as known when it was chosen, because its weights are too old
    /// afterwards. The replica ends the request then, and it is withdrawn if it has not started. `None` also if the start cannot
    /// be observed.
    pub must_start_within: Option<Duration>,
    /// Whether the replica is likely to end the response before it is complete, so that another one has to continue it.
    pub is_likely_cut: bool,
    /// Whether the request will end before a version can take effect that is not known yet, so that the replica need not get
    /// more time either. False if a known version replaces its weights.
    pub ends_before_unknown_switch: bool,
    /// Number of other replicas that their limits ruled out.
    pub limited: usize,
    /// Whether the replica has a limit, within which the request is sent.
    pub has_turn: bool,
}

impl ChosenReplica {
    /// Returns the time without a first event after which another replica is asked as well, or `None` if the route
    /// allows only one run. A silent replica may be sound, so the request is not withdrawn.
    pub fn silence_timeout(&self, route: &Route) -> Option<Duration> {
        let predicted = Duration::from_secs_f64(self.predicted_ms.max(0.0) / 1000.0);
        route
            .is_retryable()
            .then_some(FIRST_EVENT_MIN_TIMEOUT + predicted * FAILURE_FACTOR)
    }
}

/// Reason why no replica was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoReplica {
    /// No replica is registered that could serve the request with any weights.
    NoneUsable,
    /// The weights of all replicas that could serve the request are too old, or will be before they have served it.
    Outdated,
    /// All replicas that could serve the request are in zones that are ruled out for it; the reason of one of them.
    Excluded(ZoneExclusion),
    /// The predicted time to the first event of the best replica is too long, in milliseconds.
    Overloaded(f64),
    /// The memory of all replicas that could serve the request may be full.
    Full,
    /// All replicas that could serve the request have a limit, and this entry has no turn at any of them.
    Limited,
}

/// Selects the replica with the shortest predicted time to the first event.
///
/// # Errors
///
/// [`NoReplica`] if no replica is usable or none is fast enough; the request has not been sent.
pub fn choose_replica(
    request: &ChoiceRequest<'_>,
    catalog: &ReplicaCatalog,
    loads: &LoadTable,
    health: &HealthTable,
    now: Instant,
) -> Result<ChosenReplica, NoReplica> {
    let ready = catalog.ready(request.service, now);
    let ready: Vec<&Replica> = ready.filter(|it| !request.tried.contains(&it.id)).collect();
    let is_allowed = |it: &&Replica| has_allowed_version(request, it);
    let candidates: Vec<&Replica> = ready.iter().copied().filter(is_allowed).collect();
    if candidates.is_empty() && !ready.is_empty() {
        return Err(NoReplica::Outdated);
    }
    let is_placed = |it: &&Replica| request.placement.exclusion(&it.zone).is_none();
    let (candidates, excluded): (Vec<&Replica>, Vec<&Replica>) =
        candidates.into_iter().partition(is_placed);
    if candidates.is_empty()
        && let Some(exclusion) = excluded
            .first()
            .and_then(|it| request.placement.exclusion(&it.zone))
    {
        return Err(NoReplica::Excluded(exclusion));
    }
    let has_turn = |it: &&Replica| request.turns.get(&it.id) != Some(&false);
    let candidate_count = candidates.len();
    let candidates: Vec<&Replica> = candidates.into_iter().filter(has_turn).collect();
    let limited = candidate_count - candidates.len();
    if candidates.is_empty() && limited > 0 {
        return Err(NoReplica::Limited);
    }
    let has_candidates = !candidates.is_empty();
    let candidates: Vec<&Replica> = candidates
        .into_iter()
        .filter(|it| has_memory(request, it, loads))
        .collect();
    if candidates.is_empty() && has_candidates {
        return Err(NoReplica::Full);
    }
    let is_healthy = |it: &&&Replica| health.is_usable(&it.id, now);
    // If all replicas are ejected, trying one of them is better than refusing the request.
    let usable: Vec<&Replica> = if candidates.iter().any(|it| is_healthy(&it)) {
        candidates.iter().filter(is_healthy).copied().collect()
    } else {
        candidates
    };
    let [first, second] = samples(request, &usable);
    let predict = |it: &Replica| predicted_ms(request, it, loads, health, now);
    let last_switch = request.last_switch(&usable, predict);
    let best_among = |it: &[_]| best_of(request, it, last_switch, loads, health, now);
    let best = best_among(&first)
        .filter(|it| it.0 <= request.max_first_event_ms)
        .or_else(|| best_among(&second))
        .or_else(|| best_among(&usable));
    let Some((predicted_ms, replica)) = best else {
        return Err(if usable.is_empty() {
            NoReplica::NoneUsable
        } else {
            NoReplica::Outdated
        });
    };
    let unloaded_ms = request.engine.map_or(0.0, |it| {
        it.first_event_ms(BatchLoad::default(), request.size)
    });
    if predicted_ms > request.max_first_event_ms
        && predicted_ms - unloaded_ms > request.tolerated_delay_ms
    {
        return Err(NoReplica::Overloaded(predicted_ms));
    }
    let weights = request.engine.and_then(|it| {
        let version = replica.version_of(&it.model)?;
        let name = it.model.clone();
        Some(LoadedModel { name, version })
    });
    let version = weights.as_ref().map(|it| it.version);
    Ok(ChosenReplica {
        replica: replica.clone(),
        predicted_ms,
        weights,
        expect_version: version.filter(|it| request.relies_on_version(*it)),
        must_start_within: request
            .time_to_switch(replica)
            .filter(|_| request.latest_start.is_none()),
        is_likely_cut: request.is_likely_cut(replica, predicted_ms),
        ends_before_unknown_switch: version.is_some()
            && request.ends_before_unknown_switch(replica, predicted_ms),
        limited,
        has_turn: request.has_turn(replica),
    })
}

/// Returns two samples of the replicas, which are smaller the more entries there are: the second one, which contains the first, is
/// compared if no replica of the first one is fast enough.
///
/// If all entries compared all replicas with equally old load information, they would all select the same one. The
/// turns at replicas with a limit are this entry's own, so these replicas are always part of the samples.
fn samples<'a>(request: &ChoiceRequest<'_>, usable: &[&'a Replica]) -> [Vec<&'a Replica>; 2] {
    let mut order: Vec<(u64, &Replica)> = usable
        .iter()
        .enumerate()
        .map(|(index, replica)| (mix(request.random, index), *replica))
        .collect();
    order.sort_unstable_by_key(|it| it.0);
    let sample = |share: f64| {
        let size = ((usable.len() as f64 * share).ceil() as usize).max(MIN_SAMPLE);
        let order = order.iter().map(|it| it.1).enumerate();
        let is_sampled = |(index, it): &(usize, &Replica)| *index < size || request.has_turn(it);
        order.filter(is_sampled).map(|it| it.1).collect()
    };
    let entries = request.entries.max(1) as f64;
    match request.sample_rule {
        SampleRule::All => [sample(1.0 / entries.sqrt()), usable.to_vec()],
        SampleRule::Bounded => [sample(1.0 / entries), sample(1.0 / entries.sqrt())],
    }
}

/// Derives a pseudorandom number per replica from `random` (finalizer of SplitMix64).
fn mix(random: f64, index: usize) -> u64 {
    let seed = random.to_bits() ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the best replica and its predicted time to the first event. `last_switch` is the last time at which the weights of
/// a replica that can continue responses become too old, or `None` if some do not.
fn best_of<'a>(
    request: &ChoiceRequest<'_>,
    replicas: &[&'a Replica],
    last_switch: Option<Duration>,
    loads: &LoadTable,
    health: &HealthTable,
    now: Instant,
) -> Option<(f64, &'a Replica)> {
    replicas
        .iter()
        .map(|it| (predicted_ms(request, it, loads, health, now), *it))
        .filter(|(predicted, replica)| request.starts_in_time(replica, *predicted, last_switch))
        .map(|(predicted, replica)| {
            let in_zone = replica.zone == request.zone;
            let zone_penalty = if in_zone { 0.0 } else { OTHER_ZONE_PENALTY_MS };
            let cut_penalty = if request.is_likely_cut(replica, predicted) {
                CUT_PENALTY_MS
            } else {
                0.0
            };
            let turn_benefit = if request.has_turn(replica) {
                TURN_BENEFIT_MS
            } else {
                0.0
            };
            let failure_penalty = health.failure_share(&replica.id, now) * FAILURE_PENALTY_MS;
            (
                predicted + zone_penalty + cut_penalty + failure_penalty - turn_benefit,
                predicted,
                replica,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, predicted, replica)| (predicted, replica))
}

/// Returns whether the request fits into what is estimated to be free of the memory of `replica`, which would crash otherwise.
fn has_memory(request: &ChoiceRequest<'_>, replica: &Replica, loads: &LoadTable) -> bool {
    let Some(engine) = request.engine.filter(|it| it.token_capacity.is_some()) else {
        return true;
    };
    let held = loads.held_tokens(&replica.id, engine.held_tokens(request.size));
    engine.fits(request.size, held)
}

fn has_allowed_version(request: &ChoiceRequest<'_>, replica: &Replica) -> bool {
    let Some(engine) = request.engine else {
        return true;
    };
    let Some(version) = replica.version_of(&engine.model) else {
        return false;
    };
    request
        .version_requirement
        .as_ref()
        .is_none_or(|it| version >= it.oldest_allowed)
}

impl ChoiceRequest<'_> {
    /// Returns whether `replica` has a limit and this entry may send a request to it.
    fn has_turn(&self, replica: &Replica) -> bool {
        self.turns.get(&replica.id) == Some(&true)
    }
}

fn predicted_ms(
    request: &ChoiceRequest<'_>,
    replica: &Replica,
    loads: &LoadTable,
    health: &HealthTable,
    now: Instant,
) -> f64 {
    let load = loads.load(&replica.id).total();
    let base = match request.engine {
        Some(engine) => engine.first_event_ms(load, request.size),
        None => {
            let waiting = (load.running + 1).saturating_sub(replica.slots.max(1));
            PLAIN_SERVICE_MS * (f64::from(waiting) / f64::from(replica.slots.max(1)))
                + f64::from(load.running) * PLAIN_DELAY_PER_REQUEST_MS
        }
    };
    base * health.latency_ratio(&replica.id, now)
}

/// Factor by which a first event may be later than predicted before the replica is considered silent.
const FAILURE_FACTOR: u32 = 3;

/// Time that is added to that.
const FIRST_EVENT_MIN_TIMEOUT: Duration = Duration::from_millis(700);

/// Penalty of a replica that will end the response before it is complete: another one has to read the prompt again.
const CUT_PENALTY_MS: f64 = 100.0;

/// Penalty of a replica in another zone: the cost of traffic between regions, as equivalent delay of the first event.
const OTHER_ZONE_PENALTY_MS: f64 = 60.0;

/// Benefit of a turn at a replica with a limit, which lapses if it is not used: it relieves the others even if it is in
/// another zone.
const TURN_BENEFIT_MS: f64 = 100.0;

/// Penalty of a replica that fails all requests; a certain failure is worse than any delay within the objective.
const FAILURE_PENALTY_MS: f64 = 1000.0;

/// Minimum sample size.
const MIN_SAMPLE: usize = 3;

/// Assumed service time of a request to a service without an engine; the configuration does not state the real one.
const PLAIN_SERVICE_MS: f64 = 60.0;

/// Delay that each running request adds for a service without an engine, which slows down under load.
const PLAIN_DELAY_PER_REQUEST_MS: f64 = 6.0;
