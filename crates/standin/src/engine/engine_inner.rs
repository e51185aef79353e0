//! The state of an engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use model::{FencingNumber, VersionDigest};
use serde::Serialize;
use tokio::sync::watch;

use crate::engine::cache_log::CacheLog;
use crate::engine::engine_faults::EngineFaults;
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_request::TokenRequest;
use crate::engine::engine_responses::BYTES_PER_TOKEN;
use crate::engine::load_history::LoadHistory;
use crate::engine::prefix_cache::{BLOCK_BYTES, PrefixCache};
use crate::run_counters::RunCounters;

/// Everything that changes while an engine runs.
#[derive(Debug)]
pub(crate) struct EngineInner {
    pub(crate) faults: EngineFaults,
    pub(crate) phase: EnginePhase,
    pub(crate) serving: Option<VersionDigest>,
    pub(crate) fencing: FencingNumber,
    pub(crate) beside: bool,
    pub(crate) error: Option<String>,
    /// Counts load orders, so that an overtaken load does not switch.
    pub(crate) loads: u64,
    pub(crate) cache: PrefixCache,
    pub(crate) log: CacheLog,
    pub(crate) history: LoadHistory,
    pub(crate) tokens: u64,
    pub(crate) by_request: RunCounters,
    pub(crate) by_prompt: RunCounters,
    pub(crate) arrivals: Vec<Instant>,
    pub(crate) cut_by_load: u64,
    pub(crate) refused_orders: u64,
    pub(crate) served_versions: BTreeSet<VersionDigest>,
    pub(crate) kv: BTreeMap<String, KvSnapshot>,
    pub(crate) imported: BTreeSet<String>,
    running: BTreeMap<u64, RunningRequest>,
    next_running: u64,
}

/// What the engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum EnginePhase {
    Empty,
    Loading,
    Serving,
    Failed,
}

/// Why a request is given up.
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

/// The KV cache of one request, as far as a stand-in needs it.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub(crate) struct KvSnapshot {
    pub(crate) request_id: String,
    pub(crate) version: VersionDigest,
    pub(crate) prompt: String,
    pub(crate) tokens: usize,
}

/// KV caches that are kept for export.
const KEPT_KV: usize = 512;

impl EngineInner {
    pub(crate) fn new(options: &EngineOptions) -> Self {
        Self {
            faults: EngineFaults::default(),
            phase: EnginePhase::Empty,
            serving: None,
            fencing: FencingNumber::default(),
            beside: false,
            error: None,
            loads: 0,
            cache: PrefixCache::new(options.cache_blocks),
            log: CacheLog::new(options.event_lag, options.event_loss),
            history: LoadHistory::new(options.report_lag),
            tokens: 0,
            by_request: RunCounters::default(),
            by_prompt: RunCounters::default(),
            arrivals: Vec::new(),
            cut_by_load: 0,
            refused_orders: 0,
            served_versions: BTreeSet::new(),
            kv: BTreeMap::new(),
            imported: BTreeSet::new(),
            running: BTreeMap::new(),
            next_running: 0,
        }
    }

    /// Registers a request and returns its number and the signal that stops it.
    pub(crate) fn register(
        &mut self,
        request_id: &str,
        now: Instant,
    ) -> (u64, watch::Receiver<Option<StopReason>>) {
        self.arrivals.push(now);
        let (stop, stopped) = watch::channel(None);
        let number = self.next_running;
        self.next_running += 1;
        let request_id = request_id.to_owned();
        self.running
            .insert(number, RunningRequest { request_id, stop });
        (number, stopped)
    }

    pub(crate) fn unregister(&mut self, number: u64) {
        self.running.remove(&number);
    }

    /// Stops the requests with `request_id` and returns how many there were.
    pub(crate) fn cancel(&self, request_id: &str) -> usize {
        let mut cancelled = 0;
        for request in self.running.values() {
            if request.request_id == request_id {
                request.stop.send_replace(Some(StopReason::Cancelled));
                cancelled += 1;
            }
        }
        cancelled
    }

    /// Stops all requests and returns how many there were.
    pub(crate) fn stop_all(&self, reason: StopReason) -> usize {
        for request in self.running.values() {
            request.stop.send_replace(Some(reason));
        }
        self.running.len()
    }

    /// Puts `version` into service.
    pub(crate) fn serve(&mut self, version: VersionDigest) {
        self.phase = EnginePhase::Serving;
        self.serving = Some(version);
        self.beside = false;
        self.error = None;
        self.served_versions.insert(version);
        self.cache.clear();
    }

    /// Takes the weights out of service, which cuts off whatever is under way.
    pub(crate) fn unload(&mut self, reason: StopReason) {
        self.cut_by_load += self.stop_all(reason) as u64;
        self.serving = None;
        self.cache.clear();
    }

    /// Returns the tokens of the prompt that must be computed, and brings the cache up to date.
    pub(crate) fn prefill_tokens(&mut self, request: &TokenRequest, now: Instant) -> usize {
        let used = self.cache.touch(&request.prompt);
        for prefix in used.stored {
            self.log.record("stored", prefix, now);
        }
        for prefix in used.evicted {
            self.log.record("evicted", prefix, now);
        }
        if self.imported.remove(&request.request_id) {
            return 0;
        }
        let prompt_bytes = request.prompt.len() - used.cached_blocks * BLOCK_BYTES;
        prompt_bytes / BYTES_PER_TOKEN + request.resume_from
    }

    pub(crate) fn keep_kv(&mut self, snapshot: KvSnapshot) {
        if self.kv.len() >= KEPT_KV {
            self.kv.pop_first();
        }
        self.kv.insert(snapshot.request_id.clone(), snapshot);
    }
}
