//! The threads that stand-ins run on.

use std::future::Future;
use std::net::SocketAddr;

use httpio::{HttpBody, HttpServer, Incoming, Request, Response, ServerHandle, ServerLimits};
use tokio::runtime::{Builder, Handle, Runtime};

/// Owns the threads of any number of stand-ins; dropping it ends them and closes their connections.
#[derive(Debug)]
pub struct StandinRuntime {
    runtime: Option<Runtime>,
    handle: Handle,
}

/// Connections that one stand-in accepts; a bench opens many to a single origin.
const MAX_CONNECTIONS: usize = 16_384;

impl StandinRuntime {
    /// Starts `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when a thread cannot be started.
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

    /// Returns the handle by which tasks are spawned from any thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs `future` to its end on the calling thread, with the runtime's timers and sockets.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.handle.block_on(future)
    }
}

impl Drop for StandinRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A runtime may not wait for its threads inside of another one, and nothing here is worth waiting for.
            runtime.shutdown_background();
        }
    }
}

/// Binds `address` and answers requests by `handler` on the runtime of `handle`.
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
        header_timeout: std::time::Duration::from_secs(120),
        ..ServerLimits::default()
    };
    let _guard = handle.enter();
    HttpServer::bind(address, limits)?.serve(handler)
}
