//! The store returns from a copy that is some seconds old: what was acknowledged since is lost, and its versions are given
//! out again. The operator and the replicas write their rows again.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{TestSite, ZONE_ENTRIES, route};

/// Number of rows that are written between the copy and the return, so that the versions of the new life are below those
/// of the old one for some time.
const LOST_WRITES: usize = 60;

/// Time in which what is written after the return must be in force at all entries.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Writes rows that no process needs, so that the version of the store rises.
fn raise_version(site: &TestSite, count: usize) {
    for number in 0..count {
        site.store.put("other", "row", &json!(number));
    }
}

/// Returns the number of lines with `text` in the log of `entry`.
fn lines(site: &TestSite, entry: usize, text: &str) -> usize {
    site.entries[entry].log_text().matches(text).count()
}

/// Guards against CONFIG and DRAIN after the store returned from an older copy: entries compared versions of two lives, so
/// followers were told nothing of what was written after the return until the count had passed the old one.
#[test]
fn rows_written_after_a_return_reach_readers_and_followers() {
    let mut site = TestSite::start_large_zone("returns-rows", 100);
    let copy = site.store.copy();
    raise_version(&site, LOST_WRITES);
    site.configure(&route("lost"));
    site.wait_for_route(&ZONE_ENTRIES, "lost");

    for name in ["second", "third"] {
        site.store.return_from(&copy);
        let returned = Instant::now();
        site.configure(&route(name));
        let row = site.orders[0].row("orders", "a", "draining");
        site.store.put("servers", "o-0", &row);
        site.wait_for_route(&ZONE_ENTRIES, name);
        for entry in ZONE_ENTRIES {
            site.wait("the draining replica in the log", |it| {
                (lines(it, entry, "replica draining") > 0).then_some(())
            });
        }
        assert!(
            returned.elapsed() < CATCH_UP,
            "{name} in force after {:?}",
            returned.elapsed()
        );
    }
}

/// Guards against changes that stay missing after the store returned from an older copy: an entry continued from its old
/// version once the count had passed it, and never read what was written before.
#[test]
fn rows_written_before_the_count_passes_the_old_one_are_not_missed() {
    let mut site = TestSite::start_large_zone("returns-passed", 120);
    let copy = site.store.copy();
    raise_version(&site, LOST_WRITES);
    site.configure(&route("lost"));
    site.wait_for_route(&ZONE_ENTRIES, "lost");

    // No process reads the store between the return and the time at which the count has passed the old one.
    site.store.set_down(true);
    site.store.return_from(&copy);
    site.configure(&route("early"));
    raise_version(&site, LOST_WRITES + 20);
    site.store.set_down(false);
    let returned = Instant::now();
    site.wait_for_route(&ZONE_ENTRIES, "early");
    assert!(
        returned.elapsed() < CATCH_UP,
        "in force after {:?}",
        returned.elapsed()
    );
}

/// Guards against CONFIG after the store returned from an older copy: a version that the operator gave out again with other
/// content was taken for the one in force, and one that it had replaced came back with the next copy.
#[test]
fn a_version_that_is_given_out_again_with_other_content_is_in_force() {
    let mut site = TestSite::start_large_zone("returns-content", 180);
    let copy = site.store.copy();
    site.configure(&route("lost"));
    site.wait_for_route(&ZONE_ENTRIES, "lost");
    let copy_with_lost = site.store.copy();

    site.store.return_from(&copy);
    site.configure_again(&route("other"));
    site.wait_for_route(&ZONE_ENTRIES, "other");

    site.store.return_from(&copy_with_lost);
    let returned = Instant::now();
    while returned.elapsed() < CATCH_UP {
        for entry in ZONE_ENTRIES {
            let response = site
                .caller()
                .call_without_key(entry, Method::GET, "/other/1", "kept");
            assert_eq!(
                response.unwrap().status,
                StatusCode::OK,
                "a replaced configuration came back"
            );
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against CONFIG and DRAIN by an entry that starts after the store returned from an older copy: it knew only the copy,
/// served an older configuration than the others and sent requests to replicas that had left.
#[test]
fn an_entry_that_starts_after_a_return_learns_from_the_others() {
    let mut site = TestSite::start("returns-start", 200, &[]);
    let copy = site.store.copy();
    site.configure(&route("lost"));
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    for entry in 0..2 {
        site.wait_for_route(&[entry], "lost");
        site.wait("the draining replica in the log", |it| {
            (lines(it, entry, "replica draining") > 0).then_some(())
        });
    }
    let runs_before = site.orders[0].runs().len();
    site.store.return_from(&copy);
    site.add_entry(202, "a");
    site.wait("a ready entry", |it| {
        (it.ready(2) == Some(StatusCode::OK)).then_some(())
    });
    let ready = Instant::now();
    site.wait_for_route(&[2], "lost");
    assert!(ready.elapsed() < CATCH_UP, "{:?}", ready.elapsed());
    for number in 0..40 {
        let id = format!("started-{number}");
        let response = site.call(2, Method::POST, "/order/1", &id, "key-1");
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }
    assert_eq!(
        site.orders[0].runs().len(),
        runs_before,
        "a departure was undone"
    );
}

/// Guards against rows of the system that stay lost after the store returned from an older copy: entries that start later
/// did not find the others, and took a version of weights that was declared a moment ago for an old one.
#[test]
fn the_system_writes_its_own_rows_again() {
    let site = TestSite::start("returns-own-rows", 160, &[1]);
    let copy = standin::StoreCopy::default();
    site.declare(2);
    let tables = ["entries", "declarations"];
    let keys = |it: &TestSite| tables.map(|table| it.store.keys(table));
    let rows_before = site.wait("the rows of the system", |it| {
        let keys = keys(it);
        (keys[0].len() == 2 && keys[1].len() == 1).then_some(keys)
    });
    for _ in 0..2 {
        site.store.return_from(&copy);
        let returned = Instant::now();
        site.wait("the rows of the system again", |it| {
            (keys(it) == rows_before).then_some(())
        });
        assert!(returned.elapsed() < CATCH_UP, "{:?}", returned.elapsed());
    }
}

/// Guards against DRAIN after the store returned from an older copy: it lists replicas as ready that have left, and
/// entries took their departures back.
#[test]
fn a_departure_is_not_undone_by_an_older_copy() {
    let site = TestSite::start_large_zone("returns-departure", 140);
    let copy = site.store.copy();
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    for entry in ZONE_ENTRIES {
        site.wait("the draining replica in the log", |it| {
            (lines(it, entry, "replica draining") > 0).then_some(())
        });
    }
    let runs_before = site.orders[0].runs().len();
    site.store.return_from(&copy);
    let returned = Instant::now();
    let mut number = 0;
    while returned.elapsed() < CATCH_UP {
        for entry in ZONE_ENTRIES {
            number += 1;
            let id = format!("after-{number}");
            let response = site.call(entry, Method::POST, "/order/1", &id, "key-1");
            assert_eq!(response.unwrap().status, StatusCode::OK);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        site.orders[0].runs().len(),
        runs_before,
        "a departure was undone"
    );
}

/// Guards against CONFIG for keys: the copy that the store returns from holds an older configuration, with a key that was taken
/// away since.
#[test]
fn a_key_that_was_taken_away_stays_so_over_a_return() {
    let mut site = TestSite::start("returns-keys", 220, &[]);
    site.tenants[0].1.push("key-2");
    site.configure(&route("both"));
    let status = |it: &TestSite, entry: usize| {
        let response = it.call(entry, Method::POST, "/order/1", "keyed", "key-2");
        response.map(|it| it.status)
    };
    for entry in 0..2 {
        site.wait("the second key", |it| {
            (status(it, entry) == Some(StatusCode::OK)).then_some(())
        });
    }
    let copy = site.store.copy();
    raise_version(&site, LOST_WRITES);
    site.tenants[0].1.pop();
    site.configure(&route("taken"));
    for entry in 0..2 {
        site.wait("the key to be refused", |it| {
            (status(it, entry) == Some(StatusCode::UNAUTHORIZED)).then_some(())
        });
    }
    for _ in 0..2 {
        site.store.return_from(&copy);
        let returned = Instant::now();
        while returned.elapsed() < CATCH_UP / 2 {
            for entry in 0..2 {
                let status = status(&site, entry);
                assert_eq!(status, Some(StatusCode::UNAUTHORIZED), "entry {entry}");
            }
        }
    }
}

/// Guards against VERSION for agents and entries: the copy declares an older version of the weights, and the rows that are written
/// after the return have versions that were given out before.
#[test]
fn weights_do_not_go_back_over_a_return_and_later_ones_reach_agents() {
    let site = TestSite::start("returns-weights", 222, &[1, 1]);
    site.declare(1);
    let copy = site.store.copy();
    raise_version(&site, LOST_WRITES);
    site.declare(2);
    let versions = |it: &TestSite| it.models.iter().map(|it| it.version()).collect::<Vec<_>>();
    site.wait("version 2", |it| (versions(it) == [2, 2]).then_some(()));
    site.store.return_from(&copy);
    site.republish_rows();
    let returned = Instant::now();
    while returned.elapsed() < CATCH_UP {
        assert_eq!(versions(&site), [2, 2], "a version was taken back");
        let response = site.call(0, Method::POST, "/draft/1", "stream", "key-1");
        assert_eq!(response.unwrap().status, StatusCode::OK);
        std::thread::sleep(Duration::from_millis(50));
    }
    site.declare(3);
    site.wait("version 3", |it| (versions(it) == [3, 3]).then_some(()));
}
