//! Requests whose bodies reach a gate after their deadlines, on the own interface.

mod support;

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::AttemptId;
use serde_json::Value;
use standin::ProcessFleet;

/// Timeout of every wait, well above what a loaded machine needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Key that all hosts of the fleet share.
const KEY_FILE: &str = "shared-key";

/// Returns the address of the gate on `host`.
fn gate_address(dir: &Path, host: &str) -> SocketAddr {
    let text = fs::read_to_string(dir.join(format!("{host}.jsonc"))).unwrap();
    let settings: Value = serde_json::from_str(&text).unwrap();
    settings["listen"]["gate"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap()
}

/// Sends an order to a gate, as an entry does, and its body after `pause`. Returns the response.
fn send_order(dir: &Path, path: &str, time_limit: Duration, pause: Duration) -> io::Result<String> {
    let secret = fs::read_to_string(dir.join(KEY_FILE)).unwrap();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let attempt = AttemptId::new(since_epoch, rand::random());
    let head = [
        format!("POST {path} HTTP/1.1"),
        "host: gate".to_owned(),
        format!("authorization: Bearer {}", wire::gate_token(&secret)),
        format!("{}: {attempt}", model::ATTEMPT_HEADER),
        format!("{}: order", model::CALL_KIND_HEADER),
        format!("{}: {}", model::DEADLINE_HEADER, time_limit.as_millis()),
        "content-length: 4".to_owned(),
        "connection: close".to_owned(),
    ];
    let mut socket = TcpStream::connect(gate_address(dir, "orders-1"))?;
    socket.set_read_timeout(Some(WAIT_TIMEOUT))?;
    socket.write_all(format!("{}\r\n\r\n", head.join("\r\n")).as_bytes())?;
    std::thread::sleep(pause);
    socket.write_all(b"body")?;
    let mut response = String::new();
    socket.read_to_string(&mut response)?;
    Ok(response)
}

/// Guards against an order that begins after its deadline, because its gate counts the time from when the body has arrived.
#[test]
fn an_order_whose_body_arrives_after_the_deadline_does_not_run() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("late-bodies");
    let fleet = ProcessFleet::start(support::single_zone_plan(&dir)).unwrap();
    let service = &fleet.services["orders-1"];
    let in_time = "/services/orders/in-time";
    fleet
        .wait_for("the gate", WAIT_TIMEOUT, |_| {
            let response = send_order(&dir, in_time, WAIT_TIMEOUT, Duration::ZERO);
            response
                .is_ok_and(|it| it.starts_with("HTTP/1.1 200"))
                .then_some(())
        })
        .unwrap();
    assert!(service.runs_by_path().get(in_time).started > 0);

    let late = "/services/orders/late";
    let time_limit = Duration::from_millis(500);
    let response = send_order(&dir, late, time_limit, 3 * time_limit).unwrap();
    assert!(response.contains("203 deadline-not-run"), "{response}");
    assert_eq!(service.runs_by_path().get(late).started, 0);
}
