//! Responses of replicas that end early, for every way in which HTTP marks the end of a body.

#[path = "support/site.rs"]
mod site;

use httpio::{Method, StatusCode};
use serde_json::json;
use site::{SiteResponse, TestSite};
use standin::{RawEnd, RawFraming, RawReplica, RawRequest, RawResponse, RunCounts};

/// Number of complete requests to each entry and service from which the retry budget of a test results.
const FUNDING_REQUESTS: usize = 300;

/// Number of events of a complete stream.
const EVENT_COUNT: usize = 6;

/// The last byte of a response that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastByte {
    /// After the head.
    BeforeBody,
    /// In the middle of the first part.
    InsideFirst,
    /// After half of the parts.
    Between,
    /// In the middle of the last part.
    InsideLast,
    /// The last byte of the last part.
    Complete,
}

/// What a client sees of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientView {
    /// The whole response.
    Whole,
    /// A response that visibly broke off after complete events.
    Broken,
    /// An error of the entry's own.
    Unknown,
}

/// How the first replica that receives a request responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FirstResponse {
    framing: RawFraming,
    last_byte: LastByte,
    end: RawEnd,
}

/// Part of the path of a request that every replica responds to in the same way.
const TWICE: &str = "twice-";

/// Part of the path of a request to which replicas respond with an error.
const FAILING: &str = "failing-";

const FRAMINGS: [RawFraming; 3] = [
    RawFraming::Length,
    RawFraming::Chunked,
    RawFraming::Connection,
];

const LAST_BYTES: [LastByte; 4] = [
    LastByte::BeforeBody,
    LastByte::InsideFirst,
    LastByte::Between,
    LastByte::InsideLast,
];

impl FirstResponse {
    /// Returns every response that ends early.
    fn early() -> Vec<Self> {
        let mut responses = Vec::new();
        for framing in FRAMINGS {
            for last_byte in LAST_BYTES {
                for end in [RawEnd::Marked, RawEnd::Closed, RawEnd::Reset] {
                    responses.push(Self {
                        framing,
                        last_byte,
                        end,
                    });
                }
            }
        }
        responses
    }

    /// Returns whether the replica states that the body is complete. Without a length or chunks, it does so by closing
    /// the connection in order.
    fn claims_completeness(self) -> bool {
        self.end == RawEnd::Marked
            || self.end == RawEnd::Closed && self.framing == RawFraming::Connection
    }

    /// Returns the streams that end early and can be distinguished from complete ones.
    ///
    /// No event is marked as the last one, so the framing alone tells whether a stream that ends between two events is
    /// complete. A stream without events is complete only if it has a length or chunks.
    fn broken_streams() -> Vec<Self> {
        let mut responses = Self::early();
        responses.retain(|it| match it.last_byte {
            LastByte::BeforeBody if it.framing == RawFraming::Connection => true,
            LastByte::BeforeBody | LastByte::Between => !it.claims_completeness(),
            _ => true,
        });
        responses
    }

    /// Returns the whole responses that end early and can be distinguished from complete ones.
    fn broken_whole_responses() -> Vec<Self> {
        let mut responses = Self::early();
        responses.retain(|it| !it.claims_completeness());
        responses
    }

    /// Returns the path suffix that selects this response.
    fn path(self) -> String {
        format!("{:?}-{:?}-{:?}", self.framing, self.last_byte, self.end)
    }

    fn from_path(path: &str) -> Option<Self> {
        let mut responses = Self::early().into_iter().chain(FRAMINGS.map(complete));
        responses.find(|it| path.ends_with(&it.path()))
    }

    fn apply(self, parts: Vec<String>) -> RawResponse {
        let sizes: Vec<usize> = parts.iter().map(String::len).collect();
        let total: usize = sizes.iter().sum();
        let sent_bytes = match self.last_byte {
            LastByte::BeforeBody => 0,
            LastByte::InsideFirst => sizes[0] / 2,
            LastByte::Between => sizes[..sizes.len() / 2].iter().sum(),
            LastByte::InsideLast => total - 1,
            LastByte::Complete => total,
        };
        RawResponse {
            sent_bytes,
            end: self.end,
            ..RawResponse::complete(self.framing, parts)
        }
    }
}

fn events(id: &str, after: usize) -> Vec<String> {
    (after + 1..=EVENT_COUNT)
        .map(|it| format!("id: {it}\ndata: {id}/{it}\n\n"))
        .collect()
}

fn plain_parts(id: &str) -> Vec<String> {
    (0..4).map(|it| format!("part {it} of {id}. ")).collect()
}

/// Responds as the path of the request demands, but in full to a repeated or resumed request, unless the path contains
/// [`TWICE`]. The status is an error if the path contains [`FAILING`].
fn respond(request: &RawRequest) -> RawResponse {
    let header = |name: &str| request.headers.get(name).map_or("", String::as_str);
    let after = header("last-event-id").parse().unwrap_or(0);
    let parts = if request.path.starts_with("/plain/") || request.path.starts_with("/keyed/") {
        plain_parts(header("request-id"))
    } else {
        events(header("request-id"), after)
    };
    let first = FirstResponse::from_path(&request.path).expect("the path names a response");
    let mut response = if request.earlier_runs > 0 && !request.path.contains(TWICE) {
        RawResponse::complete(first.framing, parts)
    } else {
        first.apply(parts)
    };
    if request.path.contains(FAILING) {
        response.status = "409 Conflict";
    }
    response
}

/// Starts a site whose model service and plain service consist of two replicas that respond with [`respond`].
fn start_site(name: &str, first_index: u8) -> (TestSite, RunCounts) {
    let mut site = TestSite::start(name, first_index, &[]);
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": 6000,
            "sloMs": 2000, "prio": 1, "service": service, "maxAttempts": 2, "public": false,
            "resumable": resumable,
        })
    };
    site.configure(&json!([
        route("/once/", "stream", "pool", false),
        route("/plain/", "idempotent", "plain", false),
        route("/keyed/", "non_idempotent", "plain", false),
    ]));
    let runs = RunCounts::default();
    for (index, zone) in ["a", "b"].into_iter().enumerate() {
        for service in ["pool", "plain"] {
            let id = format!("{service}-{index}");
            let ip = [127, 0, 1, first_index + u8::try_from(index).unwrap()];
            let replica = RawReplica::start(&id, ip, &runs, respond).unwrap();
            let row = replica.row(service, zone);
            site.store.put("servers", replica.id(), &row);
        }
    }
    for entry in 0..2 {
        for path in ["/once/", "/plain/"] {
            let path = format!("{path}{}", complete(RawFraming::Length).path());
            site.wait("a served request", |it| {
                let response = it.call(entry, Method::POST, &path, "warm", "key-1")?;
                (response.status == StatusCode::OK).then_some(())
            });
        }
    }
    fund_retries(&site);
    (site, runs)
}

/// Sends complete requests until the retry budget of both entries covers a retry of every response under test.
fn fund_retries(site: &TestSite) {
    std::thread::scope(|scope| {
        for entry in 0..2 {
            for path in ["/once/", "/plain/"] {
                let path = format!("{path}{}", complete(RawFraming::Length).path());
                scope.spawn(move || {
                    for _ in 0..FUNDING_REQUESTS {
                        site.call(entry, Method::POST, &path, "warm", "key-1");
                    }
                });
            }
        }
    });
}

fn complete(framing: RawFraming) -> FirstResponse {
    FirstResponse {
        framing,
        last_byte: LastByte::Complete,
        end: RawEnd::Marked,
    }
}

fn view(response: &SiteResponse, whole: &str) -> Result<ClientView, String> {
    let ends_after_event = response.body.is_empty() || response.body.ends_with("\n\n");
    if response.status == StatusCode::BAD_GATEWAY && response.complete {
        Ok(ClientView::Unknown)
    } else if response.status == StatusCode::OK && response.complete && response.body == whole {
        Ok(ClientView::Whole)
    } else if response.status == StatusCode::OK
        && !response.complete
        && ends_after_event
        && whole.starts_with(&response.body)
    {
        Ok(ClientView::Broken)
    } else {
        Err(format!("{response:?}"))
    }
}

/// Sends a request for each response and returns those whose outcome or number of runs differs from the expected ones.
fn mismatches(
    site: &TestSite,
    runs: &RunCounts,
    prefix: &str,
    responses: &[FirstResponse],
    expected: impl Fn(FirstResponse) -> (ClientView, u64),
) -> Vec<String> {
    let mut mismatches = Vec::new();
    for (index, response) in responses.iter().enumerate() {
        let path = format!("{prefix}{}", response.path());
        let id = format!("{}-{index}", prefix.trim_matches('/'));
        let whole: String = if prefix.starts_with("/plain/") || prefix.starts_with("/keyed/") {
            plain_parts(&id).concat()
        } else {
            events(&id, 0).concat()
        };
        let client_response = site
            .call(index % 2, Method::POST, &path, &id, "key-1")
            .expect("a response");
        let run_count = runs.get(&id);
        let actual = view(&client_response, &whole).map(|it| (it, run_count));
        if actual != Ok(expected(*response)) {
            mismatches.push(format!("{path}: {actual:?}"));
        }
    }
    mismatches
}

/// Guards against streams that reach the client with a regular end although the replica broke them off inside an event.
#[test]
fn streams_that_end_early_are_resumed_or_visibly_broken() {
    let (site, runs) = start_site("platform-framing-streams", 81);
    let broken = FirstResponse::broken_streams();
    let complete = FRAMINGS.map(complete);
    let mut all = Vec::new();
    for prefix in ["/draft/", "/once/"] {
        all.extend(mismatches(&site, &runs, prefix, &complete, |_| {
            (ClientView::Whole, 1)
        }));
    }
    all.extend(mismatches(&site, &runs, "/draft/early-", &broken, |_| {
        (ClientView::Whole, 2)
    }));
    all.extend(mismatches(
        &site,
        &runs,
        "/once/early-",
        &broken,
        |it| match it.last_byte {
            LastByte::BeforeBody | LastByte::InsideFirst => (ClientView::Unknown, 1),
            _ => (ClientView::Broken, 1),
        },
    ));
    assert!(
        all.is_empty(),
        "streams that ended early: {} differ\n{}",
        all.len(),
        all.join("\n")
    );
}

/// Guards against a resumed stream that looks complete although its second replica broke it off as well.
#[test]
fn resumed_streams_that_end_early_are_visibly_broken() {
    let (site, runs) = start_site("platform-framing-resumed", 89);
    let broken = FirstResponse::broken_streams();
    let all = mismatches(&site, &runs, "/draft/twice-", &broken, |it| {
        match it.last_byte {
            LastByte::BeforeBody | LastByte::InsideFirst => (ClientView::Unknown, 2),
            _ => (ClientView::Broken, 2),
        }
    });
    assert!(
        all.is_empty(),
        "resumed streams that ended early: {} differ\n{}",
        all.len(),
        all.join("\n")
    );
}

/// Guards against half an error response that reaches the client with the replica's status and a regular end.
#[test]
fn error_responses_that_end_early_are_not_complete() {
    let (site, _) = start_site("platform-framing-errors", 93);
    for prefix in ["/once/failing-", "/plain/failing-", "/keyed/failing-"] {
        let id_of = |response: FirstResponse| format!("{}{}", &prefix[1..], response.path());
        let send = |response: FirstResponse| {
            let id = id_of(response);
            site.call(0, Method::POST, &format!("/{id}"), &id, "key-1")
                .expect("a response")
        };
        for framing in FRAMINGS {
            let response = send(complete(framing));
            assert_eq!(response.status, StatusCode::CONFLICT, "{response:?}");
            assert!(
                response.complete && !response.body.is_empty(),
                "{response:?}"
            );
        }
        // An idempotent request is repeated and gets the whole error response of the second replica.
        let is_repeated = prefix.starts_with("/plain/");
        for broken in FirstResponse::broken_whole_responses() {
            let response = send(broken);
            let expected = if is_repeated {
                StatusCode::CONFLICT
            } else {
                StatusCode::BAD_GATEWAY
            };
            assert_eq!(response.status, expected, "{prefix}{broken:?}");
            assert!(response.complete, "{response:?}");
            if is_repeated {
                assert_eq!(response.body, plain_parts(&id_of(broken)).concat());
            }
        }
    }
}

/// Guards against whole responses that reach the client in part because their end was not checked.
#[test]
fn whole_responses_that_end_early_are_repeated_or_refused() {
    let (site, runs) = start_site("platform-framing-whole", 85);
    let broken = FirstResponse::broken_whole_responses();
    let complete = FRAMINGS.map(complete);
    let mut all = Vec::new();
    for prefix in ["/plain/", "/keyed/"] {
        all.extend(mismatches(&site, &runs, prefix, &complete, |_| {
            (ClientView::Whole, 1)
        }));
    }
    all.extend(mismatches(&site, &runs, "/plain/early-", &broken, |_| {
        (ClientView::Whole, 2)
    }));
    all.extend(mismatches(&site, &runs, "/keyed/early-", &broken, |_| {
        (ClientView::Unknown, 1)
    }));
    assert!(
        all.is_empty(),
        "whole responses that ended early: {} differ\n{}",
        all.len(),
        all.join("\n")
    );
}
