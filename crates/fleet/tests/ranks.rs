//! Room of a service by the rank of requests.

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{CallKind, RankTable, Route, RouteTarget};

/// A route: service, rank, objective in milliseconds.
type Row = (&'static str, u32, u64);

fn route((service, rank, objective_ms): &Row) -> Route {
    Route {
        name: format!("{service}-{rank}"),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: CallKind::Stream,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(*objective_ms),
        rank: *rank,
        max_pause: Duration::from_millis(400),
        targets: vec![RouteTarget {
            service: (*service).to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        resumable: true,
        home_regions: Vec::new(),
    }
}

/// Checks up to which predicted time the requests of each route are admitted, in the order of the routes.
fn check(routes: &[Row], expected: &Expect) {
    let routes_of_table: Vec<Route> = routes.iter().map(route).collect();
    let table = RankTable::new(routes_of_table.iter());
    let limits = routes.iter().map(|(service, rank, objective_ms)| {
        let objective = Duration::from_millis(*objective_ms);
        let limit = table.max_first_event(service, *rank, objective);
        format!("{} ms", limit.as_millis())
    });
    let limits: Vec<String> = limits.collect();
    expected.assert_eq(&limits.join(", "));
}

/// Guards against a burst of requests with a long objective that fills the queues of a service: those with a short one, which lose
/// most when they are late, were refused meanwhile.
#[test]
fn less_urgent_requests_leave_room_for_more_urgent_ones() {
    check(
        &[("pool", 0, 400), ("pool", 1, 400), ("pool", 2, 800)],
        &expect!["380 ms, 304 ms, 243 ms"],
    );
    // The rank decides, not the objective.
    check(
        &[("pool", 0, 800), ("pool", 1, 400)],
        &expect!["760 ms, 380 ms"],
    );
}

/// Guards against a change for services whose requests are all of one rank.
#[test]
fn requests_of_one_rank_use_all_of_their_objective() {
    check(
        &[("pool", 1, 500), ("pool", 1, 400), ("orders", 2, 300)],
        &expect!["475 ms, 380 ms, 285 ms"],
    );
    let table = RankTable::new([route(&("pool", 1, 400))].iter());
    assert!(!table.has_ranks("pool"));
    assert!(!table.has_ranks("unknown"));
}
