//! Streams around a switch of weights: which of them are complete.
//!
//! `FULMARLINE_FENCE_ROUNDS` is the number of times that each test runs, one by default.

#[path = "support/fence_site.rs"]
mod fence_site;
#[path = "support/site.rs"]
mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use fence_site::{FenceSite, LAST_SEND, SentCall, events, rounds, way};
use httpio::StatusCode;
use standin::{HeldAnswer, HeldResponse, WaitHabit};

/// Guards against streams that are cut short by what keeps others from beginning after the switch. Of those that run
/// across the switch, it only reports what became of them.
#[test]
fn streams_that_end_before_the_switch_are_complete() {
    for _ in 0..rounds() {
        let fence = FenceSite::start("fence-streams", 242);
        fence.add_replica("a", WaitHabit::Drops, |request| {
            HeldAnswer::Serve(HeldResponse {
                // Streams of the way `usual` take about as long as the engine of the site predicts.
                pause: Duration::from_millis(if way(request) == "usual" { 50 } else { 700 }),
                ..HeldResponse::at_once(events(request, 1))
            })
        });
        fence.wait_until_served(&[0]);
        fence.declare();
        let pause = Duration::from_millis(200);
        let [first, early, late, last] = [2000, 4400, 6000, 7400].map(Duration::from_millis);
        let routes = ["once/stream", "resumable/stream"];
        let early_calls = routes.map(|it| fence.call_between(0, it, first, early, pause));
        let early_calls = early_calls.map(|it| it.join().unwrap());
        let routes = [
            "once/slow",
            "resumable/slow",
            "once/usual",
            "resumable/usual",
        ];
        let late_calls = routes.map(|it| fence.call_between(0, it, late, last, pause / 2));
        let late_calls = late_calls.map(|it| it.join().unwrap());
        // On a busy machine this process sends some of them later than planned, too close to the switch.
        let starts = fence.runs.starts();
        let latest = fence.gate.time().unwrap() + early;
        let is_early = |call: &SentCall| {
            let mut starts = starts.iter().filter(|it| it.request == call.id);
            starts.all(|it| it.at <= latest)
        };
        let early_calls: Vec<SentCall> = early_calls.into_iter().flatten().collect();
        let (early_calls, later) = early_calls.into_iter().partition::<Vec<_>, _>(is_early);
        println!(
            "{} early streams, {} sent too late",
            early_calls.len(),
            later.len()
        );
        assert!(early_calls.len() > later.len(), "too few early streams");
        for call in early_calls {
            let response = call.response.join().unwrap().expect("a response");
            assert_eq!(response.status, StatusCode::OK, "{}", call.id);
            let expected: String = (1..=4)
                .map(|it| format!("id: {it}\ndata: {}/{it}\n\n", call.id))
                .collect();
            assert!(response.complete, "{} is cut: {}", call.id, response.body);
            assert_eq!(response.body, expected);
        }
        for (route, calls) in routes.iter().zip(late_calls) {
            let mut counts = BTreeMap::new();
            for call in calls {
                let outcome = match call.response.join().unwrap() {
                    Some(it) if it.status != StatusCode::OK => "refused",
                    Some(it) if it.complete => "complete",
                    _ => "cut",
                };
                *counts.entry(outcome).or_insert(0) += 1;
            }
            println!("late streams of {route}: {counts:?}");
        }
    }
}

/// Guards against LOST: streams that had begun were cut at the switch, because they would have ended before that of a later
/// version which was not known.
#[test]
fn streams_that_run_across_the_switch_are_complete() {
    for _ in 0..rounds() {
        let mut fence = FenceSite::start("fence-across", 144);
        fence.answer_tokens = ANSWER_ACROSS;
        fence.add_replica("a", WaitHabit::Drops, |request| {
            HeldAnswer::Serve(HeldResponse {
                pause: Duration::from_millis(800),
                ..HeldResponse::at_once(events(request, 1))
            })
        });
        fence.wait_until_served(&[0]);
        fence.declare();
        let [from, to] = [2300, 1500].map(|it| LAST_SEND - Duration::from_millis(it));
        let routes = ["once/across", "resumable/across"];
        let pause = Duration::from_millis(100);
        let calls = routes.map(|it| fence.call_between(0, it, from, to, pause));
        let calls = calls.into_iter().flat_map(|it| it.join().unwrap());
        let (mut complete, mut late) = (0, 0);
        for call in calls {
            let response = call.response.join().unwrap().expect("a response");
            // On a busy machine this process sends some of them later than planned, too close to the switch.
            let starts = fence.runs.starts();
            let mut starts = starts.iter().filter(|it| it.request == call.id);
            if !starts.all(|it| it.at <= fence.gate.time().unwrap() + to + pause) {
                late += 1;
                continue;
            }
            assert_eq!(response.status, StatusCode::OK, "{}", call.id);
            assert!(response.complete, "{} is cut: {}", call.id, response.body);
            complete += 1;
        }
        println!("{complete} complete streams, {late} sent too late");
        assert!(complete > late, "too few streams in time");
    }
}

/// Maximum number of tokens of streams that will not end before the switch but soon after it.
const ANSWER_ACROSS: u32 = 1200;
