//! A selection of a replica and its expected result.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use expect_test::Expect;
use fleet::{
    CallKind, ChoiceRequest, EngineProfile, EvacuationTable, HealthTable, LoadTable, LoadedModel,
    NoReplica, PlacementRule, Replica, ReplicaCatalog, ReplicaOutcome, ReplicaState, RequestSize,
    Route, RowOrigin, SampleRule, StoreInterval, StorePosition, VersionTable, choose_replica,
};

/// Time from the declaration of a version until it takes effect.
pub const SWITCH: Duration = Duration::from_secs(7);

/// The latest time that the store's clock can show.
pub const STORE_NOW: Duration = Duration::from_secs(100);

pub fn engine() -> EngineProfile {
    EngineProfile {
        model: "m".to_owned(),
        slots: 16,
        step_ms: 9.27,
        step_ms_per_request: 0.0232,
        step_ms_per_kilotoken: 0.0322,
        prefill_tokens_per_second: 20_700.0,
        prefill_chunk: 2048,
        steps_per_pass: 5,
        mean_prompt_tokens: 979.0,
        mean_answer_tokens: 92.0,
        pieces: 96,
        load_time: Duration::from_millis(300),
        token_capacity: None,
    }
}

fn resumable_route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: CallKind::Stream,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
        rank: 1,
        max_pause: Duration::from_millis(400),
        targets: Vec::new(),
        max_attempts: 2,
        public: false,
        resumable: true,
        home_regions: Vec::new(),
    }
}

/// A replica: id, zone, loaded version, running requests.
pub type Row = (&'static str, &'static str, Option<u64>, u32);

pub struct Case<'a> {
    pub replicas: &'a [Row],
    pub prompt: u32,
    pub answer: u32,
    pub max_first_event_ms: f64,
    pub oldest_allowed: u64,
    pub failed: &'a [&'a str],
    /// Versions that take effect later, each with the time until then in milliseconds.
    pub pending: &'a [(u64, u64)],
    /// Time until a version can take effect that is not known yet, in milliseconds.
    pub unknown_switch: Option<u64>,
    /// Time after which the request does not start any more, in milliseconds, if its start cannot be observed.
    pub latest_start: Option<u64>,
    /// Whether another replica can continue the response.
    pub is_resumable: bool,
    /// Replicas with a limit, and whether the entry has a turn.
    pub turns: &'a [(&'a str, bool)],
    /// Home regions of the route and of the tenant; zone `a` is in region `x`, `b` and `c` in `y`.
    pub homes: [&'a [&'a str]; 2],
    /// Zones that are evacuated.
    pub evacuated: &'a [&'a str],
    /// Tokens that fit into the memory of a replica.
    pub token_capacity: Option<u64>,
    /// Tokens that requests of this entry hold at replicas.
    pub own_tokens: &'a [(&'a str, u64)],
    /// Requests of other entries at replicas.
    pub others: &'a [(&'a str, u32)],
    pub entries: usize,
    pub sample_rule: SampleRule,
}

impl Default for Case<'_> {
    fn default() -> Self {
        Self {
            replicas: &[],
            prompt: 900,
            answer: 100,
            max_first_event_ms: 380.0,
            oldest_allowed: 0,
            failed: &[],
            pending: &[],
            unknown_switch: None,
            latest_start: None,
            is_resumable: true,
            turns: &[],
            homes: [&[], &[]],
            evacuated: &[],
            token_capacity: None,
            own_tokens: &[],
            others: &[],
            entries: 1,
            sample_rule: SampleRule::Bounded,
        }
    }
}

pub fn check(case: &Case<'_>, expected: &Expect) {
    let now = Instant::now();
    let mut catalog = ReplicaCatalog::default();
    let mut loads = LoadTable::default();
    let mut health = HealthTable::default();
    for (id, zone, version, running) in case.replicas {
        let replica = Replica {
            id: (*id).to_owned(),
            address: "127.0.0.1:80".parse().unwrap(),
            service: "pool".to_owned(),
            zone: (*zone).to_owned(),
            slots: 16,
            state: ReplicaState::Ready,
            models: version
                .iter()
                .map(|it| LoadedModel {
                    name: "m".to_owned(),
                    version: *it,
                })
                .collect(),
            started_ms: None,
            cold_left: Duration::ZERO,
        };
        let origin = RowOrigin {
            position: StorePosition::new(0, 1),
            from_copy: false,
            after_outage: false,
        };
        catalog.put(replica, origin, now);
        for _ in 0..*running {
            loads.record_sent(id, 0);
        }
    }
    for (id, tokens) in case.own_tokens {
        loads.record_tokens(id, *tokens);
    }
    let mut others = LoadTable::default();
    for (id, running) in case.others {
        (0..*running).for_each(|_| others.record_sent(id, 0));
    }
    loads.update_peer("edge-2", others.own_samples(), now);
    for id in case.failed {
        health.record_outcome(id, ReplicaOutcome::Unreachable, now);
    }
    let mut versions = VersionTable::new(SWITCH);
    if case.oldest_allowed > 0 {
        versions.declare("m", case.oldest_allowed, StoreInterval::UNKNOWN);
    }
    for (version, remaining) in case.pending {
        let declared_at = STORE_NOW + Duration::from_millis(*remaining) - SWITCH;
        let declared = StoreInterval::since(declared_at.as_millis() as u64);
        versions.declare("m", *version, declared);
    }
    let regions = [("a", "x"), ("b", "y"), ("c", "y")];
    let regions = regions.map(|it| (it.0.to_owned(), it.1.to_owned()));
    let homes = case
        .homes
        .map(|it| it.iter().map(ToString::to_string).collect::<Vec<_>>());
    let mut evacuated = EvacuationTable::default();
    for zone in case.evacuated {
        evacuated.begin(zone);
    }
    let engine = EngineProfile {
        token_capacity: case.token_capacity,
        ..engine()
    };
    let request = ChoiceRequest {
        service: "pool",
        engine: Some(&engine),
        zone: "a",
        size: RequestSize {
            prompt_tokens: case.prompt,
            max_answer_tokens: case.answer,
        },
        version_requirement: versions.requirement("m", Some(STORE_NOW.as_millis() as u64)),
        time_to_unknown_switch: case.unknown_switch.map(Duration::from_millis),
        placement: PlacementRule {
            regions: &BTreeMap::from(regions),
            route_homes: &homes[0],
            tenant_homes: &homes[1],
            evacuated: &evacuated,
        },
        tried: &[],
        max_first_event_ms: case.max_first_event_ms,
        tolerated_delay_ms: 100.0,
        random: 0.0,
        entries: case.entries,
        sample_rule: case.sample_rule,
        turns: &case
            .turns
            .iter()
            .map(|it| (it.0.to_owned(), it.1))
            .collect(),
        latest_start: case.latest_start.map(Duration::from_millis),
        is_resumable: case.is_resumable,
    };
    let text = match choose_replica(&request, &catalog, &loads, &health, now) {
        Ok(it) => {
            let withdrawn = it.must_start_within.map_or_else(String::new, |withdrawal| {
                let silence = it.silence_timeout(&resumable_route()).unwrap();
                let end = if it.is_likely_cut { ", likely cut" } else { "" };
                format!(
                    ", another one asked after {} ms, withdrawn after {} ms{end}",
                    silence.as_millis(),
                    withdrawal.as_millis()
                )
            });
            let unknown = if it.ends_before_unknown_switch {
                ", ends before an unknown version"
            } else {
                ""
            };
            format!(
                "{} in {:.0} ms, version {:?}{withdrawn}{unknown}",
                it.replica.id, it.predicted_ms, it.expect_version
            )
        }
        Err(NoReplica::NoneUsable) => "none usable".to_owned(),
        Err(NoReplica::Outdated) => "outdated".to_owned(),
        Err(NoReplica::Excluded(it)) => format!("excluded: {}", it.label()),
        Err(NoReplica::Limited) => "limited".to_owned(),
        Err(NoReplica::Full) => "full".to_owned(),
        Err(NoReplica::Overloaded(predicted)) => format!("overloaded, {predicted:.0} ms"),
    };
    expected.assert_eq(&text);
}
