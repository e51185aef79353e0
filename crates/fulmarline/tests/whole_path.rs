//! End-to-end tests with real processes, from a rollout to the responses.

mod support;

use std::time::Duration;

use standin::DeterministicResponse;

#[test]
fn rollout_reaches_every_engine_and_responses_are_complete() {
    let fleet = support::start_serving_fleet("whole-path", support::single_zone_plan);
    let response = support::send_completion(&fleet, 0, "which coupler fits N gauge", 5);

    let version = fleet.manifests["v1"].version();
    let expected_response = DeterministicResponse::new(version, "which coupler fits N gauge");
    let expected: String = (0..5).map(|it| expected_response.token(it)).collect();
    assert_eq!(response.result, "0 ok");
    assert_eq!(response.body["choices"][0]["text"], expected);
    assert_eq!(response.body["version"], version.to_string());
    assert!(fleet.origin.served_copies("demo", "v1") >= 1.0);
}

#[test]
fn order_runs_once_for_any_number_of_repeats() {
    let fleet = support::start_serving_fleet("order-once", support::single_zone_plan);
    let first = support::send_order(&fleet, 0, "reserve", "key-1");
    let repeat = support::send_order(&fleet, 0, "reserve", "key-1");

    assert_eq!((first.status, first.result.as_str()), (200, "0 ok"));
    assert_eq!((repeat.status, repeat.result.as_str()), (200, "1 replayed"));
    assert_eq!(first.body, repeat.body);
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn order_whose_claim_reply_was_lost_runs_once() {
    let fleet = support::start_serving_fleet("claim-lost", support::single_zone_plan);
    fleet.table.set_faults(standin::TableFaults {
        lose_next: 1,
        ..standin::TableFaults::default()
    });
    let first = support::send_order(&fleet, 0, "reserve", "key-1");
    let repeat = support::send_order(&fleet, 0, "reserve", "key-1");

    // The entry reads the claim back after the lost reply, so the order runs and both responses contain its outcome.
    assert_eq!(first.result, "0 ok");
    assert_eq!(repeat.result, "1 replayed");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
    assert_eq!(fleet.table.counters().lost, 1);
}

#[test]
fn order_whose_response_was_lost_is_unknown_and_never_runs_again() {
    let fleet = support::start_serving_fleet("answer-lost", support::single_zone_plan);
    fleet.services["orders-1"].set_faults(standin::ServiceFaults {
        lose_next: 1,
        ..standin::ServiceFaults::default()
    });
    let first = support::send_order(&fleet, 0, "reserve", "key-1");
    // The caller receives the response before the outcome is recorded. Until then, a repeat gets `order-in-progress`.
    let repeat = support::repeat_until_settled(&fleet, 0, "reserve", "key-1");

    assert_eq!(first.result, "301 order-unknown");
    assert_eq!(repeat.result, "301 order-unknown");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn order_is_refused_as_not_run_while_the_table_is_down() {
    let fleet = support::start_serving_fleet("table-down", support::single_zone_plan);
    fleet.table.set_faults(standin::TableFaults {
        outage: true,
        ..standin::TableFaults::default()
    });
    let refused = support::send_order(&fleet, 0, "reserve", "key-1");
    assert_eq!(refused.result, "207 table-unavailable");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 0);

    // Model requests need only the configuration that the entry already has.
    let response = support::send_completion(&fleet, 0, "during the outage", 2);
    assert_eq!(response.result, "0 ok");
}

/// Guards against an interrupted stream that looks complete to the caller. The plan
/// has no second engine that could resume it.
#[test]
fn stream_of_a_killed_agent_ends_with_an_error_event() {
    let mut fleet = support::start_serving_fleet("killed-agent", |dir| {
        let mut plan = support::single_zone_plan(dir);
        plan.agents.retain(|it| it.name != "model-2");
        plan
    });
    let stream = support::open_stream(&fleet, 0, "a long guide", 200);
    fleet
        .wait_for("a running stream", Duration::from_secs(10), |fleet| {
            (fleet.engines["model-1"].tokens() > 3).then_some(())
        })
        .unwrap();
    fleet.process("model-1").kill();

    let text = stream.join().unwrap();
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(text.contains("event: error"), "{text}");
}

#[test]
fn drain_interrupts_no_stream_and_stops_new_requests() {
    let fleet = support::start_serving_fleet("drain", support::single_zone_plan);
    let streams: Vec<_> = (0..8)
        .map(|it| support::open_stream(&fleet, 0, &format!("guide {it}"), 150))
        .collect();
    fleet
        .wait_for("tokens of both engines", Duration::from_secs(10), |fleet| {
            fleet
                .engines
                .values()
                .all(|it| it.tokens() > 3)
                .then_some(())
        })
        .unwrap();
    let response = fleet
        .command_until_accepted(
            "entry-1",
            "drain model-1",
            "drain-1",
            Duration::from_secs(10),
        )
        .unwrap();
    assert_eq!(response.code, 0);
    let accepted = std::time::Instant::now();
    for stream in streams {
        let text = stream.join().unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    let routing_deadline = accepted + Duration::from_secs(3);
    std::thread::sleep(routing_deadline.saturating_duration_since(std::time::Instant::now()));
    for idx in 0..10 {
        let response = support::send_completion(&fleet, 0, &format!("after {idx}"), 1);
        assert_eq!(response.result, "0 ok");
    }
    assert_eq!(fleet.engines["model-1"].arrived_after(routing_deadline), 0);
}

#[test]
fn planned_stop_of_an_entry_interrupts_no_stream() {
    let mut fleet = support::start_serving_fleet("stop-entry", |dir| support::plan(dir, 2));
    let streams: Vec<_> = (0..4)
        .map(|it| support::open_stream(&fleet, 1, &format!("guide {it}"), 100))
        .collect();
    fleet
        .wait_for("running streams", Duration::from_secs(10), |fleet| {
            let tokens: u64 = fleet.engines.values().map(|it| it.tokens()).sum();
            (tokens > 20).then_some(())
        })
        .unwrap();
    fleet.process("entry-2").terminate();
    for stream in streams {
        let text = stream.join().unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    let status = fleet.process("entry-2").wait(Duration::from_secs(60));
    assert_eq!(status.and_then(|it| it.code()), Some(0));
}

#[test]
fn order_of_a_killed_entry_runs_once_whichever_entry_gets_the_repeat() {
    let mut fleet = support::start_serving_fleet("kill-entry", |dir| support::plan(dir, 2));
    fleet.services["orders-1"].set_faults(standin::ServiceFaults {
        delay_ms: 1500,
        ..standin::ServiceFaults::default()
    });
    let interrupted_order = support::start_order(&fleet, 1, "reserve", "key-1");
    fleet
        .wait_for("the run", Duration::from_secs(10), |fleet| {
            (fleet.services["orders-1"].run_count("key-1").started == 1).then_some(())
        })
        .unwrap();
    fleet.process("entry-2").kill();
    interrupted_order.join().unwrap();

    let repeat = support::repeat_until_settled(&fleet, 0, "reserve", "key-1");
    assert_eq!(repeat.result, "301 order-unknown");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn order_to_a_suspended_agent_runs_once() {
    let mut fleet = support::start_serving_fleet("frozen-agent", support::single_zone_plan);
    fleet.process("orders-1").suspend();
    let order = support::start_order(&fleet, 0, "reserve", "key-1");
    std::thread::sleep(Duration::from_millis(500));
    fleet.process("orders-1").resume();
    order.join().unwrap();

    let repeat = support::repeat_until_settled(&fleet, 0, "reserve", "key-1");
    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}
