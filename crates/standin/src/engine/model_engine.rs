//! The public interface of the simulated model engine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::VersionDigest;

use crate::engine::engine_faults::EngineFaults;
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_shared::{self, EngineShared};
use crate::engine::load_history::EngineLoadReport;
use crate::run_counters::RunCounters;
use crate::standin_runtime::StandinRuntime;

/// A simulated engine with continuous batching. The version and the prompt determine every token of a response.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    shared: Arc<EngineShared>,
    address: SocketAddr,
}

impl ModelEngine {
    /// Starts an engine with no weights loaded.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn start(
        runtime: &StandinRuntime,
        address: SocketAddr,
        options: EngineOptions,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(EngineShared::new(options, runtime.handle().clone()));
        let address = shared.listen(address)?;
        runtime
            .handle()
            .spawn(engine_shared::record_load(Arc::downgrade(&shared)));
        Ok(Self { shared, address })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the set of injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.inner().faults = faults;
    }

    /// Simulates a crash: closes all connections and drops the loaded weights, the prefix cache and the
    /// fencing number.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts a crashed engine on the same address, with no weights loaded.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub fn restart(&self) -> std::io::Result<()> {
        self.shared.listen(self.address).map(drop)
    }

    /// Starts serving `version` without a load order, for benchmarks that do not need weights.
    pub fn serve_version(&self, version: VersionDigest) {
        self.shared.inner().serve(version);
    }

    /// Returns the version that is being served.
    pub fn serving(&self) -> Option<VersionDigest> {
        self.shared.inner().serving
    }

    /// Returns every version that was served since the engine was created.
    pub fn served_versions(&self) -> BTreeSet<VersionDigest> {
        self.shared.inner().served_versions.clone()
    }

    /// Returns the run counts by request id.
    pub fn runs_by_request(&self) -> RunCounters {
        self.shared.inner().runs_by_request.clone()
    }

    /// Returns the run counts by prompt. Unlike the request id, the prompt is not assigned on the way to the engine.
    pub fn runs_by_prompt(&self) -> RunCounters {
        self.shared.inner().runs_by_prompt.clone()
    }

    /// Returns the number of requests admitted after `since`.
    pub fn arrived_after(&self, since: Instant) -> usize {
        let inner = self.shared.inner();
        inner.arrival_times.iter().filter(|it| **it > since).count()
    }

    /// Returns the number of generated tokens.
    pub fn tokens(&self) -> u64 {
        self.shared.inner().tokens
    }

    /// Returns the number of requests that load orders have aborted.
    pub fn aborted_by_load(&self) -> u64 {
        self.shared.inner().aborted_by_load
    }

    /// Returns the number of load orders refused because of an outdated fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.shared.inner().refused_orders
    }

    /// Returns the current load, without the delay of published reports.
    pub fn current_load(&self) -> EngineLoadReport {
        self.shared.report()
    }
}
