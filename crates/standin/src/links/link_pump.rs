//! Moves bytes between two connections.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

use crate::links::delay_line::DelayLine;

/// The way that bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ByteWay {
    /// From the caller to the target.
    Request,
    /// From the target to the caller.
    Answer,
}

/// Relays between `near` and `far` until both ways have ended or one of them fails.
///
/// Each piece of at most `piece_bytes` is handed to `pass`, which waits for its turn on the link, may change the bytes,
/// and returns the time that they take; an error of it ends the connection.
pub(crate) async fn relay<P, F>(
    near: &mut TcpStream,
    far: &mut TcpStream,
    piece_bytes: usize,
    pass: P,
) -> io::Result<()>
where
    P: Fn(ByteWay, BytesMut) -> F,
    F: Future<Output = io::Result<(BytesMut, Duration)>>,
{
    let (near_reader, near_writer) = near.split();
    let (far_reader, far_writer) = far.split();
    let (requests, requests_end) = DelayLine::new();
    let (answers, answers_end) = DelayLine::new();
    futures::future::try_join4(
        pump(near_reader, requests, piece_bytes, |it| {
            pass(ByteWay::Request, it)
        }),
        requests_end.deliver(far_writer),
        pump(far_reader, answers, piece_bytes, |it| {
            pass(ByteWay::Answer, it)
        }),
        answers_end.deliver(near_writer),
    )
    .await
    .map(drop)
}

async fn pump<R, P, F>(
    mut reader: R,
    line: DelayLine,
    piece_bytes: usize,
    pass: P,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    P: Fn(BytesMut) -> F,
    F: Future<Output = io::Result<(BytesMut, Duration)>>,
{
    loop {
        let mut piece = BytesMut::with_capacity(piece_bytes);
        if reader.read_buf(&mut piece).await? == 0 {
            return Ok(());
        }
        let (piece, delay) = pass(piece).await?;
        line.send(piece.freeze(), delay).await?;
    }
}
