//! Large bodies of requests that arrive at the same time.

#[path = "support/site.rs"]
mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use httpio::{Method, StatusCode};
use serde_json::json;
use site::TestSite;

/// Size of a body, within the limit of the configuration.
const BODY_BYTES: usize = 3_700_000;

/// Number of requests with such a body, more than fit in the memory of an entry.
const REQUESTS: usize = 80;

/// Number of bodies that an entry has memory for at least.
const MIN_SERVED: usize = 25;

/// Memory of the smallest entry in kilobytes.
const MAX_PEAK_KB: u64 = 260_000;

/// Time after which all clients send the last part of their bodies.
const UPLOAD_TIME: Duration = Duration::from_millis(2500);

/// Sends a request whose body is complete only at `end`, and returns its response.
fn upload(site: &TestSite, id: &str, end: Instant) -> String {
    let mut socket = TcpStream::connect(site.front(0)).unwrap();
    socket.set_read_timeout(Some(site::WAIT_TIMEOUT)).unwrap();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Token key-1\r\nConnection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'x'; BODY_BYTES];
    let (first, last) = body.split_at(BODY_BYTES - 1000);
    // The entry may refuse the request before it has read the body.
    let mut sent = socket.write_all(head.as_bytes());
    sent = sent.and_then(|()| socket.write_all(first));
    if sent.is_ok() {
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        let _ = socket.write_all(last);
    }
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against LOST: an entry that keeps every body that arrives runs out of memory, and orders in progress end with it.
#[test]
fn large_bodies_that_arrive_together_do_not_exhaust_an_entry() {
    let mut site = TestSite::start("request-bodies", 180, &[]);
    site.max_body_bytes = 4 * 1024 * 1024;
    site.configure(&json!([]));
    site.wait("the larger limit", |it| {
        let body = vec![b'x'; 100_000];
        let caller = it.caller();
        let response = caller.call_with_body(0, Method::POST, "/order/1", "warm", "key-1", body)?;
        (response.status == StatusCode::OK).then_some(())
    });
    let has_ended = AtomicBool::new(false);
    let end = Instant::now() + UPLOAD_TIME;
    let (responses, small) = std::thread::scope(|scope| {
        let small = scope.spawn(|| {
            let caller = site.caller().with_kept_connections();
            caller.order_until(0, Duration::from_millis(30), &has_ended)
        });
        let uploads: Vec<_> = (0..REQUESTS)
            .map(|it| {
                let site = &site;
                scope.spawn(move || {
                    let id = format!("large-{it}");
                    (upload(site, &id, end), id)
                })
            })
            .collect();
        let responses: Vec<_> = uploads.into_iter().map(|it| it.join().unwrap()).collect();
        has_ended.store(true, Ordering::Relaxed);
        (responses, small.join().unwrap())
    });
    let peak_kb = site.entries[0].peak_memory_kb();
    println!("peak {peak_kb} kB, {} small requests", small.len());
    assert!(peak_kb < MAX_PEAK_KB, "the entry used {peak_kb} kB");
    let failed = small.iter().filter(|it| **it != Some(StatusCode::OK));
    assert_eq!(failed.count(), 0, "small requests failed");
    let runs: Vec<_> = site.orders.iter().map(standin::SiteReplica::runs).collect();
    let mut served = 0;
    for (response, id) in &responses {
        let run_count: u64 = runs.iter().filter_map(|it| it.get(id)).sum();
        let head = response.to_ascii_lowercase();
        if head.starts_with("http/1.1 200") {
            assert_eq!(run_count, 1, "{id}");
            served += 1;
        } else {
            assert!(head.starts_with("http/1.1 503"), "{id}: {response:?}");
            assert!(head.contains("retry-after: "), "{id}: {response:?}");
            assert_eq!(run_count, 0, "{id} has run");
        }
    }
    println!("{served} of {} large requests served", responses.len());
    assert!(served >= MIN_SERVED, "only {served} are served");
}
