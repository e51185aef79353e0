//! Hears from entries of the zone which weights are declared.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::FleetMessage;
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::AgentShared;

/// Listens for as long as the process lives; without a socket the agent follows the store instead.
pub(crate) async fn run(shared: Arc<AgentShared>) {
    let socket = match UdpSocket::bind(shared.own_address()).await {
        Ok(it) => it,
        Err(err) => {
            warn!(shared.log, "entries cannot be heard"; "error" => err.to_string());
            return;
        }
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram could not be delivered; nothing is wrong with the socket.
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(FleetMessage::Weights(weights)) => {
                let mut state = shared.state();
                let now = Instant::now();
                state.told_at = Some(now);
                let inner = (from.ip(), shared.settings.first_port).into();
                state.entries.insert(inner, now);
                for declared in weights {
                    let age = declared.age_ms.map(|it| Duration::from_millis(it.into()));
                    let known = age.and_then(|it| now.checked_sub(it));
                    let versions = state.told.entry(declared.model).or_default();
                    versions.insert(declared.version, known);
                }
                drop(state);
                shared.told.notify_one();
            }
            Ok(FleetMessage::Entry(_) | FleetMessage::Agent(_)) => {
                warn!(shared.log, "datagram for an entry skipped"; "from" => from.to_string());
            }
            Err(err) => {
                warn!(shared.log, "datagram skipped"; "from" => from.to_string(), "error" => err.to_string());
            }
        }
    }
}

/// Bytes of the largest datagram: a few models with their versions.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
