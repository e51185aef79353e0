//! Fetches a chunk from a source, resumes the fetch once if it is interrupted, and verifies the digest.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use httpio::{HttpClient, Request, StatusCode, header};
use model::{ChunkSource, ContentDigest, FetchFault, VersionDigest, WeightManifest};

use crate::transfer::shared_pacer::SharedPacer;

/// Fetches `chunk` from `source` and checks its digest.
///
/// If the connection fails or stalls, the fetch is resumed once, after the last received byte.
pub(crate) async fn fetch_chunk(
    client: &HttpClient,
    origin: SocketAddr,
    pacer: &SharedPacer,
    version: VersionDigest,
    manifest: &WeightManifest,
    chunk: usize,
    source: &ChunkSource,
) -> Result<Bytes, FetchFault> {
    let (start, length) = manifest.chunk_range(chunk);
    pacer.acquire(length).await;
    let mut bytes = BytesMut::with_capacity(length as usize);
    let mut resumes = 0;
    while (bytes.len() as u64) < length {
        let offset = bytes.len() as u64;
        let request = match source {
            ChunkSource::Origin => {
                let path = format!("/weights/{}/{}/data", manifest.model, manifest.label);
                range_request(&path, start + offset, start + length)
            }
            ChunkSource::Region { .. } | ChunkSource::Peer { .. } => {
                range_request(&format!("/chunks/{version}/{chunk}"), offset, length)
            }
        };
        let address = match source {
            ChunkSource::Origin => origin,
            ChunkSource::Region { address, .. } | ChunkSource::Peer { address, .. } => *address,
        };
        match read_range(client, address, request, &mut bytes, length).await {
            Ok(()) => {}
            Err(FetchFault::Stalled) if resumes == 0 => resumes += 1,
            Err(fault) => return Err(fault),
        }
    }
    let bytes = bytes.freeze();
    if manifest.chunks.get(chunk) != Some(&ContentDigest::of(&bytes)) {
        return Err(FetchFault::Corrupt);
    }
    Ok(bytes)
}

fn range_request(path: &str, start: u64, end: u64) -> Request<httpio::HttpBody> {
    Request::get(path)
        .header(header::RANGE, format!("bytes={start}-{}", end - 1))
        .body(httpio::empty())
        .expect("the path consists of validated names and digests")
}

async fn read_range(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<httpio::HttpBody>,
    bytes: &mut BytesMut,
    length: u64,
) -> Result<(), FetchFault> {
    let result = tokio::time::timeout(STALL_TIMEOUT, client.send(address, request)).await;
    let pooled_response = result
        .map_err(|_| FetchFault::Stalled)?
        .map_err(|_| FetchFault::Stalled)?;
    let (response, sender, address) = pooled_response.into_parts();
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
                // A source that sends more than was requested must not grow the buffer.
                if bytes.len() as u64 + data.len() as u64 > length {
                    return Err(FetchFault::Corrupt);
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

/// Time without data from a source after which its connection is abandoned.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);
