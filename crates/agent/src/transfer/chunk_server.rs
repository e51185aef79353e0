//! Serving verified chunks to peers, and the whole version to the engine on this host.

use std::sync::Arc;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use httpio::{HttpServer, Incoming, ReplyBody, Request, Response, StatusCode};
use hyper::body::Frame;
use model::VersionDigest;
use settings::AgentSettings;
use tokio::sync::Semaphore;

use crate::transfer::chunk_store::ChunkStore;
use crate::transfer::transfer_pace::TransferPace;

/// What the listener works with.
#[derive(Clone)]
struct ServerParts {
    store: Arc<ChunkStore>,
    pace: Arc<TransferPace>,
    /// Chunks that may be sent at once; a peer that comes above them is told to come back.
    uploads: Arc<Semaphore>,
}

/// Starts the listener for peers and for the engine.
pub(crate) fn serve(
    settings: &AgentSettings,
    store: Arc<ChunkStore>,
    pace: Arc<TransferPace>,
) -> anyhow::Result<httpio::ServerHandle> {
    let server = HttpServer::bind(settings.listen.peers, httpio::ServerLimits::default())
        .with_context(|| format!("cannot listen on {}", settings.listen.peers))?;
    let parts = ServerParts {
        store,
        pace,
        uploads: Arc::new(Semaphore::new(settings.spread.serve_parallel)),
    };
    Ok(server.serve(move |request, _peer| {
        let reply = answer(&request, &parts);
        async move { reply }
    })?)
}

fn answer(request: &Request<Incoming>, parts: &ServerParts) -> Response<ReplyBody> {
    let segments: Vec<&str> = request
        .uri()
        .path()
        .trim_start_matches('/')
        .split('/')
        .collect();
    match segments[..] {
        ["chunks", version, idx] => chunk(request, parts, version, idx),
        ["weights", version] => weights(request, &parts.store, version),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn chunk(
    request: &Request<Incoming>,
    parts: &ServerParts,
    version: &str,
    idx: &str,
) -> Response<ReplyBody> {
    let (Ok(version), Ok(idx)) = (version.parse(), idx.parse()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some(bytes) = parts.store.chunk(version, idx) else {
        return status(StatusCode::NOT_FOUND);
    };
    let total = bytes.len() as u64;
    let Some((start, end)) = requested_range(request, total) else {
        return status(StatusCode::RANGE_NOT_SATISFIABLE);
    };
    let Ok(upload) = parts.uploads.clone().try_acquire_owned() else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let (sender, body) = httpio::stream(1);
    let part = bytes.slice(start as usize..end as usize);
    let parts = parts.clone();
    tokio::spawn(async move {
        if send_paced(&parts.pace, &sender, part).await {
            parts.store.note_sent(idx);
        }
        drop(upload);
    });
    partial(body, start, end, total)
}

/// Sends `bytes` in pieces as the link allows and returns whether the peer took them all.
async fn send_paced(pace: &TransferPace, sender: &httpio::BodySender, mut bytes: Bytes) -> bool {
    while !bytes.is_empty() {
        let piece = bytes.split_to(bytes.len().min(pace.piece_bytes()));
        pace.take(piece.len() as u64).await;
        if sender.send(Ok(Frame::data(piece))).await.is_err() {
            return false;
        }
    }
    true
}

fn requested_range(request: &Request<Incoming>, total: u64) -> Option<(u64, u64)> {
    let range = request.headers().get(httpio::header::RANGE);
    match range.and_then(|it| it.to_str().ok()) {
        None => Some((0, total)),
        Some(it) => parse_range(it, total),
    }
}

fn partial(body: ReplyBody, start: u64, end: u64, total: u64) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    if let Ok(value) = format!("bytes {start}-{}/{total}", end - 1).parse() {
        let headers = response.headers_mut();
        headers.insert(httpio::header::CONTENT_RANGE, value);
        headers.insert(httpio::header::CONTENT_LENGTH, (end - start).into());
    }
    response
}

fn weights(request: &Request<Incoming>, store: &ChunkStore, version: &str) -> Response<ReplyBody> {
    let Ok(version) = version.parse::<VersionDigest>() else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some(manifest) = store.manifest(version) else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some((start, end)) = requested_range(request, manifest.total_bytes) else {
        return status(StatusCode::RANGE_NOT_SATISFIABLE);
    };
    let Some(bytes) = read_range(store, version, manifest.chunk_bytes, start, end) else {
        return status(StatusCode::NOT_FOUND);
    };
    if !request.headers().contains_key(httpio::header::RANGE) {
        return Response::new(httpio::full(bytes));
    }
    partial(httpio::full(bytes), start, end, manifest.total_bytes)
}

fn read_range(
    store: &ChunkStore,
    version: VersionDigest,
    chunk_bytes: u64,
    start: u64,
    end: u64,
) -> Option<Bytes> {
    let mut bytes = BytesMut::with_capacity((end - start) as usize);
    let mut position = start;
    while position < end {
        let chunk = store.chunk(version, (position / chunk_bytes) as usize)?;
        let offset = (position % chunk_bytes) as usize;
        let length = (chunk.len() - offset).min((end - position) as usize);
        bytes.extend_from_slice(&chunk[offset..offset + length]);
        position += length as u64;
    }
    Some(bytes.freeze())
}

/// Reads `bytes=A-B` and returns the first byte and the one after the last.
fn parse_range(text: &str, total: u64) -> Option<(u64, u64)> {
    let (start, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let start: u64 = start.parse().ok()?;
    let end = if last.is_empty() {
        total
    } else {
        last.parse::<u64>().ok()?.checked_add(1)?
    }
    .min(total);
    (start < end).then_some((start, end))
}

fn status(code: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = code;
    response
}
