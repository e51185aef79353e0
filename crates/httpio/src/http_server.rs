//! An HTTP/1.1 server that enforces limits on connections and passes each request to a closure.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::{convert, future, time};

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use hyper::{Request, Response, Version, header};
use hyper_util::rt;
use tokio::sync::watch;
use tokio::task;

use crate::body::HttpBody;
use crate::client_account::{ClientAccount, ClientSlot};
use crate::error_replacing_stream::ErrorReplacingStream;
use crate::server_limits::ServerLimits;

/// Signals a server to stop accepting connections. Open connections complete their current request.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<bool>);

/// Time at which a stopped server cuts off the response if its client has not received it by then.
///
/// The handler of a request sets it as an extension of the response. Without it, a stopped server waits for the client.
#[derive(Clone, Copy, Debug)]
pub struct WriteDeadline(pub time::Instant);

/// A handle to a running server, for stopping it and for reading the number of open connections.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    stop: Arc<watch::Sender<bool>>,
    open_count: Arc<AtomicUsize>,
    is_accepting: Arc<AtomicBool>,
    address: SocketAddr,
}

/// A server that is bound to an address but does not accept connections yet.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    account: Option<ClientAccount>,
}

impl ServerHandle {
    /// Stops accepting connections and closes idle ones. Requests in flight are completed, except responses that are not
    /// written at their [`WriteDeadline`].
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Returns whether the server has been stopped and all its connections are closed. Connections that clients opened
    /// before the stop may still be accepted after it.
    pub fn is_finished(&self) -> bool {
        !self.is_accepting.load(Ordering::Relaxed) && self.open_connections() == 0
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl HttpServer {
    /// Binds `address`; for port 0, the operating system assigns a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(Self {
            listener,
            limits,
            account: None,
        })
    }

    /// Bounds connections by `account` instead of [`ServerLimits::max_connections`]. When all are taken, the connection that has
    /// waited longest for its client is closed instead of the new one.
    #[must_use]
    pub fn with_account(mut self, account: ClientAccount) -> Self {
        self.account = Some(account);
        self
    }

    /// Returns the address that was bound.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not report the address of the bound socket.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// Accepts connections on the current `tokio` runtime until the returned handle stops the server.
    ///
    /// The handler receives each request with the address of the client. Its future is dropped when the client
    /// disconnects, so work that must complete regardless has to be spawned.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be registered with the runtime.
    pub fn serve<F, R>(self, handler: F) -> std::io::Result<ServerHandle>
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<HttpBody>> + Send + 'static,
    {
        self.serve_with_limits(handler, ServerLimits::clone)
    }

    /// Does the same as [`Self::serve`], with limits that may change: `current_limits` returns those of a connection that
    /// is being accepted, given the limits that the server was bound with.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be registered with the runtime.
    pub fn serve_with_limits<F, R, L>(
        self,
        handler: F,
        current_limits: L,
    ) -> std::io::Result<ServerHandle>
    where
        F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<HttpBody>> + Send + 'static,
        L: Fn(&ServerLimits) -> ServerLimits + Send + Sync + 'static,
    {
        let address = self.address();
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let (stop, stopped) = watch::channel(false);
        let open_count = Arc::new(AtomicUsize::new(0));
        let handle = ServerHandle {
            stop: Arc::new(stop),
            open_count: open_count.clone(),
            is_accepting: Arc::new(AtomicBool::new(true)),
            address,
        };
        tokio::spawn(accept_loop(
            listener,
            self.account,
            move || current_limits(&self.limits),
            handler,
            StopSignal(stopped),
            open_count,
            handle.is_accepting.clone(),
        ));
        Ok(handle)
    }
}

async fn accept_loop<F, R, L>(
    listener: tokio::net::TcpListener,
    account: Option<ClientAccount>,
    current_limits: L,
    handler: F,
    stop: StopSignal,
    open_count: Arc<AtomicUsize>,
    is_accepting: Arc<AtomicBool>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<HttpBody>> + Send + 'static,
    L: Fn() -> ServerLimits + Send + Sync + 'static,
{
    let start = |socket: tokio::net::TcpStream, peer: SocketAddr| {
        let limits = current_limits();
        let slot = match &account {
            Some(account) => match account.admit() {
                Some(slot) => Some(slot),
                None => return,
            },
            None if open_count.load(Ordering::Relaxed) >= limits.max_connections => return,
            None => None,
        };
        open_count.fetch_add(1, Ordering::Relaxed);
        let _ = socket.set_nodelay(true);
        let (handler, stop, open_count) = (handler.clone(), stop.clone(), open_count.clone());
        tokio::spawn(async move {
            serve_connection(socket, peer, &limits, handler, stop, slot).await;
            open_count.fetch_sub(1, Ordering::Relaxed);
        });
    };
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = wait_for_stop(&mut stopped.0) => break,
        };
        let Ok((socket, peer)) = accepted else {
            // Accepting fails while the process is out of file descriptors; closing connections release some.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        start(socket, peer);
        // A connection that was closed to make room for this one releases its descriptor now.
        task::yield_now().await;
    }
    // Closing the listener resets connections that clients have opened and that wait in its queue.
    if let Ok(listener) = listener.into_std() {
        while let Ok((socket, peer)) = listener.accept() {
            let socket = socket.set_nonblocking(true).map(|()| socket);
            if let Ok(socket) = socket.and_then(tokio::net::TcpStream::from_std) {
                start(socket, peer);
            }
        }
    }
    is_accepting.store(false, Ordering::Relaxed);
}

async fn serve_connection<F, R>(
    socket: tokio::net::TcpStream,
    peer: SocketAddr,
    limits: &ServerLimits,
    handler: F,
    mut stop: StopSignal,
    slot: Option<ClientSlot>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let ends_with_connection = Arc::new(AtomicBool::new(false));
    let last_response_flag = ends_with_connection.clone();
    // A client that has just connected is about to send its first request.
    let is_receiving = Arc::new(AtomicBool::new(true));
    let receiving_flag = is_receiving.clone();
    let (write_deadline, mut write_deadlines) = watch::channel(None);
    let client = slot.as_ref().map(|it| it.handle.clone());
    let client_of_requests = client.clone();
    let service = service::service_fn(move |mut request: Request<Incoming>| {
        receiving_flag.store(false, Ordering::Relaxed);
        let client = client_of_requests.clone();
        if let Some(client) = &client {
            client.set_busy(true);
            request.extensions_mut().insert(client.clone());
        }
        write_deadline.send_replace(None);
        let version = request.version();
        let response = handler(request, peer);
        let flag = last_response_flag.clone();
        let write_deadline = write_deadline.clone();
        async move {
            let mut response = response.await;
            if let Some(client) = client {
                client.set_busy(true);
                response = response.map(|it| client.track(it));
            }
            write_deadline.send_replace(response.extensions().get().copied());
            flag.store(is_close_delimited(version, &response), Ordering::Relaxed);
            Ok::<_, convert::Infallible>(response)
        }
    });
    let mut socket = ErrorReplacingStream::new(
        socket,
        limits.head_error_handler,
        is_receiving.clone(),
        client,
    );
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(&mut socket), service);
    let mut stop_of_deadline = stop.clone();
    let result = tokio::select! {
        biased;
        () = closed_for_others(slot.as_ref()) => {
            socket.reset();
            return;
        }
        it = run_connection(connection, &mut stop, &is_receiving) => it,
        () = write_deadline_passed(&mut stop_of_deadline, &mut write_deadlines) => {
            socket.reset();
            return;
        }
    };
    if result.is_err() && (ends_with_connection.load(Ordering::Relaxed) || socket.is_unread()) {
        // An orderly end of the connection would mark the aborted body as complete, or wait for a client that does not read.
        socket.reset();
        return;
    }
    let is_timeout = result.is_err_and(|it| it.is_timeout());
    let close = async {
        if is_timeout {
            socket.write_timeout_response().await;
        }
        socket.close().await;
    };
    tokio::select! {
        biased;
        () = closed_for_others(slot.as_ref()) => {}
        () = close => return,
    }
    socket.reset();
}

/// Returns whether the end of the connection marks the end of a response to a request of `version`.
///
/// `hyper` sends a body of unknown length in chunks, unless the request or the response is HTTP/1.0.
fn is_close_delimited(version: Version, response: &Response<HttpBody>) -> bool {
    let is_old = version == Version::HTTP_10 || response.version() == Version::HTTP_10;
    is_old
        && response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(header::CONTENT_LENGTH)
}

/// Serves a connection until it is closed. After a stop, it is closed when its current request is complete; a request
/// that has partially arrived, or the first one of a new connection, is awaited for a moment.
async fn run_connection<I, S>(
    connection: http1::Connection<I, S>,
    stop: &mut StopSignal,
    is_receiving: &AtomicBool,
) -> hyper::Result<()>
where
    I: hyper::rt::Read + hyper::rt::Write + Unpin,
    S: service::HttpService<Incoming, ResBody = HttpBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result,
        () = wait_for_stop(&mut stop.0) => {}
    }
    // `hyper` would close a connection without a current request, and discard what has arrived on it.
    tokio::select! {
        biased;
        result = connection.as_mut() => return result,
        // The runtime polls the sockets before it resumes a task that has yielded.
        () = task::yield_now() => {}
    }
    if is_receiving.load(Ordering::Relaxed) {
        let request = tokio::time::timeout(REQUEST_WAIT, connection.as_mut()).await;
        if let Ok(result) = request {
            return result;
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Completes when the server has been stopped and the deadline of the response that is being written has passed.
async fn write_deadline_passed(
    stop: &mut StopSignal,
    deadlines: &mut watch::Receiver<Option<WriteDeadline>>,
) {
    wait_for_stop(&mut stop.0).await;
    loop {
        let deadline = *deadlines.borrow_and_update();
        let passed = async {
            match deadline {
                Some(it) => tokio::time::sleep_until(it.0.into()).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = passed => return,
            // The connection and its service own the sender, and end together with this wait.
            Ok(()) = deadlines.changed() => {}
        }
    }
}

/// Completes when the connection must make room for others.
async fn closed_for_others(slot: Option<&ClientSlot>) {
    match slot {
        Some(slot) => slot.closed.notified().await,
        None => future::pending().await,
    }
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|it| *it).await.is_err() {
        // All handles were dropped, so the server can no longer be stopped.
        future::pending::<()>().await;
    }
}

/// Delay after a failed accept, which prevents a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Time after a stop in which the rest of a request is still read; several round trips to clients.
const REQUEST_WAIT: time::Duration = time::Duration::from_millis(200);

/// The minimum buffer size that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8192;
