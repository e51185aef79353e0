//! In a large zone, only a few entries read the store, and the others follow these readers. The followers must keep
//! receiving updates when the readers are suspended or killed.

#[path = "support/site.rs"]
mod site;

use httpio::{Method, StatusCode};
use site::{TestSite, ZONE_ENTRIES, route};

/// Number of entries of the large zone that read the store; they are the first ones.
const READER_COUNT: usize = 2;

#[test]
fn configuration_reaches_all_entries_of_a_large_zone() {
    let mut site = TestSite::start_large_zone("feeds-zone", 100);
    site.configure(&route("first"));
    site.wait_for_route(&ZONE_ENTRIES, "first");

    // Suspended readers keep their connections open but send nothing.
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].suspend();
    }
    site.configure(&route("second"));
    site.wait_for_route(&ZONE_ENTRIES[READER_COUNT..], "second");
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].resume();
    }
    site.wait_for_route(&ZONE_ENTRIES, "second");

    // When the first entries are down, the next ones by name become readers.
    for entry in &ZONE_ENTRIES[..READER_COUNT] {
        site.entries[*entry].kill();
    }
    site.configure(&route("third"));
    site.wait_for_route(&ZONE_ENTRIES[READER_COUNT..], "third");
}

#[test]
fn followers_send_nothing_to_a_draining_replica() {
    let site = TestSite::start_large_zone("feeds-drain", 120);
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
