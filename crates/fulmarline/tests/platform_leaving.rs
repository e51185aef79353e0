//! A replica that leaves says so in all its responses, before or without any change of its row in the store.

#[path = "support/site.rs"]
mod site;

use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use site::TestSite;
use standin::{ReplicaCalls, ReplicaFaults};

/// Time in which an entry that has not heard the replica itself learns that it leaves.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Bound of the users' rule on requests to a replica that leaves.
const DRAIN: Duration = Duration::from_secs(2);

const LEAVING: ReplicaFaults = ReplicaFaults {
    truncate_next_after: None,
    unframed: false,
    drop_responses: false,
    fail_status: None,
    full: false,
    retry_after: None,
    crash_part: None,
    named_limit: None,
    fail_orders: false,
    leaving: Some("1"),
};

/// Sends requests to both entries in turn for `time`.
fn send_for(
    site: &TestSite,
    method: &Method,
    path: &str,
    prefix: &str,
    time: Duration,
) -> Vec<StatusCode> {
    let caller = site.caller().with_kept_connections();
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < time {
        let id = format!("{prefix}-{}", statuses.len());
        let entry = statuses.len() % 2;
        let response = caller.call(entry, method.clone(), path, &id, "key-1");
        statuses.push(response.map_or(StatusCode::IM_A_TEAPOT, |it| it.status));
    }
    statuses
}

fn check_plain(name: &str, first_index: u8, faults: ReplicaFaults) {
    let site = TestSite::start(name, first_index, &[]);
    site.orders[0].set_faults(faults);
    send_for(&site, &Method::GET, "/lookup/1", "before", NOTICE_TIME);
    let noticed = Instant::now();
    let statuses = send_for(&site, &Method::POST, "/order/1", "order", DRAIN);
    let lookups = send_for(&site, &Method::GET, "/lookup/1", "lookup", DRAIN);
    assert!(
        statuses
            .iter()
            .chain(&lookups)
            .all(|it| *it == StatusCode::OK)
    );
    assert_eq!(
        site.orders[0].requests_since(noticed),
        0,
        "a replica that leaves got requests"
    );
    assert!(site.orders[1].requests_since(noticed) > 100);
}

/// Guards against DRAIN: no line of the code read what a replica says in its responses, so one that leaves without a
/// change of its row got as many requests as before.
#[test]
fn a_replica_that_says_it_leaves_gets_no_new_requests() {
    check_plain("leaving-plain", 100, LEAVING);
}

/// Guards against DRAIN on the way of repeats: a replica that refuses requests and leaves was chosen again for others.
#[test]
fn a_replica_that_refuses_and_leaves_gets_no_new_requests() {
    let faults = ReplicaFaults {
        full: true,
        ..LEAVING
    };
    check_plain("leaving-refuses", 110, faults);
}

/// Guards against DRAIN for streams, whose heads say it: streams on kept connections and those that resume after another
/// replica broke off were sent to a replica that leaves.
#[test]
fn a_model_replica_that_says_it_leaves_gets_no_further_streams() {
    let site = TestSite::start("leaving-streams", 120, &[1, 1, 1]);
    site.wait("a stream", |it| {
        let response = it.call(0, Method::POST, "/draft/1", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    let send = |prefix: &str| {
        let callers = 0..8;
        let send = |it| {
            send_for(
                &site,
                &Method::POST,
                "/draft/1",
                &format!("{prefix}-{it}"),
                DRAIN,
            )
        };
        let statuses = std::thread::scope(|scope| {
            let threads: Vec<_> = callers.map(|it| scope.spawn(move || send(it))).collect();
            let joined = threads.into_iter().map(|it| it.join().unwrap());
            joined.flatten().collect::<Vec<_>>()
        });
        assert!(
            statuses.iter().all(|it| *it == StatusCode::OK),
            "{statuses:?}"
        );
    };
    site.models[0].set_faults(LEAVING);
    let began = Instant::now();
    send("before");
    assert!(
        site.models[0].requests_since(began) > 0,
        "no entry can know that the replica leaves"
    );
    let broken = ReplicaFaults {
        truncate_next_after: Some(2),
        ..ReplicaFaults::default()
    };
    site.models[1].set_faults(broken);
    let noticed = Instant::now();
    send("after");
    assert_eq!(
        site.models[0].requests_since(noticed),
        0,
        "a replica that leaves got streams"
    );
}

/// Guards against requests that wait until their deadline when all replicas of a service leave: they are refused at once,
/// with a time to return, and no replica gets them.
#[test]
fn requests_are_refused_at_once_when_all_replicas_leave() {
    let site = TestSite::start("leaving-all", 140, &[]);
    for replica in &site.orders {
        replica.set_faults(LEAVING);
    }
    send_for(&site, &Method::GET, "/lookup/1", "before", 2 * NOTICE_TIME);
    let noticed = Instant::now();
    let response = site
        .call(0, Method::POST, "/order/1", "refused", "key-1")
        .unwrap();
    assert_eq!(
        response.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "all replicas leave"
    );
    assert!(response.headers.contains_key("retry-after"));
    assert!(noticed.elapsed() < NOTICE_TIME);
    for replica in &site.orders {
        assert_eq!(replica.requests_since(noticed), 0);
    }
}

/// Guards against DRAIN in another zone: only the entry that received a response which says it knows that the replica leaves.
#[test]
fn a_replica_that_told_one_entry_gets_nothing_from_another_zone() {
    let site = TestSite::start("leaving-zones", 110, &[]);
    site.orders[1].set_faults(LEAVING);
    // The entry turns from the replica of its own zone to the one that leaves.
    site.orders[0].set_faults(ReplicaFaults {
        full: true,
        ..ReplicaFaults::default()
    });
    let began = Instant::now();
    site.wait("a request at the replica that leaves", |it| {
        it.call(0, Method::GET, "/lookup/1", "first", "key-1");
        (it.orders[1].requests_since(began) > 0).then_some(())
    });
    site.orders[0].set_faults(ReplicaFaults::default());
    std::thread::sleep(NOTICE_TIME);
    let noticed = Instant::now();
    for number in 0..100 {
        let id = format!("zone-{number}");
        let response = site.call(1, Method::POST, "/order/1", &id, "key-1");
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }
    assert_eq!(site.orders[1].requests_since(noticed), 0);
}

/// Guards against DRAIN for a replica that no client's request has reached since it leaves: its agent hears it in a report.
#[test]
fn a_replica_that_says_it_leaves_in_reports_gets_no_streams() {
    let site = TestSite::start("leaving-reports", 112, &[1, 1]);
    site.models[0].set_faults(LEAVING);
    let noticed = Instant::now();
    std::thread::sleep(DRAIN);
    let statuses = send_for(&site, &Method::POST, "/draft/1", "stream", DRAIN);
    assert!(statuses.iter().all(|it| *it == StatusCode::OK));
    assert_eq!(site.models[0].requests_since(noticed), 0);
    assert!(site.models[1].requests_since(noticed) > 0);
}

/// Guards against DRAIN by the request beside a silent replica, which is sent to another one while the first may still go on.
#[test]
fn the_request_beside_a_silent_replica_avoids_one_that_leaves() {
    let site = TestSite::start("leaving-beside", 114, &[1, 1, 1]);
    site.models[1].set_faults(LEAVING);
    send_for(&site, &Method::POST, "/draft/1", "before", 2 * NOTICE_TIME);
    let noticed = Instant::now();
    site.models[0].set_silent(&[ReplicaCalls::Requests], true);
    let statuses = send_for(&site, &Method::POST, "/draft/1", "beside", 2 * DRAIN);
    assert!(
        statuses.iter().all(|it| *it == StatusCode::OK),
        "{statuses:?}"
    );
    assert!(
        site.models[0].requests_since(noticed) > 0,
        "no request met the silent replica"
    );
    assert_eq!(site.models[1].requests_since(noticed), 0);
}

/// Guards against DRAIN by a turn at a replica that names a limit: turns are shared out in advance.
#[test]
fn turns_at_a_replica_that_leaves_are_not_used() {
    let site = TestSite::start("leaving-limited", 118, &[]);
    let limited = ReplicaFaults {
        named_limit: Some("30"),
        ..ReplicaFaults::default()
    };
    for replica in &site.orders {
        replica.set_faults(limited);
    }
    send_for(&site, &Method::GET, "/lookup/1", "before", DRAIN);
    site.orders[0].set_faults(ReplicaFaults {
        leaving: Some("1"),
        ..limited
    });
    let leaves = Instant::now();
    // Started entries use no turns at first, so the replica may have told nobody yet.
    site.wait("a response that says so", |it| {
        let prefix = format!("told-{}", leaves.elapsed().as_millis());
        send_for(it, &Method::GET, "/lookup/1", &prefix, NOTICE_TIME);
        (it.orders[0].requests_since(leaves) > 0).then_some(())
    });
    send_for(&site, &Method::GET, "/lookup/1", "noticed", NOTICE_TIME);
    let noticed = Instant::now();
    send_for(&site, &Method::POST, "/order/1", "order", 2 * DRAIN);
    assert_eq!(site.orders[0].requests_since(noticed), 0);
    assert!(site.orders[1].requests_since(noticed) > 20);
}

/// Time after which entries no longer repeat to each other that a replica leaves.
const FORGOTTEN: Duration = Duration::from_secs(3);

/// Guards against DRAIN by an entry that starts again as the only one of its zone: the entries of other zones told it only the
/// departures of the last 2 s, and it sent requests to a replica that had said before that it leaves.
#[test]
fn an_entry_that_starts_alone_in_its_zone_learns_departures_from_other_zones() {
    let mut site = TestSite::start("leaving-restart", 130, &[]);
    // The replica of the entry's own zone, which it prefers.
    site.orders[1].set_faults(LEAVING);
    send_for(&site, &Method::GET, "/lookup/1", "before", NOTICE_TIME);
    for round in 0..3 {
        std::thread::sleep(FORGOTTEN);
        let stopped = Instant::now();
        site.entries[1].kill();
        site.start_entry(1);
        site.wait("a served order", |it| {
            let id = format!("first-{round}");
            let response = it.call(1, Method::POST, "/order/1", &id, "key-1")?;
            (response.status == StatusCode::OK).then_some(())
        });
        for number in 0..40 {
            let id = format!("started-{round}-{number}");
            let response = site.call(1, Method::POST, "/order/1", &id, "key-1");
            assert_eq!(response.unwrap().status, StatusCode::OK);
        }
        assert_eq!(
            site.orders[1].requests_since(stopped),
            0,
            "a replica that leaves got requests"
        );
    }
}

/// Bound of the users' rules on a removal that is read over a connection which has silently failed: a reset of the
/// connection is allowed 3 s more.
const DRAIN_AFTER_RESET: Duration = Duration::from_secs(5);

/// Guards against DRAIN: a single call to the store without a response was taken for an outage, in which rows expire by
/// mistake, so a replica that was removed meanwhile was used for the grace period on top.
#[test]
fn a_removal_behind_a_silent_connection_is_not_taken_for_a_lapse() {
    let site = TestSite::start("leaving-silent", 150, &[]);
    // The entries' calls are pending with the row, and their responses are lost.
    std::thread::sleep(Duration::from_millis(500));
    site.store.silence_pending_feeds();
    site.store.remove("servers", "o-0");
    let removed = Instant::now();
    std::thread::sleep(DRAIN_AFTER_RESET);
    assert!(removed.elapsed() >= DRAIN_AFTER_RESET);
    let bound = Instant::now();
    send_for(&site, &Method::POST, "/order/1", "late", DRAIN);
    assert_eq!(
        site.orders[0].requests_since(bound),
        0,
        "a replica that was removed got requests"
    );
}
