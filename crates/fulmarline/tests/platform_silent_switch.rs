//! Sound replicas that fall silent before a switch of weights and go on after it: which requests they begin then.
//!
//! `FULMARLINE_FENCE_ROUNDS` is the number of rounds, one by default; `FULMARLINE_FENCE_SEED` is the seed of the first one.

#[path = "support/fence_site.rs"]
mod fence_site;
#[path = "support/site.rs"]
mod site;

use std::ops::Range;
use std::time::Duration;

use fence_site::{FenceSite, LAST_SEND, SWITCH_BOUND, SentCall, events, rounds};
use standin::{HeldAnswer, HeldResponse, HoldingReplica, WaitHabit};

/// Number of replicas, each of which is silent at another time.
const REPLICAS: u8 = 6;

/// Longest silence of a sound replica.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Time in which a replica begins a request.
const START_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of tokens of responses that end before the switch unless they are sent right before it, and of others
/// that do not.
const ANSWER_TOKENS: [u32; 2] = [8, 2000];

/// Silences that cross the switch, in ms after the declaration: one of 1.1 s, the longest ones, short ones.
const SILENCES_MS: [Range<u64>; REPLICAS as usize] = [
    7000..8100,
    6550..8050,
    6700..8200,
    7250..8100,
    6900..8100,
    7700..8030,
];

/// Returns the silences of a round: the set ones, or random ones that begin up to 2 s before the bound.
fn silences(round: u32) -> Vec<Range<Duration>> {
    let range = |it: &Range<u64>| Duration::from_millis(it.start)..Duration::from_millis(it.end);
    if round == 0 {
        return SILENCES_MS.iter().map(range).collect();
    }
    let seed = std::env::var("FULMARLINE_FENCE_SEED").ok();
    let seed: u64 = seed.and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut state = (seed + u64::from(round)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut random = |below: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) % below
    };
    let silence = |_| {
        let start = 6000 + random(2000);
        let longest = u64::try_from(MAX_SILENCE.as_millis()).unwrap();
        range(&(start..start + 300 + random(longest - 300)))
    };
    (0..REPLICAS).map(silence).collect()
}

/// Checks which requests begin at replicas that are silent before the switch. `habit` is what they do with requests whose
/// connections were closed meanwhile; `disturb` disturbs the entries.
fn check(name: &str, first_index: u8, habit: WaitHabit, disturb: impl Fn(&mut FenceSite)) {
    for round in 0..rounds() {
        let mut fence = FenceSite::start(name, first_index);
        let start_replica = |index: u8| {
            let id = format!("pool-{index}");
            let ip = [127, 0, 1, 180 + index];
            let respond = |request: &_| {
                HeldAnswer::Serve(HeldResponse {
                    start_delay: START_DELAY,
                    ..HeldResponse::at_once(events(request, 1))
                })
            };
            HoldingReplica::start(&id, ip, habit, &fence.gate, &fence.runs, respond).unwrap()
        };
        let replicas: Vec<HoldingReplica> = (0..REPLICAS).map(start_replica).collect();
        for (index, (replica, silence)) in replicas.iter().zip(silences(round)).enumerate() {
            replica.set_silence(silence);
            fence.list(replica, ["a", "b"][index % 2], 1);
        }
        fence.wait_until_served(&[0, 1]);
        fence.declare();
        let mut senders = Vec::new();
        for entry in 0..2 {
            for (number, tokens) in ANSWER_TOKENS.into_iter().enumerate() {
                fence.answer_tokens = tokens;
                let route = ["once", "resumable"][entry];
                let [from, to] = [5500, 8500].map(Duration::from_millis);
                let pause = Duration::from_millis(15);
                let way = format!("{route}/silent-{number}");
                senders.push(fence.call_between(entry, &way, from, to, pause));
            }
        }
        disturb(&mut fence);
        let calls = senders.into_iter().flat_map(|it| it.join().unwrap());
        let calls: Vec<SentCall> = calls.collect();
        fence.sleep_until(SWITCH_BOUND + Duration::from_secs(2));
        fence.check_starts(&calls);
    }
}

/// Guards against VERSION by requests that a sound replica reads, or learns to be withdrawn, only after a silence.
#[test]
fn requests_at_a_replica_that_was_silent_do_not_begin_after_the_switch() {
    check("silent-begins", 60, WaitHabit::Begins, |_| {});
}

/// Guards against VERSION by requests of an entry that ends while their replica is silent.
#[test]
fn requests_of_a_killed_entry_at_a_silent_replica_do_not_begin_after_the_switch() {
    check("silent-killed", 62, WaitHabit::Begins, |fence| {
        fence.sleep_until(LAST_SEND - Duration::from_millis(200));
        fence.site.entries[0].kill();
    });
}
