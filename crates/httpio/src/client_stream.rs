//! The socket of a client connection, which can be closed with a TCP reset.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that is closed either gracefully or with a reset.
#[derive(Debug)]
pub(crate) struct ClientStream {
    socket: TcpStream,
    reset_on_close: bool,
}

impl ClientStream {
    /// Wraps `socket`; closing it resets the connection if `reset_on_close` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects the socket option.
    pub(crate) fn new(socket: TcpStream, reset_on_close: bool) -> io::Result<Self> {
        if reset_on_close {
            socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO))?;
        }
        Ok(Self {
            socket,
            reset_on_close,
        })
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ClientStream {
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

    /// Does nothing if the connection is to be reset, which happens when the socket is dropped. A graceful
    /// shutdown would make the kernel retransmit the unacknowledged request together with the FIN until both
    /// arrive.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset_on_close {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
