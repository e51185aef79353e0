//! Verified chunks in memory.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use model::{ChunkSet, ContentDigest, TransferState, VersionDigest, WeightManifest};
use serde_json::json;

/// Holds the chunks of the version that this host fetches or has fetched.
///
/// Nothing enters without its digest matching the manifest, so whatever is served from here is verified.
#[derive(Debug)]
pub(crate) struct ChunkStore {
    max_bytes: u64,
    held: Mutex<Option<HeldVersion>>,
    sent: Mutex<Vec<usize>>,
}

#[derive(Debug)]
struct HeldVersion {
    manifest: Arc<WeightManifest>,
    version: VersionDigest,
    chunks: Vec<Option<Bytes>>,
    have: ChunkSet,
    /// Whether the chunks were complete once and were freed, because every engine has them.
    released: bool,
}

impl ChunkStore {
    pub(crate) fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            held: Mutex::new(None),
            sent: Mutex::default(),
        }
    }

    /// Makes `version`, which `manifest` describes, the one to fetch; chunks that it shares with the one before are kept.
    ///
    /// Returns whether the version fits into the memory that the settings allow.
    pub(crate) fn aim(&self, version: VersionDigest, manifest: &Arc<WeightManifest>) -> bool {
        let mut held = self.lock();
        if held.as_ref().is_some_and(|it| it.version == version) {
            return true;
        }
        if manifest.total_bytes > self.max_bytes {
            return false;
        }
        let shared = held.take().map(chunks_by_digest).unwrap_or_default();
        let chunks: Vec<_> = manifest
            .chunks
            .iter()
            .map(|it| shared.get(it).cloned())
            .collect();
        let have = chunks
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_some())
            .map(|(idx, _)| idx)
            .collect();
        *held = Some(HeldVersion {
            manifest: manifest.clone(),
            version,
            chunks,
            have,
            released: false,
        });
        true
    }

    /// Returns the version to fetch with its manifest and the chunks that are present.
    pub(crate) fn goal(&self) -> Option<(VersionDigest, Arc<WeightManifest>, ChunkSet)> {
        let held = self.lock();
        held.as_ref()
            .map(|it| (it.version, it.manifest.clone(), it.have.clone()))
    }

    /// Returns the version to fetch.
    pub(crate) fn goal_version(&self) -> Option<VersionDigest> {
        self.lock().as_ref().map(|it| it.version)
    }

    /// Frees the chunks of `version`.
    pub(crate) fn release(&self, version: VersionDigest) {
        let mut held = self.lock();
        if let Some(held) = held.as_mut().filter(|it| it.version == version) {
            held.chunks.fill(None);
            held.have = ChunkSet::default();
            held.released = true;
        }
    }

    /// Takes note that chunks are needed again after they were freed.
    pub(crate) fn reclaim(&self) {
        if let Some(held) = self.lock().as_mut() {
            held.released = false;
        }
    }

    /// Notes that chunk `idx` was sent to another host.
    pub(crate) fn note_sent(&self, idx: usize) {
        self.lock_sent().push(idx);
    }

    /// Returns the chunks sent since the last call.
    pub(crate) fn take_sent(&self) -> Vec<usize> {
        std::mem::take(&mut *self.lock_sent())
    }

    fn lock_sent(&self) -> MutexGuard<'_, Vec<usize>> {
        self.sent
            .lock()
            .expect("no holder of the counter's lock panics")
    }

    /// Keeps `bytes` as chunk `idx` of `version` and returns whether their digest is right.
    pub(crate) fn insert(&self, version: VersionDigest, idx: usize, bytes: Bytes) -> bool {
        let digest = ContentDigest::of(&bytes);
        let mut held = self.lock();
        let Some(held) = held.as_mut().filter(|it| it.version == version) else {
            return true;
        };
        if held.manifest.chunks.get(idx) != Some(&digest) {
            return false;
        }
        held.chunks[idx] = Some(bytes);
        held.have.insert(idx);
        true
    }

    /// Returns chunk `idx` of `version`.
    pub(crate) fn chunk(&self, version: VersionDigest, idx: usize) -> Option<Bytes> {
        let held = self.lock();
        held.as_ref()
            .filter(|it| it.version == version)?
            .chunks
            .get(idx)?
            .clone()
    }

    /// Returns the manifest of `version` when it is the one held.
    pub(crate) fn manifest(&self, version: VersionDigest) -> Option<Arc<WeightManifest>> {
        self.lock()
            .as_ref()
            .filter(|it| it.version == version)
            .map(|it| it.manifest.clone())
    }

    /// Checks the digest of the whole version, as the last step before an engine may load it.
    pub(crate) fn verify_whole(&self, version: VersionDigest) -> bool {
        let chunks = {
            let held = self.lock();
            let Some(held) = held.as_ref().filter(|it| it.version == version) else {
                return false;
            };
            let chunks: Option<Vec<Bytes>> = held.chunks.iter().cloned().collect();
            chunks.map(|it| (it, held.manifest.whole))
        };
        let Some((chunks, whole)) = chunks else {
            return false;
        };
        let mut hasher = blake3::Hasher::new();
        for chunk in &chunks {
            hasher.update(chunk);
        }
        hasher.finalize().as_bytes() == whole.as_bytes()
    }

    pub(crate) fn state(&self) -> Option<TransferState> {
        self.lock().as_ref().map(|it| TransferState {
            version: it.version,
            have_chunks: if it.released {
                it.chunks.len() as u32
            } else {
                it.have.len() as u32
            },
            total_chunks: it.chunks.len() as u32,
        })
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        json!({ "state": self.state() })
    }

    fn lock(&self) -> MutexGuard<'_, Option<HeldVersion>> {
        self.held
            .lock()
            .expect("no holder of the store's lock panics")
    }
}

fn chunks_by_digest(held: HeldVersion) -> std::collections::BTreeMap<ContentDigest, Bytes> {
    let chunks = held.chunks.into_iter().enumerate();
    chunks
        .filter_map(|(idx, bytes)| Some((held.manifest.chunks[idx], bytes?)))
        .collect()
}
