//! What the logs and metrics of an entry tell about a stream that its replica ends at a switch of weights.

#[path = "support/fence_site.rs"]
mod fence_site;
#[path = "support/site.rs"]
mod site;

use std::process::Command;
use std::time::Duration;

use fence_site::{FenceSite, LAST_SEND, send};
use standin::{HeldAnswer, HeldResponse, RawRequest, WaitHabit};

/// Pause between two events, so that the stream is not complete at the switch.
const EVENT_PAUSE: Duration = Duration::from_millis(200);

/// Number of events of a stream.
const EVENTS: u64 = 12;

/// Responds with the events after the last one that the client has.
fn respond(request: &RawRequest) -> HeldAnswer {
    let last = request.headers.get("last-event-id");
    let first = last.map_or(1, |it| it.parse::<u64>().unwrap() + 1);
    let id = request.id();
    let events = (first..=EVENTS).map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"));
    HeldAnswer::Serve(HeldResponse {
        pause: EVENT_PAUSE,
        ..HeldResponse::at_once(events.collect())
    })
}

/// Sends a resumable stream that is under way at the switch, and checks that the log explains it with `lines` and that the
/// metrics contain `metric`. `has_successor` is whether a replica has the new weights.
fn check(name: &str, first_index: u8, has_successor: bool, lines: &[&[&str]], metric: &str) {
    let fence = FenceSite::start(name, first_index);
    fence.add_replica("a", WaitHabit::Drops, respond);
    fence.wait_until_served(&[0]);
    fence.declare();
    if has_successor {
        let successor = fence.start_replica("b", WaitHabit::Drops, respond);
        successor.set_version(2);
        fence.list(&successor, "b", 2);
    }
    let sent_at = LAST_SEND - Duration::from_millis(1200);
    fence.sleep_until(sent_at);
    let caller = fence.caller().with_answer_tokens(fence.answer_tokens);
    let call = send(&caller, 0, "/resumable/cut/0".to_owned());
    let response = call.response.join().unwrap().expect("a response");
    assert_eq!(response.complete, has_successor, "{response:?}");
    let log_file = fence.site.log_file("edge-0");
    fence.site.wait("the log lines", |_| {
        let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
            .args(["explain", "--request", &call.id])
            .arg(&log_file)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let is_shown = |expected: &[&str]| {
            text.lines()
                .any(|line| expected.iter().all(|it| line.contains(it)))
        };
        lines.iter().all(|it| is_shown(it)).then_some(())
    });
    let metrics = fence.site.metrics(0);
    for expected in [
        metric,
        "\nfulmarline_sends_by_limit_total{limited_by=\"none\"} 0\n",
    ] {
        assert!(metrics.contains(expected), "no {expected} in {metrics}");
    }
}

/// Fields of the send to the old weights and of its end there.
const SEND: &[&str] = &[
    " time limit of a request: ",
    " replica=pool-a",
    " limit_ms=",
    " limited_by=switch",
    " switch_ms=",
    " weights=1",
];
const FIRST_EVENT: &[&str] = &[" first event: ", " switch_slack_ms=", " limit_ms="];
const END: &[&str] = &[" stream broke off: ", "at_switch=true", "replica=pool-a"];

/// Guards against an incident after which nobody can tell what limit a request had, and who continued it at the switch.
#[test]
fn explain_shows_a_stream_that_is_continued_at_a_switch() {
    let lines = [
        SEND,
        FIRST_EVENT,
        END,
        &[
            " stream resumed: ",
            "after_switch=continued",
            " replica=pool-b",
        ],
        &[" stream ended: ", " outcome=complete"],
    ];
    let metric = "\nfulmarline_streams_ended_at_switch_total{outcome=\"continued\"} 1\n";
    check("switch-log-continued", 66, true, &lines, metric);
}

/// Guards against streams that are lost at a switch and counted nowhere.
#[test]
fn explain_shows_a_stream_that_is_lost_at_a_switch() {
    let lines = [
        SEND,
        FIRST_EVENT,
        END,
        &[" stream ended: ", "after_switch=lost", " outcome=cut"],
    ];
    let metric = "\nfulmarline_streams_ended_at_switch_total{outcome=\"lost\"} 1\n";
    check("switch-log-lost", 68, false, &lines, metric);
}
