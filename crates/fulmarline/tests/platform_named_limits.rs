//! Replicas that name the requests a second that they take from all hosts together.

#[path = "support/site.rs"]
mod site;

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use httpio::StatusCode;

use site::{SiteResponse, TestSite};
use standin::{ReplicaFaults, SiteReplica};

/// Number of entries.
const ENTRIES: usize = 4;

/// Span in which requests at a limited replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time in which all entries know a limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);

/// Requests of one phase of a test.
struct SentRequest {
    id: String,
    sent_at: Instant,
    response: Option<SiteResponse>,
}

/// Starts [`ENTRIES`] entries and `replicas` model replicas.
fn start_site(name: &str, first_index: u8, replicas: usize) -> TestSite {
    let mut site = TestSite::start(name, first_index, &vec![1; replicas]);
    for index in 2..ENTRIES {
        let host = first_index + 2 + u8::try_from(index).unwrap();
        site.add_entry(host, ["a", "b"][index % 2]);
    }
    site.wait("ready entries", |it| {
        let is_ready = |entry| it.ready(entry) == Some(StatusCode::OK);
        (0..ENTRIES).all(is_ready).then_some(())
    });
    site
}

fn name_limit(replica: &SiteReplica, limit: Option<&'static str>) {
    replica.set_faults(ReplicaFaults {
        named_limit: limit,
        ..ReplicaFaults::default()
    });
}

/// Sends 20 streams a second to each of `entries` while `action` runs.
fn with_load(site: &TestSite, entries: &[usize], action: impl FnOnce()) -> Vec<SentRequest> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let stop = AtomicBool::new(false);
    let requests = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for entry in entries {
            let (caller, stop, requests) = (site.caller(), &stop, &requests);
            scope.spawn(move || {
                std::thread::scope(|scope| {
                    while !stop.load(Ordering::Relaxed) {
                        let caller = caller.clone();
                        scope.spawn(move || {
                            let id = format!("r{}", COUNT.fetch_add(1, Ordering::Relaxed));
                            let parts = format!("aaaa01:40,{id}:60");
                            let sent_at = Instant::now();
                            let response = caller.call_with_parts(*entry, "/draft/1", &id, &parts);
                            requests.lock().unwrap().push(SentRequest {
                                id,
                                sent_at,
                                response,
                            });
                        });
                        std::thread::sleep(PAUSE);
                    }
                });
            });
        }
        action();
        stop.store(true, Ordering::Relaxed);
    });
    requests.into_inner().unwrap()
}

/// Returns the largest number of calls in any [`WINDOW`] that begins after `from`.
fn most_calls(replica: &SiteReplica, from: Instant) -> usize {
    let calls: Vec<Instant> = replica.limited_calls();
    let calls: Vec<Instant> = calls.into_iter().filter(|it| *it >= from).collect();
    let in_window = |start: &Instant| {
        let in_span = calls
            .iter()
            .filter(|it| *it >= start && **it < *start + WINDOW);
        in_span.count()
    };
    calls.iter().map(in_window).max().unwrap_or(0)
}

// Guards against entries that send a replica more than the limit that it names for all of them (incident LIMIT).
#[test]
fn all_entries_together_keep_within_a_named_limit() {
    let site = start_site("named-limit", 200, 4);
    let entries: Vec<usize> = (0..ENTRIES).collect();
    let mut known_from = Instant::now();
    let requests = with_load(&site, &entries, || {
        std::thread::sleep(Duration::from_secs(2));
        name_limit(&site.models[0], Some("1"));
        std::thread::sleep(CONTACT_TIME);
        known_from = Instant::now();
        std::thread::sleep(Duration::from_secs(10));
    });
    let most = most_calls(&site.models[0], known_from);
    // Four times the limit and three more; the users' rule is six times the limit and five more.
    assert!(most <= 7, "{most} calls in 4 s at a limit of 1 a second");
    let late = requests.iter().filter(|it| it.sent_at > known_from);
    let is_served = |it: &&SentRequest| {
        it.response
            .as_ref()
            .is_some_and(|it| it.status.is_success())
    };
    let (served, failed): (Vec<_>, Vec<_>) = late.partition(is_served);
    assert!(
        failed.is_empty(),
        "{} of {} were not served by the other replicas",
        failed.len(),
        served.len()
    );
}

// Guards against requests that wait for a limit until their deadline, or are told nothing about when to return.
#[test]
fn requests_beyond_the_limits_of_all_replicas_are_refused_truthfully() {
    let site = start_site("named-limit-all", 216, 2);
    let entries: Vec<usize> = (0..ENTRIES).collect();
    let mut known_from = Instant::now();
    let requests = with_load(&site, &entries, || {
        for replica in &site.models {
            name_limit(replica, Some("0.5"));
        }
        std::thread::sleep(CONTACT_TIME + Duration::from_secs(2));
        known_from = Instant::now();
        std::thread::sleep(Duration::from_secs(8));
    });
    for replica in &site.models {
        let most = most_calls(replica, known_from);
        assert!(most <= 5, "{most} calls in 4 s at a limit of 0.5 a second");
    }
    let late = requests.iter().filter(|it| it.sent_at > known_from);
    let mut refused = 0;
    for request in late {
        let response = request.response.as_ref().expect("a response");
        if response.status.is_success() {
            continue;
        }
        refused += 1;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.body.trim(), "limited");
        let retry_after = response.headers["retry-after"].to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() > 0.0);
        let runs = site.models.iter().map(|it| it.runs());
        let has_run = runs.into_iter().any(|it| it.contains_key(&request.id));
        assert!(!has_run, "{} was refused and has run", request.id);
    }
    assert!(refused > 100, "{refused} requests were refused");
}

// Guards against a restarted entry sending requests before it knows of limits, and against limits that never end.
#[test]
fn a_limit_is_kept_around_a_restart_until_it_ends() {
    let mut site = start_site("named-limit-end", 232, 4);
    let mut known_from = Instant::now();
    with_load(&site, &[0, 2, 3], || {
        name_limit(&site.models[0], Some("1"));
        std::thread::sleep(CONTACT_TIME);
        known_from = Instant::now();
    });
    site.entries[1].kill();
    site.start_entry(1);
    site.wait("a restarted entry", |it| {
        (it.ready(1) == Some(StatusCode::OK)).then_some(())
    });
    let entries: Vec<usize> = (0..ENTRIES).collect();
    with_load(&site, &entries, || {
        std::thread::sleep(Duration::from_secs(6));
    });
    let most = most_calls(&site.models[0], known_from);
    assert!(most <= 7, "{most} calls in 4 s at a limit of 1 a second");

    name_limit(&site.models[0], None);
    with_load(&site, &entries, || {
        site.wait("as many requests as before the limit", |it| {
            let from = Instant::now().checked_sub(Duration::from_secs(2))?;
            let calls = it.models[0].limited_calls();
            let recent = calls.iter().filter(|it| **it >= from).count();
            (recent >= 20).then_some(())
        });
    });
}

// Guards against anything but a replica's response setting a limit.
#[test]
fn a_limit_that_a_client_sends_has_no_effect() {
    let site = TestSite::start("named-limit-client", 248, &[]);
    let response = site.wait("a served lookup", |it| {
        let response = it
            .caller()
            .call_with_header(0, "/lookup/1", ("Server-Limit", "0"))?;
        response.status.is_success().then_some(response)
    });
    assert!(!response.headers.contains_key("server-limit"));
    assert!(site.metrics(0).contains("\nfulmarline_limits 0\n"));
}

// Guards against requests to a replica that has told the entry when to return (class of the incident LIMIT).
#[test]
fn a_replica_that_names_a_time_to_return_gets_no_requests_before() {
    let site = start_site("named-return", 184, 2);
    let entries: Vec<usize> = (0..ENTRIES).collect();
    let mut refused_from = Instant::now();
    with_load(&site, &entries, || {
        refused_from = Instant::now();
        site.models[0].set_faults(ReplicaFaults {
            full: true,
            retry_after: Some("20"),
            ..ReplicaFaults::default()
        });
        std::thread::sleep(Duration::from_secs(8));
    });
    // Each entry is refused once in the first two seconds, with some requests under way; reports of the agent remain.
    let from = refused_from + Duration::from_secs(2);
    let requests = site.models[0].requests_since(from);
    // Two for each entry are allowed.
    assert!(
        requests <= 2 * ENTRIES,
        "{requests} requests at a replica that named a time to return"
    );
}

// Guards against an entry that wakes sending requests with turns that others have taken over (incident LIMIT).
#[test]
fn a_limit_is_kept_around_the_freeze_of_an_entry() {
    let site = start_site("named-limit-freeze", 168, 4);
    let entries: Vec<usize> = (0..ENTRIES).collect();
    let mut known_from = Instant::now();
    with_load(&site, &entries, || {
        name_limit(&site.models[0], Some("2"));
        std::thread::sleep(CONTACT_TIME);
        known_from = Instant::now();
        for freeze in [Duration::from_millis(1500), Duration::from_secs(5)] {
            site.entries[1].suspend();
            std::thread::sleep(freeze);
            site.entries[1].resume();
            std::thread::sleep(Duration::from_secs(4));
        }
    });
    let most = most_calls(&site.models[0], known_from);
    assert!(most <= 11, "{most} calls in 4 s at a limit of 2 a second");
}
