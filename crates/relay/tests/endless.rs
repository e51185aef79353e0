//! Entries that respond without end to requests for the changes of a table.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use fleet::{FeedTable, PackedBytes};
use httpio::HttpClient;
use relay::RelayRequest;

/// Number of responses that an entry reads at the same time, at most.
const RESPONSES: usize = 4;

/// Memory in kilobytes that they may take; half of that of the smallest entry.
const MAX_PEAK_KB: u64 = 130_000;

/// Starts a server that responds to each request with chunks without end.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || -> std::io::Result<()> {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let mut byte = [0];
                    socket.read_exact(&mut byte)?;
                    head.extend(byte);
                }
                socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
                loop {
                    socket.write_all(chunk.as_bytes())?;
                }
            });
        }
    });
    address
}

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let value = line.and_then(|it| it.trim().strip_suffix(" kB"));
    value.and_then(|it| it.parse().ok()).expect("a peak in kB")
}

/// Guards against a process that runs out of memory because another one sends bytes without end in place of a table.
#[test]
fn responses_without_end_take_little_memory() {
    let address = start_server();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let results = runtime.block_on(async {
        let client = HttpClient::new(None, Duration::from_secs(10));
        let request = RelayRequest {
            table: FeedTable::Operator,
            since: None,
            long_poll: false,
        };
        let fetches = (0..RESPONSES).map(|_| relay::fetch_changes(&client, address, request));
        futures::future::join_all(fetches).await
    });
    assert!(results.iter().all(Result::is_err));
    let peak_kb = peak_memory_kb();
    println!("peak {peak_kb} kB");
    assert!(peak_kb < MAX_PEAK_KB, "{peak_kb} kB are used");
}

/// Guards against a few compressed bytes that stand for more than the memory of a process.
#[test]
fn bytes_that_are_packed_from_too_many_are_damaged() {
    let large = vec![0; 17 * 1024 * 1024];
    assert_eq!(PackedBytes::pack(&large), None);
    let packed = PackedBytes::pack(&large[..1000]).unwrap();
    assert_eq!(packed.unpack(), Some(large[..1000].to_vec()));
    let claimed = postcard::to_allocvec(&(u32::MAX, vec![0_u8; 10])).unwrap();
    let claimed: PackedBytes = postcard::from_bytes(&claimed).unwrap();
    assert_eq!(claimed.unpack(), None);
}
