//! Prompts and orders on the own interface that crash the targets that they run on.

mod support;

use std::path::Path;
use std::time::Duration;

use standin::{EngineFaults, FleetPlan, ProcessFleet, ServiceFaults};

/// Text that crashes every engine that begins to respond to a prompt with it.
const CRASHING_TEXT: &str = "the sheet that crashes";

/// Number of engines that one prompt may crash.
const MAX_CRASHES: usize = 8;

/// Number of requests with the crashing prompt.
const REQUESTS: usize = 12;

/// Time that a crashed service takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Plans a fleet with two zones, each with one entry and two engines.
fn two_zone_plan(dir: &Path) -> FleetPlan {
    support::plan(dir, 2)
}

/// Starts the engines that have crashed again and waits until all serve; returns how many had crashed.
fn restart_engines(fleet: &ProcessFleet) -> usize {
    let crashed: Vec<_> = fleet
        .engines
        .values()
        .filter(|it| it.serving().is_none())
        .collect();
    for engine in &crashed {
        engine.restart().unwrap();
    }
    fleet
        .wait_for("v1 on every engine", WAIT_TIMEOUT, |it| {
            it.all_engines_serve("v1", &[]).then_some(())
        })
        .unwrap();
    fleet
        .wait_for("open targets", WAIT_TIMEOUT, |it| {
            it.entries_see_targets(it.plan().agents.len()).then_some(())
        })
        .unwrap();
    crashed.len()
}

// Guards against a prompt that crashes each engine being sent to further ones (class of the incident BUDGET).
#[test]
fn a_prompt_that_crashes_engines_is_refused_by_all_entries() {
    let fleet = support::start_serving_fleet("crashing-prompts", two_zone_plan);
    for engine in fleet.engines.values() {
        engine.set_faults(EngineFaults {
            crash_on: Some(CRASHING_TEXT.to_owned()),
            ..EngineFaults::default()
        });
    }
    let mut crashes = 0;
    let mut results = Vec::new();
    for index in 0..REQUESTS {
        let entry = index % 2;
        results.push(support::send_completion(&fleet, entry, CRASHING_TEXT, 8).result);
        crashes += restart_engines(&fleet);
        let sound = support::send_completion(&fleet, entry, &format!("sound {index}"), 8);
        assert_eq!(sound.status, 200, "{sound:?}");
    }
    assert!(
        crashes <= MAX_CRASHES,
        "engines crashed too often: {crashes}"
    );
    let last = &results[REQUESTS - 2..];
    assert!(last.iter().all(|it| it == "210 held-back"), "{results:?}");
}

// Guards against orders whose path crashes a service being sent to it again and again (class of the incident BUDGET).
#[test]
fn orders_that_crash_a_service_are_refused() {
    let fleet = support::start_serving_fleet("crashing-orders", support::single_zone_plan);
    let service = &fleet.services["orders-1"];
    service.set_faults(ServiceFaults {
        crash_on: Some("crashing".to_owned()),
        ..ServiceFaults::default()
    });
    let mut crashes = 0;
    let mut results = Vec::new();
    for index in 0..REQUESTS {
        let key = format!("crashing-{index}");
        results.push(support::send_order(&fleet, 0, "crashing", &key).result);
        if service.has_crashed() {
            crashes += 1;
            std::thread::sleep(RESTART_TIME);
            service.restart().unwrap();
        }
        let sound = fleet.wait_for("a sound order", WAIT_TIMEOUT, |it| {
            let key = format!("sound-{index}-{:?}", std::time::Instant::now());
            let response = support::send_order(it, 0, "reserve", &key);
            (response.status == 200).then_some(())
        });
        sound.unwrap();
    }
    assert!(
        crashes <= MAX_CRASHES,
        "services crashed too often: {crashes}"
    );
    assert_eq!(
        results.last().map(String::as_str),
        Some("210 held-back"),
        "{results:?}"
    );
}
