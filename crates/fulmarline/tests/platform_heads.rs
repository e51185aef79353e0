//! Replicas that close a connection in the middle of the head of a response, after each of its bytes.

#[path = "support/raw_site.rs"]
mod raw_site;
#[path = "support/site.rs"]
mod site;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use httpio::{Method, StatusCode};
use raw_site::RawSitePlan;
use site::{SiteCaller, SiteResponse};
use standin::{RawConnection, RawRequest, RunCounts};

/// Number of concurrent clients.
const CLIENT_COUNT: usize = 12;

/// Most requests at the same time before one that is to meet an open connection.
const WARM_COUNT: usize = 8;

/// Number of requests for one cut. A request does not meet it on a connection of the wrong kind.
const MAX_TRIES: usize = 60;

/// The kinds of requests by the prefix of their route: whether they are streams, and whether they may be repeated.
const KINDS: [(&str, bool, bool); 5] = [
    ("/plain/", false, true),
    ("/keyed/", false, false),
    ("/once/", true, false),
    ("/again/", true, true),
    ("/resumed/", true, true),
];

/// The headers that mark the end of a body.
const FRAMINGS: [&str; 3] = ["length", "chunks", "neither"];

/// A head that is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeadCut {
    prefix: &'static str,
    framing: &'static str,
    is_reset: bool,
    /// Whether the connection was used for an earlier request.
    is_kept: bool,
    /// Number of bytes that are sent.
    position: usize,
}

/// Connections that were used, and ids of the requests whose response was cut.
#[derive(Debug, Default)]
struct ReplicaLog {
    connections: BTreeSet<(SocketAddr, SocketAddr)>,
    cut: BTreeSet<String>,
}

impl HeadCut {
    /// Returns every cut inside a head.
    fn all() -> Vec<Self> {
        let mut cuts = Vec::new();
        for (prefix, _, is_repeatable) in KINDS {
            for framing in FRAMINGS {
                for is_reset in [false, true] {
                    // A request that may not be repeated is sent on a new connection.
                    for is_kept in [false, true].iter().take(1 + usize::from(is_repeatable)) {
                        // The id of a request is part of the head; those of all cuts have the same length.
                        let id = format!("{:8}", "");
                        for position in 0..head(&id, framing, 0).len() {
                            cuts.push(Self {
                                prefix,
                                framing,
                                is_reset,
                                is_kept: *is_kept,
                                position,
                            });
                        }
                    }
                }
            }
        }
        cuts
    }

    fn path(self) -> String {
        let end = if self.is_reset { "reset" } else { "closed" };
        let connection = if self.is_kept { "kept" } else { "new" };
        let Self {
            prefix,
            framing,
            position,
            ..
        } = self;
        format!("{prefix}{framing}-{end}-{connection}-{position}")
    }

    fn from_path(path: &str) -> Option<Self> {
        let (prefix, ..) = KINDS.into_iter().find(|it| path.starts_with(it.0))?;
        let mut words = path[prefix.len()..].split('-');
        let framing = words.next()?;
        Some(Self {
            prefix,
            framing: FRAMINGS.into_iter().find(|it| *it == framing)?,
            is_reset: words.next()? == "reset",
            is_kept: words.next()? == "kept",
            position: words.next()?.parse().ok()?,
        })
    }
}

/// Returns the head of a response whose body has `length` bytes, with the header that marks its end last.
fn head(id: &str, framing: &str, length: usize) -> String {
    let framing = match framing {
        "length" => format!("Content-Length: {length:4}\r\n"),
        "chunks" => "Transfer-Encoding: chunked\r\n".to_owned(),
        _ => String::new(),
    };
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nRoute-Stamp: stamp\r\n{framing}\r\n")
}

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id}/{number}\n\n")
}

fn whole_body(path: &str, id: &str, after: usize) -> String {
    if path.starts_with("/plain/") || path.starts_with("/keyed/") {
        return format!("whole response to {id}");
    }
    (after + 1..=3).map(|it| event(id, it)).collect()
}

/// Cuts the head of the first response to a request, or of the first one that resumes it, as its path demands.
fn respond(
    request: &RawRequest,
    mut socket: &TcpStream,
    log: &Mutex<ReplicaLog>,
) -> std::io::Result<RawConnection> {
    let id = request.id();
    let connection = (socket.local_addr()?, socket.peer_addr()?);
    let is_kept = !log.lock().unwrap().connections.insert(connection);
    let after = request.headers.get("last-event-id");
    let after = after.map_or(0, |it| it.parse().expect("an event's number"));
    let body = whole_body(&request.path, id, after);
    let Some(cut) = HeadCut::from_path(&request.path) else {
        write!(socket, "{}{body}", head(id, "length", body.len()))?;
        return Ok(RawConnection::KeepOpen);
    };
    let cut_run = u64::from(cut.prefix == "/resumed/");
    if request.earlier_runs < cut_run {
        // The rest of the length is missing.
        let first = event(id, 1);
        write!(socket, "{}{first}", head(id, "length", body.len()))?;
        return Ok(RawConnection::Close);
    }
    if request.earlier_runs > cut_run || is_kept != cut.is_kept {
        let head = head(id, "length", body.len());
        if cut.is_kept {
            write!(socket, "{head}{body}")?;
            return Ok(RawConnection::KeepOpen);
        }
        let head = head.trim_end();
        write!(socket, "{head}\r\nConnection: close\r\n\r\n{body}")?;
        return Ok(RawConnection::Close);
    }
    log.lock().unwrap().cut.insert(id.to_owned());
    let head = head(id, cut.framing, body.len());
    socket.write_all(&head.as_bytes()[..cut.position])?;
    if cut.is_reset {
        standin::reset_on_close(socket)?;
    }
    Ok(RawConnection::Close)
}

/// The site, both of whose entries receive requests.
const SITE_PLAN: RawSitePlan<'static> = RawSitePlan {
    name: "platform-heads",
    first_index: 75,
    replica_index: 77,
    // Some replicas have idle connections while others have just failed.
    replica_count: 6,
    entry_count: 2,
    max_attempts: 2,
};

/// Returns what is wrong with the response to a request whose response was cut.
fn mismatch(cut: HeadCut, id: &str, response: &SiteResponse, run_count: u64) -> Option<String> {
    let whole = whole_body(cut.prefix, id, 0);
    let is_whole = response.status == StatusCode::OK && response.complete && response.body == whole;
    let is_unknown = response.status == StatusCode::BAD_GATEWAY && response.complete;
    let is_expected = match cut.prefix {
        "/plain/" | "/again/" => is_whole && run_count == 2,
        "/keyed/" | "/once/" => is_unknown && run_count == 1,
        _ => {
            let is_first_event = response.body == event(id, 1);
            response.status == StatusCode::OK
                && !response.complete
                && is_first_event
                && run_count == 2
        }
    };
    let path = cut.path();
    (!is_expected).then(|| format!("{path}: {run_count} runs, {response:?}"))
}

/// Sends requests until the response to one of them is cut, and checks what its client received.
fn check_cut(
    caller: &SiteCaller,
    index: usize,
    cut: HeadCut,
    runs: &RunCounts,
    log: &Mutex<ReplicaLog>,
) -> Option<String> {
    let path = cut.path();
    for tried in 0..MAX_TRIES {
        if cut.is_kept {
            // Leaves a connection for the next request, as a failure closes the idle ones to its replica. Requests at the same time
            // reach several replicas; one by one, they may all go to the same one, which is not the one that resumes.
            let warm_path = format!("{}warm", cut.prefix);
            std::thread::scope(|scope| {
                for _ in 0..tried.clamp(1, WARM_COUNT) {
                    scope.spawn(|| {
                        caller.call(index % 2, Method::POST, &warm_path, "warm", "key-1")
                    });
                }
            });
        }
        let id = format!("{:08}", index * MAX_TRIES + tried);
        let response = caller.call(index % 2, Method::POST, &path, &id, "key-1");
        let response = response.expect("a response");
        if log.lock().unwrap().cut.contains(&id) {
            return mismatch(cut, &id, &response, runs.get(&id));
        }
    }
    Some(format!("{path}: no response was cut"))
}

/// Guards against MIXED and ORDER: a replica stopped in the middle of its response's head and closed the connection, and the
/// client received an empty or short body, framed as whole.
#[test]
fn a_head_that_breaks_off_is_no_response() {
    let runs = RunCounts::default();
    let log = Arc::<Mutex<ReplicaLog>>::default();
    let site = SITE_PLAN.start(&runs, {
        let log = log.clone();
        move |request: &RawRequest, socket: &TcpStream| respond(request, socket, &log)
    });
    let cuts = HeadCut::all();
    let mismatches: Vec<String> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| {
                let (caller, cuts, runs, log) = (site.caller(), &cuts, &runs, &log);
                scope.spawn(move || {
                    let own = (client..cuts.len()).step_by(CLIENT_COUNT);
                    own.filter_map(|it| check_cut(&caller, it, cuts[it], runs, log))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let clients = clients.into_iter();
        clients.flat_map(|it| it.join().unwrap()).collect()
    });
    println!("{} heads were cut", cuts.len());
    assert!(
        mismatches.is_empty(),
        "{} of {} cuts\n{}",
        mismatches.len(),
        cuts.len(),
        mismatches.join("\n")
    );
}
