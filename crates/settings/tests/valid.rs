//! Values read from valid settings.

use std::path::Path;

use expect_test::{Expect, expect};

fn check(file: &str, expected: Expect) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file);
    let text = match settings::read(&path) {
        Ok(settings) => format!("{settings:?}"),
        Err(err) => panic!("{err}"),
    };
    expected.assert_eq(&text);
}

#[test]
fn every_field_of_an_entry() {
    check(
        "entry.jsonc",
        expect![[
            r#"Entry(EntrySettings { host: HostSettings { name: HostName("e1"), zone: ZoneName("z1"), region: RegionName("r1"), ip: 127.0.0.1 }, listen: EntryListen { callers: 127.0.0.1:7001, operators: 127.0.0.1:7002, control: 127.0.0.1:7003 }, entries: [127.0.0.2:7003, 127.0.0.3:7003], platform: PlatformSettings { table: 127.0.0.9:7101, objects: 127.0.0.9:7102, hosts: Some(127.0.0.9:7103) }, sources: SourceSettings { origin: 127.0.0.9:7104, weight_store: Some(127.0.0.9:7105) }, shared_key: SecretText(***), operators: [OperatorSettings { name: "ana", token: SecretText(***) }], callers: [CallerSettings { organisation: OrganisationName("acme"), token: SecretText(***) }, CallerSettings { organisation: OrganisationName("acme"), token: SecretText(***) }], limits: CallLimits { max_connections: 100, max_streams: 90, max_body_bytes: 65536, max_held_body_bytes: 1048576, max_headers: 32, max_header_bytes: 8192, header_timeout: 1s, body_timeout: 2s, default_deadline: 3s, queue_length: 10, directory_ttl: 5s, max_operator_connections: 12 }, spread: SpreadSettings { profile: Time, origin_copies: 3.5, store_copies: 0.0 }, metrics: Some(MetricSettings { statsd: 127.0.0.9:8125, prefix: "test" }), log: LogSettings { level: Debug } })"#
        ]],
    );
}

#[test]
fn every_field_of_a_model_agent() {
    check(
        "model-agent.jsonc",
        expect![[
            r#"Agent(AgentSettings { host: HostSettings { name: HostName("m1"), zone: ZoneName("z1"), region: RegionName("r1"), ip: 127.0.1.1 }, listen: AgentListen { gate: 0.0.0.0:7201, peers: 0.0.0.0:7202, control: 0.0.0.0:7203, operators: 127.0.1.1:7204 }, advertise: AgentAdvertise { gate: 127.0.1.1:7201, peers: 127.0.1.1:7202, control: 127.0.1.1:7203 }, bind_ip: Some(127.0.1.1), entries: [127.0.0.1:7003], target: Model { model: ModelName("chat"), engine: 127.0.1.1:7301, checks_fencing: true, loads_beside: true, max_in_flight: 16 }, sources: SourceSettings { origin: 127.0.0.9:7104, weight_store: Some(127.0.0.9:7105) }, spread: TransferSettings { memory_bytes: 1048576, link_bytes_per_s: 1000000, live_share: 0.5, fetch_parallel: 2, serve_parallel: 3 }, shared_key: SecretText(***), operators: [OperatorSettings { name: "ana", token: SecretText(***) }], limits: GateLimits { max_connections: 100, max_body_bytes: 65536, max_held_body_bytes: 1048576, max_headers: 40, max_header_bytes: 9000, header_timeout: 1s, body_timeout: 2s, max_operator_connections: 12 }, drain_warn: 10s, heartbeat: 500ms, metrics: Some(MetricSettings { statsd: 127.0.0.9:8125, prefix: "test" }), log: LogSettings { level: Warning } })"#
        ]],
    );
}

#[test]
fn defaults_of_a_service_agent() {
    check(
        "service-agent.jsonc",
        expect![[
            r#"Agent(AgentSettings { host: HostSettings { name: HostName("s1"), zone: ZoneName("z1"), region: RegionName("r1"), ip: 127.0.2.1 }, listen: AgentListen { gate: 127.0.2.1:7201, peers: 127.0.2.1:7202, control: 127.0.2.1:7203, operators: 127.0.2.1:7204 }, advertise: AgentAdvertise { gate: 127.0.2.1:7201, peers: 127.0.2.1:7202, control: 127.0.2.1:7203 }, bind_ip: None, entries: [127.0.0.1:7003], target: Service { service: ServiceName("orders"), address: 127.0.2.1:7301, max_in_flight: 8 }, sources: SourceSettings { origin: 127.0.0.9:7104, weight_store: None }, spread: TransferSettings { memory_bytes: 1048576, link_bytes_per_s: 1000000, live_share: 0.25, fetch_parallel: 4, serve_parallel: 4 }, shared_key: SecretText(***), operators: [], limits: GateLimits { max_connections: 4096, max_body_bytes: 1048576, max_held_body_bytes: 268435456, max_headers: 80, max_header_bytes: 20480, header_timeout: 10s, body_timeout: 30s, max_operator_connections: 64 }, drain_warn: 60s, heartbeat: 1s, metrics: None, log: LogSettings { level: Info } })"#
        ]],
    );
}

#[test]
fn secrets_compare_exactly_and_are_redacted() {
    let secret = settings::SecretText::new("s3cret");
    assert!(secret.matches("s3cret"));
    assert!(!secret.matches("s3cre"));
    assert!(!secret.matches(""));
    assert_eq!(format!("{secret} {secret:?}"), "*** SecretText(***)");
}
