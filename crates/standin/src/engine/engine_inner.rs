//! The mutable state of an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use model::{FencingNumber, VersionDigest};
use serde::Serialize;
use tokio::sync::watch;

use crate::engine::cache_log::CacheLog;
use crate::engine::engine_faults::EngineFaults;
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_request::CompletionRequest;
use crate::engine::engine_responses::BYTES_PER_TOKEN;
use crate::engine::load_history::LoadHistory;
use crate::engine::prefix_cache::{BLOCK_BYTES, PrefixCache};
use crate::run_counters::RunCounters;

/// The mutable state of an engine, guarded by the lock of `EngineShared`.
#[derive(Debug)]
pub(crate) struct EngineInner {
    pub(crate) faults: EngineFaults,
    pub(crate) phase: EnginePhase,
    pub(crate) serving: Option<VersionDigest>,
    pub(crate) fencing: FencingNumber,
    /// Whether the served version keeps serving while another one is loaded.
    pub(crate) beside: bool,
    pub(crate) error: Option<String>,
    /// Increases with each load order and crash, so that a superseded load does not change the served version.
    pub(crate) load_generation: u64,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_log: CacheLog,
    pub(crate) load_history: LoadHistory,
    pub(crate) tokens: u64,
    pub(crate) runs_by_request: RunCounters,
    pub(crate) runs_by_prompt: RunCounters,
    pub(crate) arrival_times: Vec<Instant>,
    pub(crate) aborted_by_load: u64,
    pub(crate) refused_orders: u64,
    pub(crate) served_versions: BTreeSet<VersionDigest>,
    pub(crate) kv_snapshots: BTreeMap<String, KvSnapshot>,
    pub(crate) imported_kv: BTreeSet<String>,
    running_requests: BTreeMap<u64, RunningRequest>,
    next_running_id: u64,
}

/// Phase that the engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum EnginePhase {
    Empty,
    Loading,
    Serving,
    Failed,
}

/// Why a request is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    Cancelled,
    Crashed,
    Unloaded,
}

#[derive(Debug)]
struct RunningRequest {
    request_id: String,
    stop: watch::Sender<Option<StopReason>>,
}

/// The KV cache of one request, reduced to the data that the stand-in needs.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(crate) struct KvSnapshot {
    pub(crate) request_id: String,
    pub(crate) version: VersionDigest,
    pub(crate) prompt: String,
    pub(crate) tokens: usize,
}

/// Maximum number of KV caches stored for export.
const MAX_KV_SNAPSHOTS: usize = 512;

impl EngineInner {
    pub(crate) fn new(options: &EngineOptions) -> Self {
        Self {
            faults: EngineFaults::default(),
            phase: EnginePhase::Empty,
            serving: None,
            fencing: FencingNumber::default(),
            beside: false,
            error: None,
            load_generation: 0,
            cache: PrefixCache::new(options.cache_blocks),
            cache_log: CacheLog::new(options.event_lag, options.event_loss),
            load_history: LoadHistory::new(options.report_lag),
            tokens: 0,
            runs_by_request: RunCounters::default(),
            runs_by_prompt: RunCounters::default(),
            arrival_times: Vec::new(),
            aborted_by_load: 0,
            refused_orders: 0,
            served_versions: BTreeSet::new(),
            kv_snapshots: BTreeMap::new(),
            imported_kv: BTreeSet::new(),
            running_requests: BTreeMap::new(),
            next_running_id: 0,
        }
    }

    /// Registers a request and returns its id among the running requests and its stop signal.
    pub(crate) fn register(
        &mut self,
        request_id: &str,
        now: Instant,
    ) -> (u64, watch::Receiver<Option<StopReason>>) {
        self.arrival_times.push(now);
        let (stop, stop_signal) = watch::channel(None);
        let running_id = self.next_running_id;
        self.next_running_id += 1;
        let request_id = request_id.to_owned();
        self.running_requests
            .insert(running_id, RunningRequest { request_id, stop });
        (running_id, stop_signal)
    }

    pub(crate) fn unregister(&mut self, running_id: u64) {
        self.running_requests.remove(&running_id);
    }

    /// Cancels all requests with `request_id` and returns their number.
    pub(crate) fn cancel(&self, request_id: &str) -> usize {
        let mut cancelled = 0;
        for request in self.running_requests.values() {
            if request.request_id == request_id {
                request.stop.send_replace(Some(StopReason::Cancelled));
                cancelled += 1;
            }
        }
        cancelled
    }

    /// Aborts all requests and returns their number.
    pub(crate) fn stop_all(&self, reason: StopReason) -> usize {
        for request in self.running_requests.values() {
            request.stop.send_replace(Some(reason));
        }
        self.running_requests.len()
    }

    /// Starts serving `version` and clears the prefix cache.
    pub(crate) fn serve(&mut self, version: VersionDigest) {
        self.phase = EnginePhase::Serving;
        self.serving = Some(version);
        self.beside = false;
        self.error = None;
        self.served_versions.insert(version);
        self.cache.clear();
    }

    /// Unloads the weights and aborts all requests in flight.
    pub(crate) fn unload(&mut self, reason: StopReason) {
        self.aborted_by_load += self.stop_all(reason) as u64;
        self.serving = None;
        self.cache.clear();
    }

    /// Returns the number of tokens to prefill for `request` and updates the prefix cache.
    ///
    /// This is 0 if the KV cache of the request was imported.
    pub(crate) fn prefill_tokens(&mut self, request: &CompletionRequest, now: Instant) -> usize {
        let access = self.cache.touch(&request.prompt);
        for prefix in access.stored {
            self.cache_log.record("stored", prefix, now);
        }
        for prefix in access.evicted {
            self.cache_log.record("evicted", prefix, now);
        }
        if self.imported_kv.remove(&request.request_id) {
            return 0;
        }
        let uncached_bytes = request.prompt.len() - access.cached_blocks * BLOCK_BYTES;
        uncached_bytes / BYTES_PER_TOKEN + request.resume_from
    }

    /// Stores a KV cache for export. At [`MAX_KV_SNAPSHOTS`], the one with the lowest request id is dropped.
    pub(crate) fn store_kv(&mut self, snapshot: KvSnapshot) {
        if self.kv_snapshots.len() >= MAX_KV_SNAPSHOTS {
            self.kv_snapshots.pop_first();
        }
        self.kv_snapshots
            .insert(snapshot.request_id.clone(), snapshot);
    }
}
