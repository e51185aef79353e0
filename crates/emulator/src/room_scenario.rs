//! Demand, patterns and strategies of an emulation of insufficient capacity.

use std::time::Duration;

use fleet::{EngineProfile, SampleRule};

/// A kind of request to the engines.
#[derive(Clone, Copy, Debug)]
pub struct RoomKind {
    /// Name of its route.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
    /// Mean length of the part of the prompt that is the request's own.
    pub prompt_tokens: f64,
    /// Events of the answer.
    pub events: u32,
    /// Time to the first event within which it earns the full value.
    pub objective: Duration,
    /// Value on time.
    pub value: f64,
    /// Value if it is late.
    pub late_value: f64,
    /// Rank; 0 is the most urgent.
    pub rank: usize,
}

/// What happens during the emulation, from [`RoomScenario::TROUBLE_START`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomPattern {
    /// Nothing.
    Steady,
    /// 2.2 times as many requests of the last kind for 6 s.
    KindBurst,
    /// The callers of 0.5 s arrive at once.
    AllReturn,
    /// Half of the replicas become unusable at once for 6 s and complete what they hold.
    HalfUnusable,
    /// Nine in ten callers arrive in one zone, another one every 2 s.
    ZoneSwing,
    /// For 4 s, 1.5 times as many requests of the first kind, all with long prompts.
    LongBurst,
    /// All prompts are long; the request rate is lower accordingly.
    OnlyLong,
    /// Eight replicas are lost with what they hold and return after 6 s.
    ReplicasLost,
}

/// How entries choose replicas and refuse requests.
#[derive(Clone, Copy, Debug)]
pub struct RoomStrategy {
    /// Name for reports.
    pub name: &'static str,
    /// Largest predicted time to the first event for which a request is sent, by rank, in milliseconds; at most
    /// 0.95 of the objective.
    pub max_first_event_ms: [f64; 3],
    /// How many replicas an entry compares.
    pub sample_rule: SampleRule,
}

/// Size, demand and trouble of an emulation.
#[derive(Clone, Copy, Debug)]
pub struct RoomScenario {
    /// Entries, which are divided among three zones.
    pub entries: usize,
    /// Replicas, which are divided among three zones.
    pub replicas: usize,
    /// Demand as a share of what the replicas can serve.
    pub load: f64,
    /// What happens.
    pub pattern: RoomPattern,
    /// Emulated time.
    pub duration: Duration,
    /// Range of the age of an entry's view of the load of others, in milliseconds.
    pub view_age_ms: (u64, u64),
}

impl RoomScenario {
    /// When the pattern begins.
    pub const TROUBLE_START: Duration = Duration::from_secs(6);

    /// Returns the podbor deployment of `docs/design/hard-load.md` with as much demand as the replicas can serve.
    pub fn podbor(pattern: RoomPattern) -> Self {
        Self {
            entries: 44,
            replicas: 52,
            load: 1.0,
            pattern,
            duration: Duration::from_secs(20),
            view_age_ms: (50, 500),
        }
    }
}

impl RoomPattern {
    /// All patterns.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::KindBurst,
        Self::AllReturn,
        Self::HalfUnusable,
        Self::ZoneSwing,
        Self::LongBurst,
        Self::OnlyLong,
        Self::ReplicasLost,
    ];
}

impl RoomStrategy {
    /// All strategies.
    pub const ALL: [Self; 4] = [
        Self::ALL_REPLICAS,
        Self::BOUNDED,
        Self::BY_RANK,
        Self::QUARTER,
    ];

    /// Each request is admitted up to 0.95 of its own objective, and all replicas are compared if those of a sample are
    /// too slow.
    pub const ALL_REPLICAS: Self = Self {
        name: "all",
        max_first_event_ms: [f64::INFINITY; 3],
        sample_rule: SampleRule::All,
    };

    /// Entries never compare more replicas than a root of their number allows, as the product does.
    pub const BOUNDED: Self = Self {
        name: "bounded",
        sample_rule: SampleRule::Bounded,
        ..Self::ALL_REPLICAS
    };

    /// Requests of the last rank are admitted only up to a shorter time than more urgent ones.
    pub const BY_RANK: Self = Self {
        name: "bounded, last rank 250 ms",
        max_first_event_ms: [f64::INFINITY, f64::INFINITY, 250.0],
        ..Self::BOUNDED
    };

    /// All requests are admitted up to this time, and those of the last rank up to a shorter one.
    pub const QUARTER: Self = Self {
        name: "bounded, 250 ms, last rank 150 ms",
        max_first_event_ms: [250.0, 250.0, 150.0],
        ..Self::BOUNDED
    };
}

/// The streaming requests of podbor.
pub const PODBOR_KINDS: [RoomKind; 3] = [
    RoomKind {
        name: "cv-match",
        share: 0.334,
        prompt_tokens: 1290.0,
        events: 18,
        objective: Duration::from_millis(400),
        value: 3.6,
        late_value: 0.36,
        rank: 0,
    },
    RoomKind {
        name: "vacancy-brief",
        share: 0.405,
        prompt_tokens: 787.0,
        events: 18,
        objective: Duration::from_millis(400),
        value: 1.7,
        late_value: 0.42,
        rank: 1,
    },
    RoomKind {
        name: "night-digest",
        share: 0.261,
        prompt_tokens: 607.0,
        events: 10,
        objective: Duration::from_millis(800),
        value: 0.55,
        late_value: 0.2,
        rank: 2,
    },
];

/// Returns the engine of podbor. The mean sizes are those of the requests as drawn, with prompts cut off at their bound.
pub(crate) fn podbor_engine() -> EngineProfile {
    EngineProfile {
        model: "m".to_owned(),
        slots: 12,
        step_ms: 7.4,
        step_ms_per_request: 0.0387,
        step_ms_per_kilotoken: 0.0203,
        prefill_tokens_per_second: 31_900.0,
        prefill_chunk: 2048,
        steps_per_pass: 7,
        mean_prompt_tokens: 850.0,
        mean_answer_tokens: 111.4,
        pieces: 48,
        load_time: Duration::from_millis(300),
        token_capacity: None,
    }
}
