//! An HTTP/1.1 client with a connection pool and an optional local address.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::{fmt, time};

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::{Request, Response};
use hyper_util::rt;

use crate::body::HttpBody;
use crate::client_connection::ClientConnection;
use crate::client_stream::ClientStream;
use crate::pooled_response::PooledResponse;

/// A client with a pool of idle connections for each address.
///
/// The client never sends a request twice. Retries are up to the calling code, because only it knows whether
/// the request is idempotent.
#[derive(Clone)]
pub struct HttpClient {
    local: Option<IpAddr>,
    connect_timeout: time::Duration,
    /// The `TCP_USER_TIMEOUT` of connections: the operating system closes a connection whose data remains
    /// unacknowledged for this time.
    tcp_user_timeout: Option<time::Duration>,
    reset_on_close: bool,
    max_idle_age: time::Duration,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: ClientConnection,
    expires_at: time::Instant,
}

/// Decides whether a request may be sent now. Returns the time since boot, see [`crate::boot_clock`], by which it must be written,
/// or `None` if it may not be sent.
///
/// The process may be suspended between the decision and the write, and what the decision relied on may not hold any more then.
pub type SendCondition<'a> = dyn Fn() -> Option<time::Duration> + Sync + 'a;

/// Why a request received no response.
#[derive(Debug)]
pub enum ClientError {
    /// No connection could be opened, so the request was not sent. The error is `Interrupted` if the connection was open and this
    /// process did not run when it should have written the request.
    NotSent(std::io::Error),
    /// The connection failed after the request may have been sent, so the outcome is unknown.
    NoResponse(hyper::Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(err) => write!(f, "the request was not sent: {err}"),
            Self::NoResponse(err) => {
                write!(f, "the connection was closed before the response: {err}")
            }
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
    /// Creates a client with a timeout for opening connections. If `local` is given, connections are bound to
    /// that address.
    pub fn new(local: Option<IpAddr>, connect_timeout: time::Duration) -> Self {
        Self {
            local,
            connect_timeout,
            tcp_user_timeout: None,
            reset_on_close: false,
            max_idle_age: MAX_IDLE_AGE,
            idle: Arc::default(),
        }
    }

    /// Closes connections whose data the peer does not acknowledge within `timeout`.
    ///
    /// Without this timeout, a request on a connection to a host that lost power waits for minutes. It does not apply to
    /// requests with a body that may fill the receive window of the peer.
    #[must_use]
    pub fn with_tcp_user_timeout(mut self, timeout: time::Duration) -> Self {
        self.tcp_user_timeout = Some(timeout);
        self
    }

    /// Closes connections with a TCP reset, so that the peer learns at its next read or write that a request was cancelled. It may still
    /// read what it had received before.
    #[must_use]
    pub fn with_reset_on_close(mut self) -> Self {
        self.reset_on_close = true;
        self
    }

    /// Closes every connection after its response, for servers that limit the number of connections.
    #[must_use]
    pub fn without_pooling(mut self) -> Self {
        self.max_idle_age = time::Duration::ZERO;
        self
    }

    /// Sends `request` to `address` and returns once the head of the response has arrived.
    ///
    /// The URI of the request must be in origin form (`/path?query`). A `Host` header is added if there is none.
    /// Dropping the future or the response body closes the connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotSent`] guarantees that the server has not received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<PooledResponse, ClientError> {
        self.send_on_any_connection(address, request, None).await
    }

    /// Sends `request` as [`HttpClient::send`] does, if `may_send` permits it immediately before. Opening a connection takes time, in
    /// which the reasons to choose the server may have ceased.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`]; [`ClientError::NotSent`] also if `may_send` does not permit the request, or
    /// the process does not run until it is too late.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
        may_send: &SendCondition<'_>,
    ) -> Result<PooledResponse, ClientError> {
        self.send_on_any_connection(address, request, Some(may_send))
            .await
    }

    async fn send_on_any_connection(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
        may_send: Option<&SendCondition<'_>>,
    ) -> Result<PooledResponse, ClientError> {
        let idle = match self.may_wait_for_window(&request) {
            true => None,
            false => self.take_idle(address),
        };
        let Some(mut connection) = idle else {
            return self.connect_and_send(address, request, may_send).await;
        };
        let write_by = may_send.map(|it| it());
        if write_by == Some(None) {
            self.recycle(connection, address);
            return Err(ClientError::NotSent(prevented()));
        }
        let request = with_host_header(request, address);
        match connection.send(request, write_by.flatten()).await {
            Ok(response) => Ok(PooledResponse {
                response,
                connection,
                address,
                is_reused: true,
            }),
            // `hyper` returns the request if none of it was written, because the idle connection had been closed.
            Err(mut err) => match err.take_message() {
                Some(request) => self.connect_and_send(address, request, may_send).await,
                None => Err(connection.send_error(err)),
            },
        }
    }

    /// Sends `request` on a new connection instead of a pooled one.
    ///
    /// A late, duplicate response to an earlier request cannot arrive on a new connection. The outcome also
    /// cannot become unknown because the server closes an idle connection at the same time.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<PooledResponse, ClientError> {
        self.connect_and_send(address, request, None).await
    }

    /// Sends `request` on a new connection, if `may_send` permits it when the connection is open.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send_if`].
    pub async fn send_on_new_connection_if(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
        may_send: &SendCondition<'_>,
    ) -> Result<PooledResponse, ClientError> {
        self.connect_and_send(address, request, Some(may_send))
            .await
    }

    async fn connect_and_send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
        may_send: Option<&SendCondition<'_>>,
    ) -> Result<PooledResponse, ClientError> {
        let mut request = with_host_header(request, address);
        let mut tcp_user_timeout = self.tcp_user_timeout;
        if self.may_wait_for_window(&request) {
            tcp_user_timeout = None;
            // The pool holds only connections with the timeout.
            let close = hyper::header::HeaderValue::from_static("close");
            let headers = request.headers_mut();
            headers.insert(hyper::header::CONNECTION, close);
        }
        let mut connection = self
            .connect(address, tcp_user_timeout)
            .await
            .map_err(ClientError::NotSent)?;
        let write_by = may_send.map(|it| it());
        if write_by == Some(None) {
            return Err(ClientError::NotSent(prevented()));
        }
        let response = match connection.send(request, write_by.flatten()).await {
            Ok(it) => it,
            Err(err) => return Err(connection.send_error(err)),
        };
        Ok(PooledResponse {
            response,
            connection,
            address,
            is_reused: false,
        })
    }

    /// Sends `request` on a new connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`HttpClient::send`]; an incomplete response is reported as
    /// [`ClientError::NoResponse`].
    pub async fn fetch_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<Response<bytes::Bytes>, ClientError> {
        let pooled_response = self.send_on_new_connection(address, request).await?;
        let (parts, body) = pooled_response.response.into_parts();
        let collected = body.collect().await.map_err(ClientError::NoResponse)?;
        Ok(Response::from_parts(parts, collected.to_bytes()))
    }

    /// Returns a connection to the pool, after its response was read completely.
    pub fn recycle(&self, connection: ClientConnection, address: SocketAddr) {
        self.recycle_with_max_idle_age(connection, address, MAX_IDLE_AGE);
    }

    /// Returns a connection to the pool, to be reused only within `max_idle_age`.
    pub fn recycle_with_max_idle_age(
        &self,
        connection: ClientConnection,
        address: SocketAddr,
        max_idle_age: time::Duration,
    ) {
        if connection.sender.is_closed() || self.max_idle_age.is_zero() {
            return;
        }
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the pool lock");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                expires_at: time::Instant::now() + max_idle_age.min(self.max_idle_age),
            });
        }
    }

    /// Closes the idle connections to `address`; used after one of them was found to be dead.
    pub fn drop_idle_connections(&self, address: SocketAddr) {
        self.idle
            .lock()
            .expect("no thread panics while it holds the pool lock")
            .remove(&address);
    }

    /// Takes a connection from the pool that can send a request at once.
    ///
    /// Data that has arrived while it was idle belongs to no request. A connection that is not ready may be sending the rest
    /// of a request which was answered early, for as long as the server does not read it.
    fn take_idle(&self, address: SocketAddr) -> Option<ClientConnection> {
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the pool lock");
        let connections = idle.get_mut(&address)?;
        loop {
            let IdleConnection {
                connection,
                expires_at,
            } = connections.pop()?;
            if expires_at >= time::Instant::now()
                && connection.sender.is_ready()
                && connection.socket.is_quiet()
            {
                return Some(connection);
            }
        }
    }

    /// Returns whether the peer may have to read a part of `request` before it can acknowledge the rest.
    ///
    /// `TCP_USER_TIMEOUT` also closes connections whose receive window stays full, and a sound server may read nothing
    /// for a moment.
    fn may_wait_for_window(&self, request: &Request<HttpBody>) -> bool {
        let max_bytes = request.body().size_hint().upper();
        self.tcp_user_timeout.is_some() && max_bytes.is_none_or(|it| it > MAX_WINDOW_BYTES)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        tcp_user_timeout: Option<time::Duration>,
    ) -> std::io::Result<ClientConnection> {
        let stream = tokio::time::timeout(self.connect_timeout, self.open_socket(address))
            .await
            .map_err(|_| {
                std::io::Error::new(std::io::ErrorKind::TimedOut, "timed out while connecting")
            })??;
        stream.set_nodelay(true)?;
        if let Some(timeout) = tcp_user_timeout {
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(timeout))?;
        }
        let stream = ClientStream::new(stream, self.reset_on_close)?;
        let socket = stream.view();
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(ClientConnection { sender, socket })
    }

    async fn open_socket(&self, address: SocketAddr) -> std::io::Result<tokio::net::TcpStream> {
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

fn prevented() -> std::io::Error {
    std::io::Error::other("the caller prevented it when a connection was open")
}

fn with_host_header(mut request: Request<HttpBody>, address: SocketAddr) -> Request<HttpBody> {
    if !request.headers().contains_key(hyper::header::HOST) {
        let value = hyper::header::HeaderValue::from_str(&address.to_string())
            .expect("a socket address is a valid header value");
        request.headers_mut().insert(hyper::header::HOST, value);
    }
    request
}

/// Maximum size of a body that fits into the receive window of a new connection, which is 64 KiB by default, beside the
/// head of the request.
const MAX_WINDOW_BYTES: u64 = 48 * 1024;

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Size of the buffer of a connection, which limits the head of a response and the size of a frame of its body.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum time for which an idle connection is kept; less than the header timeout of the servers, which close idle
/// connections after it.
const MAX_IDLE_AGE: time::Duration = time::Duration::from_secs(5);
