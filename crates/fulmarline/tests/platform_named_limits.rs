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
                            requests
                                .lock()
                                .unwrap()
                                .push(SentRequest { sent_at, response });
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
