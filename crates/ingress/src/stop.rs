//! The planned stop: no new clients, requests in progress end, then the process exits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::CallKind;
use httpio::ServerHandle;
use platform::RowWrite;
use slog::{info, warn};

use crate::client_call::ClientCall;
use crate::entry_shared::EntryShared;
use crate::peer_exchange::ENTRY_TABLE;

/// Leaves the directory, serves clients that still hold the address, and waits for the last request.
pub(crate) async fn drain(shared: &Arc<EntryShared>, front: &ServerHandle) {
    let began = Instant::now();
    info!(shared.log, "stopping"; "open_connections" => front.open_connections());
    shared.begin_stop();
    let unlist = tokio::spawn(unlist(shared.clone()));
    tokio::time::sleep(LINGER).await;
    front.stop();
    let deadline = shared
        .settings
        .bounds
        .stop_grace
        .saturating_sub(EXIT_RESERVE);
    while front.open_connections() > 0 && began.elapsed() < deadline {
        tokio::time::sleep(POLL).await;
    }
    unlist.abort();
    info!(
        shared.log, "stopped";
        "open_connections" => front.open_connections(),
        "ms" => u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
    );
}

/// Says whether a leaving entry refuses `call`, because it might not end in time.
pub(crate) fn refuses(shared: &EntryShared, call: &ClientCall) -> bool {
    let Some(since) = shared.stopping_for() else {
        return false;
    };
    call.route.kind == CallKind::Stream && since > LAST_STREAM
}

async fn unlist(shared: Arc<EntryShared>) {
    let row = RowWrite {
        table: ENTRY_TABLE.to_owned(),
        key: shared.settings.node.clone(),
        value: None,
    };
    if let Err(err) = shared.store.write(&[row]).await {
        warn!(shared.log, "own row was not removed"; "error" => err.to_string());
    }
}

/// Time in which clients that hold an old directory answer are still served: three lifetimes of the answer.
const LINGER: Duration = Duration::from_millis(3600);

/// Time after the signal up to which new streams are taken; they last up to about 3 s.
const LAST_STREAM: Duration = Duration::from_millis(2800);

/// Part of the grace that is left for the exit itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Pause between looks at the open connections.
const POLL: Duration = Duration::from_millis(50);
