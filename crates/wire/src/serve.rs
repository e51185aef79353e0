//! Functions that accept control connections.

use std::time::Duration;

use slog::{Logger, debug, warn};
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::agent_control::{AgentControlRequest, AgentControlResponse};
use crate::connect::{self, WireTransport};
use crate::counting_stream::CountingStream;
use crate::entry_control::{EntryControlRequest, EntryControlResponse};
use crate::handshake;
use crate::wire_counters::WireCounters;

/// The server side of a control connection to an entry.
pub type EntryTransport =
    WireTransport<ClientMessage<EntryControlRequest>, Response<EntryControlResponse>>;

/// The server side of a control connection to an agent.
pub type AgentTransport =
    WireTransport<ClientMessage<AgentControlRequest>, Response<AgentControlResponse>>;

/// Accepts control connections from agents and other entries and passes each to `handler`.
///
/// `handler` runs the `tarpc` channel itself, because the compiler can prove that the futures of the calls
/// are `Send` only for a concrete server type.
pub async fn serve_entry<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    handler: F,
) where
    F: Fn(EntryTransport) + Clone + Send + 'static,
{
    accept_loop(listener, secret, counters, log, move |stream| {
        handler(connect::transport(stream))
    })
    .await;
}

/// Accepts control connections from entries and passes each to `handler`, in the same way as [`serve_entry`].
pub async fn serve_agent<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    handler: F,
) where
    F: Fn(AgentTransport) + Clone + Send + 'static,
{
    accept_loop(listener, secret, counters, log, move |stream| {
        handler(connect::transport(stream))
    })
    .await;
}

async fn accept_loop<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    handler: F,
) where
    F: Fn(CountingStream) + Clone + Send + 'static,
{
    let key = handshake::derive_key(secret);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (counters, log, handler) = (counters.clone(), log.clone(), handler.clone());
        tokio::spawn(async move {
            match authenticate(stream, &key, counters).await {
                Ok(stream) => {
                    debug!(log, "control connection accepted"; "peer" => %peer);
                    handler(stream);
                }
                Err(err) => {
                    warn!(log, "control connection rejected"; "peer" => %peer, "reason" => %err)
                }
            }
        });
    }
}

async fn authenticate(
    stream: TcpStream,
    key: &handshake::WireKey,
    counters: WireCounters,
) -> Result<CountingStream, handshake::HandshakeError> {
    stream.set_nodelay(true)?;
    let mut stream = CountingStream::new(stream, counters);
    handshake::accept(&mut stream, key).await?;
    Ok(stream)
}

/// Delay after a failed accept, which prevents a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
