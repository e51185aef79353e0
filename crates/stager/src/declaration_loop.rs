//! Receives the declared versions of weights from entries of the availability zone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::FleetMessage;
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::AgentShared;

/// Receives datagrams for the lifetime of the process. If the socket cannot be bound, the agent reads the declarations
/// from the store instead.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let socket = match UdpSocket::bind(shared.own_address()).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "cannot bind the socket for declarations"; "error" => err.to_string());
            return;
        }
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error belongs to an earlier datagram that could not be delivered; the socket remains usable.
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(FleetMessage::Weights(weights)) => {
                let mut state = shared.state();
                let now = Instant::now();
                state.declarations_received_at = Some(now);
                let entry = (from.ip(), shared.settings.first_port).into();
                state.entries.insert(entry, now);
                for declared in weights {
                    let age = declared.age_ms.map(|it| Duration::from_millis(it.into()));
                    let known_since = age.and_then(|it| now.checked_sub(it));
                    let versions = state.declarations.entry(declared.model).or_default();
                    versions.insert(declared.version, known_since);
                }
                drop(state);
                shared.declarations_received.notify_one();
            }
            Ok(FleetMessage::Entry(_) | FleetMessage::Agent(_) | FleetMessage::Zone(_)) => {
                warn!(shared.log, "datagram of an unexpected type ignored"; "from" => from.to_string());
            }
            Err(err) => {
                warn!(shared.log, "invalid datagram ignored"; "from" => from.to_string(), "error" => err.to_string());
            }
        }
    }
}

/// Maximum size of a datagram, which holds a few models with their versions.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
