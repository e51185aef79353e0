//! Planned stop: the entry accepts no new clients, finishes the requests in flight and then exits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::CallKind;
use httpio::ServerHandle;
use platform::RowWrite;
use slog::{info, warn};

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::peer_exchange::ENTRY_TABLE;

/// Leaves the directory, serves clients that still use its address, and waits for the requests in flight.
pub(crate) async fn drain(shared: &Arc<EntryShared>, front: &ServerHandle) {
    let began = Instant::now();
    info!(shared.log, "stopping"; "open_connections" => front.open_connections());
    shared.begin_stop();
    let deregister = tokio::spawn(deregister(shared.clone()));
    tokio::time::sleep(DIRECTORY_GRACE).await;
    front.stop();
    let deadline = shared
        .settings
        .bounds
        .stop_grace
        .saturating_sub(EXIT_RESERVE);
    while !front.is_finished() && began.elapsed() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    deregister.abort();
    info!(
        shared.log, "stopped";
        "open_connections" => front.open_connections(),
        "ms" => u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
    );
}

/// Returns whether the entry must refuse `call` because it is stopping and the request may not end in time.
pub(crate) fn must_refuse(shared: &EntryShared, call: &ClientCall) -> bool {
    let Some(elapsed_since_stop) = shared.time_since_stop() else {
        return false;
    };
    call.route.kind == CallKind::Stream && elapsed_since_stop > NEW_STREAM_WINDOW
}

async fn deregister(shared: Arc<EntryShared>) {
    let row = RowWrite {
        table: ENTRY_TABLE.to_owned(),
        key: shared.settings.node.clone(),
        value: None,
    };
    if let Err(err) = shared.store.write(&[row]).await {
        warn!(shared.log, "removing the own row failed"; "error" => err.to_string());
    }
}

/// Time for which clients with an outdated directory response are still served: three times the TTL of the response.
const DIRECTORY_GRACE: Duration = Duration::from_millis(3600);

/// Time after the stop signal in which new streams are still accepted; they take up to about 3 s.
const NEW_STREAM_WINDOW: Duration = Duration::from_millis(2800);

/// Part of the grace period that is reserved for the exit itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Interval at which the number of open connections is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
