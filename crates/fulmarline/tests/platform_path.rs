//! The whole path on the users' platform, with real processes and stand-ins that speak its published protocol.

#[path = "support/site.rs"]
mod site;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{SiteAnswer, TestSite, WEIGHTS};
use standin::ReplicaFaults;

/// Checks that a stream holds each event once, in order, and all of its own request.
fn check_whole_stream(answer: &SiteAnswer, id: &str) {
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
    let expected: String = (1..=12)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect();
    assert_eq!(answer.body, expected);
    assert!(answer.headers.contains_key("route-stamp"));
}

fn post(site: &TestSite, entry: usize, path: &str, id: &str) -> SiteAnswer {
    site.call(entry, Method::POST, path, id, "key-1")
        .expect("an answer")
}

fn served_stream(site: &TestSite, id: &str) -> SiteAnswer {
    site.wait("a served stream", |it| {
        let answer = it.call(0, Method::POST, "/draft/1", id, "key-1")?;
        (answer.status == StatusCode::OK).then_some(answer)
    })
}

#[test]
fn requests_of_every_kind_are_served() {
    let site = TestSite::start("platform-kinds", 1, &[1, 1]);
    check_whole_stream(&served_stream(&site, "s-1"), "s-1");

    let order = post(&site, 1, "/order/7", "o-1");
    assert_eq!(
        (order.status, order.body.as_str()),
        (StatusCode::OK, "done o-1")
    );
    let runs: u64 = site
        .orders
        .iter()
        .filter_map(|it| it.runs().get("o-1").copied())
        .sum();
    assert_eq!(runs, 1);
    let lookup = site
        .call(1, Method::GET, "/lookup/7", "l-1", "key-1")
        .unwrap();
    assert_eq!(lookup.status, StatusCode::OK);

    let refused = site
        .call(0, Method::GET, "/lookup/7", "l-2", "no-key")
        .unwrap();
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
    assert_eq!(
        post(&site, 0, "/nothing/", "n-1").status,
        StatusCode::NOT_FOUND
    );
    for replica in site.models.iter().chain(&site.orders) {
        assert_eq!(replica.forbidden_headers(), Vec::<String>::new());
        assert!(!replica.runs().contains_key("l-2"));
    }

    let both = site.wait("both entries in the directory", |it| {
        Some(it.directory(0, "a")).filter(|it| it.len() == 2)
    });
    assert_eq!(both.len(), 2);
    let metrics = site.metrics(0);
    assert!(
        metrics.contains("fulmarline_requests_total{kind=\"stream\""),
        "{metrics}"
    );
}

#[test]
fn a_broken_stream_goes_on_at_another_replica() {
    let site = TestSite::start("platform-resume", 3, &[1, 1]);
    served_stream(&site, "warm");
    for (index, replica) in site.models.iter().enumerate() {
        let truncate_next_after = Some(3 + index as u64);
        replica.set_faults(ReplicaFaults {
            truncate_next_after,
            ..ReplicaFaults::default()
        });
        let id = format!("cut-{index}");
        // The other replica is sound, whichever is chosen first.
        for other in site
            .models
            .iter()
            .filter(|it| it.address() != replica.address())
        {
            other.set_faults(ReplicaFaults::default());
        }
        check_whole_stream(&post(&site, index, "/draft/1", &id), &id);
    }
}

#[test]
fn an_order_whose_answer_is_lost_is_not_repeated() {
    let site = TestSite::start("platform-lost", 5, &[]);
    let lose = ReplicaFaults {
        drop_responses: true,
        ..ReplicaFaults::default()
    };
    for replica in &site.orders {
        replica.set_faults(lose);
    }
    let answer = post(&site, 0, "/order/1", "lost-1");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(!answer.headers.contains_key("route-stamp"));
    let runs: u64 = site
        .orders
        .iter()
        .filter_map(|it| it.runs().get("lost-1").copied())
        .sum();
    assert_eq!(runs, 1);
    // A lookup may be repeated, at one other replica.
    let answer = site
        .call(1, Method::GET, "/lookup/1", "lost-2", "key-1")
        .unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let runs: u64 = site
        .orders
        .iter()
        .filter_map(|it| it.runs().get("lost-2").copied())
        .sum();
    assert_eq!(runs, 2);
}

#[test]
fn declared_weights_reach_all_replicas_whole() {
    let mut site = TestSite::start("platform-weights", 7, &[1, 1, 0]);
    site.wait("version 1 on the empty replica", |it| {
        (it.models[2].version() == 1).then_some(())
    });
    assert_eq!(
        site.origin.pieces_sent(),
        0,
        "the other replicas hold version 1"
    );

    site.origin.set_corrupt_pieces(true);
    site.declare(2);
    site.wait("version 2 everywhere", |it| {
        it.models.iter().all(|it| it.version() == 2).then_some(())
    });
    site.refresh_rows();
    assert!(site.models.iter().all(|it| it.mixed_loads() == 0));
    let copies = site.origin.pieces_sent() as f64 / WEIGHTS.pieces as f64;
    // One copy, half as much again for the spoilt pieces, and one for each region whose bringer gave up on another.
    assert!(copies < 3.0, "the origin sent {copies} copies");
    check_whole_stream(&served_stream(&site, "v2"), "v2");

    site.origin.set_corrupt_pieces(false);
    site.add_model(20, 0);
    site.wait("version 2 on the added replica", |it| {
        (it.models[3].version() == 2).then_some(())
    });
    assert_eq!(site.models[3].mixed_loads(), 0);
}

/// Staged pieces rot before the next version is complete; the load must not take them.
#[test]
fn rotten_pieces_are_fetched_again_before_a_load() {
    let mut site = TestSite::start("platform-rot", 21, &[1]);
    served_stream(&site, "warm");
    for index in 0..WEIGHTS.pieces {
        site.models[0].corrupt_staged_piece(index);
    }
    site.add_model(33, 0);
    site.wait("version 1 on the added replica", |it| {
        (it.models[1].version() == 1).then_some(())
    });
    assert_eq!(site.models[1].mixed_loads(), 0);
}

#[test]
fn a_planned_stop_cuts_nothing_off() {
    let mut site = TestSite::start("platform-stop", 35, &[1]);
    served_stream(&site, "warm");
    std::thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|index| {
                let site = &site;
                scope.spawn(move || {
                    let id = format!("during-{index}");
                    (post(site, 0, "/draft/1", &id), id)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(60));
        site.entries[0].terminate();
        for stream in streams {
            let (answer, id) = stream.join().unwrap();
            check_whole_stream(&answer, &id);
        }
    });
    site.wait("an entry that is not ready", |it| {
        (it.ready(0) != Some(StatusCode::OK)).then_some(())
    });
    site.wait("a directory without the stopped entry", |it| {
        (it.directory(1, "a").len() == 1).then_some(())
    });
    assert!(
        site.entries[0]
            .wait(site::PATIENCE)
            .is_some_and(|it| it.success())
    );
    site.start_entry(0);
    site.wait("a restarted entry", |it| {
        (it.ready(0) == Some(StatusCode::OK)).then_some(())
    });
}

#[test]
fn keys_are_refused_while_the_store_is_away_for_long() {
    let site = TestSite::start("platform-outage", 37, &[]);
    assert_eq!(post(&site, 0, "/order/1", "before").status, StatusCode::OK);
    site.store.set_down(true);
    let answer = site.wait("a refusal", |it| {
        Some(post(it, 0, "/order/1", "during")).filter(|it| it.status != StatusCode::OK)
    });
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    // Nor is an unknown key refused for good, since it may be a new one.
    let unknown = site
        .call(0, Method::POST, "/order/1", "new", "key-2")
        .unwrap();
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_down(false);
    site.wait("service again", |it| {
        (post(it, 0, "/order/1", "after").status == StatusCode::OK).then_some(())
    });
}

#[test]
fn configurations_come_through_forgotten_history_and_garbage() {
    let mut site = TestSite::start("platform-config", 39, &[]);
    site.store.put_malformed("servers", "x-1");
    site.store.truncate_history();
    let route = json!({
        "name": "new", "host": "shop.example", "prefix": "/new/", "kind": "idempotent", "timeoutMs": 1000,
        "sloMs": 300, "service": "orders", "maxAttempts": 1, "public": true,
    });
    site.configure(&json!([route]));
    for entry in 0..2 {
        site.wait("the new route", |it| {
            let answer = it.call(entry, Method::GET, "/new/1", "new", "none")?;
            (answer.status == StatusCode::OK).then_some(())
        });
    }
    // A drained replica gets nothing more.
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    site.wait("no work for the leaving replica", |it| {
        let before = it.orders[0].runs().len();
        for index in 0..6 {
            post(
                it,
                index % 2,
                "/order/1",
                &format!("drain-{index}-{before}"),
            );
        }
        (it.orders[0].runs().len() == before).then_some(())
    });
}

/// Finds the cause of a failed request of each kind from logs alone.
#[test]
fn explain_tells_why_requests_failed() {
    let site = TestSite::start("platform-explain", 41, &[1]);
    served_stream(&site, "warm");
    let all = |faults| {
        for replica in site.models.iter().chain(&site.orders) {
            replica.set_faults(faults);
        }
    };
    all(ReplicaFaults {
        full: true,
        ..ReplicaFaults::default()
    });
    assert_eq!(
        post(&site, 0, "/draft/1", "why-full").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    all(ReplicaFaults {
        drop_responses: true,
        ..ReplicaFaults::default()
    });
    assert_eq!(
        post(&site, 0, "/order/1", "why-lost").status,
        StatusCode::BAD_GATEWAY
    );
    all(ReplicaFaults {
        truncate_next_after: Some(4),
        ..ReplicaFaults::default()
    });
    assert!(!post(&site, 0, "/draft/1", "why-cut").whole);

    let check = |id: &str, expected: &[&str]| {
        let story = site.wait("the story", |it| {
            let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
                .args(["explain", "--request", id])
                .args([it.log_file("edge-0"), it.log_file("edge-1")])
                .output()
                .unwrap();
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            expected.iter().all(|it| text.contains(it)).then_some(text)
        });
        assert!(story.lines().all(|it| it.contains("edge-0")), "{story}");
    };
    check(
        "why-full",
        &[
            "send failed",
            "outcome=refused",
            "reason=refused_by_replicas",
            "status=503",
        ],
    );
    check(
        "why-lost",
        &[
            "send failed",
            "outcome=unsigned_answer",
            "reason=unknown_outcome",
            "status=502",
        ],
    );
    check(
        "why-cut",
        &[
            "stream broke off",
            "last_event=4",
            "stream ended",
            "outcome=cut",
        ],
    );
}

/// Floods an entry whose standard output nobody reads: every request is answered, and every line is written or counted.
#[test]
fn a_reader_of_logs_that_stalls_holds_no_request_up() {
    const CALLERS: usize = 4;
    const CALLS: usize = 400;
    let mut site = TestSite::start("platform-flood", 51, &[]);
    site.entries[1].kill();
    let mut entry = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
        .arg("entry")
        .env("FULMARLINE_BOOT", site.settings_file("edge-1"))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    site.wait("the entry", |it| {
        (it.ready(1) == Some(StatusCode::OK)).then_some(())
    });
    let unknown_key = |id: &str| {
        let answer = site
            .call(1, Method::GET, "/lookup/1", id, "no-key")
            .expect("an answer");
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    };
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                for call in 0..CALLS {
                    unknown_key(&format!("flood-{caller}-{call}"));
                }
            });
        }
    });
    // The next window of the budget tells of the last one.
    std::thread::sleep(Duration::from_millis(1100));
    unknown_key("flood-last");

    let mut written = 0;
    let mut suppressed = 0;
    for line in BufReader::new(entry.stdout.take().unwrap()).lines() {
        let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        match line["msg"].as_str().unwrap() {
            "request ended" => written += 1,
            "lines suppressed" => suppressed += line["failed"].as_u64().unwrap(),
            _ => {}
        }
        if line["request"] == "flood-last" {
            break;
        }
    }
    entry.kill().unwrap();
    entry.wait().unwrap();
    assert_eq!(written + suppressed, (CALLERS * CALLS + 1) as u64);
}
