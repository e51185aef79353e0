//! One fetch of a chunk.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use httpio::{HttpClient, Request, StatusCode, header};
use model::{ChunkSource, ContentDigest, FetchFault, VersionDigest, WeightManifest};

use crate::transfer::transfer_pace::TransferPace;

/// Fetches `chunk` from `source` and checks its digest.
///
/// A connection that breaks or stalls in mid-chunk is taken up again at the byte at hand, once.
pub(crate) async fn fetch_chunk(
    client: &HttpClient,
    origin: SocketAddr,
    pace: &TransferPace,
    version: VersionDigest,
    manifest: &WeightManifest,
    chunk: usize,
    source: &ChunkSource,
) -> Result<Bytes, FetchFault> {
    let (start, length) = manifest.chunk_range(chunk);
    pace.take(length).await;
    let mut bytes = BytesMut::with_capacity(length as usize);
    let mut tries = 0;
    while (bytes.len() as u64) < length {
        let from = bytes.len() as u64;
        let request = match source {
            ChunkSource::Origin => {
                let path = format!("/weights/{}/{}/data", manifest.model, manifest.label);
                ranged(&path, start + from, start + length)
            }
            ChunkSource::Region { .. } | ChunkSource::Peer { .. } => {
                ranged(&format!("/chunks/{version}/{chunk}"), from, length)
            }
        };
        let address = match source {
            ChunkSource::Origin => origin,
            ChunkSource::Region { address, .. } | ChunkSource::Peer { address, .. } => *address,
        };
        match read_part(client, address, request, &mut bytes, length).await {
            Ok(()) => {}
            Err(FetchFault::Stalled) if tries == 0 => tries += 1,
            Err(fault) => return Err(fault),
        }
    }
    let bytes = bytes.freeze();
    if manifest.chunks.get(chunk) != Some(&ContentDigest::of(&bytes)) {
        return Err(FetchFault::Corrupted);
    }
    Ok(bytes)
}

fn ranged(path: &str, start: u64, end: u64) -> Request<httpio::ReplyBody> {
    Request::get(path)
        .header(header::RANGE, format!("bytes={start}-{}", end - 1))
        .body(httpio::empty())
        .expect("the path consists of checked names and digests")
}

async fn read_part(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<httpio::ReplyBody>,
    bytes: &mut BytesMut,
    length: u64,
) -> Result<(), FetchFault> {
    let sent = tokio::time::timeout(STALL_TIMEOUT, client.send(address, request)).await;
    let reply = sent
        .map_err(|_| FetchFault::Stalled)?
        .map_err(|_| FetchFault::Stalled)?;
    let (response, sender, address) = reply.into_parts();
    match response.status() {
        StatusCode::PARTIAL_CONTENT => {}
        StatusCode::NOT_FOUND => return Err(FetchFault::Absent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            return Err(FetchFault::Busy);
        }
        _ => return Err(FetchFault::Stalled),
    }
    let mut body = response.into_body();
    loop {
        let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
        match frame.map_err(|_| FetchFault::Stalled)? {
            None => break,
            Some(Err(_)) => return Err(FetchFault::Stalled),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                // A source that sends more than was asked for must not grow the buffer.
                if bytes.len() as u64 + data.len() as u64 > length {
                    return Err(FetchFault::Corrupted);
                }
                bytes.extend_from_slice(&data);
            }
        }
    }
    if (bytes.len() as u64) < length {
        return Err(FetchFault::Stalled);
    }
    client.recycle(sender, address);
    Ok(())
}

/// Silence of a source after which its connection is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);
