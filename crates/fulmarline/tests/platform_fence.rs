//! Requests that wait at replicas with old weights across a switch: which of them begin there after it.
//!
//! `FULMARLINE_FENCE_ROUNDS` is the number of times that each test runs, one by default.

#[path = "support/fence_site.rs"]
mod fence_site;
#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use fence_site::{
    FIRST_BEGIN, FenceSite, LAST_BEGIN, LAST_SEND, SWITCH_BOUND, SentCall, events, respond_by_way,
    rounds, send, way,
};
use serde_json::json;
use standin::{
    CrashLog, CrashPlan, CrashingReplica, HeldAnswer, HeldResponse, SiteStore, WaitHabit,
};

/// Maximum number of tokens of a response that takes longer than the time between its request and the switch.
const LONG_ANSWER: u32 = 2000;

/// Number of replicas that a suspected part may crash.
const CRASHING: u8 = 6;

/// Time in which entries notice a row of a replica.
const ROW_TIME: Duration = Duration::from_secs(1);

/// Time in which entries receive a report of another zone.
const REPORT_TIME: Duration = Duration::from_millis(1500);

/// Checks that requests which wait by `ways` (a path and the number of replicas that receive them) are withdrawn if a
/// version becomes known meanwhile.
fn check_ways(name: &str, first_index: u8, ways: &[(&str, u64)]) {
    for _ in 0..rounds() {
        let fence = FenceSite::start(name, first_index);
        for zone in ["a", "b"] {
            fence.add_replica(zone, WaitHabit::Drops, respond_by_way);
        }
        fence.wait_until_served(&[0, 1]);
        let caller = fence.caller();
        let mut calls = Vec::new();
        for entry in 0..2 {
            for (way, _) in ways {
                for number in 0..2 {
                    calls.push(send(&caller, entry, format!("{way}/{number}-{entry}")));
                }
            }
        }
        for call in &calls {
            let way = ways.iter().find(|it| call.id.starts_with(it.0));
            fence.wait_until_received(&call.id, way.unwrap().1);
        }
        fence.declare();
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
        for call in calls {
            assert!(call.response.join().unwrap().is_some(), "no response");
        }
    }
}

/// Guards against requests that keep the deadline of the time at which they were sent.
#[test]
fn a_first_choice_is_withdrawn_when_a_version_becomes_known() {
    let ways = [("/once/first", 1), ("/once/head", 1)];
    check_ways("fence-first", 13, &ways);
}

/// Guards against repeats that keep the deadline of the time at which they were sent.
#[test]
fn repeats_are_withdrawn_when_a_version_becomes_known() {
    let ways = [("/once/refused", 2), ("/resumable/refused", 2)];
    check_ways("fence-repeat", 15, &ways);
}

/// Guards against resumed streams that keep the deadline of the time at which they were sent.
#[test]
fn resumed_streams_are_withdrawn_when_a_version_becomes_known() {
    let ways = [("/resumable/resumed", 2), ("/resumable/resumed-head", 2)];
    check_ways("fence-resumed", 17, &ways);
}

/// Guards against attempts beside a silent replica that keep the deadline of the time at which they were sent.
#[test]
fn attempts_beside_a_silent_replica_are_withdrawn_when_a_version_becomes_known() {
    let ways = [("/resumable/first", 2), ("/resumable/head", 2)];
    check_ways("fence-beside", 47, &ways);
}

/// Guards against calls without a stream that wait for as long as their clients do.
#[test]
fn calls_without_a_stream_are_withdrawn_when_a_version_becomes_known() {
    check_ways("fence-calls", 49, &[("/call/first", 1)]);
}

/// Guards against requests with a turn at a replica with a limit that keep the deadline of the time at which they were
/// sent.
#[test]
fn requests_with_a_turn_are_withdrawn_when_a_version_becomes_known() {
    for _ in 0..rounds() {
        let fence = FenceSite::start("fence-turn", 74);
        fence.add_replica("a", WaitHabit::Drops, |request| {
            let mut response = HeldResponse::held(events(request, 1), FIRST_BEGIN);
            if way(request) == "warm" {
                response = HeldResponse::at_once(events(request, 1));
            }
            response.head_lines = "Server-Limit: 20\r\n".to_owned();
            HeldAnswer::Serve(response)
        });
        fence.wait_until_served(&[0, 1]);
        fence.site.wait("the limit", |it| {
            let is_known = |entry: usize| it.metrics(entry).contains("\nfulmarline_limits 1\n");
            (0..2).all(is_known).then_some(())
        });
        let caller = fence.caller();
        let mut calls = Vec::new();
        let is_received = |it: &&SentCall| fence.runs.get(&it.id) > 0;
        while calls.iter().filter(is_received).count() < 10 {
            assert!(calls.len() < 200, "too few requests are received");
            std::thread::sleep(Duration::from_millis(20));
            let path = format!("/once/turn/{}", calls.len());
            calls.push(send(&caller, calls.len() % 2, path));
        }
        for entry in 0..2 {
            let turns = r#"fulmarline_limited_requests_total{outcome="turn"}"#;
            let metrics = fence.site.metrics(entry);
            assert!(metrics.contains(turns), "no turn at entry {entry}");
        }
        fence.declare();
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
    }
}

/// Guards against trials with a suspected part that keep the deadline of the time at which they were sent.
#[test]
fn a_trial_is_withdrawn_when_a_version_becomes_known() {
    for _ in 0..rounds() {
        let fence = FenceSite::start("fence-trial", 76);
        let plan = CrashPlan {
            service: "pool",
            part: "deadbeef",
            restart_after: Duration::from_secs(60),
            store: fence.site.store.clone(),
            log: CrashLog::default(),
        };
        let crashing: Vec<CrashingReplica> = (0..CRASHING)
            .map(|it| {
                let ip = [127, 0, 1, 192 + it];
                CrashingReplica::start(&format!("crash-{it}"), ip, "a", &plan).unwrap()
            })
            .collect();
        fence.wait_until_served(&[0]);
        let caller = fence.caller();
        let call = |path: &str, id: &str| {
            let parts = format!("aaaa01:40,deadbeef:60,{id}:20");
            caller.call_with_parts(0, path, id, &parts)
        };
        let is_suspected = || {
            let log = fence.site.entries[0].log_text();
            log.contains("part suspected")
        };
        for crash in 0..CRASHING {
            if !is_suspected() {
                call("/once/crash", &format!("c{crash}"));
                std::thread::sleep(Duration::from_millis(600));
            }
        }
        // A trial must not reach another replica that crashes. The number of replicas is evidence, so it remains the same.
        let replica = fence.add_replica("a", WaitHabit::Drops, |request| {
            HeldAnswer::Serve(HeldResponse::held(events(request, 1), FIRST_BEGIN))
        });
        for (index, it) in crashing.iter().enumerate() {
            if !(0..CRASHING).any(|crash| it.has_run(&format!("c{crash}"))) {
                let store = &fence.site.store;
                store.put(
                    "servers",
                    &format!("spare-{index}"),
                    &replica.row("pool", "a", 1),
                );
                store.remove("servers", &format!("crash-{index}-1"));
            }
        }
        std::thread::sleep(Duration::from_millis(1500));
        let trial = {
            let (caller, id) = (caller.clone(), "fa".to_owned());
            let parts = "aaaa01:40,deadbeef:60,fa:20";
            let response =
                std::thread::spawn(move || caller.call_with_parts(0, "/once/trial", "fa", parts));
            SentCall { id, response }
        };
        fence.wait_until_received("fa", 1);
        let log = fence.site.entries[0].log_text();
        assert!(!log.contains("part held back"), "suspected only");
        let second = call("/once/second", "fb").expect("a response");
        assert_eq!(
            second.body.trim(),
            "suspected",
            "the first one is the trial"
        );
        fence.declare();
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&[trial]);
    }
}

/// Guards against requests that were sent while a call to the store remained without a response that would have told of
/// a version.
#[test]
fn requests_sent_before_a_late_declaration_are_withdrawn() {
    for _ in 0..rounds() {
        let mut fence = FenceSite::start("fence-late", 78);
        fence.add_replica("a", WaitHabit::Drops, respond_by_way);
        fence.wait_until_served(&[0]);
        fence.site.entries[1].kill();
        let polls = fence.site.store.feed_calls("op");
        fence.site.wait("a new poll", |it| {
            (it.store.feed_calls("op") > polls).then_some(())
        });
        fence.site.store.silence_pending_feeds();
        fence.declare();
        let [from, to] = [1900, 3100].map(Duration::from_millis);
        let pause = Duration::from_millis(60);
        let calls = fence.call_between(0, "once/first", from, to, pause);
        let calls = calls.join().unwrap();
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
    }
}

/// Guards against requests that keep their deadline when a version is found to be older than the entry took it to be.
#[test]
fn requests_are_withdrawn_when_a_declaration_turns_out_to_be_older() {
    for _ in 0..rounds() {
        let mut fence = FenceSite::start("fence-older", 108);
        fence.add_replica("a", WaitHabit::Drops, respond_by_way);
        fence.wait_until_served(&[0]);
        // The other entry reads a store of its own, so that it alone can learn of the version in time.
        let store = fence.site.store.clone();
        let other_store = SiteStore::start(&fence.site.runtime).unwrap();
        other_store.return_from(&store.copy());
        fence.site.store = other_store.clone();
        fence.site.entries[1].kill();
        fence.site.start_entry(1);
        fence.wait_until_served(&[1]);
        fence.site.entries[1].suspend();
        fence.site.store = store.clone();
        store.set_down(true);
        std::thread::sleep(Duration::from_millis(300));
        other_store.put("op", "version/m", &json!({"model": "m", "version": 2}));
        fence.declare();
        fence.sleep_until(Duration::from_millis(2400));
        store.set_down(false);
        fence.site.wait("the declaration", |it| {
            let log = it.entries[0].log_text();
            log.contains("weights declared").then_some(())
        });
        let known_after = fence.gate.time().unwrap().elapsed();
        let to = known_after + Duration::from_millis(600);
        let pause = Duration::from_millis(40);
        let calls = fence.call_between(0, "once/first", known_after, to, pause);
        let calls = calls.join().unwrap();
        fence.site.entries[1].resume();
        // The entry may have taken the version for old enough without the report, which shows in no log then.
        std::thread::sleep(REPORT_TIME);
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
    }
}

/// Checks that a replica which also begins requests whose connections have closed begins none on old weights after the
/// switch. `disturb` disturbs the entry that sends them, from 0.9 s before it stops using old weights on.
fn check_fence(name: &str, first_index: u8, disturb: impl Fn(&mut FenceSite)) {
    check_requests(name, first_index, 60, WaitHabit::Begins, disturb);
}

/// Checks that replicas with `habit` begin no request for up to `answer_tokens` tokens on old weights after the switch.
fn check_requests(
    name: &str,
    first_index: u8,
    answer_tokens: u32,
    habit: WaitHabit,
    disturb: impl Fn(&mut FenceSite),
) {
    for _ in 0..rounds() {
        let mut fence = FenceSite::start(name, first_index);
        fence.answer_tokens = answer_tokens;
        for zone in ["a", "b"] {
            fence.add_replica(zone, habit, respond_by_way);
        }
        fence.wait_until_served(&[0]);
        fence.declare();
        let [from, to] = [4000, 9000].map(Duration::from_millis);
        let pause = Duration::from_millis(250);
        let routes = [
            "once/first",
            "once/head",
            "once/refused",
            "resumable/first",
            "resumable/resumed",
        ];
        let calls = routes.map(|it| fence.call_between(0, it, from, to, pause));
        fence.sleep_until(LAST_SEND - Duration::from_millis(900));
        disturb(&mut fence);
        let calls: Vec<SentCall> = calls
            .into_iter()
            .flat_map(|it| it.join().unwrap())
            .collect();
        fence.sleep_until(SWITCH_BOUND + Duration::from_millis(1000) + LAST_BEGIN);
        fence.check_starts(&calls);
        let received = calls.iter().filter(|it| fence.runs.get(&it.id) > 0);
        assert!(received.count() > 10, "too few requests were received");
    }
}

/// Time before their deadlines at which replicas end requests, so that they are not withdrawn before.
const EARLY_END: Duration = Duration::from_millis(60);

/// Checks that replicas which end requests because the time that they were given ends, without a response, are not probed as
/// crashed ones are. `disturb` shortens that time; the log must contain `evidence` then.
fn check_ends(
    name: &str,
    first_index: u8,
    ways: [&str; 2],
    evidence: &str,
    disturb: impl Fn(&FenceSite),
) {
    for _ in 0..rounds() {
        let fence = FenceSite::start(name, first_index);
        for zone in ["a", "b"] {
            fence.add_replica(zone, WaitHabit::Drops, |request| {
                let mut answer = respond_by_way(request);
                if let HeldAnswer::Serve(response) = &mut answer {
                    response.closes_early = Some(EARLY_END);
                }
                answer
            });
        }
        fence.wait_until_served(&[0]);
        disturb(&fence);
        let caller = fence.caller().with_answer_tokens(fence.answer_tokens);
        let paths = (0..10).flat_map(|it| ways.map(|way| format!("{way}/{it}")));
        let calls: Vec<SentCall> = paths.map(|it| send(&caller, 0, it)).collect();
        std::thread::sleep(SWITCH_BOUND);
        let log = fence.site.entries[0].log_text();
        let lines = |text: &str| log.lines().filter(|it| it.contains(text)).count();
        let ended = lines(evidence);
        let probed = lines("replica probed after its connection broke");
        println!("{} sent, {ended} ended, {probed} probes", calls.len());
        assert_eq!(probed, 0, "a replica was taken for crashed");
        assert!(ended > 0, "no request was ended");
    }
}

/// Guards against replicas that are taken for crashed because they end streams at the switch, as they were told to.
#[test]
fn replicas_that_end_streams_at_the_switch_do_not_count_as_crashed() {
    let ways = ["/once/first", "/once/head"];
    check_ends("fence-ends", 248, ways, "ended_at_switch", |it| {
        it.declare();
        // Requests that are sent earlier have more time at their replica than until they are withdrawn.
        it.sleep_until(LAST_SEND - Duration::from_millis(1200));
    });
}

/// Guards against replicas that are taken for crashed because they end other calls when a version may take effect that is
/// not known, as they were told to.
#[test]
fn replicas_that_end_calls_at_an_unknown_switch_do_not_count_as_crashed() {
    let ways = ["/call/first", "/call/head"];
    let evidence = "reading the response failed";
    check_ends("fence-ends-calls", 250, ways, evidence, |it| {
        it.site.store.set_down(true);
    });
}

/// Guards against replicas that begin requests which a sound entry has withdrawn.
#[test]
fn withdrawn_requests_do_not_begin_after_the_switch() {
    check_fence("fence-sound", 110, |_| {});
}

fn suspend(fence: &mut FenceSite) {
    fence.sleep_until(LAST_SEND - Duration::from_millis(400));
    fence.site.entries[0].suspend();
    fence.sleep_until(SWITCH_BOUND + Duration::from_millis(900));
    fence.site.entries[0].resume();
}

fn kill(fence: &mut FenceSite) {
    fence.sleep_until(LAST_SEND - Duration::from_millis(400));
    fence.site.entries[0].kill();
}

/// Gives the entry a twentieth of a processor.
fn starve(fence: &mut FenceSite) {
    let end = fence.gate.time().unwrap() + SWITCH_BOUND + Duration::from_millis(800);
    while Instant::now() < end {
        fence.site.entries[0].suspend();
        std::thread::sleep(Duration::from_millis(95));
        fence.site.entries[0].resume();
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an entry that is suspended across the switch and withdraws nothing.
#[test]
fn requests_of_a_suspended_entry_do_not_begin_after_the_switch() {
    check_fence("fence-suspended", 112, suspend);
}

/// Guards against an entry that is killed before the switch and withdraws nothing.
#[test]
fn requests_of_a_killed_entry_do_not_begin_after_the_switch() {
    check_fence("fence-killed", 114, kill);
}

/// Guards against an entry that is given a twentieth of a processor across the switch and withdraws late.
#[test]
fn requests_of_a_starved_entry_do_not_begin_after_the_switch() {
    check_fence("fence-starved", 116, starve);
}

/// Guards against requests that would not end before the switch and have no time limit there at their replica, while a starved
/// entry withdraws them late.
#[test]
fn long_requests_of_a_starved_entry_do_not_begin_after_the_switch() {
    check_requests("fence-long", 244, LONG_ANSWER, WaitHabit::Drops, starve);
}

/// Guards against requests that would not end before the switch and have no time limit there at their replica, while a
/// suspended entry withdraws none.
#[test]
fn long_requests_of_a_suspended_entry_do_not_begin_after_the_switch() {
    check_requests(
        "fence-long-suspended",
        246,
        LONG_ANSWER,
        WaitHabit::Drops,
        suspend,
    );
}

/// Guards against requests that wait across the switch at a replica which was listed with newer weights than it has,
/// because an earlier process at its address had them.
#[test]
fn requests_at_a_replica_with_older_weights_than_listed_do_not_begin_after_the_switch() {
    for _ in 0..rounds() {
        let fence = FenceSite::start("fence-listed", 118);
        let replica = fence.add_replica("a", WaitHabit::Drops, respond_by_way);
        fence.wait_until_served(&[0, 1]);
        fence.list(&replica, "a", 2);
        std::thread::sleep(ROW_TIME);
        let caller = fence.caller();
        let calls = ["/once/first/0", "/once/head/0", "/once/first/1"];
        let calls: Vec<SentCall> = calls
            .iter()
            .map(|it| send(&caller, 0, (*it).to_owned()))
            .collect();
        // The replica refuses the first of them, so the entry may not send the others there.
        let is_received = |it: &SentCall| fence.runs.get(&it.id) > 0;
        fence.site.wait("a request at its replica", |_| {
            calls.iter().any(is_received).then_some(())
        });
        fence.declare();
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
    }
}

/// Guards against requests that are not withdrawn because their replica is listed with newer weights meanwhile.
#[test]
fn a_row_with_newer_weights_does_not_keep_requests_at_their_replica() {
    for _ in 0..rounds() {
        let fence = FenceSite::start("fence-row", 240);
        let replica = fence.add_replica("a", WaitHabit::Drops, respond_by_way);
        fence.wait_until_served(&[0]);
        fence.declare();
        let [from, to] = [4000, 5000].map(Duration::from_millis);
        let calls = fence.call_between(0, "once/first", from, to, Duration::from_millis(100));
        let mut calls = calls.join().unwrap();
        fence.list(&replica, "a", 2);
        // The replica refuses these, as it does not have the weights that it is listed with.
        let [from, to] = [5100, 9000].map(Duration::from_millis);
        let later = fence.call_between(0, "once/warm", from, to, Duration::from_millis(100));
        calls.extend(later.join().unwrap());
        fence.sleep_until(FIRST_BEGIN + LAST_BEGIN);
        fence.check_starts(&calls);
    }
}
