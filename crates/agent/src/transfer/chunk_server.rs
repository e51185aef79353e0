//! HTTP server that provides verified chunks to peers and complete versions to the engine on this host.

use std::sync::Arc;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use httpio::{HttpBody, HttpServer, Incoming, Request, Response, StatusCode};
use model::VersionDigest;
use settings::AgentSettings;
use tokio::sync::Semaphore;

use crate::transfer::chunk_store::ChunkStore;
use crate::transfer::shared_pacer::SharedPacer;

/// State shared by the request handlers.
#[derive(Clone)]
struct ServerContext {
    store: Arc<ChunkStore>,
    pacer: Arc<SharedPacer>,
    /// Limits the number of concurrent uploads; further requests get the status 503, after which a peer backs off.
    upload_permits: Arc<Semaphore>,
}

/// Starts the listener for peers and the engine.
pub(crate) fn serve(
    settings: &AgentSettings,
    store: Arc<ChunkStore>,
    pacer: Arc<SharedPacer>,
) -> anyhow::Result<httpio::ServerHandle> {
    let server = HttpServer::bind(settings.listen.peers, httpio::ServerLimits::default())
        .with_context(|| format!("cannot listen on {}", settings.listen.peers))?;
    let context = ServerContext {
        store,
        pacer,
        upload_permits: Arc::new(Semaphore::new(settings.spread.serve_parallel)),
    };
    Ok(server.serve(move |request, _peer| {
        let response = handle_request(&request, &context);
        async move { response }
    })?)
}

fn handle_request(request: &Request<Incoming>, context: &ServerContext) -> Response<HttpBody> {
    let segments: Vec<&str> = request
        .uri()
        .path()
        .trim_start_matches('/')
        .split('/')
        .collect();
    match segments[..] {
        ["chunks", version, idx] => serve_chunk(request, context, version, idx),
        ["weights", version] => serve_weights(request, &context.store, version),
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

fn serve_chunk(
    request: &Request<Incoming>,
    context: &ServerContext,
    version: &str,
    idx: &str,
) -> Response<HttpBody> {
    let (Ok(version), Ok(idx)) = (version.parse(), idx.parse()) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let Some(bytes) = context.store.chunk(version, idx) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let total = bytes.len() as u64;
    let Some((start, end)) = requested_range(request, total) else {
        return status_response(StatusCode::RANGE_NOT_SATISFIABLE);
    };
    let Ok(permit) = context.upload_permits.clone().try_acquire_owned() else {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let (sender, body) = httpio::stream(1);
    let range = bytes.slice(start as usize..end as usize);
    let context = context.clone();
    tokio::spawn(async move {
        if send_paced(&context.pacer, &sender, range).await {
            sender.finish();
            context.store.record_sent(idx);
        }
        drop(permit);
    });
    partial_response(body, start, end, total)
}

/// Sends `bytes` in blocks at the rate that `pacer` allows, and returns `false` if the peer closed the
/// connection before all of them were sent.
async fn send_paced(pacer: &SharedPacer, sender: &httpio::BodySender, mut bytes: Bytes) -> bool {
    while !bytes.is_empty() {
        let block = bytes.split_to(bytes.len().min(pacer.max_write_bytes()));
        pacer.acquire(block.len() as u64).await;
        if sender.send(block).await.is_err() {
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

fn partial_response(body: HttpBody, start: u64, end: u64, total: u64) -> Response<HttpBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    if let Ok(value) = format!("bytes {start}-{}/{total}", end - 1).parse() {
        let headers = response.headers_mut();
        headers.insert(httpio::header::CONTENT_RANGE, value);
        headers.insert(httpio::header::CONTENT_LENGTH, (end - start).into());
    }
    response
}

fn serve_weights(
    request: &Request<Incoming>,
    store: &ChunkStore,
    version: &str,
) -> Response<HttpBody> {
    let Ok(version) = version.parse::<VersionDigest>() else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let Some(manifest) = store.manifest(version) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let Some((start, end)) = requested_range(request, manifest.total_bytes) else {
        return status_response(StatusCode::RANGE_NOT_SATISFIABLE);
    };
    let Some(bytes) = read_range(store, version, manifest.chunk_bytes, start, end) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    if !request.headers().contains_key(httpio::header::RANGE) {
        return Response::new(httpio::full(bytes));
    }
    partial_response(httpio::full(bytes), start, end, manifest.total_bytes)
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

/// Parses a range `bytes=A-B` into the offsets of its first byte and of the byte after its last.
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

fn status_response(code: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(httpio::empty());
    *response.status_mut() = code;
    response
}
