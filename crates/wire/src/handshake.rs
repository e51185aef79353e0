//! Mutual proof that both ends of a connection hold the shared key.
//!
//! The server sends a nonce, the client answers with its own nonce and a keyed digest over both, and the server answers
//! with a result code and a keyed digest of its own. The key never crosses the wire, and a recorded exchange is of no
//! use because both nonces are fresh.

use std::{error, fmt, io, time};

use model::ResultCode;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Why a connection was not accepted.
#[derive(Debug)]
pub enum HandshakeError {
    /// The connection failed or was too slow.
    Io(io::Error),
    /// The other side does not hold the shared key.
    WrongKey,
    /// The other side refused with this code.
    Refused(Option<ResultCode>),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "the handshake failed: {err}"),
            Self::WrongKey => write!(
                f,
                "{}: the other side does not hold the shared key",
                ResultCode::Unauthorized
            ),
            Self::Refused(Some(code)) => write!(f, "the other side refused the handshake: {code}"),
            Self::Refused(None) => f.write_str("the other side refused the handshake"),
        }
    }
}

impl error::Error for HandshakeError {}

impl From<io::Error> for HandshakeError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// A key derived from the shared secret of the settings.
pub(crate) type WireKey = [u8; 32];

/// Derives the key of handshakes from the shared secret.
pub(crate) fn derive_key(secret: &str) -> WireKey {
    blake3::derive_key("fulmarline control handshake 1", secret.as_bytes())
}

/// Derives the bearer token by which an entry proves to an agent's gate that it belongs to the deployment.
///
/// Requests go over plain HTTP and not through the handshake; the token is not the shared key and does not lead to it.
pub fn gate_token(secret: &str) -> String {
    blake3::Hash::from_bytes(blake3::derive_key("fulmarline gate 1", secret.as_bytes())).to_string()
}

/// Proves the key to a client and has the client prove it.
pub(crate) async fn accept<S>(stream: &mut S, key: &WireKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    within_timeout(async {
        let server_nonce: Nonce = rand::random();
        stream.write_all(&server_nonce).await?;
        let client_nonce = read_block(stream).await?;
        let proof = read_block(stream).await?;
        let expected = prove(key, CLIENT_LABEL, &server_nonce, &client_nonce);
        // Comparing `blake3::Hash` values takes constant time.
        if expected != blake3::Hash::from_bytes(proof) {
            let code = ResultCode::Unauthorized.number();
            stream.write_all(&code.to_le_bytes()).await?;
            stream.flush().await?;
            return Err(HandshakeError::WrongKey);
        }
        stream
            .write_all(&ResultCode::Ok.number().to_le_bytes())
            .await?;
        let own = prove(key, SERVER_LABEL, &server_nonce, &client_nonce);
        stream.write_all(own.as_bytes()).await?;
        stream.flush().await?;
        Ok(())
    })
    .await
}

/// Proves the key to a server and has the server prove it.
pub(crate) async fn open<S>(stream: &mut S, key: &WireKey) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    within_timeout(async {
        let server_nonce = read_block(stream).await?;
        let client_nonce: Nonce = rand::random();
        stream.write_all(&client_nonce).await?;
        let proof = prove(key, CLIENT_LABEL, &server_nonce, &client_nonce);
        stream.write_all(proof.as_bytes()).await?;
        stream.flush().await?;
        let code = stream.read_u16_le().await?;
        if code != ResultCode::Ok.number() {
            return Err(HandshakeError::Refused(ResultCode::from_number(code)));
        }
        let answer = read_block(stream).await?;
        let expected = prove(key, SERVER_LABEL, &server_nonce, &client_nonce);
        if expected != blake3::Hash::from_bytes(answer) {
            return Err(HandshakeError::WrongKey);
        }
        Ok(())
    })
    .await
}

type Nonce = [u8; 32];

async fn within_timeout(
    exchange: impl Future<Output = Result<(), HandshakeError>>,
) -> Result<(), HandshakeError> {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the other side is too slow").into()),
    }
}

async fn read_block<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<[u8; 32]> {
    let mut block = [0; 32];
    stream.read_exact(&mut block).await?;
    Ok(block)
}

fn prove(key: &WireKey, label: &[u8], server_nonce: &Nonce, client_nonce: &Nonce) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher
        .update(label)
        .update(server_nonce)
        .update(client_nonce);
    hasher.finalize()
}

const CLIENT_LABEL: &[u8] = b"client";
const SERVER_LABEL: &[u8] = b"server";

/// Time for the whole exchange.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
