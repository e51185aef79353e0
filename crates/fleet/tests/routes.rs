//! Routes and API keys of a configuration.

use std::time::Duration;

use expect_test::{Expect, expect};
use fleet::{CallKind, IngressLimits, KeyTable, Route, RouteTable, RouteTarget};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        targets: vec![RouteTarget {
            service: "stock".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        rank: 1,
        max_pause: Duration::from_millis(400),
        resumable: false,
        home_regions: Vec::new(),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("root", "a.example", "/"),
        route("lists", "a.example", "/lists/"),
        route("spring", "a.example", "/lists/spring/"),
        route("only", "b.example", "/only/"),
    ];
    let limits = IngressLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(7, routes, Vec::new(), KeyTable::default(), limits)
}

fn check(host: &str, path: &str, expected: &Expect) {
    let table = table();
    let name = table.find(host, path).map_or("none", |it| it.name.as_str());
    expected.assert_eq(name);
}

#[test]
fn longest_prefix_wins() {
    check("a.example", "/lists/spring/1", &expect!["spring"]);
    check("a.example", "/lists/spring/", &expect!["spring"]);
    check("a.example", "/lists/spring", &expect!["lists"]);
    check("a.example", "/lists", &expect!["root"]);
    check("a.example", "/", &expect!["root"]);
    check("A.Example", "/x", &expect!["root"]);
    check("b.example", "/only/x/y/z", &expect!["only"]);
    check("b.example", "/other/", &expect!["none"]);
    check("c.example", "/", &expect!["none"]);
    check("a.example", "", &expect!["none"]);
}

#[test]
fn targets_follow_their_weights() {
    let mut route = route("split", "a.example", "/");
    route.targets = vec![
        RouteTarget {
            service: "old".to_owned(),
            weight: 90,
        },
        RouteTarget {
            service: "none".to_owned(),
            weight: 0,
        },
        RouteTarget {
            service: "new".to_owned(),
            weight: 10,
        },
    ];
    let randoms = [0.0, 0.5, 0.899, 0.901, 0.999];
    let services: Vec<&str> = randoms.iter().map(|it| route.target(*it)).collect();
    expect![[r#"["old", "old", "old", "new", "new"]"#]].assert_eq(&format!("{services:?}"));
}

#[test]
fn only_streams_that_can_be_resumed_are_continued_elsewhere_after_a_pause() {
    let check = |kind: CallKind, resumable: bool, expected: Option<u64>| {
        let route = Route {
            kind,
            resumable,
            ..route("r", "a.example", "/")
        };
        assert_eq!(route.silence_timeout(), expected.map(Duration::from_millis));
    };
    check(CallKind::Stream, true, Some(1200));
    check(CallKind::Stream, false, None);
}

#[test]
fn clients_wait_for_several_objectives_or_pauses() {
    let check = |objective_ms: u64, max_pause_ms: u64, expected_ms: u64| {
        let route = Route {
            objective: Duration::from_millis(objective_ms),
            rank: 1,
            max_pause: Duration::from_millis(max_pause_ms),
            ..route("r", "a.example", "/")
        };
        assert_eq!(route.client_patience(), Duration::from_millis(expected_ms));
    };
    check(400, 200, 2000);
    check(600, 200, 2400);
    check(500, 400, 3200);
}
