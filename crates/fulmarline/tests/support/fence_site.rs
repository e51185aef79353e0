//! A site whose replicas hold requests until after a switch of weights.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use standin::{
    HeldAnswer, HeldResponse, HoldGate, HoldingReplica, RawRequest, RunCounts, WaitHabit,
};

use crate::site::{SiteCaller, SiteResponse, TestSite};

/// Time after the declaration of a version from which no request may begin on an older one; `version_ms` of the site.
pub const SWITCH_BOUND: Duration = Duration::from_secs(8);

/// Time after the declaration at which entries stop using older weights: a silence of a replica and late timers are left
/// until the bound.
pub const LAST_SEND: Duration = Duration::from_millis(6400);

/// Time after the declaration at which the first held request begins, soon after the bound.
pub const FIRST_BEGIN: Duration = Duration::from_millis(8030);

/// Time from the first to the last begin of a held request, with a reserve.
pub const LAST_BEGIN: Duration = Duration::from_millis(1000);

/// Patience of clients that still wait when a version takes effect which was declared after they had sent their request.
pub const LONG_PATIENCE: Duration = Duration::from_secs(20);

/// A site whose replicas hold requests until after a switch.
pub struct FenceSite {
    pub site: TestSite,
    pub gate: HoldGate,
    pub runs: RunCounts,
    /// Maximum number of tokens of the responses that are requested.
    pub answer_tokens: u32,
    /// Number of tokens of the prompts.
    pub prompt_tokens: u32,
}

/// A request that is under way.
pub struct SentCall {
    pub id: String,
    pub response: JoinHandle<Option<SiteResponse>>,
}

impl FenceSite {
    /// Starts a site with a route whose streams can be resumed, one whose streams cannot, and one for other calls.
    pub fn start(name: &str, first_index: u8) -> Self {
        let mut site = TestSite::start(name, first_index, &[]);
        let route = |name: &str, kind: &str| {
            json!({
                "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": kind, "timeoutMs": 20000,
                "sloMs": 5000, "prio": 1, "service": "pool", "maxAttempts": 2, "public": false,
                "resumable": name == "resumable", "gapAimMs": 1000,
            })
        };
        let routes = [
            route("resumable", "stream"),
            route("once", "stream"),
            route("call", "idempotent"),
        ];
        site.configure(&json!(routes));
        Self {
            site,
            gate: HoldGate::default(),
            runs: RunCounts::default(),
            answer_tokens: 60,
            prompt_tokens: 100,
        }
    }

    /// Starts a replica with version 1 of the weights and registers it in `zone`.
    pub fn add_replica(
        &self,
        zone: &str,
        habit: WaitHabit,
        respond: impl Fn(&RawRequest) -> HeldAnswer + Send + Sync + 'static,
    ) -> HoldingReplica {
        let replica = self.start_replica(zone, habit, respond);
        self.list(&replica, zone, 1);
        replica
    }

    /// Starts a replica with version 1 of the weights that is not registered.
    pub fn start_replica(
        &self,
        zone: &str,
        habit: WaitHabit,
        respond: impl Fn(&RawRequest) -> HeldAnswer + Send + Sync + 'static,
    ) -> HoldingReplica {
        let id = format!("pool-{zone}");
        let ip = [127, 0, 1, 190 + u8::from(zone == "b")];
        HoldingReplica::start(&id, ip, habit, &self.gate, &self.runs, respond).unwrap()
    }

    pub fn list(&self, replica: &HoldingReplica, zone: &str, version: u64) {
        let row = replica.row("pool", zone, version);
        self.site.store.put("servers", replica.id(), &row);
    }

    /// Waits until `entries` serve requests at once.
    pub fn wait_until_served(&self, entries: &[usize]) {
        for entry in entries {
            self.site.wait("a served request", |it| {
                let id = format!("warm-{entry}");
                let response = it.call(*entry, Method::POST, "/once/warm", &id, "key-1")?;
                (response.status == StatusCode::OK).then_some(())
            });
        }
    }

    /// Declares version 2, which sets the time of the gate.
    pub fn declare(&self) {
        self.site.declare(2);
        self.gate.set(Instant::now());
    }

    pub fn caller(&self) -> SiteCaller {
        self.site.caller().with_patience(LONG_PATIENCE)
    }

    pub fn sleep_until(&self, after: Duration) {
        let time = self.gate.time().unwrap() + after;
        std::thread::sleep(time.saturating_duration_since(Instant::now()));
    }

    /// Sends requests with the path and the id `/ROUTE/NUMBER` to `entry`, one each `pause`, from `from` to `to` after
    /// the declaration.
    pub fn call_between(
        &self,
        entry: usize,
        route: &str,
        from: Duration,
        to: Duration,
        pause: Duration,
    ) -> JoinHandle<Vec<SentCall>> {
        let caller = self
            .caller()
            .with_answer_tokens(self.answer_tokens)
            .with_prompt_tokens(self.prompt_tokens);
        let route = route.to_owned();
        let declared_at = self.gate.time().unwrap();
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            let mut next = declared_at + from;
            while next < declared_at + to {
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                let path = format!("/{route}/{}-{entry}", calls.len());
                calls.push(send(&caller, entry, path));
                next += pause;
            }
            calls
        })
    }

    /// Waits until the replicas have received the request `id` `count` times.
    pub fn wait_until_received(&self, id: &str, count: u64) {
        self.site.wait("a request at its replica", |_| {
            (self.runs.get(id) >= count).then_some(())
        });
    }

    /// Checks that no request began on old weights after the bound.
    pub fn check_starts(&self, calls: &[SentCall]) {
        let bound = self.gate.time().unwrap() + SWITCH_BOUND;
        let starts = self.runs.starts();
        let late: Vec<(&str, Duration)> = starts
            .iter()
            .filter(|it| it.at > bound)
            .map(|it| (it.request.as_str(), it.at - bound))
            .collect();
        let received = calls.iter().filter(|it| self.runs.get(&it.id) > 0).count();
        let thread = std::thread::current();
        let name = thread.name().unwrap_or_default();
        println!(
            "{name}: {} of {received} received requests began late",
            late.len()
        );
        assert!(received > 0, "no request was received");
        assert!(
            late.is_empty(),
            "began on old weights after the bound: {late:?}"
        );
    }
}

/// Sends a request with the path as id.
pub fn send(caller: &SiteCaller, entry: usize, path: String) -> SentCall {
    let (caller, id) = (caller.clone(), path.clone());
    SentCall {
        id,
        response: std::thread::spawn(move || {
            caller.call(entry, Method::POST, &path, &path, "key-1")
        }),
    }
}

/// Returns the events of the response to `request` from the one with the id `first` on.
pub fn events(request: &RawRequest, first: u64) -> Vec<String> {
    let id = request.id();
    (first..=4)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

/// Returns the way of a request by its path, `/ROUTE/WAY/NUMBER`.
pub fn way(request: &RawRequest) -> &str {
    request.path.split('/').nth(2).unwrap_or_default()
}

/// Returns the number at the start of the last part of a path.
pub fn number(request: &RawRequest) -> u64 {
    let last = request.path.rsplit('/').next().unwrap_or_default();
    let digits = last.split('-').next().unwrap_or_default();
    digits.parse().unwrap_or(0)
}

pub fn rounds() -> u32 {
    let rounds = std::env::var("FULMARLINE_FENCE_ROUNDS").ok();
    rounds.and_then(|it| it.parse().ok()).unwrap_or(1)
}

/// Response of a replica with old weights by the way on which a request arrives. The request begins after the bound at
/// the last replica that it is sent to.
pub fn respond_by_way(request: &RawRequest) -> HeldAnswer {
    let is_first = request.earlier_runs == 0;
    let delay = FIRST_BEGIN + Duration::from_millis(40 * (number(request) % 20));
    let held = HeldResponse::held(events(request, 1), delay);
    HeldAnswer::Serve(match way(request) {
        "warm" => HeldResponse::at_once(events(request, 1)),
        "refused" if is_first => return HeldAnswer::Full,
        "resumed" | "resumed-head" if is_first => HeldResponse {
            breaks_off: true,
            ..HeldResponse::at_once(events(request, 1)[..1].to_vec())
        },
        "resumed" => HeldResponse::held(events(request, 2), delay),
        "resumed-head" => HeldResponse {
            is_head_first: true,
            ..HeldResponse::held(events(request, 2), delay)
        },
        "head" => HeldResponse {
            is_head_first: true,
            ..held
        },
        _ => held,
    })
}
