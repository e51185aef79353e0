//! Replicas with old weights that do not hear that a request was withdrawn before a switch: which requests they begin after it.
//!
//! They honour the time limit of each request from when they read it, and begin requests whose connections were closed.
//! `FULMARLINE_FENCE_ROUNDS` is the number of times that each test runs, one by default.

#[path = "support/fence_site.rs"]
mod fence_site;
#[path = "support/site.rs"]
mod site;

use std::ops::Range;
use std::time::{Duration, Instant};

use fence_site::{FenceSite, SWITCH_BOUND, SentCall, events, rounds};
use standin::{ChildProcess, HeldAnswer, HeldResponse, HoldingReplica, RunCounts, WaitHabit};

/// Number of replicas with old weights.
const OLD_REPLICAS: u8 = 6;

/// Number of replicas with new weights, where there are any. They are in the zone that has fewer old ones.
const NEW_REPLICAS: u8 = 2;

/// Maximum number of tokens of responses that end well before the switch, and of others that may outlast it.
const ANSWER_TOKENS: [u32; 2] = [8, 260];

/// Pause between the requests of one kind at one entry.
const PAUSE: Duration = Duration::from_millis(80);

/// Time in which a replica begins a request as long as it is not slow.
const START_DELAY: Duration = Duration::from_millis(20);

/// Time after the declaration from which on replicas are slow.
const SLOW_FROM: Duration = Duration::from_millis(4600);

/// Time after the declaration at which entries are killed or suspended: the replicas with [`CUT_OFF`] are silent, and
/// entries still use old weights.
const ENTRY_FAILURE: Duration = Duration::from_millis(6300);

/// Behaviour of a replica near a switch, in ms after the declaration.
#[derive(Clone, Debug)]
struct ReplicaTrouble {
    silences: [Range<u64>; 2],
    start_delay: u64,
}

/// The second silence of a replica that is silent once.
const NO_SILENCE: Range<u64> = 0..0;

/// One silence that is longer than any that is reserved for. Requests are read before it and due in it.
const LONG_SILENCE: ReplicaTrouble = ReplicaTrouble {
    silences: [6450..9450, NO_SILENCE],
    start_delay: 1000,
};

/// Silences of a sound replica right after each other. Requests are read between them.
const TWO_SILENCES: ReplicaTrouble = ReplicaTrouble {
    silences: [5200..6650, 6700..8200],
    start_delay: 100,
};

/// Silences of a sound replica with a longer pause, in which requests of the time before the first one are read.
const EARLY_SILENCES: ReplicaTrouble = ReplicaTrouble {
    silences: [4700..6200, 6600..8100],
    start_delay: 500,
};

/// One silence that begins before old weights are given up.
const CUT_OFF: ReplicaTrouble = ReplicaTrouble {
    silences: [6200..8200, NO_SILENCE],
    start_delay: 1000,
};

/// One silence of a sound replica that begins [`SLOW_PROMPTS`] ten times later than predicted.
const SLOW_AND_SILENT: ReplicaTrouble = ReplicaTrouble {
    silences: [6550..8050, NO_SILENCE],
    start_delay: 850,
};

/// Requests that are sent before a switch: when, in ms after the declaration, and the number of tokens of their prompts.
#[derive(Clone, Debug)]
struct SendPlan {
    times: Range<u64>,
    prompt_tokens: u32,
}

const SHORT_PROMPTS: SendPlan = SendPlan {
    times: 4700..6100,
    prompt_tokens: 100,
};

/// Prompts whose first event is predicted after 85 ms. Few fit before the switch, so they are sent when they are due in the silence.
const SLOW_PROMPTS: SendPlan = SendPlan {
    times: 5720..6100,
    prompt_tokens: 1290,
};

/// Starts a site with replicas in `troubles` and with `new_replicas` others that have new weights.
fn start_site(
    name: &str,
    first_index: u8,
    new_replicas: u8,
    troubles: &[ReplicaTrouble; 2],
) -> FenceSite {
    let fence = FenceSite::start(name, first_index);
    for index in 0..OLD_REPLICAS {
        let trouble = &troubles[usize::from(index % 2)];
        let slow_delay = Duration::from_millis(trouble.start_delay);
        let gate = fence.gate.clone();
        let respond = move |request: &_| {
            let is_slow = gate.time().is_some_and(|it| it.elapsed() >= SLOW_FROM);
            let start_delay = if is_slow { slow_delay } else { START_DELAY };
            HeldAnswer::Serve(HeldResponse {
                start_delay,
                ..HeldResponse::at_once(events(request, 1))
            })
        };
        let ip = [127, 0, 1, 132 + index];
        let id = format!("old-{index}");
        let habit = WaitHabit::Begins;
        let replica =
            HoldingReplica::start(&id, ip, habit, &fence.gate, &fence.runs, respond).unwrap();
        let silences = trouble.silences.clone();
        let silences =
            silences.map(|it| Duration::from_millis(it.start)..Duration::from_millis(it.end));
        replica.set_silences(&silences);
        fence.list(&replica, ["a", "b"][usize::from(index / 2 % 2)], 1);
    }
    // What runs on new weights is not counted.
    let new_runs = RunCounts::default();
    for index in 0..new_replicas {
        let respond = |request: &_| {
            HeldAnswer::Serve(HeldResponse {
                start_delay: START_DELAY,
                ..HeldResponse::at_once(events(request, 1))
            })
        };
        let ip = [127, 0, 1, 132 + OLD_REPLICAS + index];
        let id = format!("new-{index}");
        let habit = WaitHabit::Begins;
        let replica =
            HoldingReplica::start(&id, ip, habit, &fence.gate, &new_runs, respond).unwrap();
        replica.set_version(2);
        fence.list(&replica, "b", 2);
    }
    fence
}

/// Checks which requests of `plan` replicas in `troubles` begin. `disturb` disturbs the entries.
fn check(
    name: &str,
    first_index: u8,
    new_replicas: u8,
    troubles: [ReplicaTrouble; 2],
    plan: SendPlan,
    disturb: impl Fn(&mut FenceSite),
) {
    let [from, to] = [plan.times.start, plan.times.end].map(Duration::from_millis);
    for _ in 0..rounds() {
        let mut fence = start_site(name, first_index, new_replicas, &troubles);
        fence.prompt_tokens = plan.prompt_tokens;
        fence.wait_until_served(&[0, 1]);
        fence.declare();
        let mut senders = Vec::new();
        for entry in 0..2 {
            for route in ["once", "resumable"] {
                for tokens in ANSWER_TOKENS {
                    fence.answer_tokens = tokens;
                    let way = format!("{route}/unheard-{tokens}");
                    senders.push(fence.call_between(entry, &way, from, to, PAUSE));
                }
            }
        }
        disturb(&mut fence);
        let calls = senders.into_iter().flat_map(|it| it.join().unwrap());
        let calls: Vec<SentCall> = calls.collect();
        fence.sleep_until(SWITCH_BOUND + Duration::from_secs(2));
        fence.check_starts(&calls);
    }
}

fn kill(fence: &mut FenceSite) {
    fence.sleep_until(ENTRY_FAILURE);
    for entry in &mut fence.site.entries {
        entry.kill();
    }
}

fn suspend(fence: &mut FenceSite) {
    fence.sleep_until(ENTRY_FAILURE);
    for entry in &fence.site.entries {
        entry.suspend();
    }
    fence.sleep_until(SWITCH_BOUND + Duration::from_millis(900));
    for entry in &fence.site.entries {
        entry.resume();
    }
}

/// Gives the entries a twentieth of a processor.
fn starve(fence: &mut FenceSite) {
    fence.sleep_until(ENTRY_FAILURE);
    let end = fence.gate.time().unwrap() + SWITCH_BOUND + Duration::from_millis(800);
    while Instant::now() < end {
        fence.site.entries.iter().for_each(ChildProcess::suspend);
        std::thread::sleep(Duration::from_millis(95));
        fence.site.entries.iter().for_each(ChildProcess::resume);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against VERSION by requests that a replica read before a silence longer than any that is reserved for.
#[test]
fn requests_read_before_a_long_silence_do_not_begin_after_the_switch() {
    let troubles = [LONG_SILENCE; 2];
    check("unheard-long", 43, 0, troubles, SHORT_PROMPTS, |_| {});
}

/// Guards against VERSION by requests read before a long silence that could go on at new weights.
#[test]
fn requests_read_before_a_long_silence_do_not_begin_beside_new_weights() {
    let troubles = [LONG_SILENCE; 2];
    check(
        "unheard-long-new",
        45,
        NEW_REPLICAS,
        troubles,
        SHORT_PROMPTS,
        |_| {},
    );
}

/// Guards against VERSION by requests that a sound replica reads after a silence and begins after another one.
#[test]
fn requests_read_between_two_silences_do_not_begin_after_the_switch() {
    let troubles = [TWO_SILENCES, EARLY_SILENCES];
    check("unheard-two", 51, 0, troubles, SHORT_PROMPTS, |_| {});
}

/// Guards against VERSION by requests read between two silences that could go on at new weights.
#[test]
fn requests_read_between_two_silences_do_not_begin_beside_new_weights() {
    let troubles = [TWO_SILENCES, EARLY_SILENCES];
    check(
        "unheard-two-new",
        53,
        NEW_REPLICAS,
        troubles,
        SHORT_PROMPTS,
        |_| {},
    );
}

/// Guards against VERSION by requests that nobody withdraws because their entry ends while their replica is silent.
#[test]
fn requests_of_killed_entries_at_silent_replicas_do_not_begin_after_the_switch() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check("unheard-killed", 57, 0, troubles, SHORT_PROMPTS, kill);
}

/// Guards against VERSION by requests of killed entries at silent replicas that were listed beside new weights.
#[test]
fn requests_of_killed_entries_at_silent_replicas_do_not_begin_beside_new_weights() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check(
        "unheard-killed-new",
        64,
        NEW_REPLICAS,
        troubles,
        SHORT_PROMPTS,
        kill,
    );
}

/// Guards against VERSION by requests that are withdrawn late because their entry is suspended while their replica is silent.
#[test]
fn requests_of_suspended_entries_at_silent_replicas_do_not_begin_after_the_switch() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check("unheard-suspended", 66, 0, troubles, SHORT_PROMPTS, suspend);
}

/// Guards against VERSION by requests of suspended entries at silent replicas that were listed beside new weights.
#[test]
fn requests_of_suspended_entries_at_silent_replicas_do_not_begin_beside_new_weights() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check(
        "unheard-suspended-new",
        68,
        NEW_REPLICAS,
        troubles,
        SHORT_PROMPTS,
        suspend,
    );
}

/// Guards against VERSION by requests that a starved entry withdraws late while their replica is silent.
#[test]
fn requests_of_starved_entries_at_silent_replicas_do_not_begin_after_the_switch() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check("unheard-starved", 74, 0, troubles, SHORT_PROMPTS, starve);
}

/// Guards against VERSION by requests of starved entries at silent replicas that were listed beside new weights.
#[test]
fn requests_of_starved_entries_at_silent_replicas_do_not_begin_beside_new_weights() {
    let troubles = [TWO_SILENCES, CUT_OFF];
    check(
        "unheard-starved-new",
        76,
        NEW_REPLICAS,
        troubles,
        SHORT_PROMPTS,
        starve,
    );
}

/// Guards against VERSION by requests that a sound replica begins ten times later than predicted, after a silence.
#[test]
fn requests_at_a_slow_and_silent_replica_do_not_begin_after_the_switch() {
    let troubles = [SLOW_AND_SILENT; 2];
    check("unheard-slow", 70, 0, troubles, SLOW_PROMPTS, |_| {});
}

/// Guards against VERSION by requests at a slow and silent replica that could go on at new weights.
#[test]
fn requests_at_a_slow_and_silent_replica_do_not_begin_beside_new_weights() {
    let troubles = [SLOW_AND_SILENT; 2];
    check(
        "unheard-slow-new",
        72,
        NEW_REPLICAS,
        troubles,
        SLOW_PROMPTS,
        |_| {},
    );
}
