//! What the entry holds for its clients: connections of each address, heads, bodies and unread responses.
//!
//! The bounds are `fleet::ClientLimits`; which connection is closed when they are reached is decided in `httpio`.

use std::sync::Arc;
use std::time::Duration;

use fleet::{ClientLimits, ClientMemory};
use httpio::{BufferBudget, CONNECTION_BYTES, ClientAccount, ClientCounts, HeaderMap};
use platform::NodeSettings;
use slog::warn;

use crate::entry_shared::EntryShared;

/// The accounts of the addresses that the entry listens on.
#[derive(Debug)]
pub(crate) struct ClientAccounts {
    pub(crate) front: ClientAccount,
    pub(crate) directory: ClientAccount,
    pub(crate) ready: ClientAccount,
    pub(crate) internal: ClientAccount,
    pub(crate) metrics: ClientAccount,
}

impl ClientAccounts {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        let account = |max_clients| ClientAccount::new(max_clients, WRITE_TIMEOUT);
        Self {
            front: account(limits.front),
            directory: account(limits.directory),
            ready: account(limits.ready),
            internal: account(limits.internal),
            metrics: account(limits.metrics),
        }
    }

    /// Returns the name of each address and what is held for its clients.
    pub(crate) fn counts(&self) -> [(&'static str, ClientCounts); 5] {
        [
            ("front", self.front.counts()),
            ("directory", self.directory.counts()),
            ("ready", self.ready.counts()),
            ("internal", self.internal.counts()),
            ("metrics", self.metrics.counts()),
        ]
    }
}

/// Returns what the host leaves for clients.
pub(crate) fn client_limits(settings: &NodeSettings) -> ClientLimits {
    ClientLimits::new(
        settings.max_descriptors,
        settings.ram_bytes,
        CONNECTION_BYTES,
    )
}

/// Returns the memory for requests and that for responses.
pub(crate) fn budgets(memory: Option<ClientMemory>) -> (BufferBudget, BufferBudget) {
    match memory {
        Some(memory) => (
            BufferBudget::new(memory.requests).with_unshared_bytes(UNSHARED_BYTES),
            BufferBudget::new(memory.responses).with_unshared_bytes(UNSHARED_BYTES),
        ),
        None => (
            BufferBudget::new(REQUEST_BUDGET_BYTES),
            BufferBudget::new(RESPONSE_BUDGET_BYTES),
        ),
    }
}

/// Returns an estimate of the memory that a parsed head takes, once for the request and once for its copy to a replica.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let text = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    2 * (text.sum::<usize>() + headers.len() * FIELD_BYTES)
}

/// Counts and logs once a second which connections were closed or refused, if there were any.
pub(crate) async fn log_closed(shared: Arc<EntryShared>) {
    let mut last = shared.client_accounts.counts();
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        let current = shared.client_accounts.counts();
        for ((address, counts), (_, before)) in current.iter().zip(&last) {
            let for_connections = counts.closed_for_connections - before.closed_for_connections;
            let for_memory = counts.closed_for_memory - before.closed_for_memory;
            let unread = counts.closed_unread - before.closed_unread;
            let refused = counts.refused - before.refused;
            if for_connections + for_memory + unread + refused == 0 {
                continue;
            }
            for (why, count) in [
                ("connections", for_connections),
                ("memory", for_memory),
                ("unread", unread),
                ("refused", refused),
            ] {
                let closed = &shared.metrics.clients_closed;
                closed.with_label_values(&[address, why]).inc_by(count);
            }
            warn!(
                shared.log, "connections of clients closed";
                "address" => address,
                "for_connections" => for_connections,
                "for_memory" => for_memory,
                "unread" => unread,
                "refused" => refused,
                "open" => counts.open,
                "held_bytes" => counts.held_bytes,
            );
        }
        last = current;
    }
}

/// Time after which a connection is closed whose client reads nothing of a response; the usual time for which connections may
/// be idle.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval of log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Size of a head or body that needs no share of the memory. Ordinary requests are served while others hold all of it.
const UNSHARED_BYTES: usize = 8 * 1024;

/// Memory of a header field in addition to its text: the entry of the map with a name, a value and their allocations.
const FIELD_BYTES: usize = 160;

/// Memory for the bodies of responses if that of the host is not known, beside 64 KiB of each and one body of any size.
const RESPONSE_BUDGET_BYTES: usize = 32 * 1024 * 1024;

/// Memory for requests if that of the host is not known, beside 64 KiB of each.
const REQUEST_BUDGET_BYTES: usize = 128 * 1024 * 1024;
