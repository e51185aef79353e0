//! A line that bytes take some time to pass.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// The near end of a line; dropping it ends the line after the bytes under way.
#[derive(Debug)]
pub(crate) struct DelayLine {
    sender: mpsc::Sender<(Instant, Bytes)>,
}

/// The far end of a line.
#[derive(Debug)]
pub(crate) struct LineEnd {
    receiver: mpsc::Receiver<(Instant, Bytes)>,
}

/// Pieces that are under way at most.
const PIECES_UNDER_WAY: usize = 64;

impl DelayLine {
    /// Creates both ends of a line.
    pub(crate) fn new() -> (Self, LineEnd) {
        let (sender, receiver) = mpsc::channel(PIECES_UNDER_WAY);
        (Self { sender }, LineEnd { receiver })
    }

    /// Sends `piece`, which arrives after `delay`; it fails when the far end is gone.
    pub(crate) async fn send(&self, piece: Bytes, delay: Duration) -> io::Result<()> {
        self.sender
            .send((Instant::now() + delay, piece))
            .await
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }
}

impl LineEnd {
    /// Writes what arrives to `writer`, and ends its half of the connection when the line ends.
    pub(crate) async fn deliver<W: AsyncWrite + Unpin>(mut self, mut writer: W) -> io::Result<()> {
        while let Some((at, piece)) = self.receiver.recv().await {
            if at > Instant::now() {
                tokio::time::sleep_until(at.into()).await;
            }
            writer.write_all(&piece).await?;
        }
        writer.shutdown().await
    }
}
