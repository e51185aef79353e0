//! Limits for requests that the configuration sets.

#[path = "support/raw_client.rs"]
mod raw_client;
#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use raw_client::{ClientConnection, ClientOutcome, ClientRequest};
use serde_json::json;
use site::TestSite;

/// Idle time of a connection; above what configurations used to require, and within four fifths of the new limit.
const IDLE_TIME: Duration = Duration::from_secs(16);

fn request(id: &str, padding: usize) -> ClientRequest {
    ClientRequest {
        id: id.to_owned(),
        method: "POST",
        path: "/order/1".to_owned(),
        time_limit: Duration::from_secs(6),
        body: String::new(),
        padding,
    }
}

fn is_served(outcome: &ClientOutcome) -> bool {
    matches!(outcome, ClientOutcome::Whole { status: 200, .. })
}

/// Starts a site with higher limits than configurations usually have, and waits until they are in force.
fn start_with_limits(name: &str, first_index: u8) -> TestSite {
    let mut site = TestSite::start(name, first_index, &[]);
    let limits = json!({
        "maxHeaderBytes": 65536, "maxBodyBytes": 65536, "headerTimeoutMs": 6000, "idleTimeoutMs": 20000,
    });
    site.configure_with_limits(&json!([]), &limits);
    site.wait("the limits", |it| {
        let log = it.entries[0].log_text();
        log.contains("\"before\":3,\"version\":6").then_some(())
    });
    site
}

/// Guards against requests that are refused because a limit of the entry's own is lower than that of the configuration.
#[test]
fn heads_up_to_the_configured_size_are_accepted() {
    let site = start_with_limits("limits-head", 236);
    let mut connection = ClientConnection::open(site.front(0)).unwrap();
    connection.send(&request("large", 48 * 1024), &[]).unwrap();
    let outcome = connection.receive();
    assert!(is_served(&outcome), "{outcome:?}");
}

/// Guards against connections that are closed, possibly while a request arrives, earlier than the configuration allows.
#[test]
fn connections_may_be_idle_for_the_configured_time() {
    let site = start_with_limits("limits-idle", 238);
    let mut connection = ClientConnection::open(site.front(0)).unwrap();
    connection.send(&request("first", 0), &[]).unwrap();
    let outcome = connection.receive();
    assert!(is_served(&outcome), "{outcome:?}");
    std::thread::sleep(IDLE_TIME);
    connection.send(&request("second", 0), &[]).unwrap();
    let outcome = connection.receive();
    assert!(is_served(&outcome), "{outcome:?}");
}
