//! The socket of a client connection, which can be closed with a TCP reset.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::boot_clock;

/// A TCP stream that is closed either gracefully or with a reset.
pub(crate) struct ClientStream {
    socket: Arc<TcpStream>,
    awaits_head: Arc<AtomicBool>,
    write_limit: Arc<WriteLimit>,
    reset_on_close: bool,
    /// Number of bytes that were read since the task last waited.
    read_without_wait: usize,
    /// Lets other tasks run before the next read.
    pause: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    /// Number of bytes that were read since the last write.
    read_since_write: usize,
}

/// What the owner of a connection sees of its socket, which the task of the connection reads and writes.
#[derive(Clone, Debug)]
pub(crate) struct SocketView {
    /// Does not keep the socket open after the task has ended.
    socket: Weak<TcpStream>,
    awaits_head: Arc<AtomicBool>,
    write_limit: Arc<WriteLimit>,
}

/// Time by which the first bytes of a request must be written. The process may be suspended between the decision to send the
/// request and the write, and what the decision relied on may not hold any more then.
#[derive(Debug, Default)]
struct WriteLimit {
    /// Time since boot in milliseconds, or 0 without a limit.
    end_ms: AtomicU64,
    /// Whether a write was prevented.
    is_passed: AtomicBool,
}

impl WriteLimit {
    /// Returns whether bytes may be written now.
    fn may_write(&self) -> bool {
        let end_ms = self.end_ms.load(Ordering::Relaxed);
        let is_passed = end_ms > 0 && millis(boot_clock::now()) > end_ms;
        if is_passed {
            self.is_passed.store(true, Ordering::Relaxed);
        }
        !is_passed
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
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
            awaits_head: Arc::default(),
            write_limit: Arc::default(),
            reset_on_close,
            read_without_wait: 0,
            pause: None,
            read_since_write: 0,
        })
    }

    /// Returns a view of the socket.
    pub(crate) fn view(&self) -> SocketView {
        SocketView {
            socket: Arc::downgrade(&self.socket),
            awaits_head: self.awaits_head.clone(),
            write_limit: self.write_limit.clone(),
        }
    }

    /// Counts received bytes, and fails if they are too many for the head of a response.
    fn count_read(&mut self, count: usize) -> io::Result<()> {
        self.read_without_wait += count;
        self.read_since_write += count;
        if self.awaits_head.load(Ordering::Relaxed) && self.read_since_write > MAX_HEAD_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response exceeds the size limit",
            ));
        }
        Ok(())
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

    /// Sets whether the connection waits for the head of a response, whose size is limited together with the interim
    /// responses before it.
    pub(crate) fn set_awaits_head(&self, awaits_head: bool) {
        self.awaits_head.store(awaits_head, Ordering::Relaxed);
    }

    /// Makes the next write fail unless it happens by `write_by`, a time since boot.
    pub(crate) fn limit_next_write(&self, write_by: Duration) {
        let end_ms = millis(write_by).max(1);
        self.write_limit.end_ms.store(end_ms, Ordering::Relaxed);
    }

    /// Returns whether a write was prevented, so that nothing of the request has been written.
    pub(crate) fn is_write_limit_passed(&self) -> bool {
        self.write_limit.is_passed.load(Ordering::Relaxed)
    }
}

impl AsyncRead for ClientStream {
    /// Reads from the socket, but pauses after [`MAX_READ_WITHOUT_WAIT`], so that other tasks run while a peer sends
    /// faster than its data can be decoded.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_without_wait >= MAX_READ_WITHOUT_WAIT {
            self.read_without_wait = 0;
            self.pause = Some(Box::pin(tokio::task::yield_now()));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        loop {
            if self.socket.poll_read_ready(cx)?.is_pending() {
                self.read_without_wait = 0;
                return Poll::Pending;
            }
            match self.socket.try_read_buf(buffer) {
                Ok(count) => return Poll::Ready(self.count_read(count)),
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.read_since_write = 0;
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            if !self.write_limit.may_write() {
                return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
            }
            match self.socket.try_write_vectored(slices) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.write_limit.end_ms.store(0, Ordering::Relaxed);
                    return Poll::Ready(result);
                }
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

/// Maximum size of the head of a response together with the interim responses before it. The part of a body that may
/// arrive before the head is processed is smaller.
const MAX_HEAD_BYTES: usize = 1024 * 1024;

/// Number of bytes that are read before other tasks run.
const MAX_READ_WITHOUT_WAIT: usize = 128 * 1024;
