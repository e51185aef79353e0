//! Services on the own interface that name the requests a second that they take.

mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use standin::{FleetPlan, ServiceFaults};

/// Time for which orders are sent.
const TEST_TIME: Duration = Duration::from_secs(6);

/// Plans a fleet with two zones, each with one entry.
fn two_zone_plan(dir: &Path) -> FleetPlan {
    support::plan(dir, 2)
}

// Guards against entries that together send a service more than the limit that it names (class of the incident LIMIT).
#[test]
fn a_service_gets_no_more_than_the_limit_that_it_names() {
    let fleet = support::start_serving_fleet("named-limits", two_zone_plan);
    let faults = ServiceFaults {
        named_limit: Some("1".to_owned()),
        ..ServiceFaults::default()
    };
    for service in fleet.services.values() {
        service.set_faults(faults.clone());
    }
    // The first responses name the limit.
    for (index, entry) in [0, 1, 0, 1, 0, 1].into_iter().enumerate() {
        support::send_order(&fleet, entry, "reserve", &format!("first-{index}"));
    }
    let started = || -> usize {
        let services = fleet.services.values();
        services.map(|it| it.runs_by_key().started()).sum()
    };
    let (before, from) = (started(), Instant::now());
    let mut results = Vec::new();
    while from.elapsed() < TEST_TIME {
        let index = results.len();
        let key = format!("order-{index}");
        results.push(support::send_order(&fleet, index % 2, "reserve", &key));
    }
    let ran = (started() - before) as f64;
    let services = fleet.services.len() as f64;
    // One request at each service may be ahead of the schedule, and three more within any 4 s are the target.
    let allowed = services * (from.elapsed().as_secs_f64() + 3.0);
    assert!(ran <= allowed, "{ran} runs, {allowed} allowed");
    assert!(ran >= services * 4.0, "only {ran} runs");
    let served = results.iter().filter(|it| it.status == 200).count();
    assert_eq!(served as f64, ran, "refused orders have run");
}
