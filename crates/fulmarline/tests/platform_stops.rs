//! Planned stops, reloads and changes of the configuration while clients send requests.

#[path = "support/raw_client.rs"]
mod raw_client;
#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use raw_client::{ClientConnection, ClientOutcome, ClientRequest};
use serde_json::{Value, json};
use site::TestSite;
use standin::{RawFraming, RawReplica, RawResponse, RunCounts};

/// Time for which the slow replicas are silent, longer than any grace period.
const SILENCE: Duration = Duration::from_secs(30);

fn route(prefix: &str, kind: &str) -> Value {
    json!({
        "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 20000, "sloMs": 2000,
        "prio": 1, "service": "plain", "maxAttempts": 2, "public": false, "resumable": false,
    })
}

fn request(id: &str, path: &str, time_limit: Duration) -> ClientRequest {
    ClientRequest {
        id: id.to_owned(),
        method: "POST",
        path: path.to_owned(),
        time_limit,
        body: "body".to_owned(),
    }
}

/// Starts a site whose service `plain` consists of replicas that wait for `delay` of a request before they respond.
fn start_with_slow_replicas(
    name: &str,
    first_index: u8,
    versions: &[u64],
    delay: impl Fn(&str) -> Duration + Clone + Send + Sync + 'static,
) -> (TestSite, RunCounts) {
    let mut site = TestSite::start(name, first_index, versions);
    let runs = RunCounts::default();
    for index in 0..2_u8 {
        let delay = delay.clone();
        let ip = [127, 0, 1, first_index + index];
        let replica = RawReplica::start(&format!("slow-{index}"), ip, &runs, move |request| {
            let id = request.headers.get("request-id").cloned();
            let id = id.unwrap_or_default();
            std::thread::sleep(delay(&id));
            RawResponse::complete(RawFraming::Length, vec![format!("done {id}")])
        });
        let replica = replica.unwrap();
        let zone = ["a", "b"][usize::from(index)];
        let row = replica.row("plain", zone);
        site.store.put("servers", replica.id(), &row);
    }
    site.configure(&json!([
        route("/slow/", "idempotent"),
        route("/once/", "non_idempotent")
    ]));
    (site, runs)
}

/// Guards against requests that are cut off without an answer when a planned stop ends before their replicas respond,
/// and against requests that are accepted although the stop will end before their deadline.
#[test]
fn requests_that_outlast_a_planned_stop_get_a_status() {
    let (mut site, runs) = start_with_slow_replicas("stops-outlast", 230, &[], |id| {
        if id.starts_with("probe") {
            Duration::ZERO
        } else {
            SILENCE
        }
    });
    let front = site.front(0);
    site.wait("the routes", |_| {
        let mut connection = ClientConnection::open(front).ok()?;
        let probe = request("probe", "/slow/", Duration::from_secs(2));
        connection.send(&probe, &[]).ok()?;
        matches!(
            connection.receive(),
            ClientOutcome::Whole { status: 200, .. }
        )
        .then_some(())
    });
    let early: Vec<_> = ["/slow/", "/once/"]
        .iter()
        .map(|path| {
            let mut connection = ClientConnection::open(front).unwrap();
            let request = request(&format!("early{path}"), path, Duration::from_secs(20));
            connection.send(&request, &[]).unwrap();
            site.wait("a run", |_| (runs.get(&request.id) > 0).then_some(()));
            connection
        })
        .collect();
    site.entries[0].terminate();
    std::thread::sleep(Duration::from_millis(3000));
    for path in ["/slow/", "/once/"] {
        let mut connection = ClientConnection::open(front).unwrap();
        let request = request(&format!("late{path}"), path, Duration::from_secs(20));
        connection.send(&request, &[]).unwrap();
        let outcome = connection.receive();
        let ClientOutcome::Whole {
            status: 503,
            retry_after: Some(_),
            ..
        } = outcome
        else {
            panic!("{path} sent during the stop: {outcome:?}");
        };
        assert_eq!(runs.get(&request.id), 0);
    }
    for mut connection in early {
        let outcome = connection.receive();
        assert!(
            matches!(outcome, ClientOutcome::Whole { status: 502, .. }),
            "sent before the stop: {outcome:?}"
        );
    }
    let exit_status = site.entries[0].wait(site::WAIT_TIMEOUT);
    assert!(exit_status.is_some_and(|it| it.success()));
}
