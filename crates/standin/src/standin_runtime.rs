//! The async runtime of stand-ins and their HTTP servers.

use std::future::Future;
use std::net::SocketAddr;

use httpio::{HttpBody, HttpServer, Incoming, Request, Response, ServerHandle, ServerLimits};
use tokio::runtime::{Builder, Handle, Runtime};

/// A runtime for any number of stand-ins. Dropping it stops them and closes their connections.
#[derive(Debug)]
pub struct StandinRuntime {
    runtime: Option<Runtime>,
    handle: Handle,
}

/// Maximum number of connections of a stand-in. High, because benchmarks open many connections to one origin.
const MAX_CONNECTIONS: usize = 16_384;

impl StandinRuntime {
    /// Creates a runtime with `threads` worker threads.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if a thread cannot be started.
    pub fn new(threads: usize) -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("standin")
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        Ok(Self {
            runtime: Some(runtime),
            handle,
        })
    }

    /// Returns a handle for spawning tasks from any thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs `future` to completion on the calling thread, with the runtime's timers and sockets.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.handle.block_on(future)
    }
}

impl Drop for StandinRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A blocking shutdown panics inside another runtime, and no task needs to complete.
            runtime.shutdown_background();
        }
    }
}

/// Binds `address` and serves requests with `handler` on the runtime of `handle`.
pub(crate) fn serve<F, R>(
    handle: &Handle,
    address: SocketAddr,
    handler: F,
) -> std::io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_header_bytes: 128 * 1024,
        header_timeout: std::time::Duration::from_secs(120),
        ..ServerLimits::default()
    };
    let _guard = handle.enter();
    HttpServer::bind(address, limits)?.serve(handler)
}
