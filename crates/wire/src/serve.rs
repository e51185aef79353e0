//! Answering control connections.

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

/// The accepted side of a connection to an entry.
pub type EntryTransport =
    WireTransport<ClientMessage<EntryControlRequest>, Response<EntryControlResponse>>;

/// The accepted side of a connection to an agent.
pub type AgentTransport =
    WireTransport<ClientMessage<AgentControlRequest>, Response<AgentControlResponse>>;

/// Accepts control connections of agents and other entries and hands each to `answer`.
///
/// The closure executes the channel itself, because only a concrete server lets the compiler see that its calls may
/// move between threads.
pub async fn serve_entry<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    answer: F,
) where
    F: Fn(EntryTransport) + Clone + Send + 'static,
{
    accept_loop(listener, secret, counters, log, move |stream| {
        answer(connect::transport(stream))
    })
    .await;
}

/// Accepts control connections of entries and hands each to `answer`; see [`serve_entry`].
pub async fn serve_agent<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    answer: F,
) where
    F: Fn(AgentTransport) + Clone + Send + 'static,
{
    accept_loop(listener, secret, counters, log, move |stream| {
        answer(connect::transport(stream))
    })
    .await;
}

async fn accept_loop<F>(
    listener: TcpListener,
    secret: &str,
    counters: WireCounters,
    log: Logger,
    answer: F,
) where
    F: Fn(CountingStream) + Clone + Send + 'static,
{
    let key = handshake::derive_key(secret);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (counters, log, answer) = (counters.clone(), log.clone(), answer.clone());
        tokio::spawn(async move {
            match greet(stream, &key, counters).await {
                Ok(stream) => {
                    debug!(log, "control connection accepted"; "peer" => %peer);
                    answer(stream);
                }
                Err(err) => {
                    warn!(log, "control connection refused"; "peer" => %peer, "reason" => %err)
                }
            }
        });
    }
}

async fn greet(
    stream: TcpStream,
    key: &handshake::WireKey,
    counters: WireCounters,
) -> Result<CountingStream, handshake::HandshakeError> {
    stream.set_nodelay(true)?;
    let mut stream = CountingStream::new(stream, counters);
    handshake::accept(&mut stream, key).await?;
    Ok(stream)
}

/// Pause after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
