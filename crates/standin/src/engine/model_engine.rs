//! The engine over HTTP.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use model::{FencingNumber, VersionDigest};

use crate::engine::engine_faults::EngineFaults;
use crate::engine::engine_inner::{EnginePhase, StopReason};
use crate::engine::engine_options::EngineOptions;
use crate::engine::engine_shared::{self, EngineShared};
use crate::engine::load_history::EngineLoadReport;
use crate::run_counters::RunCounters;
use crate::standin_runtime::StandinRuntime;

/// An engine that batches continuously and answers with tokens that its version and the prompt determine.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    shared: Arc<EngineShared>,
    address: SocketAddr,
}

impl ModelEngine {
    /// Starts an engine without weights.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
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

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.inner().faults = faults;
    }

    /// Ends the engine without warning: all connections are cut and the weights are gone.
    pub fn crash(&self) {
        if let Some(server) = self.shared.server().take() {
            server.stop();
        }
        let mut inner = self.shared.inner();
        inner.loads += 1;
        inner.stop_all(StopReason::Crashed);
        inner.phase = EnginePhase::Empty;
        inner.serving = None;
        inner.fencing = FencingNumber::default();
        inner.cache.clear();
    }

    /// Starts a crashed engine again at its address, without weights.
    ///
    /// # Errors
    ///
    /// Returns what the operating system said when the address cannot be bound.
    pub fn restart(&self) -> std::io::Result<()> {
        self.shared.listen(self.address).map(drop)
    }

    /// Puts `version` into service without a load order, for benches that need no weights.
    pub fn serve_version(&self, version: VersionDigest) {
        self.shared.inner().serve(version);
    }

    /// Returns the version in service.
    pub fn serving(&self) -> Option<VersionDigest> {
        self.shared.inner().serving
    }

    /// Returns every version that was ever in service.
    pub fn served_versions(&self) -> BTreeSet<VersionDigest> {
        self.shared.inner().served_versions.clone()
    }

    /// Returns the runs by request id.
    pub fn runs_by_request(&self) -> RunCounters {
        self.shared.inner().by_request.clone()
    }

    /// Returns the runs by prompt, which nobody on the way to the engine has chosen.
    pub fn runs_by_prompt(&self) -> RunCounters {
        self.shared.inner().by_prompt.clone()
    }

    /// Returns the number of requests that arrived after `since`.
    pub fn arrived_after(&self, since: Instant) -> usize {
        let inner = self.shared.inner();
        inner.arrivals.iter().filter(|it| **it > since).count()
    }

    /// Returns the number of tokens computed.
    pub fn tokens(&self) -> u64 {
        self.shared.inner().tokens
    }

    /// Returns the number of requests that load orders have cut off.
    pub fn cut_by_load(&self) -> u64 {
        self.shared.inner().cut_by_load
    }

    /// Returns the number of load orders refused for an old fencing number.
    pub fn refused_orders(&self) -> u64 {
        self.shared.inner().refused_orders
    }

    /// Returns the current load, without the lag of the report.
    pub fn current_load(&self) -> EngineLoadReport {
        self.shared.report()
    }
}
