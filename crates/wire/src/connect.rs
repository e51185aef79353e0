//! Opening control connections.

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

/// Why no control connection could be opened.
#[derive(Debug)]
pub enum WireError {
    /// The address could not be reached.
    Connect(io::Error),
    /// The two sides did not agree on the shared key.
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

/// Opens a control connection to an entry; the client reports an error on every call once the connection has ended.
///
/// # Errors
///
/// Returns a [`WireError`] when the entry cannot be reached or does not hold `secret`.
pub async fn connect_entry(
    address: SocketAddr,
    local: Option<IpAddr>,
    secret: &str,
    counters: &WireCounters,
) -> Result<EntryControlClient, WireError> {
    let stream = open_stream(address, local, secret, counters).await?;
    Ok(EntryControlClient::new(Default::default(), transport(stream)).spawn())
}

/// Opens a control connection to an agent; see [`connect_entry`].
///
/// # Errors
///
/// As [`connect_entry`].
pub async fn connect_agent(
    address: SocketAddr,
    local: Option<IpAddr>,
    secret: &str,
    counters: &WireCounters,
) -> Result<AgentControlClient, WireError> {
    let stream = open_stream(address, local, secret, counters).await?;
    Ok(AgentControlClient::new(Default::default(), transport(stream)).spawn())
}

/// The transport of both services.
pub type WireTransport<Item, SinkItem> =
    serde_transport::Transport<CountingStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames `stream` for `tarpc`.
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
                "connecting took too long",
            ))
        })
        .map_err(WireError::Connect)?;
    let mut stream = CountingStream::new(stream, counters.clone());
    let key = handshake::derive_key(secret);
    handshake::open(&mut stream, &key)
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

/// Time to open a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest message: a configuration with the manifests of several large models.
const MAX_FRAME_BYTES: usize = 64 << 20;
