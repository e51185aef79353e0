//! In a large zone, only a few entries read the store, and the others follow these readers. The followers must keep
//! receiving updates when the readers are suspended or killed.

#[path = "support/site.rs"]
mod site;

use httpio::{Method, StatusCode};
use serde_json::{Value, json};
use site::TestSite;

/// Indexes of the entries in the large zone, ordered by name. The first [`READER_COUNT`] of them read the store.
const ZONE_ENTRIES: [usize; 7] = [0, 2, 3, 4, 5, 6, 7];
const READER_COUNT: usize = 2;

/// Starts a site with a large zone, and waits until its entries are ready and follow the readers.
fn start_large_zone(name: &str, first_index: u8) -> TestSite {
    let mut site = TestSite::start(name, first_index, &[]);
    for index in 2..8 {
        site.add_entry(first_index + index, "a");
    }
    for entry in ZONE_ENTRIES {
        site.wait("ready entries", |it| {
            (it.ready(entry) == Some(StatusCode::OK)).then_some(())
        });
    }
    for entry in &ZONE_ENTRIES[READER_COUNT..] {
        site.wait("followers", |it| {
            let relayed_read_metric = r#"fulmarline_relayed_reads_total{outcome="ok",table="op"}"#;
            it.metrics(*entry)
                .contains(relayed_read_metric)
                .then_some(())
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

/// Waits until the route `name` is in force on `entries`.
fn wait_for_route(site: &TestSite, entries: &[usize], name: &str) {
    for entry in entries {
        site.wait("the new route", |it| {
            let path = format!("/{name}/1");
            let response = it.call(*entry, Method::GET, &path, "new", "none")?;
            (response.status == StatusCode::OK).then_some(())
        });
    }
}

#[test]
fn configuration_reaches_all_entries_of_a_large_zone() {
    let mut site = start_large_zone("feeds-zone", 100);
    site.configure(&route("first"));
    wait_for_route(&site, &ZONE_ENTRIES, "first");

    // Suspended readers keep their connections open but send nothing.
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].suspend();
    }
    site.configure(&route("second"));
    wait_for_route(&site, &ZONE_ENTRIES[READER_COUNT..], "second");
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].resume();
    }
    wait_for_route(&site, &ZONE_ENTRIES, "second");

    // When the first entries are down, the next ones by name become readers.
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].kill();
    }
    site.configure(&route("third"));
    wait_for_route(&site, &ZONE_ENTRIES[READER_COUNT..], "third");
}

#[test]
fn followers_send_nothing_to_a_draining_replica() {
    let site = start_large_zone("feeds-drain", 120);
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    for entry in ZONE_ENTRIES {
        site.wait("the draining replica in the log", |it| {
            let log = it.entries[entry].log_text();
            log.contains("replica draining").then_some(())
        });
    }
    let runs_before = site.orders[0].runs().len();
    for entry in ZONE_ENTRIES {
        let response = site.call(entry, Method::POST, "/order/1", "drained", "key-1");
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }
    assert_eq!(site.orders[0].runs().len(), runs_before);
}
