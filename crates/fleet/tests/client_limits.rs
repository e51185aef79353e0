//! How much of its host an entry gives to clients.

use fleet::{ClientLimits, ClientMemory};

const MIB: usize = 1 << 20;

/// Guards against limits that exceed the host, and against limits that the clients of the smallest entries reach: 300 connections
/// with requests of a few kB.
#[test]
fn limits_follow_the_host_and_leave_room_for_its_clients() {
    // Descriptors and memory of the smallest and the largest entries, of older settings without memory, and of a tiny host.
    let hosts = [
        (2870, Some(112 * MIB)),
        (4100, Some(160 * MIB)),
        (8192, Some(512 * MIB)),
        (4100, None),
        (1900, Some(64 * MIB)),
    ];
    for (descriptors, ram_bytes) in hosts {
        let limits = ClientLimits::new(descriptors, ram_bytes, 32 * 1024);
        let shared = [
            limits.front,
            limits.directory,
            limits.ready,
            limits.internal,
            limits.metrics,
        ];
        let connections: usize = shared.iter().sum();
        assert!(connections + 1200 <= descriptors, "{descriptors}");
        if descriptors >= 2870 {
            assert!(limits.front >= 500 && limits.directory >= 200, "{limits:?}");
        }
        let Some(ClientMemory {
            requests,
            responses,
        }) = limits.memory
        else {
            assert_eq!(ram_bytes, None);
            continue;
        };
        let held = connections * 32 * 1024 + requests + responses;
        assert!(held <= ram_bytes.unwrap() * 3 / 4, "{limits:?}");
        assert!(requests >= 300 * 8192 || descriptors < 2870, "{limits:?}");
        assert!(
            requests >= 2 * 4_194_304,
            "a body of legal size has no room: {limits:?}"
        );
    }
}
