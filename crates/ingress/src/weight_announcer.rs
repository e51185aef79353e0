//! Announces the declared weights, and since when they are declared, to the agents of the zone in datagrams, so that
//! agents need not follow the operator's table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{DeclaredWeights, FleetMessage};
use relay::boot_clock;
use slog::warn;
use tokio::net::UdpSocket;

use crate::entry_shared::EntryShared;

/// Sends the declared weights to the agents at each declaration and periodically, until the process exits.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let socket = match UdpSocket::bind((shared.settings.ip, 0)).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot bind a socket, weights are not announced to agents"; "error" => err.to_string());
            return;
        }
    };
    let mut repetitions = REPETITION_DELAYS.iter();
    loop {
        let delay = repetitions.next().unwrap_or(&ANNOUNCE_INTERVAL);
        let declared = tokio::time::timeout(*delay, shared.weights_declared.notified()).await;
        if declared.is_ok() {
            repetitions = REPETITION_DELAYS.iter();
        }
        let Some((bytes, agents)) = encode_announcement(&shared) else {
            continue;
        };
        for agent in agents {
            // The next datagram has the same content and makes up for a lost one.
            let _ = socket.try_send_to(&bytes, agent);
        }
    }
}

/// Returns the encoded message and its receivers, or `None` if this entry must not announce or other entries of the
/// zone do it.
fn encode_announcement(shared: &EntryShared) -> Option<(Vec<u8>, Vec<SocketAddr>)> {
    let now = Instant::now();
    let settings = &shared.settings;
    let state = shared.state();
    // Without a confirmed configuration, the newest declaration is not known.
    if !state.freshness.is_trusted(boot_clock::now()) {
        return None;
    }
    // A declaration without a time makes agents load at once, as if it had long been in force. So wait until the
    // recorded times have been read.
    let has_undated = state.versions.all().any(|it| !it.2.is_dated());
    if has_undated && !state.declaration_times_read {
        return None;
    }
    let preceding_entries = state
        .peers
        .alive(now)
        .filter(|it| it.zone == settings.zone && it.node < settings.node)
        .count();
    if preceding_entries >= ANNOUNCERS_PER_ZONE {
        return None;
    }
    let weights = state
        .versions
        .all()
        .map(|(model, version, declared)| DeclaredWeights {
            model: model.to_owned(),
            version,
            declared,
        });
    let bytes = postcard::to_allocvec(&FleetMessage::Weights(weights.collect()))
        .expect("encoding declared weights cannot fail");
    let routes = state.routes.as_ref()?;
    let has_engine = |service: &str| {
        routes
            .service(service)
            .is_some_and(|it| it.engine.is_some())
    };
    let agents = state
        .catalog
        .all()
        .filter(|it| it.zone == settings.zone && has_engine(&it.service))
        .map(|it| SocketAddr::from((it.address.ip(), settings.first_port)))
        .collect();
    Some((bytes, agents))
}

/// Time between two messages. Agents fall back to reading the store after they have missed a few.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(700);

/// Delays of the messages after the first one for a declaration. Agents that miss it would begin the transfer later
/// than those that they bring pieces to.
const REPETITION_DELAYS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(200)];

/// Number of entries in a zone that send messages to its agents. Those that are cut off from the store send none.
const ANNOUNCERS_PER_ZONE: usize = 3;
