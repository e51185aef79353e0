//! Faults that operators of similar systems have reported.

#[path = "support/site.rs"]
mod site;

use std::io::Write;
use std::net::TcpStream;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::TestSite;
use standin::{RawConnection, RawReplica, RawRequest, RunCounts};

/// Number of complete requests from which the retry budget of both entries results.
const FUNDING_REQUESTS: usize = 60;

/// Responses of the second replica to the rest of a stream, as a name for the path, the head and the body.
const SECOND_RESPONSES: [(&str, &str, &str); 9] = [
    (
        "error",
        "500 Internal Server Error\r\nRoute-Stamp: s",
        "it failed",
    ),
    (
        "refusal",
        "503 Service Unavailable\r\nNot-Executed: 1",
        "it is full",
    ),
    ("unavailable", "503 Service Unavailable", "it is down"),
    (
        "missing",
        "404 Not Found\r\nRoute-Stamp: s",
        "no such stream",
    ),
    ("redirect", "302 Found\r\nLocation: /elsewhere", "elsewhere"),
    ("none", "204 No Content\r\nRoute-Stamp: s", ""),
    ("text", "200 OK\r\nRoute-Stamp: s", "an error as text"),
    ("unsigned", "200 OK", "id: 2\ndata: unsigned\n\n"),
    (
        "head",
        "200 OK\r\nRoute-Stamp: s",
        "HTTP/1.1 500 Internal Server Error\r\n\r\nit failed",
    ),
];

fn first_event(id: &str) -> String {
    format!("id: 1\ndata: {id}/1\n\n")
}

/// Responds to the first run of a request with one event and a broken connection, and to a later one as its path names. A
/// request whose path names nothing gets one event and a regular end.
fn respond(request: &RawRequest, mut socket: &TcpStream) -> std::io::Result<RawConnection> {
    let id = request.id();
    let name = request.path.rsplit('/').next().unwrap_or_default();
    let second = SECOND_RESPONSES.iter().find(|it| it.0 == name);
    let event = first_event(id);
    match second {
        Some((_, head, body)) if request.earlier_runs > 0 => {
            let length = body.len();
            let head = format!("HTTP/1.1 {head}\r\nRequest-Id: {id}\r\n");
            write!(socket, "{head}Content-Length: {length}\r\n\r\n{body}")?;
        }
        _ => {
            // A stream that breaks off lacks the rest of its length.
            let length = event.len() + if second.is_some() { 40 } else { 0 };
            write!(
                socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nRoute-Stamp: s\r\nContent-Length: {length}\r\n\r\n{event}"
            )?;
        }
    }
    socket.flush()?;
    Ok(RawConnection::Close)
}

/// Guards against ORDER and MIXED: a stream had begun and broke off, and the next replica's error, at times with its head, was
/// written into it, or the stream ended as if it were complete.
#[test]
fn an_error_of_the_next_replica_does_not_reach_a_stream_that_has_begun() {
    let mut site = TestSite::start("reports-streams", 100, &[]);
    site.configure(&json!([{
        "name": "again", "host": "shop.example", "prefix": "/again/", "kind": "stream", "timeoutMs": 6000, "sloMs": 2000,
        "service": "pool", "maxAttempts": 2, "public": false, "resumable": true,
    }]));
    let runs = RunCounts::default();
    for (index, zone) in ["a", "b"].into_iter().enumerate() {
        let ip = [127, 0, 1, 100 + u8::try_from(index).unwrap()];
        let replica = RawReplica::start_raw(&format!("pool-{index}"), ip, &runs, respond).unwrap();
        site.store
            .put("servers", replica.id(), &replica.row("pool", zone));
    }
    site.wait("a served request", |it| {
        let response = it.call(0, Method::POST, "/again/warm", "warm", "key-1")?;
        (response.status == StatusCode::OK).then_some(())
    });
    for number in 0..FUNDING_REQUESTS {
        let id = format!("warm-{number}");
        site.call(number % 2, Method::POST, "/again/warm", &id, "key-1");
    }
    let mut mismatches = Vec::new();
    for (name, ..) in SECOND_RESPONSES {
        for entry in 0..2 {
            let id = format!("{name}-{entry}");
            let path = format!("/again/{name}");
            let response = site.call(entry, Method::POST, &path, &id, "key-1").unwrap();
            let is_expected = response.status == StatusCode::OK
                && !response.complete
                && response.body == first_event(&id);
            if !is_expected || runs.get(&id) != 2 {
                mismatches.push(format!("{id}: {} runs, {response:?}", runs.get(&id)));
            }
        }
    }
    assert_eq!(mismatches, Vec::<String>::new());
}

/// Returns rows that another writer could have left among those of the replicas.
fn odd_rows() -> Vec<Vec<u8>> {
    let row = |field: &str, value: &str| {
        let fields = [
            ("service", "\"orders\""),
            ("addr", "\"127.0.1.120:9\""),
            ("zone", "\"a\""),
            ("slots", "6"),
            // Some of the rows are valid but for a field that is not read, and name no replica.
            ("state", "\"draining\""),
            ("born", "1"),
        ];
        let fields = fields.map(|(name, usual)| {
            let value = if name == field { value } else { usual };
            format!("\"{name}\":{value}")
        });
        format!(
            "{{{},\"more\":{}}}",
            fields.join(","),
            if field == "more" { value } else { "0" }
        )
    };
    let depth = 20_000;
    let deep = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let deep_map = format!("{}1{}", "{\"a\":".repeat(depth), "}".repeat(depth));
    let huge = "9".repeat(400);
    let texts = [
        deep.clone(),
        deep_map.clone(),
        row("more", &deep),
        row("more", &deep_map),
        row("models", &deep),
        row("slots", &deep),
        row("slots", &huge),
        row("slots", "1e400"),
        row("slots", "4294967296"),
        row("born", "-1"),
        row("born", &huge),
        row("more", "1e999"),
        row("addr", "\"127.0.1.120:99999\""),
        row("addr", "\"127.0.1.120:-1\""),
        row("addr", "\"host:80\""),
        row("addr", &format!("\"{huge}\"")),
        row("state", "\"asleep\""),
        row("service", "null"),
        "null".to_owned(),
        String::new(),
        "[".to_owned(),
    ];
    let mut rows: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    rows.push(vec![0xff, 0xfe, 0]);
    rows
}

/// Guards against LOST and processes that end by themselves: one odd row among those of the replicas, very deeply nested, with a
/// number that is too large, or with a port out of range, ended the processes that read it, or they stopped following.
#[test]
fn odd_rows_do_not_end_processes_or_stop_feeds() {
    let site = TestSite::start("reports-rows", 120, &[1]);
    for table in ["servers", "entries", "declarations"] {
        for (number, row) in odd_rows().iter().enumerate() {
            site.store.put_bytes(table, &format!("odd-{number}"), row);
        }
    }
    site.declare(2);
    // A row that is written after the odd ones is read.
    let row = site.orders[0].row("orders", "a", "draining");
    site.store.put("servers", "o-0", &row);
    for entry in 0..2 {
        site.wait("the draining replica in the log", |it| {
            let log = it.entries[entry].log_text();
            log.contains("replica draining").then_some(())
        });
    }
    site.wait("the declared version", |it| {
        (it.models[0].version() == 2).then_some(())
    });
    for entry in 0..2 {
        for number in 0..20 {
            let id = format!("after-{entry}-{number}");
            let response = site.call(entry, Method::POST, "/order/1", &id, "key-1");
            assert_eq!(response.unwrap().status, StatusCode::OK);
        }
        let starts = site.entries[entry]
            .log_text()
            .matches("\"msg\":\"started\"")
            .count();
        assert_eq!(starts, 1, "entry {entry} has started again");
    }
}
