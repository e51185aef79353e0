//! Large bodies of requests that arrive at the same time, on the own interface.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use standin::ProcessFleet;
use support::raw_http;

/// Size of a body, within the limit of the settings.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Number of requests with such a body, more than fit in the memory of a host.
const REQUESTS: usize = 140;

/// Number of bodies that an entry has memory for at least.
const MIN_SERVED: usize = 20;

/// Memory in kilobytes of the host which the default limits suit.
const MAX_PEAK_KB: u64 = 1024 * 1024;

/// Time after which all clients send the last part of their bodies.
const UPLOAD_TIME: Duration = Duration::from_secs(4);

/// Sends a request whose body is complete only at `end`, and returns its response.
fn upload(address: SocketAddr, request: &[u8], end: Instant) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    let (first, last) = request.split_at(request.len() - 1000);
    // The entry may refuse the request before it has read the body.
    if socket.write_all(first).is_ok() {
        std::thread::sleep(end.saturating_duration_since(Instant::now()));
        let _ = socket.write_all(last);
    }
    let _ = socket.shutdown(std::net::Shutdown::Write);
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against an entry that keeps every body that arrives, runs out of memory, and ends the requests of others with it.
#[test]
fn large_bodies_that_arrive_together_do_not_exhaust_an_entry() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("request-bodies-own");
    let mut fleet = ProcessFleet::prepare(support::single_zone_plan(&dir)).unwrap();
    let file = dir.join("entry-1.jsonc");
    let settings = std::fs::read_to_string(&file).unwrap();
    let limit = format!("\"limits\": {{ \"max_body_bytes\": {BODY_BYTES},");
    let replaced = settings.replace("\"limits\": {", &limit);
    assert_ne!(settings, replaced, "{settings}");
    std::fs::write(&file, replaced).unwrap();
    for process in fleet.process_names() {
        fleet.start_process(&process).unwrap();
    }
    support::serve_first_version(&fleet);
    let front = fleet.callers()[0];
    let body = vec![b'x'; BODY_BYTES];
    let request = raw_http::request("POST /services/orders/large", &[], &body);
    let end = Instant::now() + UPLOAD_TIME;
    let responses: Vec<String> = std::thread::scope(|scope| {
        let uploads: Vec<_> = (0..REQUESTS)
            .map(|_| scope.spawn(|| upload(front, &request, end)))
            .collect();
        uploads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let peak_kb = fleet.process("entry-1").peak_memory_kb();
    println!("peak {peak_kb} kB");
    assert!(peak_kb < MAX_PEAK_KB, "the entry used {peak_kb} kB");
    let refused = responses.iter().filter(|it| it.contains("200 overloaded"));
    let refused = refused.count();
    println!("{refused} of {} refused", responses.len());
    assert!(refused > 0 && refused <= REQUESTS - MIN_SERVED, "{refused}");
}
