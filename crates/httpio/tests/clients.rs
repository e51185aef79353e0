//! Which connection is closed when a server has no room for others.

use std::time::{Duration, Instant};

use httpio::{ClientTable, ScarceRoom};

/// A connection: bytes that it holds, seconds for which it has waited, or `None` while the server works on its request.
type Client = (usize, Option<u64>);

/// Guards against refusing new clients while others hold connections or memory without using them, against closing those that
/// do, and against closing clients that send large bodies at the same time.
#[test]
fn the_client_that_holds_most_for_longest_is_closed() {
    let (few, many) = (2_000, 4_000_000);
    let any = ScarceRoom::Connections;
    let memory = ScarceRoom::Memory;
    let table: &[(&str, ScarceRoom, &[Client], Option<usize>)] = &[
        ("none", any, &[], None),
        (
            "the oldest",
            any,
            &[(0, Some(3)), (0, Some(9)), (0, Some(1))],
            Some(1),
        ),
        (
            "busy ones stay",
            any,
            &[(many, None), (0, Some(0))],
            Some(1),
        ),
        ("only busy ones", any, &[(many, None), (0, None)], None),
        (
            "large before old",
            any,
            &[(0, Some(12)), (many, Some(1))],
            Some(1),
        ),
        (
            "very old before small",
            any,
            &[(0, Some(14)), (few, Some(2))],
            Some(0),
        ),
        (
            "no memory in idle ones",
            memory,
            &[(0, Some(14)), (few, Some(2))],
            Some(1),
        ),
        (
            "a large body that arrives",
            memory,
            &[(many, Some(0))],
            None,
        ),
        (
            "the larger body",
            memory,
            &[(few, Some(5)), (many, Some(2))],
            Some(1),
        ),
        (
            "the older body",
            memory,
            &[(many, Some(2)), (many, Some(3))],
            Some(1),
        ),
    ];
    let now = Instant::now() + Duration::from_secs(1000);
    for (name, scarce, clients, expected) in table {
        let mut table = ClientTable::default();
        let mut ids = Vec::new();
        for (bytes, waited) in *clients {
            let since = now - Duration::from_secs(waited.unwrap_or(0));
            let id = table.open(since);
            table.add_bytes(id, *bytes, since);
            table.set_busy(id, waited.is_none(), since);
            ids.push(id);
        }
        let evicted = table.evict(*scarce, None, now).map(|it| it.0);
        let evicted = evicted.and_then(|id| ids.iter().position(|it| *it == id));
        assert_eq!(evicted, *expected, "{name}");
        assert_eq!(
            table.staying() + usize::from(expected.is_some()),
            clients.len(),
            "{name}"
        );
    }
}

/// Guards against a wait that a client shortens by reading or sending a little, and against counts that drift.
#[test]
fn a_wait_begins_when_the_work_on_a_request_ends() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut table = ClientTable::default();
    let (slow, other) = (table.open(at(0)), table.open(at(1)));
    table.add_bytes(slow, 500, at(2));
    table.set_stalled(slow, true, at(2));
    table.set_stalled(slow, false, at(3));
    table.set_busy(other, true, at(3));
    table.set_busy(other, false, at(4));
    assert_eq!(table.held_bytes(), 500);
    assert_eq!(table.evict(ScarceRoom::Memory, Some(slow), at(9)), None);
    assert_eq!(
        table.evict(ScarceRoom::Connections, None, at(9)),
        Some((slow, 500))
    );
    table.remove(slow);
    table.remove_bytes(slow, 500, at(9));
    assert_eq!(
        (table.held_bytes(), table.open_count(), table.staying()),
        (0, 1, 1)
    );
}
