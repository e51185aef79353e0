//! Time, balance and budgets of whole spreads over shared links, in memory.

mod fleet;

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{Fleet, Rates};
use spread::SpreadPolicy;

/// Spreads one version over links of which the origin's carries four copies and a host's two in `WINDOW`.
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
        pair: 2.0 * per_window,
    };
    while !fleet.is_done() && fleet.now < WINDOW * 10 {
        let names: Vec<_> = fleet.hosts.keys().cloned().collect();
        for name in names {
            fleet.ask(&name);
        }
        if fleet.now.as_millis().is_multiple_of(100) {
            fleet.exchange();
        }
        fleet.advance(Duration::from_millis(10), &rates);
    }
    let most_sent = fleet.hosts.values().map(|it| it.sent).max().unwrap();
    let summary = format!(
        "done {} time {:.2} windows, origin {:.2}, most sent {:.2}, crossed twice {}",
        fleet.is_done(),
        fleet.now.as_secs_f64() / WINDOW.as_secs_f64(),
        fleet.origin_copies(),
        f64::from(most_sent) / chunks as f64,
        fleet.pair_sent.values().filter(|it| **it > 1).count(),
    );
    expect.assert_eq(&summary);
}

const WINDOW: Duration = Duration::from_secs(6);

#[test]
fn spreads_near_the_bound() {
    check(
        25,
        3,
        4,
        expect!["done true time 1.16 windows, origin 1.59, most sent 1.11, crossed twice 0"],
    );
    check(
        100,
        3,
        4,
        expect!["done true time 1.22 windows, origin 1.62, most sent 1.19, crossed twice 0"],
    );
}

#[test]
fn spreads_near_the_bound_with_few_origin_bytes() {
    check(
        100,
        3,
        1,
        expect!["done true time 1.19 windows, origin 1.00, most sent 1.16, crossed twice 0"],
    );
    check(
        60,
        6,
        1,
        expect!["done true time 1.25 windows, origin 1.00, most sent 1.17, crossed twice 0"],
    );
}
