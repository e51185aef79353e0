//! The socket of a client connection, which can be closed with a TCP reset.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that is closed either gracefully or with a reset.
#[derive(Debug)]
pub(crate) struct ClientStream {
    socket: Arc<TcpStream>,
    reset_on_close: bool,
}

/// What the owner of a connection sees of its socket, which the task of the connection reads and writes.
#[derive(Clone, Debug)]
pub(crate) struct SocketView {
    /// Does not keep the socket open after the task has ended.
    socket: Weak<TcpStream>,
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
            socket: Arc::new(socket),
            reset_on_close,
        })
    }

    /// Returns a view of the socket.
    pub(crate) fn view(&self) -> SocketView {
        SocketView {
            socket: Arc::downgrade(&self.socket),
        }
    }
}

impl SocketView {
    /// Returns whether the connection is open and nothing has been received that the task has not read.
    ///
    /// Asks the operating system, because the task may not have been scheduled since data arrived.
    pub(crate) fn is_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else {
            return false;
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&*socket).peek(&mut byte);
        peeked.is_err_and(|it| it.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read_buf(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(slices) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing if the connection is to be reset, which happens when the socket is dropped. A graceful
    /// shutdown would make the kernel retransmit the unacknowledged request together with the FIN until both
    /// arrive.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset_on_close {
            return Poll::Ready(Ok(()));
        }
        let shutdown = socket2::SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write);
        Poll::Ready(match shutdown {
            // The peer has closed the connection already.
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}
