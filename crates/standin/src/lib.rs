//! Stand-ins of everything around fulmarline: the platform, engines, services, links and callers.
//!
//! Tests, the demo and the benches host many of them in one process and reach their fault switches and counters as
//! methods; the binary `fulmarline-standin` starts single ones, with the same switches over HTTP. They follow
//! `docs/PLATFORM.md`. Nothing here is shipped, and no shipped crate depends on it, so that what a stand-in counts is
//! evidence that fulmarline has no hand in.

mod answers;
mod engine;
mod harness;
mod host_list;
mod links;
mod load;
mod object_store;
mod plain_service;
mod rate_limiter;
mod run_counters;
mod site;
mod standin_runtime;
mod table;
mod weights;

pub use engine::{
    DeterministicAnswer, EngineFaults, EngineLoadReport, EngineOptions, ModelEngine,
    expected_token, prefix_digests,
};
pub use harness::{
    AgentPlan, ChildProcess, CommandResponse, EntryPlan, FleetPlan, LinkPlan, ProcessFleet,
    TargetPlan,
};
pub use host_list::{HostList, ListedHost};
pub use links::{
    FaultProxy, HostBytes, LinkSwitch, NodeFaults, ProxyFaults, SwitchCounters, SwitchNode,
    SwitchOptions,
};
pub use load::{
    CallKind, CallOutcome, CallRecord, LoadGenerator, LoadOrganisation, LoadPlan, LoadReport,
    LoadTotals, ObservedRuns, RunningLoad,
};
pub use object_store::{ObjectStore, StoreCounters, StoreFaults};
pub use plain_service::{PlainService, ServiceFaults, ServiceResponse};
pub use rate_limiter::RateLimiter;
pub use run_counters::{RunCount, RunCounters};
pub use site::{
    ReplicaFaults, ReplicaKind, SiteHost, SiteOrigin, SitePorts, SiteReplica, SiteStore,
    SiteWeights,
};
pub use standin_runtime::StandinRuntime;
pub use table::{TableCounters, TableFaults, TableService};
pub use weights::{SourceCounters, WeightCatalog, WeightFaults, WeightSource, synthetic_weights};
