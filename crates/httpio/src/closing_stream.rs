//! A client's connection that ends in order or with a reset.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Forwards to a socket, but for its end.
#[derive(Debug)]
pub(crate) struct ClosingStream {
    socket: TcpStream,
    resets: bool,
}

impl ClosingStream {
    /// Wraps `socket`, whose connection is to end with a reset if `resets` says so.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system does not allow the option.
    pub(crate) fn new(socket: TcpStream, resets: bool) -> io::Result<Self> {
        if resets {
            socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO))?;
        }
        Ok(Self { socket, resets })
    }
}

impl AsyncRead for ClosingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClosingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    /// An end in order would be sent again together with the request until both arrive; the reset follows when the socket
    /// is dropped.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
