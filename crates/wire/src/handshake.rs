//! The handshake of control connections: mutual authentication with a pre-shared key.
//!
//! The server sends a nonce. The client responds with its own nonce and a keyed digest (MAC) of both nonces.
//! The server responds with a result code and its own MAC. The key is never transmitted, and a recorded
//! handshake cannot be replayed because both nonces are random and used once.

use std::{error, fmt, io, time};

use model::ResultCode;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// An error that occurred during a handshake.
#[derive(Debug)]
pub enum HandshakeError {
    /// The connection failed or the handshake timed out.
    Io(io::Error),
    /// The peer does not hold the shared key.
    WrongKey,
    /// The peer rejected the handshake with this result code, or with an unknown one.
    Rejected(Option<ResultCode>),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "the handshake failed: {err}"),
            Self::WrongKey => write!(
                f,
                "{}: the peer does not hold the shared key",
                ResultCode::Unauthorized
            ),
            Self::Rejected(Some(code)) => write!(f, "the peer rejected the handshake: {code}"),
            Self::Rejected(None) => f.write_str("the peer rejected the handshake"),
        }
    }
}

impl error::Error for HandshakeError {}

impl From<io::Error> for HandshakeError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// The MAC key of handshakes.
pub(crate) type WireKey = [u8; 32];

/// Derives the key of handshakes from the shared key of the settings.
pub(crate) fn derive_key(secret: &str) -> WireKey {
    blake3::derive_key("fulmarline control handshake 1", secret.as_bytes())
}

/// Derives the bearer token with which an entry authenticates itself to the gate of an agent.
///
/// Requests are sent over plain HTTP without a handshake. The shared key cannot be computed from the token.
pub fn gate_token(secret: &str) -> String {
    blake3::Hash::from_bytes(blake3::derive_key("fulmarline gate 1", secret.as_bytes())).to_string()
}

/// Runs the server side of the handshake: verifies the client's MAC and sends its own.
pub(crate) async fn accept<S>(stream: &mut S, key: &WireKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    with_handshake_timeout(async {
        let server_nonce: Nonce = rand::random();
        stream.write_all(&server_nonce).await?;
        let client_nonce = read_block(stream).await?;
        let client_mac = read_block(stream).await?;
        let expected = compute_mac(key, CLIENT_LABEL, &server_nonce, &client_nonce);
        // Comparing `blake3::Hash` values takes constant time.
        if expected != blake3::Hash::from_bytes(client_mac) {
            let code = ResultCode::Unauthorized.number();
            stream.write_all(&code.to_le_bytes()).await?;
            stream.flush().await?;
            return Err(HandshakeError::WrongKey);
        }
        stream
            .write_all(&ResultCode::Ok.number().to_le_bytes())
            .await?;
        let server_mac = compute_mac(key, SERVER_LABEL, &server_nonce, &client_nonce);
        stream.write_all(server_mac.as_bytes()).await?;
        stream.flush().await?;
        Ok(())
    })
    .await
}

/// Runs the client side of the handshake: sends its MAC and verifies that of the server.
pub(crate) async fn initiate<S>(stream: &mut S, key: &WireKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    with_handshake_timeout(async {
        let server_nonce = read_block(stream).await?;
        let client_nonce: Nonce = rand::random();
        stream.write_all(&client_nonce).await?;
        let client_mac = compute_mac(key, CLIENT_LABEL, &server_nonce, &client_nonce);
        stream.write_all(client_mac.as_bytes()).await?;
        stream.flush().await?;
        let code = stream.read_u16_le().await?;
        if code != ResultCode::Ok.number() {
            return Err(HandshakeError::Rejected(ResultCode::from_number(code)));
        }
        let server_mac = read_block(stream).await?;
        let expected = compute_mac(key, SERVER_LABEL, &server_nonce, &client_nonce);
        if expected != blake3::Hash::from_bytes(server_mac) {
            return Err(HandshakeError::WrongKey);
        }
        Ok(())
    })
    .await
}

type Nonce = [u8; 32];

async fn with_handshake_timeout(
    handshake: impl Future<Output = Result<(), HandshakeError>>,
) -> Result<(), HandshakeError> {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "timed out").into()),
    }
}

async fn read_block<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<[u8; 32]> {
    let mut block = [0; 32];
    stream.read_exact(&mut block).await?;
    Ok(block)
}

fn compute_mac(
    key: &WireKey,
    label: &[u8],
    server_nonce: &Nonce,
    client_nonce: &Nonce,
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher
        .update(label)
        .update(server_nonce)
        .update(client_nonce);
    hasher.finalize()
}

const CLIENT_LABEL: &[u8] = b"client";
const SERVER_LABEL: &[u8] = b"server";

/// Timeout for the complete handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
