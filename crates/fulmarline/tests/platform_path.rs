//! End-to-end tests on the users' platform, with real processes and stand-ins that implement its published protocol.

#[path = "support/site.rs"]
mod site;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{SiteResponse, TestSite, WEIGHTS};
use standin::ReplicaFaults;

/// Checks that a stream is complete: it consists of every event of its request, once and in order.
fn check_complete_stream(response: &SiteResponse, id: &str) {
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(response.complete, "{response:?}");
    let expected: String = (1..=12)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect();
    assert_eq!(response.body, expected);
    assert!(response.headers.contains_key("route-stamp"));
}

fn send_post(site: &TestSite, entry: usize, path: &str, id: &str) -> SiteResponse {
    site.call(entry, Method::POST, path, id, "key-1")
        .expect("a response")
}

/// Requests a stream until an entry serves it.
fn wait_for_served_stream(site: &TestSite, id: &str) -> SiteResponse {
    site.wait("a served stream", |it| {
        let response = it.call(0, Method::POST, "/draft/1", id, "key-1")?;
        (response.status == StatusCode::OK).then_some(response)
    })
}

#[test]
fn requests_of_every_kind_are_served() {
    let site = TestSite::start("platform-kinds", 1, &[1, 1]);
    check_complete_stream(&wait_for_served_stream(&site, "s-1"), "s-1");

    let order = send_post(&site, 1, "/order/7", "o-1");
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
        send_post(&site, 0, "/nothing/", "n-1").status,
        StatusCode::NOT_FOUND
    );
    for replica in site.models.iter().chain(&site.orders) {
        assert_eq!(replica.forbidden_headers(), Vec::<String>::new());
        assert!(!replica.runs().contains_key("l-2"));
    }

    let addresses = site.wait("both entries in the directory", |it| {
        Some(it.directory(0, "a")).filter(|it| it.len() == 2)
    });
    assert_eq!(addresses.len(), 2);
    let metrics = site.metrics(0);
    assert!(
        metrics.contains("fulmarline_requests_total{kind=\"stream\""),
        "{metrics}"
    );
}

#[test]
fn an_interrupted_stream_resumes_at_another_replica() {
    let site = TestSite::start("platform-resume", 3, &[1, 1]);
    wait_for_served_stream(&site, "warm");
    for (index, replica) in site.models.iter().enumerate() {
        let truncate_next_after = Some(3 + index as u64);
        replica.set_faults(ReplicaFaults {
            truncate_next_after,
            ..ReplicaFaults::default()
        });
        let id = format!("cut-{index}");
        // Only `replica` interrupts its stream. The entry may choose either replica first.
        for other in site
            .models
            .iter()
            .filter(|it| it.address() != replica.address())
        {
            other.set_faults(ReplicaFaults::default());
        }
        check_complete_stream(&send_post(&site, index, "/draft/1", &id), &id);
    }
}

#[test]
fn an_order_whose_response_is_lost_is_not_repeated() {
    let site = TestSite::start("platform-lost", 5, &[]);
    let faults = ReplicaFaults {
        drop_responses: true,
        ..ReplicaFaults::default()
    };
    for replica in &site.orders {
        replica.set_faults(faults);
    }
    let response = send_post(&site, 0, "/order/1", "lost-1");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(!response.headers.contains_key("route-stamp"));
    let runs: u64 = site
        .orders
        .iter()
        .filter_map(|it| it.runs().get("lost-1").copied())
        .sum();
    assert_eq!(runs, 1);
    // A lookup may be retried once, at another replica.
    let response = site
        .call(1, Method::GET, "/lookup/1", "lost-2", "key-1")
        .unwrap();
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    let runs: u64 = site
        .orders
        .iter()
        .filter_map(|it| it.runs().get("lost-2").copied())
        .sum();
    assert_eq!(runs, 2);
}

#[test]
fn declared_weights_reach_all_replicas_complete() {
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
    site.republish_rows();
    assert!(site.models.iter().all(|it| it.mixed_loads() == 0));
    let copies = site.origin.pieces_sent() as f64 / WEIGHTS.pieces as f64;
    // One copy, half a copy for corrupted pieces, and one copy for each region where the agent that copies a piece to
    // the region gave up waiting for an agent of another region and used the origin instead.
    assert!(copies < 3.0, "the origin sent {copies} copies");
    check_complete_stream(&wait_for_served_stream(&site, "v2"), "v2");

    site.origin.set_corrupt_pieces(false);
    site.add_model_replica(20, 0);
    site.wait("version 2 on the added replica", |it| {
        (it.models[3].version() == 2).then_some(())
    });
    assert_eq!(site.models[3].mixed_loads(), 0);
}

/// Guards against loading corrupted weights: pieces are corrupted where they are staged, before an added replica
/// receives them. Its load must not use them.
#[test]
fn corrupted_staged_pieces_are_fetched_again_before_a_load() {
    let mut site = TestSite::start("platform-rot", 21, &[1]);
    wait_for_served_stream(&site, "warm");
    for index in 0..WEIGHTS.pieces {
        site.models[0].corrupt_staged_piece(index);
    }
    site.add_model_replica(33, 0);
    site.wait("version 1 on the added replica", |it| {
        (it.models[1].version() == 1).then_some(())
    });
    assert_eq!(site.models[1].mixed_loads(), 0);
}

#[test]
fn a_planned_stop_interrupts_no_stream() {
    let mut site = TestSite::start("platform-stop", 35, &[1]);
    wait_for_served_stream(&site, "warm");
    std::thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|index| {
                let site = &site;
                scope.spawn(move || {
                    let id = format!("during-{index}");
                    (send_post(site, 0, "/draft/1", &id), id)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(60));
        site.entries[0].terminate();
        for stream in streams {
            let (response, id) = stream.join().unwrap();
            check_complete_stream(&response, &id);
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
            .wait(site::WAIT_TIMEOUT)
            .is_some_and(|it| it.success())
    );
    site.start_entry(0);
    site.wait("a restarted entry", |it| {
        (it.ready(0) == Some(StatusCode::OK)).then_some(())
    });
}

#[test]
fn keys_are_refused_during_a_long_store_outage() {
    let site = TestSite::start("platform-outage", 37, &[]);
    assert_eq!(
        send_post(&site, 0, "/order/1", "before").status,
        StatusCode::OK
    );
    site.store.set_down(true);
    let response = site.wait("a refusal", |it| {
        Some(send_post(it, 0, "/order/1", "during")).filter(|it| it.status != StatusCode::OK)
    });
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    // An unknown key is not refused permanently either, since it may have been added during the outage.
    let unknown = site
        .call(0, Method::POST, "/order/1", "new", "key-2")
        .unwrap();
    assert_eq!(unknown.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_down(false);
    site.wait("service after the outage", |it| {
        (send_post(it, 0, "/order/1", "after").status == StatusCode::OK).then_some(())
    });
}

#[test]
fn configuration_is_received_despite_lost_history_and_invalid_rows() {
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
            let response = it
                .caller()
                .call_without_key(entry, Method::GET, "/new/1", "new")?;
            (response.status == StatusCode::OK).then_some(())
        });
    }
    // A draining replica receives no new requests.
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    site.wait("no requests to the draining replica", |it| {
        let before = it.orders[0].runs().len();
        for index in 0..6 {
            send_post(
                it,
                index % 2,
                "/order/1",
                &format!("drain-{index}-{before}"),
            );
        }
        (it.orders[0].runs().len() == before).then_some(())
    });
}

/// Checks that `explain` shows the cause of a failed request of each kind from the logs alone.
#[test]
fn explain_tells_why_requests_failed() {
    let site = TestSite::start("platform-explain", 41, &[1]);
    wait_for_served_stream(&site, "warm");
    let set_all_faults = |faults| {
        for replica in site.models.iter().chain(&site.orders) {
            replica.set_faults(faults);
        }
    };
    set_all_faults(ReplicaFaults {
        full: true,
        ..ReplicaFaults::default()
    });
    assert_eq!(
        send_post(&site, 0, "/draft/1", "why-full").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    set_all_faults(ReplicaFaults {
        drop_responses: true,
        ..ReplicaFaults::default()
    });
    assert_eq!(
        send_post(&site, 0, "/order/1", "why-lost").status,
        StatusCode::BAD_GATEWAY
    );
    set_all_faults(ReplicaFaults {
        truncate_next_after: Some(4),
        ..ReplicaFaults::default()
    });
    assert!(!send_post(&site, 0, "/draft/1", "why-cut").complete);

    let check = |id: &str, expected: &[&str]| {
        let explanation = site.wait("the log entries", |it| {
            let output = Command::new(env!("CARGO_BIN_EXE_fulmarline"))
                .args(["explain", "--request", id])
                .args([it.log_file("edge-0"), it.log_file("edge-1")])
                .output()
                .unwrap();
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            expected.iter().all(|it| text.contains(it)).then_some(text)
        });
        assert!(
            explanation.lines().all(|it| it.contains("edge-0")),
            "{explanation}"
        );
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
            "framing=chunked",
            "last_event=4",
            "partial_bytes=11",
            "stream ended",
            "outcome=cut",
        ],
    );
}

/// Sends many requests to an entry whose standard output is not read. Every request must get a response, and every log
/// line must be written or counted as suppressed.
#[test]
fn a_stalled_log_reader_blocks_no_request() {
    const CALLER_COUNT: usize = 4;
    const CALLS_PER_CALLER: usize = 400;
    let mut site = TestSite::start("platform-flood", 55, &[]);
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
        let response = site
            .call(1, Method::GET, "/lookup/1", id, "no-key")
            .expect("a response");
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
    };
    std::thread::scope(|scope| {
        for caller in 0..CALLER_COUNT {
            scope.spawn(move || {
                for call in 0..CALLS_PER_CALLER {
                    unknown_key(&format!("flood-{caller}-{call}"));
                }
            });
        }
    });
    // The log rate limit reports the suppressed lines of a window at the start of the next one.
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
    assert_eq!(
        written + suppressed,
        (CALLER_COUNT * CALLS_PER_CALLER + 1) as u64
    );
}
