//! Simulates complete transfers over shared links and checks their duration, upload balance and origin traffic.

mod fleet;

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{Fleet, Rates};
use spread::SpreadPolicy;

/// Distributes one version to all hosts. In `WINDOW`, the link of the origin carries four copies and the link of a host
/// or between two regions carries two.
fn check(hosts: usize, regions: usize, origin_copies: u32, expect: Expect) {
    let chunks = 64;
    let policy = SpreadPolicy {
        origin_copies,
        ..SpreadPolicy::default()
    };
    let mut fleet = Fleet::new(hosts, regions, chunks, policy);
    let per_window = chunks as f64 / WINDOW.as_secs_f64();
    let rates = Rates {
        host: 2.0 * per_window,
        origin: 4.0 * per_window,
        region_pair: 2.0 * per_window,
    };
    while !fleet.is_complete() && fleet.now < WINDOW * 10 {
        let names: Vec<_> = fleet.hosts.keys().cloned().collect();
        for name in names {
            fleet.send_reports(&name);
        }
        if fleet.now.as_millis().is_multiple_of(100) {
            fleet.exchange_offers();
        }
        fleet.advance(Duration::from_millis(10), &rates);
    }
    let most_sent = fleet.hosts.values().map(|it| it.sent).max().unwrap();
    let summary = format!(
        "complete {} time {:.2} windows, origin copies {:.2}, most sent {:.2}, repeated transfers between regions {}",
        fleet.is_complete(),
        fleet.now.as_secs_f64() / WINDOW.as_secs_f64(),
        fleet.origin_copies(),
        f64::from(most_sent) / chunks as f64,
        fleet
            .region_pair_sent
            .values()
            .filter(|it| **it > 1)
            .count(),
    );
    expect.assert_eq(&summary);
}

const WINDOW: Duration = Duration::from_secs(6);

#[test]
fn completes_near_the_lower_bound() {
    check(
        25,
        3,
        4,
        expect![
            "complete true time 1.16 windows, origin copies 1.59, most sent 1.11, repeated transfers between regions 0"
        ],
    );
    check(
        100,
        3,
        4,
        expect![
            "complete true time 1.22 windows, origin copies 1.62, most sent 1.19, repeated transfers between regions 0"
        ],
    );
}

#[test]
fn completes_near_the_lower_bound_with_one_origin_copy() {
    check(
        100,
        3,
        1,
        expect![
            "complete true time 1.19 windows, origin copies 1.00, most sent 1.16, repeated transfers between regions 0"
        ],
    );
    check(
        60,
        6,
        1,
        expect![
            "complete true time 1.25 windows, origin copies 1.00, most sent 1.17, repeated transfers between regions 0"
        ],
    );
}
