//! The client side: pooled HTTP/1.1 connections, optionally from a fixed local address.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::{fmt, time};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt;

use crate::body::HttpBody;
use crate::closing_stream::ClosingStream;

/// Keeps idle connections per address and opens new ones when none is idle.
///
/// A request is never sent twice: a caller decides on a retry, because only it knows whether the call is idempotent.
#[derive(Clone)]
pub struct HttpClient {
    local: Option<IpAddr>,
    connect_timeout: time::Duration,
    /// Time after which a connection whose bytes are not acknowledged is given up by the operating system.
    silence_timeout: Option<time::Duration>,
    resets: bool,
    max_idle: time::Duration,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: SendRequest<HttpBody>,
    expires: time::Instant,
}

/// An answer whose body can still be read; the connection returns to the pool through [`PooledResponse::recycle`].
#[derive(Debug)]
pub struct PooledResponse {
    /// The answer with its unread body.
    pub response: Response<Incoming>,
    sender: SendRequest<HttpBody>,
    address: SocketAddr,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum ClientError {
    /// No connection could be opened, so the request has not been sent.
    NotSent(std::io::Error),
    /// The connection ended after the request may have been sent: the outcome is unknown.
    NoResponse(hyper::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(err) => write!(f, "the request was not sent: {err}"),
            Self::NoResponse(err) => write!(f, "the connection ended before the answer: {err}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient")
            .field("local", &self.local)
            .finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Creates a client that gives up connecting after `connect_timeout` and binds `local` where it is given.
    pub fn new(local: Option<IpAddr>, connect_timeout: time::Duration) -> Self {
        Self {
            local,
            connect_timeout,
            silence_timeout: None,
            resets: false,
            max_idle: MAX_IDLE,
            idle: Arc::default(),
        }
    }

    /// Lets connections fail whose bytes the other side does not acknowledge within `timeout`.
    ///
    /// Without it a request on a connection to a host that lost power waits for minutes.
    #[must_use]
    pub fn with_tcp_user_timeout(mut self, timeout: time::Duration) -> Self {
        self.silence_timeout = Some(timeout);
        self
    }

    /// Ends connections with a reset, so that what the other side has not read of a cancelled request is dropped on the way.
    #[must_use]
    pub fn with_reset_on_close(mut self) -> Self {
        self.resets = true;
        self
    }

    /// Closes every connection after its answer, for a server that accepts few of them.
    #[must_use]
    pub fn without_pooling(mut self) -> Self {
        self.max_idle = time::Duration::ZERO;
        self
    }

    /// Sends `request` to `address` and returns the head of the answer.
    ///
    /// The URI of the request must be in origin form (`/path?query`); the `Host` header is added.
    /// Dropping the future or the reply's body closes the connection, which cancels the request at the other side.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotSent`] is a proof that the other side has not seen the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<PooledResponse, ClientError> {
        let mut sender = match self.take_idle(address).await {
            Some(it) => it,
            None => self.connect(address).await.map_err(ClientError::NotSent)?,
        };
        let request = with_host(request, address);
        match sender.try_send_request(request).await {
            Ok(response) => Ok(PooledResponse {
                response,
                sender,
                address,
            }),
            // `hyper` hands the request back when not a byte of it was written: an idle connection had been closed.
            Err(mut err) => match err.take_message() {
                Some(request) => self.send_on_new_connection(address, request).await,
                None => Err(ClientError::NoResponse(err.into_error())),
            },
        }
    }

    /// Sends `request` on a new connection, which no earlier request has used.
    ///
    /// A late second answer to an earlier request cannot arrive on such a connection, and an idle connection that the
    /// other side is closing cannot leave the outcome unknown.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<PooledResponse, ClientError> {
        let mut sender = self.connect(address).await.map_err(ClientError::NotSent)?;
        let response = sender
            .send_request(with_host(request, address))
            .await
            .map_err(ClientError::NoResponse)?;
        Ok(PooledResponse {
            response,
            sender,
            address,
        })
    }

    /// Sends `request` on a new connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`]; an answer that ends early counts as lost.
    pub async fn fetch_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<Response<bytes::Bytes>, ClientError> {
        let reply = self.send_on_new_connection(address, request).await?;
        let (parts, body) = reply.response.into_parts();
        let collected = body.collect().await.map_err(ClientError::NoResponse)?;
        Ok(Response::from_parts(parts, collected.to_bytes()))
    }

    /// Returns a connection whose answer was read to its end to the pool.
    pub fn recycle(&self, sender: SendRequest<HttpBody>, address: SocketAddr) {
        self.recycle_with_max_idle_age(sender, address, MAX_IDLE);
    }

    /// Returns a connection to the pool that must not be used again after `max_idle` without a request.
    pub fn recycle_with_max_idle_age(
        &self,
        sender: SendRequest<HttpBody>,
        address: SocketAddr,
        max_idle: time::Duration,
    ) {
        if sender.is_closed() || self.max_idle.is_zero() {
            return;
        }
        let mut idle = self
            .idle
            .lock()
            .expect("no holder of the pool's lock panics");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                sender,
                expires: time::Instant::now() + max_idle.min(self.max_idle),
            });
        }
    }

    /// Drops the idle connections to `address`, after one of them turned out to be dead.
    pub fn drop_idle_connections(&self, address: SocketAddr) {
        self.idle
            .lock()
            .expect("no holder of the pool's lock panics")
            .remove(&address);
    }

    async fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<HttpBody>> {
        loop {
            let connection = {
                let mut idle = self
                    .idle
                    .lock()
                    .expect("no holder of the pool's lock panics");
                idle.get_mut(&address)?.pop()?
            };
            if connection.expires < time::Instant::now() || connection.sender.is_closed() {
                continue;
            }
            let mut sender = connection.sender;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<SendRequest<HttpBody>> {
        let stream = tokio::time::timeout(self.connect_timeout, self.open(address))
            .await
            .map_err(|_| {
                std::io::Error::new(std::io::ErrorKind::TimedOut, "connecting took too long")
            })??;
        stream.set_nodelay(true)?;
        if let Some(timeout) = self.silence_timeout {
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(timeout))?;
        }
        let stream = ClosingStream::new(stream, self.resets)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn open(&self, address: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
        let Some(local) = self.local else {
            return tokio::net::TcpStream::connect(address).await;
        };
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(local, 0))?;
        socket.connect(address).await
    }
}

impl PooledResponse {
    /// Reads the whole body and returns the connection to the pool of `client`.
    ///
    /// # Errors
    ///
    /// As [`crate::read_limited`].
    pub async fn read(
        self,
        client: &HttpClient,
        max_bytes: usize,
        timeout: time::Duration,
    ) -> std::io::Result<Response<bytes::Bytes>> {
        let (parts, body) = self.response.into_parts();
        let bytes = crate::body::read_limited(body, max_bytes, timeout).await?;
        client.recycle(self.sender, self.address);
        Ok(Response::from_parts(parts, bytes))
    }

    /// Reads the whole answer, as [`Self::read`], for as long as some of it arrives within each span of `silence`.
    ///
    /// # Errors
    ///
    /// As [`crate::read_with_idle_timeout`].
    pub async fn read_with_idle_timeout(
        self,
        client: &HttpClient,
        max_bytes: usize,
        silence: time::Duration,
    ) -> std::io::Result<Response<bytes::Bytes>> {
        let (parts, body) = self.response.into_parts();
        let bytes = crate::body::read_with_idle_timeout(body, max_bytes, silence).await?;
        client.recycle(self.sender, self.address);
        Ok(Response::from_parts(parts, bytes))
    }

    /// Takes the reply apart so that a streamed body can be read and the connection recycled afterwards.
    pub fn into_parts(self) -> (Response<Incoming>, SendRequest<HttpBody>, SocketAddr) {
        (self.response, self.sender, self.address)
    }
}

fn with_host(mut request: Request<HttpBody>, address: SocketAddr) -> Request<HttpBody> {
    if !request.headers().contains_key(hyper::header::HOST) {
        let value = hyper::header::HeaderValue::from_str(&address.to_string())
            .expect("a socket address consists of header characters");
        request.headers_mut().insert(hyper::header::HOST, value);
    }
    request
}

/// Idle connections that are kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Age at which an idle connection is not used any more; below the header timeout of the servers.
const MAX_IDLE: time::Duration = time::Duration::from_secs(5);
