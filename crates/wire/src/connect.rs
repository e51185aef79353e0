//! Functions that open control connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use std::{error, fmt, io};

use serde::{Deserialize, Serialize};
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;

use crate::agent_control::AgentControlClient;
use crate::counting_stream::CountingStream;
use crate::entry_control::EntryControlClient;
use crate::handshake::{self, HandshakeError};
use crate::wire_counters::WireCounters;

/// An error that occurred while opening a control connection.
#[derive(Debug)]
pub enum WireError {
    /// The TCP connection could not be opened.
    Connect(io::Error),
    /// The handshake, which authenticates both sides by the shared key, failed.
    Handshake(HandshakeError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(err) => write!(f, "cannot connect: {err}"),
            Self::Handshake(err) => err.fmt(f),
        }
    }
}

impl error::Error for WireError {}

/// Opens a control connection to an entry. After the connection is closed, every call of the client returns an error.
///
/// # Errors
///
/// Returns a [`WireError`] if the entry cannot be reached or the handshake with `secret` fails.
pub async fn connect_entry(
    address: SocketAddr,
    local: Option<IpAddr>,
    secret: &str,
    counters: &WireCounters,
) -> Result<EntryControlClient, WireError> {
    let stream = open_stream(address, local, secret, counters).await?;
    Ok(EntryControlClient::new(Default::default(), transport(stream)).spawn())
}

/// Opens a control connection to an agent, in the same way as [`connect_entry`].
///
/// # Errors
///
/// Returns the same errors as [`connect_entry`].
pub async fn connect_agent(
    address: SocketAddr,
    local: Option<IpAddr>,
    secret: &str,
    counters: &WireCounters,
) -> Result<AgentControlClient, WireError> {
    let stream = open_stream(address, local, secret, counters).await?;
    Ok(AgentControlClient::new(Default::default(), transport(stream)).spawn())
}

/// The transport of both control services.
pub type WireTransport<Item, SinkItem> =
    serde_transport::Transport<CountingStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Creates a `tarpc` transport over `stream`, with length-delimited frames that are encoded with `bincode`.
pub(crate) fn transport<Item, SinkItem>(stream: CountingStream) -> WireTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

async fn open_stream(
    address: SocketAddr,
    local: Option<IpAddr>,
    secret: &str,
    counters: &WireCounters,
) -> Result<CountingStream, WireError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, open_socket(address, local))
        .await
        .unwrap_or_else(|_| {
            Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "timed out while connecting",
            ))
        })
        .map_err(WireError::Connect)?;
    let mut stream = CountingStream::new(stream, counters.clone());
    let key = handshake::derive_key(secret);
    handshake::initiate(&mut stream, &key)
        .await
        .map_err(WireError::Handshake)?;
    Ok(stream)
}

async fn open_socket(address: SocketAddr, local: Option<IpAddr>) -> io::Result<TcpStream> {
    let stream = match local {
        None => TcpStream::connect(address).await?,
        Some(local) => {
            let socket = match address {
                SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
                SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(local, 0))?;
            socket.connect(address).await?
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message. The largest one is a configuration with the manifests of several large models.
const MAX_FRAME_BYTES: usize = 64 << 20;
