//! Tells entries what the replica serves, so that they need not wait for its next entry in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{AgentStatus, FleetMessage, PeerRecord};
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::AgentShared;

/// Sends a notice after each change, a few times, since datagrams may be lost.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let socket = match UdpSocket::bind((shared.settings.ip, 0)).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "entries will not be told of weights"; "error" => err.to_string());
            return;
        }
    };
    let mut entries: (Option<Instant>, Vec<SocketAddr>) = (None, Vec::new());
    loop {
        shared.served.notified().await;
        if entries.0.is_none_or(|it| it.elapsed() > LIST_LIFETIME) {
            match shared.store.read_table(ENTRY_TABLE).await {
                Ok(page) => {
                    let records = page.rows.iter().filter_map(|it| it.value.as_ref());
                    let records =
                        records.filter_map(|it| serde_json::from_slice::<PeerRecord>(it).ok());
                    entries = (Some(Instant::now()), records.map(|it| it.inner).collect());
                }
                Err(err) => {
                    warn!(shared.log, "list of entries not read"; "error" => err.to_string());
                }
            }
        }
        for pause in REPEAT_PAUSES {
            send(&shared, &socket, &entries.1);
            // A change meanwhile is told at once.
            if tokio::time::timeout(pause, shared.served.notified())
                .await
                .is_ok()
            {
                shared.served.notify_one();
                break;
            }
        }
    }
}

fn send(shared: &AgentShared, socket: &UdpSocket, entries: &[SocketAddr]) {
    let Some(models) = shared.state().serving.clone() else {
        return;
    };
    let notice = AgentStatus {
        replica: shared.replica_address,
        models,
    };
    let bytes =
        postcard::to_allocvec(&FleetMessage::Agent(notice)).expect("a notice is always encodable");
    for entry in entries {
        // A lost datagram is made good by the next one, and in the end by the replica's entry in the store.
        let _ = socket.try_send_to(&bytes, *entry);
    }
}

/// Table of the store in which entries list themselves.
const ENTRY_TABLE: &str = "entries";

/// Time for which the list of entries is used.
const LIST_LIFETIME: Duration = Duration::from_secs(8);

/// Pauses after the datagrams for one change: one may be lost, and entries may be starting when all machines do.
const REPEAT_PAUSES: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];
