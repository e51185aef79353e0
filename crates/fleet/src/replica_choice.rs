//! Which replica a request is sent to, or that it is refused.

use std::time::Instant;

use crate::engine_profile::{BatchLoad, EngineProfile, RequestSize};
use crate::load_board::LoadBoard;
use crate::replica::Replica;
use crate::replica_catalog::ReplicaCatalog;
use crate::replica_health::HealthTable;
use crate::version_table::VersionDemand;

/// What the choice depends on, beside the state of the replicas.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that is asked.
    pub service: &'a str,
    /// Figures of its engine, where it has one.
    pub engine: Option<&'a EngineProfile>,
    /// Zone of this process.
    pub zone: &'a str,
    /// What the request asks of an engine.
    pub size: RequestSize,
    /// Versions that it may begin on.
    pub demand: Option<VersionDemand>,
    /// Ids of replicas that it was sent to before.
    pub tried: &'a [String],
    /// Time to the first event that still is worth a send, in milliseconds.
    pub patience_ms: f64,
    /// Delay by other requests below which a send is worth it however long the request's own prompt takes.
    pub idle_delay_ms: f64,
    /// Uniform in 0..1, to break ties between entries with the same view.
    pub pick: f64,
    /// Entries that choose at the same time, this one included.
    pub entries: usize,
}

/// A replica that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenReplica {
    /// The replica.
    pub replica: Replica,
    /// Predicted time to its first event, in milliseconds.
    pub predicted_ms: f64,
    /// Version of the weights that the replica must have, where that matters.
    pub expect_version: Option<u64>,
}

/// Why no replica can be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoReplica {
    /// No replica is listed, sound and of an allowed version.
    NoneUsable,
    /// The best one would take this many milliseconds to its first event.
    Overloaded(f64),
}

/// Chooses the replica with the shortest predicted time to the first event.
///
/// # Errors
///
/// [`NoReplica`] when none is usable or none is fast enough; the request has not run.
pub fn choose_replica(
    request: &ChoiceRequest<'_>,
    catalog: &ReplicaCatalog,
    board: &LoadBoard,
    health: &HealthTable,
    now: Instant,
) -> Result<ChosenReplica, NoReplica> {
    let candidates: Vec<&Replica> = catalog
        .ready(request.service, now)
        .filter(|it| !request.tried.contains(&it.id))
        .filter(|it| has_allowed_version(request, it))
        .collect();
    let sound = |it: &&&Replica| health.is_usable(&it.id, now);
    // Where every replica is out, guessing at one is better than certain refusal.
    let usable: Vec<&Replica> = if candidates.iter().any(|it| sound(&it)) {
        candidates.iter().filter(sound).copied().collect()
    } else {
        candidates
    };
    let sample = sample(request, &usable);
    let best = best_of(request, &sample, board, health, now)
        .filter(|it| it.0 <= request.patience_ms)
        .or_else(|| best_of(request, &usable, board, health, now));
    let Some((predicted_ms, replica)) = best else {
        return Err(NoReplica::NoneUsable);
    };
    let alone_ms = request.engine.map_or(0.0, |it| {
        it.first_event_ms(BatchLoad::default(), request.size)
    });
    if predicted_ms > request.patience_ms && predicted_ms - alone_ms > request.idle_delay_ms {
        return Err(NoReplica::Overloaded(predicted_ms));
    }
    let has_demand = request.demand.is_some_and(|it| it.oldest_allowed > 0);
    let expect_version = request
        .engine
        .filter(|_| has_demand)
        .and_then(|it| replica.version_of(&it.model));
    Ok(ChosenReplica {
        replica: replica.clone(),
        predicted_ms,
        expect_version,
    })
}

/// Returns a random part of the replicas. Entries that all look at all replicas with views of the same age would send to
/// the same one; the more entries there are, the smaller the part.
fn sample<'a>(request: &ChoiceRequest<'_>, usable: &[&'a Replica]) -> Vec<&'a Replica> {
    let share = 1.0 / (request.entries.max(1) as f64).sqrt();
    let size = ((usable.len() as f64 * share).ceil() as usize).max(MIN_SAMPLE);
    let mut order: Vec<(u64, &Replica)> = usable
        .iter()
        .enumerate()
        .map(|(index, replica)| (scramble(request.pick, index), *replica))
        .collect();
    order.sort_unstable_by_key(|it| it.0);
    order.into_iter().take(size).map(|it| it.1).collect()
}

/// Spreads `pick` over replicas (the finisher of SplitMix64).
fn scramble(pick: f64, index: usize) -> u64 {
    let seed = pick.to_bits() ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the best replica with its predicted time to the first event.
fn best_of<'a>(
    request: &ChoiceRequest<'_>,
    replicas: &[&'a Replica],
    board: &LoadBoard,
    health: &HealthTable,
    now: Instant,
) -> Option<(f64, &'a Replica)> {
    replicas
        .iter()
        .map(|it| (predicted_ms(request, it, board, health, now), *it))
        .filter(|(predicted, replica)| begins_in_time(request, replica, *predicted))
        .map(|(predicted, replica)| {
            let is_near = replica.zone == request.zone;
            let distance = if is_near { 0.0 } else { OTHER_ZONE_MS };
            let failures = health.failure_share(&replica.id, now) * FAILURE_MS;
            (predicted + distance + failures, predicted, replica)
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, predicted, replica)| (predicted, replica))
}

fn has_allowed_version(request: &ChoiceRequest<'_>, replica: &Replica) -> bool {
    let Some(engine) = request.engine else {
        return true;
    };
    let Some(version) = replica.version_of(&engine.model) else {
        return false;
    };
    request.demand.is_none_or(|it| version >= it.oldest_allowed)
}

/// Says whether a request will begin before the weights of `replica` may not serve any more, with room for a replica that is
/// slower than predicted.
fn begins_in_time(request: &ChoiceRequest<'_>, replica: &Replica, predicted_ms: f64) -> bool {
    let (Some(engine), Some(next)) = (request.engine, request.demand.and_then(|it| it.next_switch))
    else {
        return true;
    };
    let is_current = replica
        .version_of(&engine.model)
        .is_some_and(|it| it >= next.version);
    is_current || predicted_ms * SLOW_FACTOR < next.left.as_secs_f64() * 1000.0
}

fn predicted_ms(
    request: &ChoiceRequest<'_>,
    replica: &Replica,
    board: &LoadBoard,
    health: &HealthTable,
    now: Instant,
) -> f64 {
    let load = board.load(&replica.id).total();
    let base = match request.engine {
        Some(engine) => engine.first_event_ms(load, request.size),
        None => {
            let waiting = (load.running + 1).saturating_sub(replica.slots.max(1));
            PLAIN_WORK_MS * (f64::from(waiting) / f64::from(replica.slots.max(1)))
                + f64::from(load.running) * PLAIN_RUNNING_MS
        }
    };
    base * health.slowness(&replica.id, now)
}

/// Factor by which a replica may be slower than predicted without a request beginning too late.
const SLOW_FACTOR: f64 = 3.0;

/// Penalty of a replica in another zone: what bytes between regions cost against a first event that comes later.
const OTHER_ZONE_MS: f64 = 60.0;

/// Penalty of a replica that fails every request; a certain failure costs more than any wait within the objective.
const FAILURE_MS: f64 = 1000.0;

/// Replicas that are compared at least.
const MIN_SAMPLE: usize = 3;

/// Work of a usual request of a plain service, whose real figure no configuration tells.
const PLAIN_WORK_MS: f64 = 60.0;

/// Weight of one running request of a plain service, which slows down as it fills.
const PLAIN_RUNNING_MS: f64 = 6.0;
