//! A socket that puts our answers in the place of those which `hyper` writes by itself.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use crate::head_error::{HeadError, HeadErrorHandler, last_answer_bytes};

/// A caller's socket. `hyper` offers no hook for its automatic answers, so they are recognised as they are written.
#[derive(Debug)]
pub(crate) struct GuardedSocket {
    socket: TcpStream,
    answer: Option<HeadErrorHandler>,
    /// Whether bytes have arrived since the last answer: a request has begun.
    begun: bool,
    /// What is left to write of an answer that takes the place of an automatic one.
    substitute: Option<Vec<u8>>,
}

impl GuardedSocket {
    /// Guards `socket`; without `answer` the automatic answers pass.
    pub(crate) fn new(socket: TcpStream, answer: Option<HeadErrorHandler>) -> Self {
        Self {
            socket,
            answer,
            begun: false,
            substitute: None,
        }
    }

    /// Answers a request that has begun and did not go on; an idle connection just ends.
    pub(crate) async fn answer_slow_head(&mut self) {
        let Some(answer) = self.answer.filter(|_| self.begun) else {
            return;
        };
        let bytes = last_answer_bytes(&answer(HeadError::TooSlow));
        // The caller may be gone, and then there is nobody to tell.
        let _ = self.socket.write_all(&bytes).await;
    }

    /// Ends the connection in a way that lets the caller read the last answer.
    ///
    /// Closing a socket with unread bytes resets the connection, which may take an answer away that is still under way.
    pub(crate) async fn close(mut self) {
        let _ = self.socket.shutdown().await;
        let mut unread = self.socket.take(MAX_UNREAD_BYTES);
        let mut sink = tokio::io::sink();
        let drained = tokio::io::copy(&mut unread, &mut sink);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
    }

    fn start_substitute(&mut self, bytes: &[u8]) {
        if self.substitute.is_some() {
            return;
        }
        let Some(answer) = self.answer else {
            return;
        };
        self.substitute =
            HeadError::of_automatic_answer(bytes).map(|fault| last_answer_bytes(&answer(fault)));
    }

    /// Writes the whole substitute and then reports `written` bytes of the automatic answer as written.
    fn poll_substitute(&mut self, cx: &mut Context<'_>, written: usize) -> Poll<io::Result<usize>> {
        while let Some(rest) = self.substitute.as_mut().filter(|it| !it.is_empty()) {
            let count = ready!(Pin::new(&mut self.socket).poll_write(cx, rest))?;
            rest.drain(..count);
        }
        self.substitute = None;
        Poll::Ready(Ok(written))
    }
}

impl AsyncRead for GuardedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.begun |= buf.filled().len() > before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begun = false;
        self.start_substitute(bytes);
        if self.substitute.is_some() {
            return self.poll_substitute(cx, bytes.len());
        }
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begun = false;
        // An automatic answer has no body, so it is a single slice.
        if let [bytes] = slices {
            self.start_substitute(bytes);
            if self.substitute.is_some() {
                return self.poll_substitute(cx, bytes.len());
            }
        }
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
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

/// Bytes that are read and dropped before a connection is closed.
const MAX_UNREAD_BYTES: u64 = 256 * 1024;

/// Time for a caller to close its side after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
