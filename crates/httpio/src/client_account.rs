//! The account of what a server holds for its clients, shared by its connections and the handlers of their requests.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::body::HttpBody;
use crate::client_table::{ClientId, ClientTable, ScarceRoom};

/// Bounds the connections of a server, and closes those that wait longest for their clients when others need room.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    max_clients: usize,
    write_timeout: Duration,
    state: Arc<Mutex<AccountState>>,
}

/// What an account holds and has done since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Open connections.
    pub open: usize,
    /// Bytes of heads, bodies and unread responses.
    pub held_bytes: usize,
    /// Connections closed because others needed theirs.
    pub closed_for_connections: u64,
    /// Connections closed because others needed memory.
    pub closed_for_memory: u64,
    /// Connections closed because their client read nothing within the write timeout.
    pub closed_unread: u64,
    /// Connections that were not accepted, because none of the others waited for its client.
    pub refused: u64,
}

/// The connection of a request; an extension of each request that a server with an account receives.
#[derive(Clone, Debug)]
pub struct ClientHandle {
    account: ClientAccount,
    id: ClientId,
}

/// A connection that counts until this value is dropped.
#[derive(Debug)]
pub(crate) struct ClientSlot {
    pub(crate) handle: ClientHandle,
    pub(crate) closed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct AccountState {
    table: ClientTable,
    closers: BTreeMap<ClientId, Arc<Notify>>,
    counts: ClientCounts,
}

impl ClientAccount {
    /// Creates an account for up to `max_clients` connections, each of which is closed when its client reads nothing of a
    /// response for `write_timeout`.
    pub fn new(max_clients: usize, write_timeout: Duration) -> Self {
        Self {
            max_clients,
            write_timeout,
            state: Arc::default(),
        }
    }

    /// Returns what the account holds and has done.
    pub fn counts(&self) -> ClientCounts {
        let state = self.state();
        ClientCounts {
            open: state.table.open_count(),
            held_bytes: state.table.held_bytes(),
            ..state.counts
        }
    }

    /// Takes room for a new connection, for which another one is closed if there is none. Returns `None` if there is nothing
    /// to close, or too many connections are still being closed.
    pub(crate) fn admit(&self) -> Option<ClientSlot> {
        let now = Instant::now();
        let mut state = self.state();
        let is_full = state.table.staying() >= self.max_clients;
        let has_room = !is_full
            || state
                .close_one(ScarceRoom::Connections, None, now)
                .is_some();
        if !has_room || state.table.open_count() >= self.max_clients + MAX_CLOSING {
            state.counts.refused += 1;
            return None;
        }
        let id = state.table.open(now);
        let closed = Arc::new(Notify::new());
        state.closers.insert(id, closed.clone());
        drop(state);
        let handle = ClientHandle {
            account: self.clone(),
            id,
        };
        Some(ClientSlot { handle, closed })
    }

    fn state(&self) -> MutexGuard<'_, AccountState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock of the account")
    }
}

impl AccountState {
    /// Closes the connection that holds most for longest, and returns the bytes that it holds.
    fn close_one(
        &mut self,
        scarce: ScarceRoom,
        except: Option<ClientId>,
        now: Instant,
    ) -> Option<usize> {
        let (id, bytes) = self.table.evict(scarce, except, now)?;
        if let Some(closer) = self.closers.get(&id) {
            closer.notify_one();
        }
        match scarce {
            ScarceRoom::Connections => self.counts.closed_for_connections += 1,
            ScarceRoom::Memory => self.counts.closed_for_memory += 1,
        }
        Some(bytes)
    }
}

impl ClientHandle {
    /// Records whether the server works on a request of this connection, rather than waiting for its client.
    pub fn set_busy(&self, is_busy: bool) {
        let now = Instant::now();
        self.account.state().table.set_busy(self.id, is_busy, now);
    }

    /// Closes connections of other clients that hold about `bytes` together. Returns whether there was any.
    pub(crate) fn close_others(&self, bytes: usize) -> bool {
        let now = Instant::now();
        let mut state = self.account.state();
        let mut released = 0;
        while released < bytes {
            match state.close_one(ScarceRoom::Memory, Some(self.id), now) {
                Some(held) => released += held,
                None => break,
            }
        }
        released > 0
    }

    pub(crate) fn add_bytes(&self, bytes: usize) {
        let now = Instant::now();
        self.account.state().table.add_bytes(self.id, bytes, now);
    }

    pub(crate) fn remove_bytes(&self, bytes: usize) {
        let now = Instant::now();
        self.account.state().table.remove_bytes(self.id, bytes, now);
    }

    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        let now = Instant::now();
        let mut state = self.account.state();
        state.table.set_stalled(self.id, is_stalled, now);
    }

    pub(crate) fn write_timeout(&self) -> Duration {
        self.account.write_timeout
    }

    pub(crate) fn record_unread(&self) {
        self.account.state().counts.closed_unread += 1;
    }

    /// Wraps the body of the response, so that the connection waits for its client again when the body has been passed on.
    pub(crate) fn track(&self, body: HttpBody) -> HttpBody {
        HttpBody::new(TrackedBody {
            body,
            handle: self.clone(),
        })
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        let mut state = self.handle.account.state();
        state.table.remove(self.handle.id);
        state.closers.remove(&self.handle.id);
    }
}

/// The body of a response, during which its connection is busy.
struct TrackedBody {
    body: HttpBody,
    handle: ClientHandle,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.handle.set_busy(false);
    }
}

/// Connections that may be open beyond the maximum, because closing takes a moment.
const MAX_CLOSING: usize = 16;
