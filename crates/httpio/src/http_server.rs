//! The listener side: accepts connections within limits and hands each request to a closure.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{convert, future};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response};
use hyper_util::rt;
use tokio::sync::watch;

use crate::body::HttpBody;
use crate::guarded_socket::GuardedSocket;
use crate::server_limits::ServerLimits;

/// Tells a listener to stop accepting; open connections finish the request at hand.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

/// Stops the listener when told to, and counts the connections that are still open.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    stop: Arc<watch::Sender<bool>>,
    open: Arc<AtomicUsize>,
    address: SocketAddr,
}

/// A bound listener, not yet accepting.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
}

impl ServerHandle {
    /// Stops accepting and closes idle connections; requests in progress run to their end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl HttpServer {
    /// Binds `address`; port 0 takes a port from the operating system.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Self { listener, limits })
    }

    /// Returns the address that was bound.
    ///
    /// # Panics
    ///
    /// Panics when the operating system does not know the address of a socket that it has bound.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// Accepts connections on the current `tokio` runtime until the handle stops it.
    ///
    /// The handler gets each request with the caller's address. It is dropped in mid-work when the caller goes
    /// away, so work that must outlive the caller has to be spawned.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be registered with the runtime.
    pub fn serve<F, R>(self, handler: F) -> std::io::Result<ServerHandle>
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<HttpBody>> + Send + 'static,
    {
        let address = self.address();
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let (stop, stopped) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let handle = ServerHandle {
            stop: Arc::new(stop),
            open: open.clone(),
            address,
        };
        tokio::spawn(accept_loop(
            listener,
            self.limits,
            handler,
            StopSignal(stopped),
            open,
        ));
        Ok(handle)
    }
}

async fn accept_loop<F, R>(
    listener: tokio::net::TcpListener,
    limits: ServerLimits,
    handler: F,
    mut stop: StopSignal,
    open: Arc<AtomicUsize>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<HttpBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = wait_for_stop(&mut stop.0) => return,
        };
        let Ok((socket, peer)) = accepted else {
            // Accepting fails for a while when descriptors run out; open connections will free some.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= limits.max_connections {
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let _ = socket.set_nodelay(true);
        let (handler, stop, open, limits) =
            (handler.clone(), stop.clone(), open.clone(), limits.clone());
        tokio::spawn(async move {
            serve_connection(socket, peer, &limits, handler, stop).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<F, R>(
    socket: tokio::net::TcpStream,
    peer: SocketAddr,
    limits: &ServerLimits,
    handler: F,
    mut stop: StopSignal,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let service = service::service_fn(move |request| {
        let answer = handler(request, peer);
        async move { Ok::<_, convert::Infallible>(answer.await) }
    });
    let mut socket = GuardedSocket::new(socket, limits.head_error_handler);
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(&mut socket), service);
    let ended = run_connection(connection, &mut stop).await;
    if ended.is_err_and(|it| it.is_timeout()) {
        socket.answer_slow_head().await;
    }
    socket.close().await;
}

/// Runs a connection to its end, which a stop brings about after the request at hand.
async fn run_connection<I, S>(
    connection: http1::Connection<I, S>,
    stop: &mut StopSignal,
) -> hyper::Result<()>
where
    I: hyper::rt::Read + hyper::rt::Write + Unpin,
    S: service::HttpService<Incoming, ResBody = HttpBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return ended,
        () = wait_for_stop(&mut stop.0) => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|it| *it).await.is_err() {
        // The handle is gone, so nobody can stop the listener any more.
        future::pending::<()>().await;
    }
}

/// Pause after a failed accept, so that a shortage of descriptors does not spin.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// The smallest buffer that `hyper` takes.
const MIN_BUFFER_BYTES: usize = 8192;
