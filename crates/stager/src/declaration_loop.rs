//! Receives the declared versions of weights from entries of the availability zone.

use std::sync::Arc;
use std::time::Instant;

use fleet::{DeclarationChange, DeclaredWeights, FleetMessage};
use slog::warn;
use tokio::net::UdpSocket;

use crate::agent_shared::{AgentShared, AgentState};

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
                    record_declaration(&shared, &mut state, &declared);
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

/// Records a declaration that an entry has sent or that was read from the store.
pub(crate) fn record_declaration(
    shared: &AgentShared,
    state: &mut AgentState,
    weights: &DeclaredWeights,
) {
    let (model, version) = (&weights.model, weights.version);
    let change = state.declarations.declare(model, version, weights.declared);
    if let DeclarationChange::Contradicted(known) = change {
        warn!(
            shared.log, "contradictory times of a declaration";
            "model" => model,
            "version" => version,
            "known_from_ms" => known.not_before_ms,
            "known_to_ms" => known.not_after_ms,
            "from_ms" => weights.declared.not_before_ms,
            "to_ms" => weights.declared.not_after_ms,
        );
    }
}

/// Maximum size of a datagram, which holds a few models with their versions.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
