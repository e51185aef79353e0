//! Asks another entry for its configuration if the feed does not bring it.

use std::sync::Arc;
use std::time::Instant;

use fleet::PeerRecord;
use slog::{info, warn};

use crate::entry_shared::EntryShared;
use crate::operator_rows;

/// Starts a request to `peer` if its configuration is newer and [`fleet::ConfigLag`] decides to ask.
pub(crate) fn consider(shared: &Arc<EntryShared>, peer: &PeerRecord) {
    let mut state = shared.state();
    let own = state.routes.as_ref().map_or(0, |it| it.version());
    let now = Instant::now();
    let newest = peer.reading.map_or(0, |it| it.config_version);
    let must_ask = state.config_lag.record(own, newest, now);
    drop(state);
    if must_ask {
        tokio::spawn(fetch(shared.clone(), peer.clone(), own));
    }
}

async fn fetch(shared: Arc<EntryShared>, peer: PeerRecord, own: u64) {
    match relay::fetch_config(&shared.replica_client, peer.inner, own).await {
        Ok(Some(document)) => {
            info!(shared.log, "configuration of another entry"; "entry" => &peer.node, "version" => peer.reading.map(|it| it.config_version));
            operator_rows::apply_config(&shared, &document, None);
        }
        // The feed has brought it meanwhile, or the entry has started again.
        Ok(None) => {}
        Err(err) => {
            warn!(shared.log, "configuration of another entry not read"; "entry" => &peer.node, "error" => err);
        }
    }
}
