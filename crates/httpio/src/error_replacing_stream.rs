//! A server socket that replaces the error responses which `hyper` generates.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::client_account::ClientHandle;
use crate::head_error::{HeadError, HeadErrorHandler, encode_final_response};

/// A socket that replaces the error responses of `hyper` by those of a [`HeadErrorHandler`].
///
/// `hyper` has no hook for the error responses that it generates, so they are detected when they are written.
#[derive(Debug)]
pub(crate) struct ErrorReplacingStream {
    socket: TcpStream,
    error_handler: Option<HeadErrorHandler>,
    /// Whether data has arrived since the last response, so that a request has been partially received.
    request_started: bool,
    /// Whether data has arrived since the last request or response; shared with the server of the connection.
    is_receiving: Arc<AtomicBool>,
    /// The unwritten part of a response that replaces a generated one.
    replacement: Option<Vec<u8>>,
    /// The account's entry of this connection.
    client: Option<ClientHandle>,
    /// Ends the connection while its client reads nothing.
    write_stall: Option<Pin<Box<Sleep>>>,
    is_unread: bool,
}

impl ErrorReplacingStream {
    /// Wraps `socket`; without `error_handler`, generated responses are written unchanged.
    pub(crate) fn new(
        socket: TcpStream,
        error_handler: Option<HeadErrorHandler>,
        is_receiving: Arc<AtomicBool>,
        client: Option<ClientHandle>,
    ) -> Self {
        Self {
            socket,
            error_handler,
            request_started: false,
            is_receiving,
            replacement: None,
            client,
            write_stall: None,
            is_unread: false,
        }
    }

    /// Returns whether the client has read nothing of a response within the write timeout.
    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread
    }

    /// Responds to a request whose head was only partially received; does nothing if the connection was idle.
    pub(crate) async fn write_timeout_response(&mut self) {
        let Some(error_handler) = self.error_handler.filter(|_| self.request_started) else {
            return;
        };
        let bytes = encode_final_response(&error_handler(HeadError::TooSlow));
        // The write fails if the client has closed the connection; the response is then not needed.
        let _ = self.socket.write_all(&bytes).await;
    }

    /// Closes the connection with a TCP reset, which discards data that the client has not received.
    pub(crate) fn reset(self) {
        // The option fails only if the connection is closed already.
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection after the client has had time to read the last response.
    ///
    /// Closing a socket with unread data resets the connection, which can discard a response that is still in
    /// transit. Unread data is therefore drained first.
    pub(crate) async fn close(&mut self) {
        let _ = self.socket.shutdown().await;
        let mut unread = (&mut self.socket).take(MAX_UNREAD_BYTES);
        let mut sink = tokio::io::sink();
        let drained = tokio::io::copy(&mut unread, &mut sink);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
    }

    fn record_read(&mut self) {
        self.request_started = true;
        self.is_receiving.store(true, Ordering::Relaxed);
    }

    fn record_write(&mut self) {
        self.request_started = false;
        self.is_receiving.store(false, Ordering::Relaxed);
    }

    /// Passes on the result of a write, or an error if the client of an account has read nothing for too long.
    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Some(client) = &self.client else {
            return written;
        };
        if written.is_ready() {
            if self.write_stall.take().is_some() {
                client.set_stalled(false);
            }
            return written;
        }
        let stall = self.write_stall.get_or_insert_with(|| {
            client.set_stalled(true);
            Box::pin(tokio::time::sleep(client.write_timeout()))
        });
        ready!(stall.as_mut().poll(cx));
        self.is_unread = true;
        client.record_unread();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn detect_generated_response(&mut self, bytes: &[u8]) {
        if self.replacement.is_some() {
            return;
        }
        let Some(error_handler) = self.error_handler else {
            return;
        };
        self.replacement = HeadError::from_generated_response(bytes)
            .map(|error| encode_final_response(&error_handler(error)));
    }

    /// Writes the complete replacement, then reports the `reported_len` bytes of the generated response as written.
    fn poll_write_replacement(
        &mut self,
        cx: &mut Context<'_>,
        reported_len: usize,
    ) -> Poll<io::Result<usize>> {
        while let Some(remaining) = self.replacement.as_mut().filter(|it| !it.is_empty()) {
            let count = ready!(Pin::new(&mut self.socket).poll_write(cx, remaining))?;
            remaining.drain(..count);
        }
        self.replacement = None;
        Poll::Ready(Ok(reported_len))
    }
}

impl AsyncRead for ErrorReplacingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ErrorReplacingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        self.detect_generated_response(bytes);
        if self.replacement.is_some() {
            return self.poll_write_replacement(cx, bytes.len());
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.check_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        // A generated response has no body, so `hyper` writes it as a single slice.
        if let [bytes] = slices {
            self.detect_generated_response(bytes);
            if self.replacement.is_some() {
                return self.poll_write_replacement(cx, bytes.len());
            }
        }
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// Maximum amount of unread data that is drained before a connection is closed.
const MAX_UNREAD_BYTES: u64 = 256 * 1024;

/// Timeout for the client to close its side of the connection after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
