//! Forwarding, byte counters and fault injection of the proxy and the switch.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use httpio::{HttpClient, Request};
use model::{ModelName, VersionLabel};
use standin::{
    FaultProxy, LinkSwitch, NodeFaults, ProxyFaults, StandinRuntime, SwitchNode, SwitchOptions,
    WeightCatalog, WeightSource, synthetic_weights,
};

#[test]
fn proxy_corrupts_partitions_and_resets() {
    let runtime = StandinRuntime::new(1).unwrap();
    let proxy = FaultProxy::start(&runtime, any_port(), start_echo_server()).unwrap();
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    assert_eq!(round_trip(&mut stream, b"hello").unwrap(), b"hello");

    proxy.set_faults(ProxyFaults {
        corrupt_share: 1.0,
        corrupt_answers_only: true,
        ..ProxyFaults::default()
    });
    assert_ne!(round_trip(&mut stream, b"hello").unwrap(), b"hello");

    proxy.reset_all();
    let err = round_trip(&mut stream, b"hello").unwrap_err();
    assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset);

    proxy.set_faults(ProxyFaults {
        partition: true,
        ..ProxyFaults::default()
    });
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    round_trip(&mut stream, b"hello").unwrap_err();
    assert_eq!(proxy.connections(), 2);
}

#[test]
fn switch_counts_by_host_and_region_and_disconnects_a_host() {
    let runtime = StandinRuntime::new(2).unwrap();
    let mut catalog = WeightCatalog::default();
    let (model, label) = (
        ModelName::new("m").unwrap(),
        VersionLabel::new("v1").unwrap(),
    );
    catalog.add(model, label, 1 << 16, synthetic_weights(1, WEIGHT_BYTES));
    let source = WeightSource::start(&runtime, any_port(), catalog).unwrap();
    let switch = LinkSwitch::new(&runtime, SwitchOptions::default());
    for (name, ip, region) in [("a", 1, "east"), ("b", 2, "west")] {
        switch.add_node(SwitchNode {
            name: name.to_owned(),
            ip: host_ip(ip),
            region: Some(region.to_owned()),
            bytes_per_s: Some(100e6),
        });
    }
    let listen = SocketAddr::new(host_ip(1), 0);
    let address = switch
        .add_route("a", "weights", listen, source.address())
        .unwrap();

    assert_eq!(
        fetch_weights(&runtime, host_ip(2), address),
        Some(WEIGHT_BYTES)
    );
    let counters = switch.route_counters("weights");
    let sent = counters.hosts["a"].sent;
    assert!(sent as usize >= WEIGHT_BYTES, "{sent}");
    assert_eq!(counters.hosts["b"].received, sent);
    let pair = ("east".to_owned(), "west".to_owned());
    assert_eq!(counters.regions[&pair], sent);

    // The switch resets connections from addresses that belong to none of its hosts.
    assert_eq!(fetch_weights(&runtime, host_ip(9), address), None);
    switch.set_node_faults(
        "a",
        NodeFaults {
            disconnected: true,
            ..NodeFaults::default()
        },
    );
    assert_eq!(fetch_weights(&runtime, host_ip(2), address), None);
}

const WEIGHT_BYTES: usize = 1 << 20;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn host_ip(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 9, 9, last))
}

/// Fetches the weights with the source address `from` and returns the size of the body.
fn fetch_weights(runtime: &StandinRuntime, from: IpAddr, address: SocketAddr) -> Option<usize> {
    runtime.block_on(async {
        let client = HttpClient::new(Some(from), Duration::from_secs(5));
        let request = Request::get("/weights/m/v1/data").body(httpio::empty());
        let pooled_response = client.send(address, request.unwrap()).await.ok()?;
        let read = pooled_response.read(&client, 2 * WEIGHT_BYTES, Duration::from_secs(60));
        Some(read.await.ok()?.body().len())
    })
}

/// Starts a TCP server that echoes received bytes.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 1024];
                while let Ok(len @ 1..) = stream.read(&mut buffer) {
                    let _ = stream.write_all(&buffer[..len]);
                }
            });
        }
    });
    address
}

fn round_trip(stream: &mut TcpStream, sent: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(sent)?;
    let mut response = vec![0; sent.len()];
    stream.read_exact(&mut response)?;
    Ok(response)
}
