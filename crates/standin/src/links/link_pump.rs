//! Bidirectional forwarding between two connections.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

use crate::links::delay_line::DelayLine;

/// The direction of forwarded bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From the client to the target.
    Request,
    /// From the target to the client.
    Response,
}

/// Forwards bytes between `client` and `upstream` until both directions are closed or one of them fails.
///
/// Each segment of at most `segment_bytes` is passed to `transmit`, which waits until the link has capacity, may modify
/// the bytes, and returns their propagation delay. An error from it ends the connection.
pub(crate) async fn relay<T, F>(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    segment_bytes: usize,
    transmit: T,
) -> io::Result<()>
where
    T: Fn(Direction, BytesMut) -> F,
    F: Future<Output = io::Result<(BytesMut, Duration)>>,
{
    let (client_reader, client_writer) = client.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    let (requests, request_receiver) = DelayLine::new();
    let (responses, response_receiver) = DelayLine::new();
    futures::future::try_join4(
        pump(client_reader, requests, segment_bytes, |it| {
            transmit(Direction::Request, it)
        }),
        request_receiver.deliver(upstream_writer),
        pump(upstream_reader, responses, segment_bytes, |it| {
            transmit(Direction::Response, it)
        }),
        response_receiver.deliver(client_writer),
    )
    .await
    .map(drop)
}

async fn pump<R, T, F>(
    mut reader: R,
    line: DelayLine,
    segment_bytes: usize,
    transmit: T,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    T: Fn(BytesMut) -> F,
    F: Future<Output = io::Result<(BytesMut, Duration)>>,
{
    loop {
        let mut segment = BytesMut::with_capacity(segment_bytes);
        if reader.read_buf(&mut segment).await? == 0 {
            return Ok(());
        }
        let (segment, delay) = transmit(segment).await?;
        line.send(segment.freeze(), delay).await?;
    }
}
