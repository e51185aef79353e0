//! Asks the tracker what to fetch, fetches it and verifies it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use httpio::{HttpClient, Request};
use model::{ChunkAnnouncement, ChunkSet, VersionDigest, WeightManifest};
use settings::AgentSettings;
use slog::{Logger, debug, warn};
use tokio::task::JoinSet;
use wire::{ChunkAssignment, EntryControlClient, PlanRequest, SourceKind, WireCounters, context};

use crate::control::AgentView;
use crate::transfer::chunk_store::ChunkStore;

/// Fetches whatever the store is aimed at, until the runtime ends.
pub(crate) async fn transfer_loop(
    settings: Arc<AgentSettings>,
    store: Arc<ChunkStore>,
    view: Arc<AgentView>,
    counters: WireCounters,
    log: Logger,
) {
    let client = HttpClient::new(settings.bind_ip, CONNECT_TIMEOUT);
    let mut tracker: Option<EntryControlClient> = None;
    loop {
        let Some((version, manifest, have)) = store.goal() else {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        let complete = have.len() == manifest.chunk_count();
        if tracker.is_none() {
            tracker = connect_tracker(&settings, &view, &counters).await;
        }
        let assignments = match &tracker {
            Some(it) => ask(it, &settings, &view, version, have, &counters).await,
            None => None,
        };
        let Some(assignments) = assignments else {
            tracker = None;
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        if assignments.is_empty() {
            tokio::time::sleep(if complete { COMPLETE_PAUSE } else { IDLE_PAUSE }).await;
            continue;
        }
        fetch_all(&client, &store, version, &manifest, assignments, &log).await;
    }
}

async fn connect_tracker(
    settings: &AgentSettings,
    view: &AgentView,
    counters: &WireCounters,
) -> Option<EntryControlClient> {
    // The lowest address is the same on every agent, so that all of them meet at one tracker.
    for address in view.entries_or(&settings.entries) {
        let secret = settings.shared_key.reveal();
        if let Ok(it) = wire::connect_entry(address, settings.bind_ip, secret, counters).await {
            return Some(it);
        }
    }
    None
}

async fn ask(
    tracker: &EntryControlClient,
    settings: &AgentSettings,
    view: &AgentView,
    version: VersionDigest,
    have: ChunkSet,
    counters: &WireCounters,
) -> Option<Vec<ChunkAssignment>> {
    let announcement = ChunkAnnouncement {
        host: settings.host.name.clone(),
        incarnation: view.incarnation(),
        zone: settings.host.zone.clone(),
        region: settings.host.region.clone(),
        peers: settings.advertise.peers,
        version,
        have,
    };
    counters.add_message();
    let request = PlanRequest {
        announcement,
        room: settings.spread.fetch_parallel as u32,
    };
    tracker
        .plan(context::current(), request)
        .await
        .ok()
        .map(|it| it.assignments)
}

async fn fetch_all(
    client: &HttpClient,
    store: &Arc<ChunkStore>,
    version: VersionDigest,
    manifest: &Arc<WeightManifest>,
    assignments: Vec<ChunkAssignment>,
    log: &Logger,
) {
    let mut fetches = JoinSet::new();
    for assignment in assignments {
        let (client, store, manifest, log) =
            (client.clone(), store.clone(), manifest.clone(), log.clone());
        fetches.spawn(async move {
            let (chunk, source) = (assignment.chunk, assignment.source);
            let bytes = match fetch(&client, version, &manifest, &assignment).await {
                Ok(it) => it,
                Err(err) => {
                    debug!(log, "chunk was not fetched"; "chunk" => chunk, "source" => %source, "reason" => %err);
                    return;
                }
            };
            if !store.insert(version, chunk as usize, bytes) {
                warn!(log, "chunk is corrupted"; "chunk" => chunk, "source" => %source);
            }
        });
    }
    while fetches.join_next().await.is_some() {}
}

async fn fetch(
    client: &HttpClient,
    version: VersionDigest,
    manifest: &WeightManifest,
    assignment: &ChunkAssignment,
) -> anyhow::Result<Bytes> {
    let idx = assignment.chunk as usize;
    anyhow::ensure!(
        idx < manifest.chunk_count(),
        "the tracker named a chunk beyond the manifest"
    );
    let (start, length) = manifest.chunk_range(idx);
    let request = match assignment.kind {
        SourceKind::Peer => {
            Request::get(format!("/chunks/{version}/{idx}")).body(httpio::empty())?
        }
        SourceKind::Origin | SourceKind::WeightStore => Request::get(format!(
            "/weights/{}/{}/data",
            manifest.model, manifest.label
        ))
        .header(
            httpio::header::RANGE,
            format!("bytes={start}-{}", start + length - 1),
        )
        .body(httpio::empty())?,
    };
    let reply =
        tokio::time::timeout(CHUNK_TIMEOUT, client.send(assignment.source, request)).await??;
    anyhow::ensure!(
        reply.response.status().is_success(),
        "status {}",
        reply.response.status()
    );
    let response = reply.read(client, length as usize, CHUNK_TIMEOUT).await?;
    anyhow::ensure!(response.body().len() as u64 == length, "the chunk is short");
    Ok(response.into_body())
}

/// Time to connect to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause when there is nothing to fetch at the moment.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Pause between announcements of a complete host.
const COMPLETE_PAUSE: Duration = Duration::from_millis(500);
