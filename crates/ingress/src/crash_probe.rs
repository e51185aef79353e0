//! Finds out whether a replica whose connection broke has ended.
//!
//! A connection also breaks when a replica resets it or when the network fails. Only a host that refuses a new connection
//! shows that no process listens there any more. See `docs/incidents/crashing-prompts.md`.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{LogKind, Replica};
use slog::info;
use tokio::net::TcpStream;

use crate::crash_guard;
use crate::entry_shared::EntryShared;

/// State of a replica after a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    /// Its host refuses connections, so the replica has ended.
    Ended,
    /// It accepts connections.
    Listening,
    /// There is no answer, as from a host that is cut off, frozen or without power.
    Unreachable,
}

impl ProbeResult {
    /// Returns the name of the result in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Listening => "listening",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Probes `replica` after a connection to it broke in the middle of a request.
pub(crate) fn start(shared: &Arc<EntryShared>, replica: &Replica) {
    let (shared, replica) = (shared.clone(), replica.clone());
    tokio::spawn(async move {
        let result = probe(replica.address).await;
        shared
            .metrics
            .broken_connections
            .with_label_values(&[result.label()])
            .inc();
        if shared.may_log(LogKind::Failed) {
            info!(shared.log, "replica probed after its connection broke"; "replica" => &replica.id, "result" => result.label());
        }
        crash_guard::record_probe(&shared, &replica, result == ProbeResult::Ended);
    });
}

async fn probe(address: SocketAddr) -> ProbeResult {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Listening,
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => ProbeResult::Ended,
        Ok(Err(_)) | Err(_) => ProbeResult::Unreachable,
    }
}

/// Timeout of a probe; many round trips. A refusal arrives after one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
