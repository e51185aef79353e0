//! Tells the agents of the zone which weights are declared, and since when, so that they need not follow the operator's rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{DeclaredWeights, FleetMessage};
use slog::warn;
use tokio::net::UdpSocket;

use crate::entry_shared::EntryShared;

/// Tells agents at each declaration and from time to time, for as long as the process lives.
pub(crate) async fn run(shared: Arc<EntryShared>) {
    let socket = match UdpSocket::bind((shared.settings.ip, 0)).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "agents will not be told of weights"; "error" => err.to_string());
            return;
        }
    };
    loop {
        // A declaration and the interval lead to the same message.
        let _ = tokio::time::timeout(TELL_INTERVAL, shared.declared.notified()).await;
        let Some((bytes, agents)) = message(&shared) else {
            continue;
        };
        for agent in agents {
            // Datagrams may be lost anyway; the next one says the same.
            let _ = socket.try_send_to(&bytes, agent);
        }
    }
}

/// Returns the message and its receivers, or `None` where other entries of the zone tell them.
fn message(shared: &EntryShared) -> Option<(Vec<u8>, Vec<SocketAddr>)> {
    let now = Instant::now();
    let settings = &shared.settings;
    let state = shared.state();
    // A configuration that cannot be confirmed says nothing of the newest declaration.
    if !state.freshness.is_trusted(crate::boot_clock::now()) {
        return None;
    }
    // Agents load at once what may be long in force.
    let is_undated = state.versions.all().any(|it| it.2.is_none());
    if is_undated && !state.times_read {
        return None;
    }
    let before = state
        .peers
        .alive(now)
        .filter(|it| it.zone == settings.zone && it.node < settings.node)
        .count();
    if before >= TELLERS {
        return None;
    }
    let weights = state.versions.all().map(|(model, version, known)| {
        let age = known.map(|it| now.saturating_duration_since(it).as_millis());
        DeclaredWeights {
            model: model.to_owned(),
            version,
            age_ms: age.map(|it| u32::try_from(it).unwrap_or(u32::MAX)),
        }
    });
    let bytes = postcard::to_allocvec(&FleetMessage::Weights(weights.collect()))
        .expect("names and numbers are always encodable");
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

/// Time between two messages; agents fall back to the store after a few of them are missing.
const TELL_INTERVAL: Duration = Duration::from_millis(700);

/// Entries of a zone that tell its agents.
const TELLERS: usize = 2;
