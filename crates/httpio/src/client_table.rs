//! Which connections of clients a server closes when it has no room for others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What is scarce when a connection is chosen to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarceRoom {
    /// Connections; any one that waits for its client may be closed.
    Connections,
    /// Memory; only clients that hold some and have waited for [`MIN_HOLD_TIME`] are closed.
    Memory,
}

/// Number of a connection, which is never assigned again.
pub type ClientId = u64;

/// What a server holds for each of its clients.
///
/// A connection waits for its client while it is idle, while a request arrives, and while the client does not read. A
/// connection whose request is being worked on is closed only if its client has stopped reading earlier responses.
#[derive(Debug, Default)]
pub struct ClientTable {
    clients: BTreeMap<ClientId, HeldClient>,
    /// Waiting connections by the magnitude of the bytes that they hold, the longest wait first.
    waiting: BTreeMap<u32, BTreeSet<(Instant, ClientId)>>,
    closing: usize,
    held_bytes: usize,
    next_id: ClientId,
}

#[derive(Clone, Copy, Debug)]
struct HeldClient {
    bytes: usize,
    is_busy: bool,
    is_stalled: bool,
    is_closing: bool,
    waits_since: Instant,
}

impl ClientTable {
    /// Adds a connection, which waits for its first request.
    pub fn open(&mut self, now: Instant) -> ClientId {
        let id = self.next_id;
        self.next_id += 1;
        let client = HeldClient {
            bytes: 0,
            is_busy: false,
            is_stalled: false,
            is_closing: false,
            waits_since: now,
        };
        self.clients.insert(id, client);
        self.add_waiting(id, &client);
        id
    }

    /// Removes a connection that has been closed.
    pub fn remove(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.remove_waiting(id, &client);
            self.held_bytes -= client.bytes;
            self.closing -= usize::from(client.is_closing);
        }
    }

    /// Records whether the server works on a request of the connection. It waits from `now` on if not.
    pub fn set_busy(&mut self, id: ClientId, is_busy: bool, now: Instant) {
        self.update(id, now, |it| it.is_busy = is_busy);
    }

    /// Records whether the client has stopped reading its response.
    pub fn set_stalled(&mut self, id: ClientId, is_stalled: bool, now: Instant) {
        self.update(id, now, |it| it.is_stalled = is_stalled);
    }

    /// Records that the connection holds `bytes` more.
    pub fn add_bytes(&mut self, id: ClientId, bytes: usize, now: Instant) {
        if self.clients.contains_key(&id) {
            self.held_bytes += bytes;
        }
        self.update(id, now, |it| it.bytes += bytes);
    }

    /// Records that the connection holds `bytes` less.
    pub fn remove_bytes(&mut self, id: ClientId, bytes: usize, now: Instant) {
        if self.clients.contains_key(&id) {
            self.held_bytes -= bytes;
        }
        self.update(id, now, |it| it.bytes -= bytes);
    }

    /// Chooses the connection to close and returns it with the bytes that it holds: the one whose product of what it holds and
    /// of the time for which it waits is largest. `None` if no connection waits for its client, apart from `except`.
    ///
    /// Only the longest wait of each magnitude of bytes is compared, so the cost doesn't depend on the number of clients.
    pub fn evict(
        &mut self,
        scarce: ScarceRoom,
        except: Option<ClientId>,
        now: Instant,
    ) -> Option<(ClientId, usize)> {
        let first_magnitude = u32::from(scarce == ScarceRoom::Memory);
        let longest = self.waiting.range(first_magnitude..);
        let longest = longest.filter_map(|(_, waiting)| {
            let mut waiting = waiting.iter().take(2);
            waiting.find(|(_, id)| Some(*id) != except)
        });
        let weight = |since: Instant, id: &ClientId| {
            let waited = now.saturating_duration_since(since).as_micros();
            waited * (CONNECTION_BYTES + self.clients[id].bytes) as u128
        };
        let (since, id) = longest
            .filter(|(since, _)| {
                let waited = now.saturating_duration_since(*since);
                scarce == ScarceRoom::Connections || waited >= MIN_HOLD_TIME
            })
            .max_by_key(|(since, id)| weight(*since, id))
            .copied()?;
        let client = self.clients.get_mut(&id)?;
        debug_assert_eq!(client.waits_since, since);
        let before = *client;
        client.is_closing = true;
        self.closing += 1;
        self.remove_waiting(id, &before);
        Some((id, before.bytes))
    }

    /// Returns the number of connections that are open and are not about to be closed.
    pub fn staying(&self) -> usize {
        self.clients.len() - self.closing
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.clients.len()
    }

    /// Returns the bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn update(&mut self, id: ClientId, now: Instant, change: impl FnOnce(&mut HeldClient)) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let before = *client;
        change(client);
        if client.waits() && !before.waits() {
            client.waits_since = now;
        }
        let after = *client;
        self.remove_waiting(id, &before);
        self.add_waiting(id, &after);
    }

    fn add_waiting(&mut self, id: ClientId, client: &HeldClient) {
        if client.waits() && !client.is_closing {
            let waiting = self.waiting.entry(magnitude(client.bytes)).or_default();
            waiting.insert((client.waits_since, id));
        }
    }

    fn remove_waiting(&mut self, id: ClientId, client: &HeldClient) {
        if let Some(waiting) = self.waiting.get_mut(&magnitude(client.bytes)) {
            waiting.remove(&(client.waits_since, id));
        }
    }
}

impl HeldClient {
    fn waits(&self) -> bool {
        !self.is_busy || self.is_stalled
    }
}

fn magnitude(bytes: usize) -> u32 {
    usize::BITS - bytes.leading_zeros()
}

/// Memory of a connection without a request; 18 to 26 kB were measured, with a head that has arrived partially.
pub const CONNECTION_BYTES: usize = 32 * 1024;

/// Time for which a client that holds memory is not closed for others. Clients that send large bodies at the same time would
/// otherwise close each other's connections, and none would finish.
pub const MIN_HOLD_TIME: Duration = Duration::from_secs(1);
