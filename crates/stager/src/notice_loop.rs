//! Tells entries what the replica serves, so that they need not wait for its next entry in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{AgentNotice, FleetMessage, PeerRecord};
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
        for _ in 0..REPEATS {
            let notice = AgentNotice {
                replica: shared.replica_address,
                models: shared.state().serving.clone(),
            };
            let bytes = postcard::to_allocvec(&FleetMessage::Agent(notice))
                .expect("a notice is always encodable");
            for entry in &entries.1 {
                // A lost datagram is made good by the next one, and in the end by the replica's entry in the store.
                let _ = socket.try_send_to(&bytes, *entry);
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }
}

/// Table of the store in which entries list themselves.
const ENTRY_TABLE: &str = "entries";

/// Time for which the list of entries is used.
const LIST_LIFETIME: Duration = Duration::from_secs(8);

/// Datagrams for one change.
const REPEATS: usize = 2;

/// Pause between them.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);
