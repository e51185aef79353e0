//! The whole path with real processes: from a rollout to an answer.

mod support;

use std::time::Duration;

use standin::DeterministicAnswer;

#[test]
fn rollout_reaches_every_engine_and_answers_are_whole() {
    let fleet = support::served_fleet("whole-path", support::small_plan);
    let answer = support::complete(&fleet, 0, "which coupler fits N gauge", 5);

    let version = fleet.manifests["v1"].version();
    let script = DeterministicAnswer::new(version, "which coupler fits N gauge");
    let expected: String = (0..5).map(|it| script.token(it)).collect();
    assert_eq!(answer.result, "0 ok");
    assert_eq!(answer.body["choices"][0]["text"], expected);
    assert_eq!(answer.body["version"], version.to_string());
    assert!(fleet.origin.served_copies("demo", "v1") >= 1.0);
}

#[test]
fn order_runs_once_for_any_number_of_repeats() {
    let fleet = support::served_fleet("order-once", support::small_plan);
    let first = support::order(&fleet, 0, "reserve", "key-1");
    let repeat = support::order(&fleet, 0, "reserve", "key-1");

    assert_eq!((first.status, first.result.as_str()), (200, "0 ok"));
    assert_eq!((repeat.status, repeat.result.as_str()), (200, "1 replayed"));
    assert_eq!(first.body, repeat.body);
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn order_whose_claim_was_answered_with_silence_runs_once() {
    let fleet = support::served_fleet("claim-lost", support::small_plan);
    fleet.table.set_faults(standin::TableFaults {
        lose_next: 1,
        ..standin::TableFaults::default()
    });
    let first = support::order(&fleet, 0, "reserve", "key-1");
    let repeat = support::order(&fleet, 0, "reserve", "key-1");

    // The claim is settled by reading it back, so the order runs and both answers are its outcome.
    assert_eq!(first.result, "0 ok");
    assert_eq!(repeat.result, "1 replayed");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
    assert_eq!(fleet.table.counters().lost, 1);
}

#[test]
fn order_whose_answer_was_lost_is_told_as_unknown_and_never_runs_again() {
    let fleet = support::served_fleet("answer-lost", support::small_plan);
    fleet.services["orders-1"].set_faults(standin::ServiceFaults {
        lose_next: 1,
        ..standin::ServiceFaults::default()
    });
    let first = support::order(&fleet, 0, "reserve", "key-1");
    // The caller is answered before the outcome is recorded; until then a repeat is told to come back.
    let repeat = support::order_until_settled(&fleet, 0, "reserve", "key-1");

    assert_eq!(first.result, "301 order-unknown");
    assert_eq!(repeat.result, "301 order-unknown");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn order_is_refused_as_not_run_while_the_table_is_down() {
    let fleet = support::served_fleet("table-down", support::small_plan);
    fleet.table.set_faults(standin::TableFaults {
        outage: true,
        ..standin::TableFaults::default()
    });
    let refused = support::order(&fleet, 0, "reserve", "key-1");
    assert_eq!(refused.result, "207 table-unavailable");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 0);

    // Models are served from the configuration that the entry holds.
    let answer = support::complete(&fleet, 0, "during the outage", 2);
    assert_eq!(answer.result, "0 ok");
}

#[test]
fn agent_killed_in_mid_stream_leaves_no_answer_that_looks_whole() {
    let mut fleet = support::served_fleet("killed-agent", |dir| {
        let mut plan = support::small_plan(dir);
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
fn drain_cuts_nothing_and_ends_new_work() {
    let fleet = support::served_fleet("drain", support::small_plan);
    let streams: Vec<_> = (0..8)
        .map(|it| support::open_stream(&fleet, 0, &format!("guide {it}"), 150))
        .collect();
    fleet
        .wait_for("work on both engines", Duration::from_secs(10), |fleet| {
            fleet
                .engines
                .values()
                .all(|it| it.tokens() > 3)
                .then_some(())
        })
        .unwrap();
    let reply = fleet
        .command_until_accepted(
            "entry-1",
            "drain model-1",
            "drain-1",
            Duration::from_secs(10),
        )
        .unwrap();
    assert_eq!(reply.code, 0);
    let accepted = std::time::Instant::now();
    for stream in streams {
        let text = stream.join().unwrap();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    let limit = accepted + Duration::from_secs(3);
    std::thread::sleep(limit.saturating_duration_since(std::time::Instant::now()));
    for idx in 0..10 {
        let answer = support::complete(&fleet, 0, &format!("after {idx}"), 1);
        assert_eq!(answer.result, "0 ok");
    }
    assert_eq!(fleet.engines["model-1"].arrived_after(limit), 0);
}

#[test]
fn planned_stop_of_an_entry_cuts_no_stream() {
    let mut fleet = support::served_fleet("stop-entry", |dir| support::plan(dir, 2));
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
    let mut fleet = support::served_fleet("kill-entry", |dir| support::plan(dir, 2));
    fleet.services["orders-1"].set_faults(standin::ServiceFaults {
        delay_ms: 1500,
        ..standin::ServiceFaults::default()
    });
    let lost = support::start_order(&fleet, 1, "reserve", "key-1");
    fleet
        .wait_for("the run", Duration::from_secs(10), |fleet| {
            (fleet.services["orders-1"].run_count("key-1").started == 1).then_some(())
        })
        .unwrap();
    fleet.process("entry-2").kill();
    lost.join().unwrap();

    let repeat = support::order_until_settled(&fleet, 0, "reserve", "key-1");
    assert_eq!(repeat.result, "301 order-unknown");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}

#[test]
fn frozen_agent_delays_an_order_but_never_doubles_it() {
    let mut fleet = support::served_fleet("frozen-agent", support::small_plan);
    fleet.process("orders-1").suspend();
    let order = support::start_order(&fleet, 0, "reserve", "key-1");
    std::thread::sleep(Duration::from_millis(500));
    fleet.process("orders-1").resume();
    order.join().unwrap();

    let repeat = support::order_until_settled(&fleet, 0, "reserve", "key-1");
    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(fleet.services["orders-1"].run_count("key-1").started, 1);
}
