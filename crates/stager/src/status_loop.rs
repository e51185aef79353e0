//! Sends entries the status of the replica when the weights that it serves change.
//!
//! The registration of the replica in the store contains the same information, but is updated later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{AgentStatus, FleetMessage, PeerRecord};
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::AgentShared;

/// Sends a status message after each change and repeats it a few times, since datagrams may be lost.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let socket = match UdpSocket::bind((shared.settings.ip, 0)).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot bind the socket for status messages"; "error" => err.to_string());
            return;
        }
    };
    let mut entry_list: (Option<Instant>, Vec<SocketAddr>) = (None, Vec::new());
    loop {
        shared.serving_changed.notified().await;
        if entry_list
            .0
            .is_none_or(|it| it.elapsed() > ENTRY_LIST_LIFETIME)
        {
            match shared.store.read_table(ENTRY_TABLE).await {
                Ok(page) => {
                    let records = page.rows.iter().filter_map(|it| it.value.as_ref());
                    let records =
                        records.filter_map(|it| serde_json::from_slice::<PeerRecord>(it).ok());
                    entry_list = (Some(Instant::now()), records.map(|it| it.inner).collect());
                }
                Err(err) => {
                    warn!(shared.log, "cannot read the list of entries"; "error" => err.to_string());
                }
            }
        }
        for delay in RESEND_DELAYS {
            send(&shared, &socket, &entry_list.1);
            // A further change is sent immediately.
            if tokio::time::timeout(delay, shared.serving_changed.notified())
                .await
                .is_ok()
            {
                shared.serving_changed.notify_one();
                break;
            }
        }
    }
}

fn send(shared: &AgentShared, socket: &UdpSocket, entries: &[SocketAddr]) {
    let Some(models) = shared.state().serving.clone() else {
        return;
    };
    let status = AgentStatus {
        replica: shared.replica_address,
        models,
    };
    let bytes = postcard::to_allocvec(&FleetMessage::Agent(status))
        .expect("a status message is always encodable");
    for entry in entries {
        // The next message makes up for a lost one; eventually the registration of the replica in the store does.
        let _ = socket.try_send_to(&bytes, *entry);
    }
}

/// Store table that contains the records of all entries.
const ENTRY_TABLE: &str = "entries";

/// Time after which the list of entries is read again.
const ENTRY_LIST_LIFETIME: Duration = Duration::from_secs(8);

/// Delays after each message for one change. A message may be lost, and entries may still be starting when all hosts
/// start at the same time.
const RESEND_DELAYS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];
