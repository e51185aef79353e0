//! Serving verified chunks to peers, and the whole version to the engine on this host.

use std::sync::Arc;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use httpio::{HttpServer, Incoming, ReplyBody, Request, Response, StatusCode};
use model::VersionDigest;
use settings::AgentSettings;

use crate::transfer::chunk_store::ChunkStore;

/// Starts the listener for peers and for the engine.
pub(crate) fn serve(
    settings: &AgentSettings,
    store: Arc<ChunkStore>,
) -> anyhow::Result<httpio::ServerHandle> {
    let server = HttpServer::bind(settings.listen.peers, httpio::ServerLimits::default())
        .with_context(|| format!("cannot listen on {}", settings.listen.peers))?;
    Ok(server.serve(move |request, _peer| {
        let reply = answer(&request, &store);
        async move { reply }
    })?)
}

fn answer(request: &Request<Incoming>, store: &ChunkStore) -> Response<ReplyBody> {
    let parts: Vec<&str> = request
        .uri()
        .path()
        .trim_start_matches('/')
        .split('/')
        .collect();
    let bytes = match parts[..] {
        ["chunks", version, idx] => chunk(store, version, idx),
        ["weights", version] => return weights(request, store, version),
        _ => None,
    };
    match bytes {
        Some(bytes) => Response::new(httpio::full(bytes)),
        None => status(StatusCode::NOT_FOUND),
    }
}

fn chunk(store: &ChunkStore, version: &str, idx: &str) -> Option<Bytes> {
    store.chunk(version.parse().ok()?, idx.parse().ok()?)
}

fn weights(request: &Request<Incoming>, store: &ChunkStore, version: &str) -> Response<ReplyBody> {
    let Ok(version) = version.parse::<VersionDigest>() else {
        return status(StatusCode::NOT_FOUND);
    };
    let Some(manifest) = store.manifest(version) else {
        return status(StatusCode::NOT_FOUND);
    };
    let range = request
        .headers()
        .get(httpio::header::RANGE)
        .and_then(|it| it.to_str().ok());
    let Some((start, end)) = range.map_or(Some((0, manifest.total_bytes)), |it| {
        parse_range(it, manifest.total_bytes)
    }) else {
        return status(StatusCode::RANGE_NOT_SATISFIABLE);
    };
    let Some(bytes) = read_range(store, version, manifest.chunk_bytes, start, end) else {
        return status(StatusCode::NOT_FOUND);
    };
    let mut response = Response::new(httpio::full(bytes));
    if range.is_some() {
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
        if let Ok(value) = format!("bytes {start}-{}/{}", end - 1, manifest.total_bytes).parse() {
            response
                .headers_mut()
                .insert(httpio::header::CONTENT_RANGE, value);
        }
    }
    response
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
