//! Sends entries the status of the replica when the weights that it serves or its limit change.
//!
//! The registration of the replica in the store contains the same information, but is updated later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{AgentStatus, FleetMessage, PeerRecord, RelayScope, ReportedLimit};
use platform::CallError;
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::AgentShared;

/// Sends a status message after each change and repeats it a few times, since datagrams may be lost.
///
/// The message goes to one entry, which passes it on to all others. Repetitions go to other entries of the zone.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let socket = match UdpSocket::bind((shared.settings.ip, 0)).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot bind the socket for status messages"; "error" => err.to_string());
            return;
        }
    };
    let mut entries = Vec::new();
    loop {
        shared.serving_changed.notified().await;
        let heard = heard_entries(&shared);
        if !heard.is_empty() {
            entries = heard;
        }
        // While the store is away, entries send nothing and cannot be listed; those known before most likely still run.
        if entries.is_empty() {
            match listed_entries(&shared).await {
                Ok(listed) => entries = listed,
                // The registration of the replica in the store tells entries later.
                Err(err) => {
                    warn!(shared.log, "cannot read the list of entries"; "error" => err.to_string());
                    continue;
                }
            }
        }
        for (index, delay) in RESEND_DELAYS.into_iter().enumerate() {
            if let Some(entry) = entries.get(index % entries.len().max(1)) {
                send(&shared, &socket, *entry);
            }
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

/// Returns the entries of the zone that have sent messages, most recently first.
fn heard_entries(shared: &AgentShared) -> Vec<SocketAddr> {
    let state = shared.state();
    let mut heard: Vec<_> = state
        .entries
        .iter()
        .map(|it| (it.1.elapsed(), *it.0))
        .collect();
    heard.sort_unstable();
    heard.into_iter().map(|it| it.1).take(MAX_ENTRIES).collect()
}

/// Returns entries of the zone that the store lists.
async fn listed_entries(shared: &AgentShared) -> Result<Vec<SocketAddr>, CallError> {
    let page = shared.store.read_table(ENTRY_TABLE).await?;
    let values = page.rows.iter().filter_map(|it| it.value.as_ref());
    let records = values.filter_map(|it| serde_json::from_slice::<PeerRecord>(it).ok());
    let in_zone = records.filter(|it| it.zone == shared.settings.zone);
    Ok(in_zone.map(|it| it.inner).take(MAX_ENTRIES).collect())
}

fn send(shared: &AgentShared, socket: &UdpSocket, entry: SocketAddr) {
    let Some(models) = shared.state().serving.clone() else {
        return;
    };
    let status = AgentStatus {
        relay: RelayScope::AllZones,
        replica: shared.replica_address,
        models,
        limit: reported_limit(shared),
        leaving: shared
            .state()
            .last_report
            .as_ref()
            .is_some_and(|it| it.0.leaving),
    };
    let bytes = postcard::to_allocvec(&FleetMessage::Agent(status))
        .expect("a status message is always encodable");
    // The next message makes up for a lost one; eventually the registration of the replica in the store does.
    let _ = socket.try_send_to(&bytes, entry);
}

/// Returns what the replica said about its limit in its last report.
fn reported_limit(shared: &AgentShared) -> ReportedLimit {
    let state = shared.state();
    let Some((report, polled_at)) = &state.last_report else {
        return ReportedLimit::default();
    };
    ReportedLimit {
        started_ms: report.started_ms,
        limit: state.named_limit,
        age_ms: u32::try_from(polled_at.elapsed().as_millis()).unwrap_or(u32::MAX),
    }
}

/// Store table that contains the records of all entries.
const ENTRY_TABLE: &str = "entries";

/// Maximum number of entries that messages are sent to in turn.
const MAX_ENTRIES: usize = 3;

/// Delays after each message for one change. A message may be lost, and entries may still be starting when all hosts
/// start at the same time.
const RESEND_DELAYS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
];
