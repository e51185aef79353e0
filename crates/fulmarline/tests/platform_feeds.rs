//! Entries of a large zone follow few readers of the store, and do without them when they are frozen or gone.

#[path = "support/site.rs"]
mod site;

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::TestSite;

/// Entries of the large zone: those that read the store come first by name.
const ZONE: [usize; 7] = [0, 2, 3, 4, 5, 6, 7];
const READERS: usize = 2;

fn large_zone(name: &str, net: u8) -> TestSite {
    let mut site = TestSite::start(name, net, &[]);
    for host in 2..8 {
        site.add_entry(net + host, "a");
    }
    for entry in ZONE {
        site.wait("ready entries", |it| {
            (it.ready(entry) == Some(StatusCode::OK)).then_some(())
        });
    }
    for entry in &ZONE[READERS..] {
        site.wait("followers", |it| {
            let followed = r#"fulmarline_relayed_reads_total{outcome="ok",table="op"}"#;
            it.metrics(*entry).contains(followed).then_some(())
        });
    }
    site
}

fn route(name: &str) -> Value {
    json!([{
        "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": "idempotent", "timeoutMs": 1000,
        "sloMs": 300, "service": "orders", "maxAttempts": 1, "public": true,
    }])
}

fn check_in_force(site: &TestSite, entries: &[usize], name: &str) {
    for entry in entries {
        site.wait("the new route", |it| {
            let path = format!("/{name}/1");
            let answer = it.call(*entry, Method::GET, &path, "new", "none")?;
            (answer.status == StatusCode::OK).then_some(())
        });
    }
}

#[test]
fn configurations_reach_all_entries_of_a_large_zone() {
    let mut site = large_zone("feeds-zone", 100);
    site.configure(&route("first"));
    check_in_force(&site, &ZONE, "first");

    // Frozen readers keep their connections open and say nothing.
    for entry in &ZONE[..READERS] {
        site.entries[*entry].suspend();
    }
    site.configure(&route("second"));
    check_in_force(&site, &ZONE[READERS..], "second");
    for entry in &ZONE[..READERS] {
        site.entries[*entry].resume();
    }
    check_in_force(&site, &ZONE, "second");

    // The next entries by name read when the first ones are gone.
    for entry in &ZONE[..READERS] {
        site.entries[*entry].kill();
    }
    site.configure(&route("third"));
    check_in_force(&site, &ZONE[READERS..], "third");
}

#[test]
fn a_draining_replica_gets_nothing_from_followers() {
    let site = large_zone("feeds-drain", 120);
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    for entry in ZONE {
        site.wait("the drained replica to be known", |it| {
            let log = it.entries[entry].log_text();
            log.contains("replica draining").then_some(())
        });
    }
    let before = site.orders[0].runs().len();
    for entry in ZONE {
        let answer = site.call(entry, Method::POST, "/order/1", "drained", "key-1");
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }
    assert_eq!(site.orders[0].runs().len(), before);
}
