//! A response whose body has not been read.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};

use crate::body;
use crate::client_connection::ClientConnection;
use crate::http_client::HttpClient;

/// A response with an unread body, and the connection that it arrives on.
///
/// [`PooledResponse::read`] returns the connection to the pool; [`HttpClient::recycle`] does so after
/// [`PooledResponse::into_parts`].
#[derive(Debug)]
pub struct PooledResponse {
    /// The response with its unread body.
    pub response: Response<Incoming>,
    pub(crate) connection: ClientConnection,
    pub(crate) address: SocketAddr,
    pub(crate) is_reused: bool,
}

impl PooledResponse {
    /// Returns whether the response has a status of [`is_valid_status`].
    pub fn has_valid_status(&self) -> bool {
        is_valid_status(self.response.status())
    }

    /// Reads the complete body and returns the connection to the pool of `client`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`crate::read_limited`].
    pub async fn read(
        self,
        client: &HttpClient,
        max_bytes: usize,
        timeout: Duration,
    ) -> std::io::Result<Response<bytes::Bytes>> {
        let (parts, body) = self.response.into_parts();
        let bytes = body::read_limited(body, max_bytes, timeout).await?;
        client.recycle(self.connection, self.address);
        Ok(Response::from_parts(parts, bytes))
    }

    /// Reads the complete body as [`Self::read`] does, but fails only if it makes no progress for `idle_timeout`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`crate::read_limited`].
    pub async fn read_with_idle_timeout(
        self,
        client: &HttpClient,
        max_bytes: usize,
        idle_timeout: Duration,
    ) -> std::io::Result<Response<bytes::Bytes>> {
        let (parts, body) = self.response.into_parts();
        let bytes = body::read_with_idle_timeout(body, max_bytes, idle_timeout).await?;
        client.recycle(self.connection, self.address);
        Ok(Response::from_parts(parts, bytes))
    }

    /// Returns the response, the connection and its address, for reading a streamed body and recycling the connection
    /// afterwards.
    pub fn into_parts(self) -> (Response<Incoming>, ClientConnection, SocketAddr) {
        (self.response, self.connection, self.address)
    }

    /// Returns whether another request was sent on the connection before, to which a late duplicate response may still
    /// arrive.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

/// Returns whether `status` is one of a final response. Others are parsed too, but say nothing about the request: 101 answers an
/// upgrade, which no request asks for, and a status above 599 has no meaning.
pub fn is_valid_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
