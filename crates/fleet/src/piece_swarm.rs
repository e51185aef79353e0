//! Chooses which piece an agent fetches next and from which source.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fetch_plan::{CLASSES, FetchPlan, MAX_ACTING_RANK, piece_class};
use crate::piece_set::PieceSet;

/// A source from which a piece can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PieceSource {
    /// The origin of the weights.
    Origin,
    /// Another agent, which has the piece.
    Agent(SocketAddr),
}

/// A piece and the source to fetch it from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceFetch {
    /// Index of the piece.
    pub index: usize,
    /// Source of the piece.
    pub source: PieceSource,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The piece is staged.
    Staged,
    /// The source does not have the piece, or sent wrong bytes.
    Absent,
    /// The source has too many other transfers.
    Busy,
    /// The source did not respond.
    Unreachable,
}

/// Part of an agent in bringing the pieces of a class into its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It is the first agent of the ranking that responds.
    First,
    /// The first agent is so slow that nothing has arrived for a while.
    Helper,
    /// It fetches these pieces from agents of its region only.
    None,
}

impl PieceFetch {
    fn from_origin(index: usize) -> Self {
        Self {
            index,
            source: PieceSource::Origin,
        }
    }
}

/// State of one agent's transfer of one version.
///
/// Agents tell each other which pieces they have, and fetch what is rarest among their neighbors first. A piece is
/// requested only from agents that have it, so agents never wait for each other.
#[derive(Clone, Debug)]
pub struct PieceSwarm {
    plan: FetchPlan,
    pieces: usize,
    started: Instant,
    neighbors: BTreeMap<SocketAddr, NeighborState>,
    in_flight: BTreeMap<usize, FetchInFlight>,
    /// Time at which each piece was first known to be available.
    available_since: BTreeMap<usize, Instant>,
    /// Duration of the last transfer from each agent.
    durations: BTreeMap<PieceSource, Duration>,
    /// Time until which a source is not used.
    paused: BTreeMap<PieceSource, Instant>,
    /// Time until which an agent that could not be reached does not count as a holder of any piece.
    failed: BTreeMap<SocketAddr, Instant>,
    /// Time at which a new piece of each class was last seen in the region.
    progress: [Instant; CLASSES],
}

#[derive(Clone, Copy, Debug)]
struct FetchInFlight {
    source: PieceSource,
    started: Instant,
}

#[derive(Clone, Debug)]
struct NeighborState {
    pieces: PieceSet,
    responded_at: Instant,
}

impl PieceSwarm {
    /// Starts the transfer of a version of `pieces` pieces.
    pub fn new(plan: FetchPlan, pieces: usize, now: Instant) -> Self {
        Self {
            plan,
            pieces,
            started: now,
            neighbors: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            available_since: BTreeMap::new(),
            durations: BTreeMap::new(),
            paused: BTreeMap::new(),
            failed: BTreeMap::new(),
            progress: [now; CLASSES],
        }
    }

    /// Replaces the plan after the list of agents was read again.
    pub fn update_plan(&mut self, plan: FetchPlan) {
        self.plan = plan;
    }

    /// Returns the current plan.
    pub fn plan(&self) -> &FetchPlan {
        &self.plan
    }

    /// Returns the number of fetches in flight from the sources that match `filter`.
    pub fn in_flight(&self, filter: impl Fn(PieceSource) -> bool) -> usize {
        self.in_flight
            .values()
            .filter(|it| filter(it.source))
            .count()
    }

    /// Returns the number of pieces that a neighbor had when it last responded.
    pub fn known_count(&self, neighbor: SocketAddr) -> usize {
        let known = self.neighbors.get(&neighbor);
        known.map_or(0, |it| it.pieces.count())
    }

    /// Records which pieces a neighbor has.
    pub fn record_pieces(&mut self, neighbor: SocketAddr, pieces: PieceSet, now: Instant) {
        if self.plan.is_in_region(neighbor) {
            let known = self.neighbors.get(&neighbor).map(|it| &it.pieces);
            let is_new = |index: &usize| {
                pieces.contains(*index) && !known.is_some_and(|it| it.contains(*index))
            };
            for class in 0..CLASSES {
                let mut indices = (class..pieces.len()).step_by(CLASSES);
                if indices.any(|it| is_new(&it)) {
                    self.progress[class] = now;
                }
            }
        }
        for index in (0..pieces.len()).filter(|it| pieces.contains(*it)) {
            self.available_since.entry(index).or_insert(now);
        }
        let state = NeighborState {
            pieces,
            responded_at: now,
        };
        self.neighbors.insert(neighbor, state);
    }

    /// Records that a neighbor responded that it does not know the version yet.
    pub fn record_without_version(&mut self, neighbor: SocketAddr) {
        self.neighbors.remove(&neighbor);
    }

    /// Records the end of a fetch. `random` is uniform in 0..1 and spreads the repeated requests of several agents.
    pub fn record_end(
        &mut self,
        fetch: PieceFetch,
        outcome: FetchOutcome,
        random: f64,
        now: Instant,
    ) {
        if let Some(ended) = self.in_flight.remove(&fetch.index) {
            let duration = now.saturating_duration_since(ended.started);
            if outcome != FetchOutcome::Absent {
                self.durations.insert(fetch.source, duration);
            }
        }
        let pause = match (outcome, fetch.source) {
            (FetchOutcome::Staged, _) => {
                self.progress[piece_class(fetch.index)] = now;
                return;
            }
            (FetchOutcome::Absent, PieceSource::Agent(address)) => {
                // An agent whose replica serves the version is not asked what it has; its staged pieces may be corrupt.
                let neighbor = self.neighbors.entry(address);
                let neighbor = neighbor.or_insert_with(|| NeighborState {
                    pieces: PieceSet::full(self.pieces),
                    responded_at: now,
                });
                neighbor.pieces.remove(fetch.index);
                BUSY_PAUSE
            }
            (FetchOutcome::Busy, _) => BUSY_PAUSE,
            (FetchOutcome::Absent | FetchOutcome::Unreachable, PieceSource::Origin)
                if self.role(piece_class(fetch.index), now) == Role::First =>
            {
                ORIGIN_PAUSE
            }
            (FetchOutcome::Absent | FetchOutcome::Unreachable, PieceSource::Origin) => HELPER_PAUSE,
            (FetchOutcome::Unreachable, PieceSource::Agent(_)) => FAILURE_PAUSE,
        };
        let until = now + pause.mul_f64(0.5 + random);
        self.paused.insert(fetch.source, until);
        if let (FetchOutcome::Unreachable, PieceSource::Agent(address)) = (outcome, fetch.source) {
            self.failed.insert(address, until);
        }
    }

    /// Chooses the next fetch and records it as in flight; `staged` are the pieces that this agent has.
    ///
    /// Pieces that this agent brings into the region come first, because the others wait for them. `random` breaks
    /// ties, so that agents that start at the same time fetch different pieces.
    pub fn next_fetch(
        &mut self,
        staged: &PieceSet,
        random: u64,
        now: Instant,
    ) -> Option<PieceFetch> {
        let missing: Vec<usize> = staged
            .missing()
            .filter(|it| !self.in_flight.contains_key(it))
            .collect();
        let roles: Vec<Role> = (0..CLASSES).map(|it| self.role(it, now)).collect();
        let roles = &roles;
        let of_role = |role: Role| {
            let missing = missing.iter().copied();
            missing.filter(move |it| roles[piece_class(*it)] == role)
        };
        let fetch = self
            .fetch_as_first(of_role(Role::First), now)
            .or_else(|| self.fetch_as_helper(of_role(Role::Helper), now))
            .or_else(|| self.fetch_as_cut_off(&missing, now))
            .or_else(|| self.import(of_role(Role::First), random, now))
            .or_else(|| self.import(of_role(Role::Helper), random, now))
            .or_else(|| self.fetch_in_region(&missing, random, now))?;
        let in_flight = FetchInFlight {
            source: fetch.source,
            started: now,
        };
        self.in_flight.insert(fetch.index, in_flight);
        Some(fetch)
    }

    /// Returns whether this agent is to bring the pieces of `class` into its region now.
    fn role(&self, class: usize, now: Instant) -> Role {
        let rank = self.plan.own_rank(class);
        let mut predecessors = self.plan.predecessors(class);
        // An agent whose replica serves the version fetches nothing.
        let is_inactive = |it| self.plan.is_complete(it) || self.is_silent(it, now);
        if rank <= MAX_ACTING_RANK && predecessors.all(is_inactive) {
            return Role::First;
        }
        let is_stalled = now.saturating_duration_since(self.progress[class]) > STALL_TIME;
        if rank == 1 && is_stalled {
            return Role::Helper;
        }
        Role::None
    }

    fn is_silent(&self, neighbor: SocketAddr, now: Instant) -> bool {
        let responded_at = self.neighbors.get(&neighbor).map(|it| it.responded_at);
        now.saturating_duration_since(responded_at.unwrap_or(self.started)) > SILENCE_TIME
    }

    /// Chooses a piece that the first agent of a ranking fetches from the origin: one of each class at a time.
    fn fetch_as_first(
        &self,
        mut missing: impl Iterator<Item = usize>,
        now: Instant,
    ) -> Option<PieceFetch> {
        if !self.plan.is_origin_region() || !self.may_use_origin(now) {
            return None;
        }
        let is_idle = |class: usize| {
            let mut in_flight = self.in_flight.iter();
            !in_flight.any(|it| it.1.source == PieceSource::Origin && piece_class(*it.0) == class)
        };
        let index =
            missing.find(|it| is_idle(piece_class(*it)) && self.holders(*it, now).is_empty())?;
        Some(PieceFetch::from_origin(index))
    }

    /// Chooses a piece that a helper fetches from the origin. It starts at the other end, because the first agent may
    /// only be slow, and fetches one piece at a time: if the origin was unavailable, all helpers find it again together
    /// with the first agents.
    fn fetch_as_helper(
        &self,
        missing: impl Iterator<Item = usize>,
        now: Instant,
    ) -> Option<PieceFetch> {
        let is_allowed = self.plan.is_origin_region()
            && self.may_use_origin(now)
            && self.in_flight(|it| it == PieceSource::Origin) == 0;
        let missing = missing.filter(|it| is_allowed && self.holders(*it, now).is_empty());
        missing.last().map(PieceFetch::from_origin)
    }

    /// Chooses a piece that one agent of a region fetches from the origin if no agent of other regions responds to it.
    fn fetch_as_cut_off(&self, missing: &[usize], now: Instant) -> Option<PieceFetch> {
        let is_first = self.plan.own_rank(0) == 0 && !self.plan.is_origin_region();
        let is_idle = self.in_flight(|it| it == PieceSource::Origin) == 0;
        if !is_first || !is_idle || !self.may_use_origin(now) {
            return None;
        }
        let others = self.plan.neighbors();
        let mut others = others.iter().filter(|it| !self.plan.is_in_region(**it));
        if !others.all(|it| self.is_silent(*it, now)) {
            return None;
        }
        let mut missing = missing.iter().copied();
        let index = missing.find(|it| self.holders(*it, now).is_empty())?;
        Some(PieceFetch::from_origin(index))
    }

    fn may_use_origin(&self, now: Instant) -> bool {
        !self.is_paused(PieceSource::Origin, now)
    }

    /// Chooses a piece that this agent copies from another region.
    fn import(
        &self,
        missing: impl Iterator<Item = usize>,
        random: u64,
        now: Instant,
    ) -> Option<PieceFetch> {
        let is_import =
            |it: PieceSource| matches!(it, PieceSource::Agent(it) if !self.plan.is_in_region(it));
        if self.in_flight(is_import) >= MAX_IMPORTS {
            return None;
        }
        missing
            .filter(|it| self.holders_in_region(*it, now).is_empty())
            .find_map(|index| {
                let holders = self.holders(index, now);
                self.pick(index, &holders, random, now)
            })
    }

    /// Chooses the piece that the fewest neighbors in the region have.
    fn fetch_in_region(&self, missing: &[usize], random: u64, now: Instant) -> Option<PieceFetch> {
        if self.in_flight.len() >= MAX_FETCHES {
            return None;
        }
        let candidates = missing.iter().filter_map(|index| {
            let holders = self.holders_in_region(*index, now);
            let fetch = self.pick(*index, &holders, random, now)?;
            Some((holders.len(), mix(random, *index), fetch))
        });
        let rarest = candidates.min_by_key(|it| (it.0, it.1));
        rarest.map(|it| it.2)
    }

    /// Returns the one of `holders` that is expected to send a piece first, if it is not paused and has room for another
    /// transfer.
    fn pick(
        &self,
        index: usize,
        holders: &[SocketAddr],
        random: u64,
        now: Instant,
    ) -> Option<PieceFetch> {
        let sources = holders.iter().map(|it| PieceSource::Agent(*it));
        let usable = sources
            .filter(|it| !self.is_paused(*it, now))
            .enumerate()
            .filter_map(|(position, source)| {
                let uses = self.in_flight(|it| it == source);
                let last = self.durations.get(&source).copied();
                let class = last.unwrap_or_default().as_millis() / DURATION_CLASS.as_millis();
                let key = (class, uses, mix(random, position));
                let is_usable = uses < MAX_FETCHES_PER_AGENT
                    && (class == 0 || self.may_use_slow(index, source, now));
                is_usable.then_some((key, source))
            });
        let source = usable.min()?.1;
        Some(PieceFetch { index, source })
    }

    /// Returns whether a piece may be fetched from a slow agent: the second agent of the ranking passes it on to the
    /// others, which would only delay it.
    fn may_use_slow(&self, index: usize, source: PieceSource, now: Instant) -> bool {
        let mut predecessors = self.plan.predecessors(piece_class(index));
        let is_second = predecessors.next().map(PieceSource::Agent) == Some(source)
            && predecessors.next().is_none();
        let since = self.available_since.get(&index).copied();
        let waited = now.saturating_duration_since(since.unwrap_or(self.started));
        is_second || waited > SLOW_SOURCE_WAIT
    }

    /// Returns the agents that have a piece, have responded recently, and could be reached when they were last asked for one. An
    /// agent whose replica serves the version may have failed itself, and the others must not wait for it.
    fn holders(&self, index: usize, now: Instant) -> Vec<SocketAddr> {
        let has_piece = |it: &SocketAddr| {
            let known = self.neighbors.get(it);
            known.map_or(self.plan.is_complete(*it), |it| it.pieces.contains(index))
        };
        let complete = self.plan.complete().map(|it| it.0);
        let neighbors = self.neighbors.keys().copied();
        let neighbors =
            neighbors.filter(|it| !self.plan.is_complete(*it) && !self.is_silent(*it, now));
        let holders = complete.chain(neighbors).filter(has_piece);
        holders
            .filter(|it| self.failed.get(it).is_none_or(|it| *it <= now))
            .collect()
    }

    fn holders_in_region(&self, index: usize, now: Instant) -> Vec<SocketAddr> {
        let mut holders = self.holders(index, now);
        holders.retain(|it| self.plan.is_in_region(*it));
        holders
    }

    fn is_paused(&self, source: PieceSource, now: Instant) -> bool {
        self.paused.get(&source).is_some_and(|it| *it > now)
    }
}

/// Derives a pseudorandom number from `random` (finalizer of SplitMix64).
fn mix(random: u64, index: usize) -> u64 {
    let seed = random ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}

/// Maximum number of pieces that an agent fetches at the same time; enough to keep its link busy while some sources
/// have other transfers.
const MAX_FETCHES: usize = 6;

/// Maximum number of pieces that an agent fetches from the same agent at the same time.
const MAX_FETCHES_PER_AGENT: usize = 2;

/// Duration of a transfer from which on an agent is considered slow, and difference from which on a faster one is
/// preferred. [`MAX_FETCHES`] pieces at a time take half as long over an idle link of the usual speed.
const DURATION_CLASS: Duration = Duration::from_millis(400);

/// Time for which a piece that a slow agent has is expected at others.
const SLOW_SOURCE_WAIT: Duration = Duration::from_millis(1000);

/// Maximum number of pieces that an agent copies from other regions at the same time.
const MAX_IMPORTS: usize = 3;

/// Pause before a source with too many transfers, or one that lacks a piece, is used again.
const BUSY_PAUSE: Duration = Duration::from_millis(60);

/// Pause before an unreachable origin is tried again. Each agent of the ranking tries it on its own, and whatever it
/// misses after the origin's return delays all others.
const ORIGIN_PAUSE: Duration = Duration::from_millis(200);

/// Pause before an agent that is not the first of a ranking tries an unreachable origin again.
const HELPER_PAUSE: Duration = Duration::from_millis(1500);

/// Pause before an unreachable agent is used again.
const FAILURE_PAUSE: Duration = Duration::from_millis(1500);

/// Time without a response after which a neighbor is considered dead; a few times as long as it may hold a request.
const SILENCE_TIME: Duration = Duration::from_millis(1600);

/// Time without a new piece of a class after which the second agent of the ranking helps; a few times as long as one
/// piece takes when all classes share the origin's link.
const STALL_TIME: Duration = Duration::from_millis(1200);
