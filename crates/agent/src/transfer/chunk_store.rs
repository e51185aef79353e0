//! In-memory store of verified chunks.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use model::{ChunkSet, ContentDigest, TransferState, VersionDigest, WeightManifest};
use serde_json::json;

/// Stores the chunks of the version that this host fetches or has fetched.
///
/// A chunk is only stored if its digest matches the manifest, so all chunks served from here are verified.
#[derive(Debug)]
pub(crate) struct ChunkStore {
    max_bytes: u64,
    stored: Mutex<Option<StoredVersion>>,
    sent_chunks: Mutex<Vec<usize>>,
}

#[derive(Debug)]
struct StoredVersion {
    manifest: Arc<WeightManifest>,
    version: VersionDigest,
    chunks: Vec<Option<Bytes>>,
    present: ChunkSet,
    /// Whether the chunks were freed after they were complete, because every engine has loaded them.
    released: bool,
}

impl ChunkStore {
    pub(crate) fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            stored: Mutex::new(None),
            sent_chunks: Mutex::default(),
        }
    }

    /// Sets the version to fetch, which `manifest` describes. Chunks that it shares with the previous version are
    /// retained.
    ///
    /// Returns `false` and changes nothing if the version exceeds the configured memory limit.
    pub(crate) fn set_version(
        &self,
        version: VersionDigest,
        manifest: &Arc<WeightManifest>,
    ) -> bool {
        let mut stored = self.lock();
        if stored.as_ref().is_some_and(|it| it.version == version) {
            return true;
        }
        if manifest.total_bytes > self.max_bytes {
            return false;
        }
        let shared = stored.take().map(chunks_by_digest).unwrap_or_default();
        let chunks: Vec<_> = manifest
            .chunks
            .iter()
            .map(|it| shared.get(it).cloned())
            .collect();
        let present = chunks
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_some())
            .map(|(idx, _)| idx)
            .collect();
        *stored = Some(StoredVersion {
            manifest: manifest.clone(),
            version,
            chunks,
            present,
            released: false,
        });
        true
    }

    /// Returns the current version, its manifest and the chunks that are present.
    pub(crate) fn current(&self) -> Option<(VersionDigest, Arc<WeightManifest>, ChunkSet)> {
        let stored = self.lock();
        stored
            .as_ref()
            .map(|it| (it.version, it.manifest.clone(), it.present.clone()))
    }

    /// Returns the current version.
    pub(crate) fn current_version(&self) -> Option<VersionDigest> {
        self.lock().as_ref().map(|it| it.version)
    }

    /// Frees the memory of the chunks of `version`.
    pub(crate) fn release(&self, version: VersionDigest) {
        let mut stored = self.lock();
        if let Some(stored) = stored.as_mut().filter(|it| it.version == version) {
            stored.chunks.fill(None);
            stored.present = ChunkSet::default();
            stored.released = true;
        }
    }

    /// Records that chunks that were freed are needed again.
    pub(crate) fn clear_released(&self) {
        if let Some(stored) = self.lock().as_mut() {
            stored.released = false;
        }
    }

    /// Records that chunk `idx` was sent to another host.
    pub(crate) fn record_sent(&self, idx: usize) {
        self.lock_sent_chunks().push(idx);
    }

    /// Removes and returns the chunks sent since the last call.
    pub(crate) fn take_sent_chunks(&self) -> Vec<usize> {
        std::mem::take(&mut *self.lock_sent_chunks())
    }

    fn lock_sent_chunks(&self) -> MutexGuard<'_, Vec<usize>> {
        self.sent_chunks
            .lock()
            .expect("no thread panics while it holds the sent chunks lock")
    }

    /// Stores `bytes` as chunk `idx` of `version`. Returns `false` if their digest is wrong; a chunk of another version
    /// is ignored.
    pub(crate) fn insert(&self, version: VersionDigest, idx: usize, bytes: Bytes) -> bool {
        let digest = ContentDigest::of(&bytes);
        let mut stored = self.lock();
        let Some(stored) = stored.as_mut().filter(|it| it.version == version) else {
            return true;
        };
        if stored.manifest.chunks.get(idx) != Some(&digest) {
            return false;
        }
        stored.chunks[idx] = Some(bytes);
        stored.present.insert(idx);
        true
    }

    /// Returns chunk `idx` of `version`.
    pub(crate) fn chunk(&self, version: VersionDigest, idx: usize) -> Option<Bytes> {
        let stored = self.lock();
        stored
            .as_ref()
            .filter(|it| it.version == version)?
            .chunks
            .get(idx)?
            .clone()
    }

    /// Returns the manifest of `version` if it is the current version.
    pub(crate) fn manifest(&self, version: VersionDigest) -> Option<Arc<WeightManifest>> {
        self.lock()
            .as_ref()
            .filter(|it| it.version == version)
            .map(|it| it.manifest.clone())
    }

    /// Returns whether all chunks are present and match the digest of the complete version, which is checked before the
    /// engine loads it.
    pub(crate) fn verify_digest(&self, version: VersionDigest) -> bool {
        let chunks = {
            let stored = self.lock();
            let Some(stored) = stored.as_ref().filter(|it| it.version == version) else {
                return false;
            };
            let chunks: Option<Vec<Bytes>> = stored.chunks.iter().cloned().collect();
            chunks.map(|it| (it, stored.manifest.full_digest))
        };
        let Some((chunks, full_digest)) = chunks else {
            return false;
        };
        let mut hasher = blake3::Hasher::new();
        for chunk in &chunks {
            hasher.update(chunk);
        }
        hasher.finalize().as_bytes() == full_digest.as_bytes()
    }

    pub(crate) fn state(&self) -> Option<TransferState> {
        self.lock().as_ref().map(|it| TransferState {
            version: it.version,
            have_chunks: if it.released {
                it.chunks.len() as u32
            } else {
                it.present.len() as u32
            },
            total_chunks: it.chunks.len() as u32,
        })
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        json!({ "state": self.state() })
    }

    fn lock(&self) -> MutexGuard<'_, Option<StoredVersion>> {
        self.stored
            .lock()
            .expect("no thread panics while it holds the store lock")
    }
}

fn chunks_by_digest(stored: StoredVersion) -> std::collections::BTreeMap<ContentDigest, Bytes> {
    let chunks = stored.chunks.into_iter().enumerate();
    chunks
        .filter_map(|(idx, bytes)| Some((stored.manifest.chunks[idx], bytes?)))
        .collect()
}
